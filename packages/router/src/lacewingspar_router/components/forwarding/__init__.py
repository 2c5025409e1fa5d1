"""Forwarding of callers' requests to upstreams."""

import asyncio

import structlog

from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.connection_ends import (
    ConnectionEndRecorder,
)
from lacewingspar_router.components.forwarding.handler import CallHandler
from lacewingspar_router.components.forwarding.load_monitor import LoadMonitor
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT
from lacewingspar_router.components.forwarding.readiness import (
    MonitoringHandler,
)
from lacewingspar_router.components.routing.models import (
    ROUTING,
    RoutingView,
)
from lacewingspar_router.http1.exchange import ConnectionLimits
from lacewingspar_router.http1.server import (
    MAX_WRITE_LIMIT_BYTES,
    MIN_WRITE_LIMIT_BYTES,
    Http1Server,
)
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)


async def async_setup(app: Application) -> None:
    """Start the servers for callers, readiness checks and metrics."""
    settings = app.settings
    assert settings.platform is not None
    routing = app.get(ROUTING)
    wire_format = app.get(WIRE_FORMAT)
    handler = CallHandler(app)
    callers = Http1Server(
        handler.async_handle,
        app.now,
        handler.load_shedder.refuse_early,
        ConnectionEndRecorder(app),
    )
    callers.max_connections = round(
        const.CALLER_DESCRIPTOR_FRACTION * settings.platform.descriptor_limit
    )
    budget_bytes = settings.platform.memory_budget_bytes
    callers.body_memory.max_bytes = budget_bytes
    callers.body_memory.record_evictions = handler.load_shedder.record_evictions
    # A handler that waits for its caller holds this much beside the budget.
    callers.write_limit_bytes = min(
        MAX_WRITE_LIMIT_BYTES,
        max(MIN_WRITE_LIMIT_BYTES, budget_bytes // callers.max_connections),
    )
    callers.refuse_body = handler.load_shedder.refuse_body
    monitoring_handler = MonitoringHandler(app)
    readiness = Http1Server(monitoring_handler.async_handle, app.now)
    metrics = Http1Server(monitoring_handler.async_handle, app.now)
    servers = (callers, readiness, metrics)

    def apply_limits() -> None:
        configuration = routing.configuration
        if configuration is None:
            return
        limits = configuration.limits
        callers.limits = ConnectionLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_seconds,
            limits.idle_timeout_seconds,
        )

    async def async_unload() -> None:
        await async_end_requests()
        for server in servers:
            server.close()
        handler.close()

    async def async_end_requests() -> int:
        """End all requests with a response, and return their number."""
        handler.acceptor.accepts_requests = False
        count = handler.in_flight.cut()
        await callers.async_close(
            wire_format.refusal_response(refusals.stopping(), "")
        )
        return count

    routing.add_listener(apply_limits)
    app.on_drain("forwarding", lambda: _async_drain(app, callers, handler))
    app.on_unload("forwarding", async_unload)
    app.on_abort(async_end_requests)
    app.create_task(_async_close_stale(app, handler), "drop stale connections")
    monitor = LoadMonitor(app, callers, handler.load_shedder, handler.hand_over)
    app.create_task(monitor.async_run(), "measure load")
    await callers.async_start(settings.caller_address)
    await readiness.async_start(settings.admin_address)
    await metrics.async_start(settings.platform.metrics_address)
    # Until then the server refuses callers as "not_ready".
    await _async_wait_ready(routing)


async def _async_wait_ready(routing: RoutingView) -> None:
    """Wait until the configuration and the upstreams are known."""
    ready = asyncio.Event()

    def check() -> None:
        if routing.is_ready:
            ready.set()

    routing.add_listener(check)
    check()
    await ready.wait()


async def _async_drain(
    app: Application, callers: Http1Server, handler: CallHandler
) -> None:
    """Accept requests for a grace period, then finish those in flight.

    Requests that arrive after the grace period are refused, so that each one
    gets a response.
    """
    assert app.settings.platform is not None
    grace = app.settings.platform.stop_grace_seconds
    callers.is_closing_connections = True
    await asyncio.sleep(const.DRAIN_ACCEPT_FRACTION * grace)
    handler.acceptor.accepts_requests = False
    callers.close_idle()
    _LOGGER.info(
        "waiting for requests in flight", count=callers.busy_connection_count
    )
    while callers.busy_connection_count:  # noqa: ASYNC110
        await asyncio.sleep(0.05)


async def _async_close_stale(app: Application, handler: CallHandler) -> None:
    guard = LoopGuard(app, "stale connections")
    while True:
        await asyncio.sleep(const.STALE_CONNECTION_CHECK_INTERVAL_SECONDS)
        with guard:
            handler.close_stale_connections()
