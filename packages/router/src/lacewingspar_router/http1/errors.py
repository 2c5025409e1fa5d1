"""Errors of HTTP/1.1 connections."""

from lacewingspar_router.errors import RouterError


class ConnectionFailedError(RouterError):
    """No connection could be opened; nothing was sent."""


class ConnectionBrokenError(RouterError):
    """A connection ended before its answer was complete."""


class InvalidAnswerError(RouterError):
    """The bytes received are not an answer to the request."""
