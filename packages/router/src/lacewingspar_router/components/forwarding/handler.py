"""Handling of callers' requests, from the headers to the response."""

import asyncio
from dataclasses import replace

import structlog

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.attempt_rules import (
    RULE_BY_RESULT,
    AttemptHistory,
    AttemptResult,
)
from lacewingspar_core.directory import UpstreamEntry, UpstreamState
from lacewingspar_core.event_stream import EventSequence
from lacewingspar_core.retry_budget import RetryBudget, RetryBudgetConfig
from lacewingspar_core.routing import choose_target
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import (
    ADMISSION,
    Grant,
    RequestRequirements,
)
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.attempt import (
    Attempt,
    AttemptEnd,
    CallerResponse,
)
from lacewingspar_router.components.forwarding.crash_guard import CrashGuard
from lacewingspar_router.components.forwarding.hand_over import HandOver
from lacewingspar_router.components.forwarding.load_shedding import LoadShedder
from lacewingspar_router.components.forwarding.models import (
    WIRE_FORMAT,
    Call,
    RequestMetadata,
)
from lacewingspar_router.components.forwarding.request_recorder import (
    CallProgress,
    RequestRecorder,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import (
    ROUTING,
    UPSTREAM_AVAILABILITY,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import HttpRequest, Response
from lacewingspar_router.http_headers import RawHeaders

_LOGGER = structlog.get_logger(__name__)


class CallHandler:
    """Handles the requests of callers.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        assert app.settings.platform is not None
        settings = app.settings.platform
        self._app = app
        self._routing = app.get(ROUTING)
        self._admission = app.get(ADMISSION)
        self._availability = app.get(UPSTREAM_AVAILABILITY)
        self._wire_format = app.get(WIRE_FORMAT)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._retry_budget_config = RetryBudgetConfig(
            settings.retry_ratio,
            settings.retry_window_seconds,
            settings.retry_allowance,
        )
        self._retry_budget_by_service: dict[str, RetryBudget] = {}
        self._pool_by_address: dict[str, ConnectionPool] = {}
        self._crash_guard = CrashGuard(app)
        self._recorder = RequestRecorder(app)
        self.accepts_requests = True
        self.load_shedder = LoadShedder(app, self._recorder)
        self.hand_over = HandOver(app, self.load_shedder.record_decline)

    async def async_handle(self, exchange: ServerExchange) -> None:
        """Handle one request."""
        request = exchange.request
        request_id = workspace = ""
        try:
            metadata = self._wire_format.parse_metadata(request)
            request_id = metadata.request_id
            call = self._accept(request, metadata)
            workspace = call.workspace
            self.load_shedder.begin(workspace)
        except RequestRefusedError as error:
            self._refuse(exchange, error, request_id, workspace, None)
            return
        try:
            if not await self._async_hand_over(exchange, call):
                await self._async_serve(exchange, call)
        finally:
            self.load_shedder.limit.release(call.workspace)

    async def _async_hand_over(
        self, exchange: ServerExchange, call: Call
    ) -> bool:
        """Hand a request over if needed; return whether it got a response."""
        neighbour = self.hand_over.choose(call)
        if neighbour is None:
            return False
        try:
            return await self.hand_over.async_run(exchange, call, neighbour)
        except RequestRefusedError as error:
            self._refuse(
                exchange, error, call.metadata.request_id, call.workspace, None
            )
            return True

    async def _async_serve(self, exchange: ServerExchange, call: Call) -> None:
        """Forward an accepted request to upstreams and record its end."""
        metadata = call.metadata
        events = EventSequence(last_id=metadata.last_event_id)
        progress = CallProgress(
            call,
            CallerResponse(exchange, events),
            AttemptHistory(call.route.may_run_again, call.route.attempt_limit),
        )
        outcome = "cancelled"
        try:
            outcome = await self._async_forward(progress)
        except RequestRefusedError as error:
            outcome = error.code
            if error.retry_after_seconds is not None:
                self.load_shedder.record_decline(
                    call, error.code, error.retry_after_seconds
                )
            self._refuse(
                exchange, error, metadata.request_id, call.workspace, progress
            )
        finally:
            self._recorder.record_end(progress, outcome)

    def close_stale_connections(self) -> None:
        """Close stale connections and those to upstreams that leave."""
        self.hand_over.close_stale_connections()
        entries = self._routing.directory.entry_by_id.values()
        addresses = {entry.address for entry in entries}
        addresses_in_use = {
            entry.address
            for entry in entries
            if entry.state is UpstreamState.READY
        }
        for address, pool in list(self._pool_by_address.items()):
            pool.close_expired()
            if address not in addresses_in_use:
                pool.close()
            if address not in addresses:
                del self._pool_by_address[address]

    def close(self) -> None:
        """Close all idle connections to upstreams and other routers."""
        self.hand_over.close()
        for pool in self._pool_by_address.values():
            pool.close()

    def _accept(self, request: HttpRequest, metadata: RequestMetadata) -> Call:
        """Check a request against the active configuration.

        Raises:
            RequestRefusedError: The request is not allowed.
        """
        configuration = self._routing.configuration
        if configuration is None or not self._routing.is_ready:
            raise refusals.not_ready()
        if not self.accepts_requests:
            raise refusals.stopping()
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
        return Call(
            request=request,
            metadata=metadata,
            route=route,
            service=choose_target(route, metadata.request_id),
            workspace=workspace,
            arrived_at=arrived_at,
            deadline_at=arrived_at + limit,
            configuration_version=configuration.version,
        )

    async def _async_forward(self, progress: CallProgress) -> str:
        """Forward a request until an upstream responds or the deadline passes.

        Returns:
            Outcome of the request.

        Raises:
            RequestRefusedError: No upstream responded.
        """
        call = progress.call
        self._retry_budget(call.service).record_request(self._app.now())
        remaining_seconds = call.deadline_at - self._app.now()
        try:
            async with asyncio.timeout(
                remaining_seconds + const.UPSTREAM_DEADLINE_GRACE_SECONDS
            ):
                return await self._async_try_upstreams(progress)
        except TimeoutError as error:
            if progress.caller_response.exchange.is_started:
                return "cut_at_deadline"
            raise refusals.deadline_passed(
                may_have_run=progress.history.may_have_run
            ) from error

    async def _async_try_upstreams(self, progress: CallProgress) -> str:
        call, history = progress.call, progress.history
        requirements = self._requirements(call)
        request_fingerprint = self._crash_guard.fingerprint_of(call)
        while True:
            self._crash_guard.check(call, request_fingerprint)
            grant = await self._admission.async_acquire(
                requirements, history.tried
            )
            end = await self._async_attempt(
                progress, grant, request_fingerprint
            )
            if end.result is AttemptResult.RESPONDED:
                if end.response is not None:
                    self._send_response(
                        progress.caller_response.exchange, end.response
                    )
                return "answered"
            if self._may_try_again(progress, end):
                progress.caller_response.events.drop_partial_event()
                if progress.caller_response.exchange.is_started:
                    requirements = self._resumed_requirements(
                        requirements, call
                    )
                continue
            if progress.caller_response.exchange.is_started:
                return "broken_off"
            if end.response is not None:
                self._send_response(
                    progress.caller_response.exchange, end.response
                )
                return "upstream_failure"
            raise refusals.attempts_failed(
                end.result, may_have_run=history.may_have_run
            )

    async def _async_attempt(
        self, progress: CallProgress, grant: Grant, request_fingerprint: str
    ) -> AttemptEnd:
        """Run one attempt and report its end to admission.

        Args:
            progress: The request and its state.
            grant: Grant for the upstream to use.
            request_fingerprint: Fingerprint of the request.
        """
        history = progress.history
        entries = self._routing.directory.entry_by_id
        upstream = entries.get(grant.upstream_id)
        progress.upstream_id = grant.upstream_id
        outcome = RunOutcome.CANCELLED
        is_unreachable = False
        # If the attempt is cancelled, the request may have run.
        previously_may_have_run, history.may_have_run = (
            history.may_have_run,
            True,
        )
        try:
            if upstream is None:
                end = AttemptEnd(
                    AttemptResult.UNREACHABLE,
                    "upstream was removed from the directory",
                )
            else:
                end = await self._async_send(
                    progress, grant, upstream, request_fingerprint
                )
            history.may_have_run = previously_may_have_run
            history.record(end.result, grant.upstream_id)
            outcome = RULE_BY_RESULT[end.result].outcome
            is_unreachable = end.result is AttemptResult.UNREACHABLE
        finally:
            self._admission.end(grant, outcome, is_unreachable=is_unreachable)
        if end.result is not AttemptResult.RESPONDED:
            self._recorder.record_failed_attempt(progress, end)
        return end

    async def _async_send(
        self,
        progress: CallProgress,
        grant: Grant,
        upstream: UpstreamEntry,
        request_fingerprint: str,
    ) -> AttemptEnd:
        """Send a request to an upstream and relay the response."""
        call = progress.call
        attempt = Attempt(
            call,
            upstream,
            self._connection_pool(upstream.address),
            self._wire_format,
            progress.caller_response,
            self._app.now,
            lambda: self._admission.record_first_chunk(grant),
            lambda notice: self._availability.record(upstream, notice),
            lambda: self._admission.may_send(grant),
            can_switch_upstream=self._can_switch_upstream(progress.history),
        )
        entries = self._routing.directory.entry_by_id
        source = entries.get(grant.fetch_from)
        run = self._crash_guard.begin(
            call, request_fingerprint, upstream.upstream_id
        )
        is_broken = False
        try:
            end = await attempt.async_run(
                "" if source is None else source.address
            )
            is_broken = end.result is AttemptResult.BROKEN
        finally:
            self._crash_guard.end(run, upstream, is_broken=is_broken)
        if end.result is AttemptResult.RESPONDED:
            self._crash_guard.record_success(run)
        return end

    def _can_switch_upstream(self, history: AttemptHistory) -> bool:
        return history.may_run_again and history.sent + 1 < history.max_sent

    def _may_try_again(self, progress: CallProgress, end: AttemptEnd) -> bool:
        call, history = progress.call, progress.history
        now = self._app.now()
        if not history.may_try_again(end.result):
            return False
        if call.deadline_at - now < const.MIN_RETRY_TIME_LEFT_SECONDS:
            return False
        if not history.sent or end.result is AttemptResult.WITHHELD:
            return True
        routers = len(self._peers.alive_by_router_id)
        if self._retry_budget(call.service).try_spend(routers, now):
            return True
        self._telemetry.count("retries_denied_total", service=call.service)
        _LOGGER.info(
            "retry denied: fleet-wide retry budget exhausted",
            request_id=call.metadata.request_id,
            service=call.service,
            routers=routers,
        )
        return False

    def _requirements(self, call: Call) -> RequestRequirements:
        metadata = call.metadata
        return RequestRequirements(
            request_id=metadata.request_id,
            service=call.service,
            workspace=call.workspace,
            shared_parts=metadata.shared_parts,
            own_tokens=metadata.own_tokens,
            output_tokens=metadata.output_tokens,
            priority=call.route.priority,
            arrived_at=call.arrived_at,
            latency_target_at=call.arrived_at
            + call.route.latency_target_seconds,
            deadline_at=call.deadline_at,
            first_chunk_timeout_seconds=call.route.first_chunk_timeout_seconds,
            identity=call.identity,
        )

    def _resumed_requirements(
        self, requirements: RequestRequirements, call: Call
    ) -> RequestRequirements:
        """Return the requirements of a stream that continues elsewhere.

        The latency target counts from now, as the caller waits for the next
        event. With the original times the pool would treat the request as late
        and decline it first.
        """
        now = self._app.now()
        return replace(
            requirements,
            arrived_at=now,
            latency_target_at=now + call.route.latency_target_seconds,
        )

    def _send_response(
        self, exchange: ServerExchange, response: Response
    ) -> None:
        headers: RawHeaders = self._wire_format.response_headers(
            response.headers
        )
        exchange.send_response(response.status, headers, response.body)

    def _refuse(
        self,
        exchange: ServerExchange,
        error: RequestRefusedError,
        request_id: str,
        workspace: str,
        progress: CallProgress | None,
    ) -> None:
        """Send the refusal of a request, unless its response has started."""
        self._recorder.record_refusal(error, request_id, workspace, progress)
        if not exchange.is_started:
            response = self._wire_format.refusal_response(error, request_id)
            exchange.send_response(
                response.status, response.headers, response.body
            )

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._retry_budget_config)
            self._retry_budget_by_service[service] = budget
        return budget

    def _connection_pool(self, address: str) -> ConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = self._pool_by_address[address] = ConnectionPool(address)
        return pool
