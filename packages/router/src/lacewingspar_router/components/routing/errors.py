"""Errors of the routing component."""

from lacewingspar_router.errors import RouterError


class TopicUnavailableError(RouterError):
    """The log service did not respond, or rejected a read or write."""


class TopicTruncatedError(RouterError):
    """The log dropped records before they were read."""
