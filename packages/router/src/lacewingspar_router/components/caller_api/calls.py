"""Processing of a validated request from the queue to its response."""

import asyncio
from dataclasses import dataclass

from lacewingspar_core.messages import SlotOutcome
from lacewingspar_router.application import Application
from lacewingspar_router.components.caller_api.call_claims import (
    CallClaims,
    async_replay,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.in_flight import (
    InFlightRequests,
    RequestTrack,
)
from lacewingspar_router.components.caller_api.refusals import (
    claim_expired,
    slot_outcome,
)
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.caller_api.retrying import (
    Attempts,
    Retries,
)
from lacewingspar_router.components.caller_api.slot_acquirer import SlotAcquirer
from lacewingspar_router.components.caller_api.slot_use import SlotUse
from lacewingspar_router.components.caller_api.streaming import ResponseTransfer
from lacewingspar_router.components.claims.models import (
    ClaimAnswered,
    ClaimGranted,
)
from lacewingspar_router.components.quarantine.models import (
    QUARANTINE,
    RequestIdentity,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamError,
)
from lacewingspar_router.components.upstreams.models import (
    UPSTREAMS,
    UpstreamCall,
    UpstreamResponse,
)
from lacewingspar_router.errors import RequestRefusedError, RunState

# Codes of refusals if a claim expires while the request waits for a slot.
_CODES_OF_EXPIRED_CLAIMS = frozenset({"deadline_passed", "claim_expired"})


@dataclass(frozen=True, slots=True)
class Call:
    """A request in flight.

    Attributes:
        request: The request.
        identity: Identity of the request for the quarantine.
        exchange: HTTP exchange with the caller.
        track: Progress of the request through this router.
        claim: Claim of the idempotency key, if the request has a key.
    """

    request: CallerRequest
    identity: RequestIdentity
    exchange: Exchange
    track: RequestTrack
    claim: ClaimGranted | None


class CallRunner:
    """Runs validated requests.

    Args:
        application: The application that holds the other components.
        in_flight: Requests in flight.
    """

    def __init__(
        self, application: Application, in_flight: InFlightRequests
    ) -> None:
        self._now = application.now
        self._claims = CallClaims(application)
        self._quarantine = application.get(QUARANTINE)
        self._slots = SlotAcquirer(application)
        self._upstreams = application.get(UPSTREAMS)
        self._telemetry = application.get(TELEMETRY)
        self._in_flight = in_flight
        self.retries = Retries(application)

    async def async_run(
        self, request: CallerRequest, exchange: Exchange, track: RequestTrack
    ) -> str:
        """Queue a request, send it to an upstream and respond to the caller.

        Returns:
            Outcome of the request.

        Raises:
            RequestRefusedError: The request is refused.
        """
        identity = RequestIdentity(
            request.document.service,
            request.target,
            request.body,
            request.workspace.name,
        )
        self._slots.check(identity)
        attempts = self.retries.begin(request)
        while True:
            if request.idempotency_key is not None:
                self._in_flight.apply_event(track, "claim")
            claim = await self._claims.async_claim(request)
            if isinstance(claim, ClaimAnswered):
                track.run = RunState.RAN
                await async_replay(exchange, claim)
                return "replayed"
            call = Call(request, identity, exchange, track, claim)
            try:
                return await self._async_attempts(call, attempts)
            except RequestRefusedError as error:
                await self._async_release_unused_claim(call, error)
                if not self._may_claim_again(call, error):
                    raise
            except asyncio.CancelledError:
                if claim is not None and track.run is RunState.NOT_RUN:
                    self._in_flight.apply_event(track, "release_claim")
                    self._claims.release(claim, was_sent=track.outlives_caller)
                    track.run = RunState.UNKNOWN
                raise

    async def _async_release_unused_claim(
        self, call: Call, error: RequestRefusedError
    ) -> None:
        """Set the run state of a refusal and release the unused claim."""
        track = call.track
        # An earlier attempt may have run even if the last one did not.
        if track.run is not RunState.NOT_RUN:
            error.run = track.run
        elif call.claim is not None:
            self._in_flight.apply_event(track, "release_claim")
            await self._claims.async_release_refused(
                call.claim, error, was_sent=track.outlives_caller
            )

    def _may_claim_again(self, call: Call, error: RequestRefusedError) -> bool:
        """Return whether a call whose claim expired may claim its key again.

        The run state is `NOT_RUN` only after the release was confirmed, so the
        key is free.
        """
        now = self._now()
        return (
            call.claim is not None
            and not call.track.outlives_caller
            and error.run is RunState.NOT_RUN
            and error.code in _CODES_OF_EXPIRED_CLAIMS
            and call.claim.send_before <= now < call.request.deadline_at
        )

    async def _async_attempts(self, call: Call, attempts: Attempts) -> str:
        """Send a request until an attempt succeeds or retries are exhausted."""
        request = call.request
        while True:
            use = await self._async_acquire(call, attempts)
            attempts.sent += 1
            try:
                with self._telemetry.span(
                    "slot",
                    trace_parent=request.trace_parent,
                    upstream=use.upstream_id,
                ):
                    return await self._async_attempt(call, use)
            except asyncio.CancelledError:
                self._end_run(use, has_caller_left=True)
                raise
            except UpstreamError as error:
                use.release(slot_outcome(error))
                confirmation = self._confirm_crash(use, error)
                self._end_run(use)
                attempts.failed_upstreams.add(use.upstream_id)
                self._in_flight.record_hop(
                    call.track, "failed", use.upstream_id
                )
                if call.exchange.is_started:
                    await call.exchange.async_interrupt(str(error))
                    return "interrupted"
                await self.retries.async_wait(request, attempts, error)
                if confirmation is not None:
                    await asyncio.wait({confirmation})
            finally:
                use.cancel()
                self._end_run(use)

    async def _async_acquire(self, call: Call, attempts: Attempts) -> SlotUse:
        """Wait for a slot of an upstream on which no attempt has failed."""
        request = call.request
        deadline_at = request.deadline_at
        if call.claim is not None:
            # The call must not be sent after its claim expires.
            deadline_at = min(deadline_at, call.claim.send_before)
        is_retry = bool(attempts.failed_upstreams)
        self._in_flight.apply_event(
            call.track, "retry" if is_retry else "enqueue"
        )
        self._in_flight.record_hop(call.track, "queue")
        with self._telemetry.span("queue", trace_parent=request.trace_parent):
            use = await self._slots.async_acquire(
                request, call.identity, attempts, deadline_at
            )
        self._in_flight.apply_event(call.track, "bind")
        self._in_flight.record_hop(call.track, "slot", use.upstream_id)
        return use

    def _confirm_crash(
        self, use: SlotUse, error: UpstreamError
    ) -> asyncio.Task[None] | None:
        """Start to check whether an upstream crashed, if its response broke."""
        if use.run is None or not isinstance(error, UpstreamBrokenError):
            return None
        return self._quarantine.start_crash_check(use.run)

    def _end_run(self, use: SlotUse, *, has_caller_left: bool = False) -> None:
        run, use.run = use.run, None
        if run is not None:
            self._quarantine.end(run, has_caller_left=has_caller_left)

    async def _async_attempt(self, call: Call, use: SlotUse) -> str:
        """Send a request to one upstream and forward its response."""
        response = await self._async_send(call, use)
        self._in_flight.record_hop(call.track, "head", use.upstream_id)
        try:
            with self._telemetry.span(
                "stream", trace_parent=call.request.trace_parent
            ):
                await self._async_forward(call, use, response)
        finally:
            await response.async_close()
        return "completed"

    async def _async_send(self, call: Call, use: SlotUse) -> UpstreamResponse:
        """Send a request to one upstream and wait for the response head."""
        request, track = call.request, call.track
        with self._telemetry.span(
            "upstream",
            trace_parent=request.trace_parent,
            service=request.document.service,
            upstream=use.upstream_id,
        ) as trace_parent:
            upstream_call = _upstream_call(request, trace_parent)
            if call.claim is not None:
                if not self._claims.may_send(call.claim):
                    raise claim_expired()
                # The caller's later attempts get the recorded outcome, so the
                # call continues even if the caller disconnects.
                track.outlives_caller = True
            run_before, track.run = track.run, RunState.UNKNOWN
            try:
                return await self._upstreams.async_call(
                    request.document.service, use.upstream_id, upstream_call
                )
            except UpstreamError as error:
                if error.run is RunState.NOT_RUN:
                    track.run = run_before
                raise

    async def _async_forward(
        self, call: Call, use: SlotUse, response: UpstreamResponse
    ) -> None:
        """Forward a response, release the slot and record the outcome."""

        def record_start() -> None:
            self._in_flight.apply_event(call.track, "answer_started")
            if use.run is not None:
                use.run.prompt_run.first_output_at = self._now()

        transfer = ResponseTransfer(
            call.request, call.exchange, response, record_start
        )
        await transfer.async_run()
        if use.run is not None:
            use.run.record_response(response.status)
        use.release(SlotOutcome.COMPLETED, transfer.tokens)
        call.track.run = RunState.RAN
        if call.claim is not None:
            self._claims.record_outcome(
                call.claim, transfer.recorded_response()
            )
        await transfer.async_finish()


def _upstream_call(request: CallerRequest, trace_parent: str) -> UpstreamCall:
    return UpstreamCall(
        request_id=request.request_id,
        method=request.method,
        path=request.target,
        headers=(*request.headers, ("traceparent", trace_parent)),
        body=request.body,
        silent_after_seconds=request.document.limits.silent_after_seconds,
    )
