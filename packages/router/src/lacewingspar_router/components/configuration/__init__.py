"""Active service documents at this router."""

from lacewingspar_core.messages import LogRecords, LogRecordsRequest
from lacewingspar_router.application import Application
from lacewingspar_router.components.configuration.models import CONFIGURATION
from lacewingspar_router.components.configuration.store import (
    LogConfigurationStore,
)
from lacewingspar_router.components.peers.models import PEERS


async def async_setup(app: Application) -> None:
    """Start to read the configuration; the store becomes ready later."""
    store = LogConfigurationStore(app)
    peers = app.get(PEERS)
    peers.subscribe(LogRecords, store.handle_records)
    peers.subscribe(LogRecordsRequest, store.handle_request)
    peers.set_applied_offset_source(lambda: store.applied_offset)
    tasks = (
        app.create_task(store.async_read_log(), "configuration reader"),
        app.create_task(store.async_exchange(), "configuration exchange"),
    )
    app.register(CONFIGURATION, store)

    async def async_unload() -> None:
        for task in tasks:
            task.cancel()

    app.on_unload("configuration", async_unload)
