"""Errors of HTTP/1.1 connections."""

from lacewingspar_router.errors import RouterError


class ConnectionFailedError(RouterError):
    """No connection could be opened; nothing was sent."""


class ConnectionBrokenError(RouterError):
    """A connection ended, or went silent, before its answer was complete.

    Attributes:
        was_reset: Whether the other side reset the connection.
    """

    def __init__(self, message: str, *, was_reset: bool = False) -> None:
        super().__init__(message)
        self.was_reset = was_reset


class InvalidAnswerError(RouterError):
    """The bytes received are not an answer to the request."""
