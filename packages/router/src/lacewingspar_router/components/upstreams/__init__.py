"""Calls to upstreams and their health."""

from lacewingspar_router.application import Application
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
)
from lacewingspar_router.components.upstreams.models import UPSTREAMS
from lacewingspar_router.components.upstreams.pool import HttpUpstreamPool
from lacewingspar_router.components.vm_list.models import VM_LIST


async def async_setup(application: Application) -> None:
    """Set up the connections to upstreams."""
    pool = HttpUpstreamPool(application)
    pool.apply_configuration()
    application.get(CONFIGURATION).add_listener(pool.apply_configuration)
    application.get(VM_LIST).add_listener(pool.apply_vm_list)
    application.register(UPSTREAMS, pool)
    application.on_unload("upstreams", pool.async_close)
