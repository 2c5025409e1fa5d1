"""Errors of the log service component."""

from lacewingspar_router.errors import RouterError


class LogServiceError(RouterError):
    """Base class of log service errors."""


class LogUnavailableError(LogServiceError):
    """The log service cannot be reached; nothing was written."""


class LogAppendUnknownError(LogServiceError):
    """The reply to an append was lost; it may have been written."""
