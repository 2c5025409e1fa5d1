"""Errors of the administration API component."""

from lacewingspar_router.errors import RouterError


class AdminRequestError(RouterError):
    """A request of an operator is refused.

    Attributes:
        status: HTTP status code.
        code: Machine-readable reason.
        message: Reason for people.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
