"""Handling of callers' requests, from the headers to the response."""

import asyncio

import structlog

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.attempt_rules import (
    RULE_BY_RESULT,
    AttemptHistory,
    AttemptResult,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import (
    ADMISSION,
    Grant,
)
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.acceptance import (
    RequestAcceptor,
)
from lacewingspar_router.components.forwarding.attempt import (
    AttemptEnd,
    CallerResponse,
)
from lacewingspar_router.components.forwarding.continuations import (
    Continuations,
)
from lacewingspar_router.components.forwarding.crash_guard import (
    CrashGuard,
    GuardedRequest,
)
from lacewingspar_router.components.forwarding.hand_over import HandOver
from lacewingspar_router.components.forwarding.load_shedding import LoadShedder
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT
from lacewingspar_router.components.forwarding.request_recorder import (
    REASON_ATTEMPTS,
    REASON_BUDGET,
    REASON_NO_RESUME_POINT,
    REASON_TIME,
    CallProgress,
    RequestRecorder,
)
from lacewingspar_router.components.forwarding.retry_budgets import RetryBudgets
from lacewingspar_router.components.forwarding.sending import UpstreamSender
from lacewingspar_router.components.forwarding.stopping import (
    InFlightRequest,
    RequestsInFlight,
)
from lacewingspar_router.components.forwarding.upstream_switch import (
    UpstreamSwitch,
)
from lacewingspar_router.components.routing.models import (
    ROUTING,
)
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import Response
from lacewingspar_router.http_headers import RawHeaders

_LOGGER = structlog.get_logger(__name__)


class CallHandler:
    """Handles the requests of callers.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._routing = app.get(ROUTING)
        self._admission = app.get(ADMISSION)
        self._wire_format = app.get(WIRE_FORMAT)
        self._retry_budgets = RetryBudgets(app)
        self._crash_guard = CrashGuard(app)
        self._sender = UpstreamSender(app, self._crash_guard)
        self._continuations = Continuations(app)
        self._recorder = RequestRecorder(app)
        self.acceptor = RequestAcceptor(app)
        self.in_flight = RequestsInFlight(app)
        self.load_shedder = LoadShedder(app, self._recorder)
        self.hand_over = HandOver(app, self.load_shedder.record_decline)

    async def async_handle(self, exchange: ServerExchange) -> None:
        """Handle one request; an unexpected error ends only this one."""
        request_id = self._wire_format.parse_request_id(exchange.request)
        try:
            await self._async_handle(exchange, request_id)
        except Exception:
            _LOGGER.exception(
                "request failed unexpectedly",
                request_id=request_id,
                method=exchange.request.method,
                path=exchange.request.path,
                is_started=exchange.is_started,
            )
            self._refuse(
                exchange, refusals.internal_error(), request_id, "", None
            )

    async def _async_handle(
        self, exchange: ServerExchange, request_id: str
    ) -> None:
        request = exchange.request
        workspace = ""
        try:
            metadata = self._wire_format.parse_metadata(request)
            call = self.acceptor.accept(request, metadata)
            workspace = call.workspace
            self.load_shedder.begin(workspace)
        except RequestRefusedError as error:
            self._refuse(exchange, error, request_id, workspace, None)
            return
        try:
            async with self.in_flight.async_track(call, exchange) as in_flight:
                if not await self._async_hand_over(in_flight):
                    await self._async_serve(in_flight)
        except RequestRefusedError as error:
            self._refuse(
                exchange, error, request_id, workspace, in_flight.progress
            )
        finally:
            self.load_shedder.limit.release(call.workspace)

    async def _async_hand_over(self, request: InFlightRequest) -> bool:
        """Hand a request over if needed; return whether its response ended.

        Raises:
            RequestRefusedError: The neighbour may have run the request.
        """
        neighbour = self.hand_over.choose(request.call)
        if neighbour is None:
            return False
        if await self.hand_over.async_run(request, neighbour):
            return True
        is_started = request.exchange.is_started
        if not is_started and not request.may_have_run_elsewhere:
            return False
        progress = self._begin_progress(request)
        end = AttemptEnd(AttemptResult.BROKEN, "neighbour broke off")
        progress.history.record(end.result, "")
        if self._may_try_again(progress, end):
            return False
        if is_started:
            return True
        raise refusals.attempts_failed("hand_over_broken", may_have_run=True)

    def _begin_progress(self, request: InFlightRequest) -> CallProgress:
        call = request.call
        request.progress = CallProgress(
            call,
            CallerResponse(request.exchange, request.events),
            AttemptHistory(call.route.may_run_again, call.route.attempt_limit),
        )
        return request.progress

    async def _async_serve(self, request: InFlightRequest) -> None:
        """Forward an accepted request to upstreams and record its end."""
        call, metadata = request.call, request.call.metadata
        progress = request.progress or self._begin_progress(request)
        outcome = "cancelled"
        try:
            outcome = await self._async_forward(progress)
            if outcome == "answered":
                self.acceptor.record_run_time(call)
        except RequestRefusedError as error:
            outcome = error.code
            if error.retry_after_seconds is not None:
                self.load_shedder.record_decline(
                    call, error.code, error.retry_after_seconds
                )
            self._refuse(
                request.exchange,
                error,
                metadata.request_id,
                call.workspace,
                progress,
            )
        except Exception:
            outcome = refusals.INTERNAL_ERROR
            raise
        finally:
            if request.is_cut and outcome == "cancelled":
                outcome = "cut_by_shutdown"
            self._recorder.record_end(progress, outcome)

    def close_stale_connections(self) -> None:
        """Close stale connections and those to upstreams that leave."""
        self.hand_over.close_stale_connections()
        self._sender.close_stale_connections()

    def close(self) -> None:
        """Close all idle connections to upstreams and other routers."""
        self.hand_over.close()
        self._sender.close()

    async def _async_forward(self, progress: CallProgress) -> str:
        """Forward a request until an upstream responds or the deadline passes.

        Returns:
            Outcome of the request.

        Raises:
            RequestRefusedError: No upstream responded.
        """
        call = progress.call
        self._retry_budgets.record_request(call.service)
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
        guarded = self._crash_guard.request_of(progress.call)
        switch = UpstreamSwitch(
            self._app,
            self._retry_budgets,
            self._recorder,
            progress,
            self._sender.connection_pool,
            lambda: self._crash_guard.upstreams_to_spare(guarded),
            lambda grant, observer: self._sender.async_send(
                progress, grant, guarded, observer
            ),
        )
        try:
            return await self._async_try_in_turn(progress, guarded, switch)
        finally:
            switch.close()

    async def _async_try_in_turn(
        self,
        progress: CallProgress,
        guarded: GuardedRequest,
        switch: UpstreamSwitch,
    ) -> str:
        history = progress.history
        exchange = progress.caller_response.exchange
        while True:
            grant = await self._async_next_grant(progress, guarded, switch)
            end = await self._async_attempt(progress, grant, switch)
            if end.result is AttemptResult.RESPONDED:
                if end.response is not None:
                    self._send_response(exchange, end.response)
                return "answered"
            if switch.has_replacement:
                continue
            if self._may_try_again(progress, end):
                if not exchange.is_started:
                    # It may be what has crashed the upstream.
                    await self._crash_guard.async_wait_for_check(
                        progress.upstream_id
                    )
                continue
            if exchange.is_started:
                return "broken_off"
            if end.response is not None:
                self._send_response(exchange, end.response)
                return "upstream_failure"
            raise refusals.attempts_failed(
                end.result, may_have_run=history.may_have_run
            )

    async def _async_next_grant(
        self,
        progress: CallProgress,
        guarded: GuardedRequest,
        switch: UpstreamSwitch,
    ) -> Grant:
        """Return the grant for the next attempt.

        Raises:
            RequestRefusedError: No upstream may be used.
        """
        while True:
            try:
                self._crash_guard.check(guarded)
                grant = await switch.async_next_grant()
            except RequestRefusedError as error:
                if await self._continuations.async_wait(progress, error):
                    progress.history.may_return = True
                    continue
                if progress.history.may_have_run:
                    raise refusals.repeat_refused(error) from error
                raise
            if progress.asked_again:
                progress.no_replacement = ""
            return grant

    async def _async_attempt(
        self, progress: CallProgress, grant: Grant, switch: UpstreamSwitch
    ) -> AttemptEnd:
        """Run one attempt and report its end to admission.

        Args:
            progress: The request and its state.
            grant: Grant for the upstream to use.
            switch: Sends the request, and watches the upstream.
        """
        history = progress.history
        progress.upstream_id = grant.upstream_id
        outcome = RunOutcome.CANCELLED
        is_unreachable = False
        # It stays so if the attempt is cancelled: the request may have run.
        history.is_in_flight = True
        try:
            end = progress.caller_response.validated(
                await switch.async_send(grant)
            )
            history.is_in_flight = False
            history.record(end.result, grant.upstream_id)
            outcome = RULE_BY_RESULT[end.result].outcome
            is_unreachable = (
                end.result is AttemptResult.UNREACHABLE
                and grant.upstream_id in self._routing.directory.entry_by_id
            )
        except asyncio.CancelledError:
            if switch.is_silent:
                outcome = RunOutcome.FAILED
            raise
        finally:
            switch.end_watch()
            self._admission.end(grant, outcome, is_unreachable=is_unreachable)
        if end.result is not AttemptResult.RESPONDED:
            self._recorder.record_failed_attempt(
                progress, grant.upstream_id, end
            )
        return end

    def _may_try_again(self, progress: CallProgress, end: AttemptEnd) -> bool:
        call, history = progress.call, progress.history
        if not history.may_try_again(end.result):
            if history.may_run_again:
                progress.no_replacement = REASON_ATTEMPTS
            return False
        if not progress.caller_response.can_continue:
            progress.no_replacement = REASON_NO_RESUME_POINT
            return False
        time_left = call.deadline_at - self._app.now()
        if time_left < const.MIN_RETRY_TIME_LEFT_SECONDS:
            progress.no_replacement = REASON_TIME
            return False
        if not history.sent or not RULE_BY_RESULT[end.result].was_sent:
            # No retry, or the one that was paid for before was not sent.
            return True
        if self._retry_budgets.try_spend(call):
            return True
        progress.no_replacement = REASON_BUDGET
        return False

    def _send_response(
        self, exchange: ServerExchange, response: Response
    ) -> None:
        headers: RawHeaders = self._wire_format.response_headers(
            response.headers
        )
        if exchange.request.is_head:
            exchange.send_head(
                response.status, headers, response.announced_bytes
            )
            return
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
