"""Errors of the quarantine component."""

from lacewingspar_router.errors import RouterError


class NoUpstreamForSuspectError(RouterError):
    """No upstream became free of other suspects before the deadline."""
