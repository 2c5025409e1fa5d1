"""Acceptance of callers' requests."""

import structlog

from lacewingspar_core.routing import choose_target
from lacewingspar_core.run_time_estimates import RunTimeEstimates
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import refusals
from lacewingspar_router.components.forwarding.models import (
    Call,
    RequestMetadata,
)
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.messages import HttpRequest
from lacewingspar_router.shutdown import drain_limit_seconds

_LOGGER = structlog.get_logger(__name__)


class RequestAcceptor:
    """Decides whether this router accepts a request.

    Attributes:
        accepts_requests: Whether any request is accepted.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self.accepts_requests = True
        self._app = app
        self._routing = app.get(ROUTING)
        self._telemetry = app.get(TELEMETRY)
        self._drain_limit_seconds = drain_limit_seconds(app.settings)
        self._run_time_estimates = RunTimeEstimates()

    def accept(self, request: HttpRequest, metadata: RequestMetadata) -> Call:
        """Check a request against the active configuration.

        Raises:
            RequestRefusedError: The request is not allowed, or this router is
                shutting down.
        """
        configuration = self._routing.configuration
        if configuration is None or not self._routing.is_ready:
            raise refusals.not_ready()
        if not self.accepts_requests:
            raise refusals.stopping()
        if (metadata.min_configuration_version or 0) > configuration.version:
            raise refusals.outdated()
        if not request.target.startswith("/"):
            raise refusals.bad_target()
        route = self._routing.table.match(metadata.host, request.path)
        if route is None:
            raise refusals.unknown_route()
        workspace = configuration.workspace_by_key.get(metadata.key, "")
        if not workspace and not route.is_public:
            raise refusals.unknown_key()
        arrived_at = request.received_at
        if metadata.handed_over_after_seconds is not None:
            arrived_at -= metadata.handed_over_after_seconds
        limit = route.timeout_seconds
        if metadata.time_budget_seconds is not None:
            limit = min(limit, metadata.time_budget_seconds)
        call = Call(
            request=request,
            metadata=metadata,
            route=route,
            service=choose_target(route, metadata.request_id),
            workspace=workspace,
            arrived_at=arrived_at,
            deadline_at=arrived_at + limit,
            configuration_version=configuration.version,
        )
        self._check_drain_limit(call)
        return call

    def record_run_time(self, call: Call) -> None:
        """Record the run time of a request that has just been answered."""
        self._run_time_estimates.record(
            call.route.name, self._app.now() - call.arrived_at
        )

    def _check_drain_limit(self, call: Call) -> None:
        """Refuse a request that would probably be cut at the drain limit.

        Other routers can serve it from its start. A request whose deadline
        comes first is answered in any case.
        """
        if self._app.drain_started_at is None:
            return
        limit_at = self._app.drain_started_at + self._drain_limit_seconds
        if call.deadline_at <= limit_at:
            return
        estimate = self._run_time_estimates.upper_estimate(call.route.name)
        seconds_left = limit_at - self._app.now()
        if estimate is None or estimate <= seconds_left:
            return
        self._telemetry.count(
            "requests_too_long_for_drain_total", service=call.service
        )
        _LOGGER.info(
            "request takes longer than the drain",
            request_id=call.metadata.request_id,
            route=call.route.name,
            estimate_ms=round(estimate * 1000),
            left_ms=round(seconds_left * 1000),
        )
        raise refusals.stopping()
