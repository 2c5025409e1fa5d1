"""Errors of HTTP/1.1 connections."""

from lacewingspar_router.errors import RouterError


class ConnectionFailedError(RouterError):
    """A connection could not be opened; nothing was sent."""


class ConnectionEndedEarlyError(ConnectionFailedError):
    """The peer closed a new connection before anything was sent."""


class ConnectionBrokenError(RouterError):
    """A connection ended before its response was complete."""


class InvalidResponseError(RouterError):
    """The received data is not a valid response to the request."""


class ExchangeInterruptedError(RouterError):
    """This side gave up an exchange before its response was complete."""


class ResponseOrderError(RouterError):
    """A step of a response was called for that it cannot take any more."""
