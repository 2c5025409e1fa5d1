"""Client of the platform's append-only log service."""

import httpx

from lacewingspar_router.addresses import map_url
from lacewingspar_router.application import Application
from lacewingspar_router.components.log_service.client import HttpLogService
from lacewingspar_router.components.log_service.const import KEEPALIVE_SECONDS
from lacewingspar_router.components.log_service.models import LOG_SERVICE
from lacewingspar_router.http_transport import CheckedTransport


async def async_setup(app: Application) -> None:
    """Set up the client, even while the log service is unreachable."""
    settings = app.settings
    client = httpx.AsyncClient(
        base_url=map_url(settings.log_service_url, settings.address_map),
        transport=CheckedTransport(
            limits=httpx.Limits(keepalive_expiry=KEEPALIVE_SECONDS),
            trust_env=False,
        ),
        trust_env=False,
    )
    app.register(LOG_SERVICE, HttpLogService(app, client))
    app.on_unload("log_service", client.aclose)
