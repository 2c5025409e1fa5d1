"""Errors of the log service component."""

from lacewingspar_router.errors import RouterError


class LogServiceError(RouterError):
    """Base class of log service errors."""


class LogUnavailableError(LogServiceError):
    """The log service is unavailable; nothing was written."""


class LogAppendUnknownError(LogServiceError):
    """The reply to an append was lost; the records may have been written."""
