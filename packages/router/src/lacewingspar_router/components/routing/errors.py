"""Errors of the routing component."""

from lacewingspar_router.errors import RouterError


class TopicUnavailableError(RouterError):
    """The log service did not respond, or rejected a read or write."""


class TopicSilentError(TopicUnavailableError):
    """A call of the log service had no response in time.

    Its connection is probably silent, and with it all that were open then.
    """


class TopicTruncatedError(RouterError):
    """The log dropped records before they were read."""


class TopicRestoredError(RouterError):
    """The log was restored to an older state since it was read last."""
