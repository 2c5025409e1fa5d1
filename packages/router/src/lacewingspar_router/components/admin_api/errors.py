"""Errors of the administration API component."""

from lacewingspar_router.errors import RouterError


class AdminRequestError(RouterError):
    """The administration API refuses a request.

    Attributes:
        status: HTTP status code.
        code: Machine-readable reason.
        message: Human-readable reason.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
