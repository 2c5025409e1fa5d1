"""Errors of the routing component."""

from lacewingspar_router.errors import RouterError


class TopicUnavailableError(RouterError):
    """A topic cannot be read or written now."""


class TopicTruncatedError(RouterError):
    """Records of a topic were dropped before they were read."""
