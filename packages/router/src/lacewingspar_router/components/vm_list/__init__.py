"""Polls the platform's list of live and leaving VMs."""

import asyncio

import httpx

from lacewingspar_router.addresses import map_url
from lacewingspar_router.application import Application
from lacewingspar_router.components.vm_list.const import (
    COMPONENT_NAME,
    POLL_TIMEOUT_SECONDS,
    VMS_PATH,
)
from lacewingspar_router.components.vm_list.models import VM_LIST
from lacewingspar_router.components.vm_list.poller import VmListPoller
from lacewingspar_router.http_transport import CheckedTransport


async def async_setup(app: Application) -> None:
    """Start polling the VM list.

    Set-up does not wait for the first list, so that routers can start in a
    data centre that is partitioned from the platform.
    """
    base_url = map_url(app.settings.vm_list_url, app.settings.address_map)
    client = httpx.AsyncClient(
        transport=CheckedTransport(trust_env=False),
        timeout=POLL_TIMEOUT_SECONDS,
        trust_env=False,
    )
    poller = VmListPoller(client, base_url.rstrip("/") + VMS_PATH)
    task = app.create_task(poller.async_run(), f"{COMPONENT_NAME} poller")

    async def async_unload() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await client.aclose()

    app.on_unload(COMPONENT_NAME, async_unload)
    app.register(VM_LIST, poller)
