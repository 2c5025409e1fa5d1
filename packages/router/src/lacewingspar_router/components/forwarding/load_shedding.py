"""Refusal of requests that this router or their pool has no room for."""

from lacewingspar_core.decline_cache import DeclineCache
from lacewingspar_core.router_concurrency_limit import RouterConcurrencyLimit
from lacewingspar_core.workspace_tally import WorkspaceTally
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.models import (
    WIRE_FORMAT,
    Call,
    CallerIdentity,
)
from lacewingspar_router.components.forwarding.request_recorder import (
    RequestRecorder,
)
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.messages import HttpRequest, Response


class LoadShedder:
    """Limits the requests in flight and repeats recent declines of pools.

    Attributes:
        limit: Limit of the requests in flight.
        offered: Requests that arrived since the last "router load" log line.
        refused: Requests refused because of the limit since that line.

    Args:
        app: The application.
        recorder: Logs and counts refusals.
    """

    def __init__(self, app: Application, recorder: RequestRecorder) -> None:
        assert app.settings.platform is not None
        self.limit = RouterConcurrencyLimit(app.settings.platform.capacity)
        self.offered = WorkspaceTally()
        self.refused = WorkspaceTally()
        self._app = app
        self._recorder = recorder
        self._routing = app.get(ROUTING)
        self._wire_format = app.get(WIRE_FORMAT)
        self._telemetry = app.get(TELEMETRY)
        self._decline_cache = DeclineCache(app.random.uniform)

    def refuse_early(self, request: HttpRequest) -> Response | None:
        """Return the refusal of a request that this router cannot serve.

        An overloaded router gets many such requests, so they are refused
        before all of their headers are parsed.

        Returns:
            The refusal, or None if the request is to be handled normally.
        """
        configuration = self._routing.configuration
        may_refuse = self.limit.is_full or not self._decline_cache.is_empty(
            self._app.now()
        )
        if not may_refuse or configuration is None:
            return None
        try:
            identity = self._wire_format.parse_identity(request)
        except RequestRefusedError:
            # The normal handling refuses it and logs the reason.
            return None
        workspace = configuration.workspace_by_key.get(identity.key)
        if workspace is None:
            return None
        error = self._known_refusal(request, identity, workspace)
        if error is None:
            return None
        self.offered.add(workspace)
        self._recorder.record_refusal(
            error, identity.request_id, workspace, None
        )
        return self._wire_format.refusal_response(error, identity.request_id)

    def refuse_body(self) -> Response:
        """Return the refusal of a request whose body finds no room."""
        self._telemetry.count("bodies_refused_total")
        jitter = self._app.random.uniform(1.0, 2.0)
        error = refusals.no_body_memory(
            const.OVERLOADED_RETRY_AFTER_SECONDS * jitter
        )
        return self._wire_format.refusal_response(error, "")

    def record_evictions(self, count: int) -> None:
        """Count callers that were evicted to free memory."""
        self._telemetry.count("callers_evicted_total", count)

    def begin(self, workspace: str) -> None:
        """Count a request as in flight until its end is reported to `limit`.

        Raises:
            RequestRefusedError: The limit is reached.
        """
        self.offered.add(workspace)
        if not self.limit.try_acquire(workspace):
            raise self._overloaded(workspace)

    def record_decline(
        self, call: Call, code: str, retry_after_seconds: float
    ) -> None:
        """Record that a request was declined, if the reason is overload.

        Args:
            call: The request.
            code: Code of the refusal.
            retry_after_seconds: Time after which the caller may retry.
        """
        if code == refusals.OVERLOADED:
            self._decline_cache.record(
                call.workspace,
                call.route.name,
                retry_after_seconds,
                self._app.now(),
            )

    def _known_refusal(
        self, request: HttpRequest, identity: CallerIdentity, workspace: str
    ) -> RequestRefusedError | None:
        """Return the expected refusal of a request without asking its pool."""
        if not self.limit.has_room(workspace):
            return self._overloaded(workspace)
        seconds = self._retry_after(request, identity, workspace)
        if seconds is None:
            return None
        self._telemetry.count("recently_declined_total")
        return refusals.recently_declined(seconds)

    def _retry_after(
        self, request: HttpRequest, identity: CallerIdentity, workspace: str
    ) -> float | None:
        """Return the retry time if the pool just declined a similar request."""
        route = self._routing.table.match(identity.host, request.path)
        if route is None:
            return None
        remaining_seconds = route.timeout_seconds
        if identity.time_budget_seconds is not None:
            remaining_seconds = min(
                remaining_seconds, identity.time_budget_seconds
            )
        return self._decline_cache.retry_after(
            workspace, route.name, remaining_seconds, self._app.now()
        )

    def _overloaded(self, workspace: str) -> RequestRefusedError:
        self._telemetry.count("entry_refusals_total")
        self.refused.add(workspace)
        jitter = self._app.random.uniform(1.0, 2.0)
        return refusals.router_overloaded(
            const.OVERLOADED_RETRY_AFTER_SECONDS * jitter
        )
