"""Errors of the VM list component."""

from lacewingspar_router.errors import RouterError


class VmListReadError(RouterError):
    """The platform did not return a valid VM list."""
