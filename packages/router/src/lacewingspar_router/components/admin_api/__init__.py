"""HTTP API for operators, the platform's load balancer and metrics."""

from litestar import Litestar
from litestar.exceptions import HTTPException
from litestar.openapi import OpenAPIConfig
from litestar.openapi.plugins import JsonRenderPlugin

from lacewingspar_router.application import Application
from lacewingspar_router.components.admin_api.access import (
    refuse_admin_request,
    refuse_failure,
    refuse_http_error,
    token_guard,
)
from lacewingspar_router.components.admin_api.const import (
    API_TITLE,
    API_VERSION,
    MAX_BODY_BYTES,
)
from lacewingspar_router.components.admin_api.errors import AdminRequestError
from lacewingspar_router.components.admin_api.quarantine import (
    quarantine_handlers,
)
from lacewingspar_router.components.admin_api.services import (
    publish_handler,
    service_handlers,
)
from lacewingspar_router.components.admin_api.status import (
    state_handlers,
    status_handlers,
)
from lacewingspar_router.http_server import HttpServer


async def async_setup(application: Application) -> None:
    """Start the server of the administration API."""
    server = HttpServer(
        admin_app(application), application.settings.admin_address
    )

    async def async_unload() -> None:
        await server.async_stop(abort=True)

    application.on_unload("admin_api", async_unload)
    await server.async_start()


def admin_app(application: Application) -> Litestar:
    """Return the ASGI application of the administration API."""
    return Litestar(
        route_handlers=[
            *state_handlers(application),
            *status_handlers(application),
            *service_handlers(application),
            *quarantine_handlers(application),
            publish_handler(application),
        ],
        guards=[token_guard(application.settings.admin_token_sha256)],
        exception_handlers={
            AdminRequestError: refuse_admin_request,
            HTTPException: refuse_http_error,
            Exception: refuse_failure,
        },
        openapi_config=OpenAPIConfig(
            title=API_TITLE,
            version=API_VERSION,
            render_plugins=[JsonRenderPlugin()],
        ),
        request_max_body_size=MAX_BODY_BYTES,
        logging_config=None,
    )
