"""Status of the router in the administration API."""

from typing import Any

import msgspec
from litestar import Response, get, post
from litestar.handlers import HTTPRouteHandler
from litestar.params import FromPath

from lacewingspar_router.application import Application, LifeCycle
from lacewingspar_router.components.admin_api.errors import AdminRequestError
from lacewingspar_router.components.admin_api.models import StateAnswer
from lacewingspar_router.components.caller_api.models import CALLER_API
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.scheduler.models import SCHEDULER
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.upstreams.models import UPSTREAMS
from lacewingspar_router.shutdown import SHUTDOWN


def state_handlers(application: Application) -> list[HTTPRouteHandler]:
    """Return the handlers that need no token."""

    @get("/live")
    async def live() -> StateAnswer:
        """Return 200 while the process runs."""
        return _state(application)

    @get("/ready")
    async def ready() -> Response[StateAnswer]:
        """Return 200 if the router accepts requests of callers, else 503."""
        state = _state(application)
        return Response(state, status_code=200 if state.ready else 503)

    @get("/metrics")
    async def metrics() -> Response[bytes]:
        """Return the metrics page."""
        telemetry = application.get(TELEMETRY)
        telemetry.gauge(
            "requests_in_flight", application.get(CALLER_API).in_flight_count
        )
        content_type, body = telemetry.render()
        return Response(body, media_type=content_type)

    return [live, ready, metrics]


def status_handlers(application: Application) -> list[HTTPRouteHandler]:
    """Return the handlers for operators."""

    @get("/v1/status")
    async def status() -> dict[str, Any]:
        """Return what this router knows about the fleet."""
        return _status(application)

    @get("/v1/accounts")
    async def accounts() -> dict[str, Any]:
        """Return the amount of service that each workspace received."""
        snapshot = _snapshot(application, "accounts_snapshot")
        return {"accounts": snapshot}

    @get("/v1/requests/{request_id:str}")
    async def request_path(request_id: FromPath[str]) -> dict[str, Any]:
        """Return the path of a recent request through this router."""
        path = application.get(CALLER_API).request_path(request_id)
        if path is None:
            raise AdminRequestError(
                404,
                "unknown_request",
                "this router has not handled the request recently",
            )
        return path

    @post("/v1/drain", status_code=202)
    async def drain() -> StateAnswer:
        """Start a graceful shutdown."""
        application.get(SHUTDOWN).request_drain()
        return _state(application)

    return [status, accounts, request_path, drain]


def _state(application: Application) -> StateAnswer:
    is_serving = application.life_cycle is LifeCycle.SERVING
    # The life-cycle changes only shortly after a drain was requested.
    is_stopping = application.get(SHUTDOWN).graceful.is_set()
    is_configured = application.get(CONFIGURATION).is_ready
    return StateAnswer(
        life_cycle=application.life_cycle.value,
        ready=is_serving and is_configured and not is_stopping,
        in_flight=application.get(CALLER_API).in_flight_count,
    )


def _status(application: Application) -> dict[str, Any]:
    configuration = application.get(CONFIGURATION)
    upstreams = application.get(UPSTREAMS).status_by_upstream
    alive = application.get(PEERS).alive_by_router_id
    return {
        "router_id": application.instance.router_id,
        "incarnation": application.instance.incarnation,
        "data_centre": application.settings.data_centre,
        "state": msgspec.to_builtins(_state(application)),
        "routers": [
            _member(router_id, alive[router_id]) for router_id in sorted(alive)
        ],
        "upstreams": [
            {
                "service": service,
                "upstream": upstream,
                "state": str(upstreams[(service, upstream)].state),
                "slots": upstreams[(service, upstream)].slots,
            }
            for service, upstream in sorted(upstreams)
        ],
        "versions": dict(configuration.version_by_service),
        "applied_offset": configuration.applied_offset,
        "scheduler": _snapshot(application, "status_snapshot"),
    }


def _member(router_id: str, record: Any) -> dict[str, Any]:
    fields = {name: getattr(record, name) for name in record.__struct_fields__}
    return {"router_id": router_id, **msgspec.to_builtins(fields)}


def _snapshot(application: Application, method: str) -> Any:
    """Return a snapshot of the scheduler, or {} if it provides none."""
    snapshot = getattr(application.get(SCHEDULER), method, None)
    return {} if snapshot is None else snapshot()
