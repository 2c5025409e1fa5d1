"""Errors of the VM list component."""

from lacewingspar_router.errors import RouterError


class VmListReadError(RouterError):
    """The platform did not answer with a valid VM list."""
