"""HTTP interface for callers."""

from litestar import Litestar
from litestar.handlers import asgi

from lacewingspar_router.application import Application
from lacewingspar_router.components.caller_api.models import CALLER_API
from lacewingspar_router.components.caller_api.proxy import CallerProxy
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
)
from lacewingspar_router.http_server import HttpServer


async def async_setup(application: Application) -> None:
    """Start the HTTP server for callers."""
    proxy = CallerProxy(application)
    proxy.apply_configuration()
    application.get(CONFIGURATION).add_listener(proxy.apply_configuration)
    server = HttpServer(caller_app(proxy), application.settings.caller_address)
    application.register(CALLER_API, proxy)

    async def async_drain() -> None:
        await proxy.in_flight.async_wait_empty()
        await server.async_stop()

    async def async_unload() -> None:
        await server.async_stop(abort=proxy.in_flight.is_cut)

    application.on_drain("caller_api", async_drain)
    application.on_unload("caller_api", async_unload)
    application.on_abort(proxy.async_abort_requests)
    await server.async_start()


def caller_app(proxy: CallerProxy) -> Litestar:
    """Return the ASGI application for callers."""
    # A raw ASGI route forwards each response chunk without conversion.
    route = asgi("/", is_mount=True, copy_scope=False)(proxy.async_handle)
    return Litestar(
        route_handlers=[route], openapi_config=None, logging_config=None
    )
