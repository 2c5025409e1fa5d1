"""Path of a caller's request from its head to its final answer."""

import asyncio
from dataclasses import replace

import structlog

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.attempt_rules import (
    RULE_BY_RESULT,
    AttemptHistory,
    AttemptResult,
)
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.event_stream import EventSequence
from lacewingspar_core.retry_allowance import RetryAllowance, RetryBound
from lacewingspar_core.routing import choose_target
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import (
    ADMISSION,
    Demand,
    Grant,
)
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.attempt import (
    Attempt,
    AttemptEnd,
    Relay,
)
from lacewingspar_router.components.forwarding.crash_guard import CrashGuard
from lacewingspar_router.components.forwarding.entry import Entry
from lacewingspar_router.components.forwarding.hand_over import HandOver
from lacewingspar_router.components.forwarding.models import (
    WIRE_FORMAT,
    Call,
    CallerFields,
)
from lacewingspar_router.components.forwarding.records import (
    CallProgress,
    CallRecords,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import HttpRequest, Response
from lacewingspar_router.http_headers import RawHeaders

_LOGGER = structlog.get_logger(__name__)


class CallHandler:
    """Answers the requests of callers.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        assert app.settings.platform is not None
        settings = app.settings.platform
        self._app = app
        self._routing = app.get(ROUTING)
        self._admission = app.get(ADMISSION)
        self._wire = app.get(WIRE_FORMAT)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._bound = RetryBound(
            settings.retry_ratio,
            settings.retry_window_seconds,
            settings.retry_allowance,
        )
        self._allowance_by_service: dict[str, RetryAllowance] = {}
        self._pool_by_address: dict[str, ConnectionPool] = {}
        self._guard = CrashGuard(app)
        self._records = CallRecords(app)
        self.accepts_requests = True
        self.entry = Entry(app, self._records)
        self.hand_over = HandOver(app, self.entry.note_decline)

    async def async_handle(self, exchange: ServerExchange) -> None:
        """Answer one request."""
        request = exchange.request
        request_id = workspace = ""
        try:
            fields = self._wire.read_fields(request)
            request_id = fields.request_id
            call = self._accept(request, fields)
            workspace = call.workspace
            self.entry.begin(workspace)
        except RequestRefusedError as error:
            self._refuse(exchange, error, request_id, workspace, None)
            return
        try:
            if not await self._async_hand_over(exchange, call):
                await self._async_serve(exchange, call)
        finally:
            self.entry.limit.end(call.workspace)

    async def _async_hand_over(
        self, exchange: ServerExchange, call: Call
    ) -> bool:
        """Return whether another router has answered a request."""
        neighbour = self.hand_over.choose(call)
        if neighbour is None:
            return False
        try:
            return await self.hand_over.async_run(exchange, call, neighbour)
        except RequestRefusedError as error:
            self._refuse(
                exchange, error, call.fields.request_id, call.workspace, None
            )
            return True

    async def _async_serve(self, exchange: ServerExchange, call: Call) -> None:
        """Answer a request that is allowed."""
        fields = call.fields
        events = EventSequence(last_id=fields.last_event_id)
        progress = CallProgress(
            call,
            Relay(exchange, events),
            AttemptHistory(call.route.may_run_again, call.route.attempt_limit),
        )
        outcome = "cancelled"
        try:
            outcome = await self._async_run(progress)
        except RequestRefusedError as error:
            outcome = error.code
            if error.retry_after_seconds is not None:
                self.entry.note_decline(
                    call, error.code, error.retry_after_seconds
                )
            self._refuse(
                exchange, error, fields.request_id, call.workspace, progress
            )
        finally:
            self._records.note_end(progress, outcome)

    def drop_stale_connections(self) -> None:
        """Close connections that are not used any more."""
        self.hand_over.drop_stale_connections()
        addresses = {
            entry.address
            for entry in self._routing.directory.entry_by_id.values()
        }
        for address, pool in list(self._pool_by_address.items()):
            pool.drop_stale()
            if address not in addresses:
                pool.close()
                del self._pool_by_address[address]

    def close(self) -> None:
        """Close all idle connections to upstreams and other routers."""
        self.hand_over.close()
        for pool in self._pool_by_address.values():
            pool.close()

    def _accept(self, request: HttpRequest, fields: CallerFields) -> Call:
        """Check a request against the configuration in force.

        Raises:
            RequestRefusedError: It is not allowed.
        """
        configuration = self._routing.configuration
        if configuration is None or not self._routing.is_ready:
            raise refusals.not_ready()
        if not self.accepts_requests:
            raise refusals.stopping()
        if not request.target.startswith("/"):
            raise refusals.bad_target()
        route = self._routing.table.match(fields.host, request.path)
        if route is None:
            raise refusals.unknown_route()
        workspace = configuration.workspace_by_key.get(fields.key, "")
        if not workspace and not route.is_public:
            raise refusals.unknown_key()
        arrived_at = request.received_at
        if fields.handed_over_after_seconds is not None:
            arrived_at -= fields.handed_over_after_seconds
        limit = route.timeout_seconds
        if fields.time_left_seconds is not None:
            limit = min(limit, fields.time_left_seconds)
        return Call(
            request=request,
            fields=fields,
            route=route,
            service=choose_target(route, fields.request_id),
            workspace=workspace,
            arrived_at=arrived_at,
            deadline_at=arrived_at + limit,
            configuration_version=configuration.version,
        )

    async def _async_run(self, progress: CallProgress) -> str:
        """Try upstreams until one has answered.

        Returns:
            How the request ended.

        Raises:
            RequestRefusedError: No upstream has answered.
        """
        call = progress.call
        self._allowance(call.service).note_request(self._app.now())
        left = call.deadline_at - self._app.now()
        try:
            async with asyncio.timeout(left + const.DEADLINE_GRACE_SECONDS):
                return await self._async_attempts(progress)
        except TimeoutError as error:
            if progress.relay.exchange.is_started:
                return "cut_at_deadline"
            raise refusals.deadline_passed(
                may_have_run=progress.history.may_have_run
            ) from error

    async def _async_attempts(self, progress: CallProgress) -> str:
        call, history = progress.call, progress.history
        demand = self._demand(call)
        mark = self._guard.mark_of(call)
        while True:
            self._guard.check(call, mark)
            grant = await self._admission.async_acquire(demand, history.tried)
            end = await self._async_attempt(progress, grant, mark)
            if end.result is AttemptResult.ANSWERED:
                if end.response is not None:
                    self._pass_on(progress.relay.exchange, end.response)
                return "answered"
            if self._may_try_again(progress, end):
                progress.relay.events.drop_partial_event()
                if progress.relay.exchange.is_started:
                    demand = self._continued(demand, call)
                continue
            if progress.relay.exchange.is_started:
                return "broken_off"
            if end.response is not None:
                self._pass_on(progress.relay.exchange, end.response)
                return "upstream_failure"
            raise refusals.attempts_failed(
                end.result, may_have_run=history.may_have_run
            )

    async def _async_attempt(
        self, progress: CallProgress, grant: Grant, mark: str
    ) -> AttemptEnd:
        """Run one attempt and report how it ended.

        Args:
            progress: The request.
            grant: Upstream to use.
            mark: Fingerprint of the request.
        """
        history = progress.history
        entries = self._routing.directory.entry_by_id
        upstream = entries.get(grant.upstream_id)
        progress.upstream_id = grant.upstream_id
        outcome = RunOutcome.CANCELLED
        is_unreachable = False
        # Until it is known better, a request that was cut off may have run.
        ran_before, history.may_have_run = history.may_have_run, True
        try:
            if upstream is None:
                end = AttemptEnd(AttemptResult.UNREACHABLE, "upstream is gone")
            else:
                end = await self._async_send(progress, grant, upstream, mark)
            history.may_have_run = ran_before
            history.note(end.result, grant.upstream_id)
            outcome = RULE_BY_RESULT[end.result].outcome
            is_unreachable = end.result is AttemptResult.UNREACHABLE
        finally:
            self._admission.end(grant, outcome, is_unreachable=is_unreachable)
        if end.result is not AttemptResult.ANSWERED:
            self._records.note_failed_attempt(progress, end)
        return end

    async def _async_send(
        self,
        progress: CallProgress,
        grant: Grant,
        upstream: UpstreamEntry,
        mark: str,
    ) -> AttemptEnd:
        """Send a request and pass its answer on."""
        call = progress.call
        attempt = Attempt(
            call,
            upstream,
            self._pool(upstream.address),
            self._wire,
            progress.relay,
            self._app.now,
            lambda: self._admission.note_first_part(grant),
            may_give_up=self._may_give_up(progress.history),
        )
        entries = self._routing.directory.entry_by_id
        source = entries.get(grant.fetch_from)
        run = self._guard.begin(call, mark, upstream.upstream_id)
        is_broken = False
        try:
            end = await attempt.async_run(
                "" if source is None else source.address
            )
            is_broken = end.result is AttemptResult.BROKEN
        finally:
            self._guard.end(run, upstream, is_broken=is_broken)
        if end.result is AttemptResult.ANSWERED:
            self._guard.note_success(run)
        return end

    def _may_give_up(self, history: AttemptHistory) -> bool:
        return history.may_run_again and history.sent + 1 < history.sent_limit

    def _may_try_again(self, progress: CallProgress, end: AttemptEnd) -> bool:
        call, history = progress.call, progress.history
        now = self._app.now()
        if not history.may_try_again(end.result):
            return False
        if call.deadline_at - now < const.LEAST_RETRY_SECONDS:
            return False
        if not history.sent:
            return True
        routers = len(self._peers.alive_by_router_id)
        if self._allowance(call.service).take(routers, now):
            return True
        self._telemetry.count("retries_denied_total", service=call.service)
        _LOGGER.info(
            "retry denied by the fleet's bound",
            request_id=call.fields.request_id,
            service=call.service,
            routers=routers,
        )
        return False

    def _demand(self, call: Call) -> Demand:
        fields = call.fields
        return Demand(
            request_id=fields.request_id,
            service=call.service,
            workspace=call.workspace,
            shared_parts=fields.shared_parts,
            own_tokens=fields.own_tokens,
            output_tokens=fields.output_tokens,
            priority=call.route.priority,
            arrived_at=call.arrived_at,
            aim_at=call.arrived_at + call.route.aim_seconds,
            deadline_at=call.deadline_at,
            patience_seconds=call.route.patience_seconds,
            identity=call.identity,
        )

    def _continued(self, demand: Demand, call: Call) -> Demand:
        """Return what a stream needs that goes on at another upstream.

        Its caller waits for the next event from now on. With the times of the
        first one it would be late for the pool, and refused first.
        """
        now = self._app.now()
        return replace(
            demand, arrived_at=now, aim_at=now + call.route.aim_seconds
        )

    def _pass_on(self, exchange: ServerExchange, response: Response) -> None:
        headers: RawHeaders = self._wire.answer_headers(response.headers)
        exchange.answer(response.status, headers, response.body)

    def _refuse(
        self,
        exchange: ServerExchange,
        error: RequestRefusedError,
        request_id: str,
        workspace: str,
        progress: CallProgress | None,
    ) -> None:
        """Send the final answer to a request that was not served."""
        self._records.note_refusal(error, request_id, workspace, progress)
        if not exchange.is_started:
            response = self._wire.refusal(error, request_id)
            exchange.answer(response.status, response.headers, response.body)

    def _allowance(self, service: str) -> RetryAllowance:
        allowance = self._allowance_by_service.get(service)
        if allowance is None:
            allowance = RetryAllowance(self._bound)
            self._allowance_by_service[service] = allowance
        return allowance

    def _pool(self, address: str) -> ConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = self._pool_by_address[address] = ConnectionPool(address)
        return pool
