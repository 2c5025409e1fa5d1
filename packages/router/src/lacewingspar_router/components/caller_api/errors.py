"""Errors of the caller API component."""

from lacewingspar_router.errors import RouterError


class CallerGoneError(RouterError):
    """The caller closed the connection before sending the whole request."""
