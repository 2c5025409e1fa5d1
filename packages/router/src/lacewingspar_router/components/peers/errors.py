"""Errors of the peers component."""

from lacewingspar_router.errors import ComponentSetupError


class PeerBindError(ComponentSetupError):
    """The peer socket cannot be bound to its address."""
