"""Path of a checked request from the queue to the end of its answer."""

from lacewingspar_core.messages import SlotOutcome
from lacewingspar_router.application import Application
from lacewingspar_router.components.caller_api.claimed import (
    async_claim,
    async_give_up,
    async_replay,
)
from lacewingspar_router.components.caller_api.const import (
    RETRY_AFTER_CLAIM_SECONDS,
    RETRY_AFTER_FAILURE_SECONDS,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.in_flight import (
    InFlight,
    RequestTrack,
)
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.caller_api.retries import may_retry
from lacewingspar_router.components.caller_api.slot_use import SlotUse
from lacewingspar_router.components.caller_api.streaming import (
    async_stream_answer,
)
from lacewingspar_router.components.claims.models import (
    CLAIMS,
    ClaimAnswered,
    ClaimGranted,
)
from lacewingspar_router.components.scheduler.models import (
    SCHEDULER,
    SlotRequest,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamMismatchError,
    UpstreamRefusedError,
)
from lacewingspar_router.components.upstreams.models import (
    UPSTREAMS,
    UpstreamCall,
)
from lacewingspar_router.errors import RequestRefusedError, RunState

_CODE_BY_ERROR: dict[type[UpstreamError], tuple[int, str]] = {
    UpstreamConnectError: (502, "upstream_unreachable"),
    UpstreamRefusedError: (503, "upstream_refused"),
    UpstreamBrokenError: (502, "upstream_broken"),
    UpstreamMismatchError: (502, "answer_mismatch"),
}


class CallRunner:
    """Runs checked requests.

    Args:
        application: The application that holds the other components.
        in_flight: Requests in flight.
    """

    def __init__(self, application: Application, in_flight: InFlight) -> None:
        self._claims = application.get(CLAIMS)
        self._scheduler = application.get(SCHEDULER)
        self._upstreams = application.get(UPSTREAMS)
        self._telemetry = application.get(TELEMETRY)
        self._in_flight = in_flight

    async def async_run(
        self, request: CallerRequest, exchange: Exchange, track: RequestTrack
    ) -> str:
        """Queue and send a request and answer the caller.

        Returns:
            How the request ended, for its path.

        Raises:
            RequestRefusedError: The request gets a refusal.
        """
        claim = await async_claim(self._claims, request)
        if isinstance(claim, ClaimAnswered):
            track.run = RunState.RAN
            await async_replay(exchange, claim)
            return "replayed"
        try:
            return await self._async_attempts(request, exchange, track, claim)
        except RequestRefusedError as error:
            # An earlier attempt may have run although the last one did not.
            if track.run is not RunState.NOT_RUN:
                error.run = track.run
            elif claim is not None:
                raise await async_give_up(self._claims, claim, error) from error
            raise

    async def _async_attempts(
        self,
        request: CallerRequest,
        exchange: Exchange,
        track: RequestTrack,
        claim: ClaimGranted | None,
    ) -> str:
        """Send a request until an attempt succeeds or no more are allowed."""
        failed: set[str] = set()
        attempts = 0
        while True:
            use = await self._async_acquire(request, track, claim, failed)
            attempts += 1
            try:
                return await self._async_send(
                    request, exchange, track, use, claim
                )
            except UpstreamError as error:
                use.release(_slot_outcome(error))
                failed.add(use.upstream_id)
                self._in_flight.hop(track, "failed", use.upstream_id)
                if not may_retry(
                    request.repeatability,
                    error.run,
                    attempts_made=attempts,
                    attempts_allowed=request.document.limits.attempts,
                ):
                    raise _refusal(error) from error
            finally:
                use.release(SlotOutcome.CANCELLED)

    async def _async_acquire(
        self,
        request: CallerRequest,
        track: RequestTrack,
        claim: ClaimGranted | None,
        failed: set[str],
    ) -> SlotUse:
        self._in_flight.hop(track, "queue")
        deadline_at = request.deadline_at
        if claim is not None:
            # After that time the slot could not be used.
            deadline_at = min(deadline_at, claim.send_before)
        slot_request = SlotRequest(
            request_id=request.request_id,
            service=request.document.service,
            workspace=request.workspace.name,
            model=request.model,
            request_class=request.request_class,
            arrived_at=request.arrived_at,
            deadline_at=deadline_at,
            excluded_upstreams=frozenset(failed),
        )
        with self._telemetry.span("queue", trace_parent=request.trace_parent):
            grant = await self._scheduler.async_acquire(slot_request)
        self._in_flight.hop(track, "slot", grant.upstream_id)
        return SlotUse(self._scheduler, grant)

    async def _async_send(
        self,
        request: CallerRequest,
        exchange: Exchange,
        track: RequestTrack,
        use: SlotUse,
        claim: ClaimGranted | None,
    ) -> str:
        """Send a request to one upstream and stream the answer."""
        service = request.document.service
        with self._telemetry.span(
            "upstream",
            trace_parent=request.trace_parent,
            service=service,
            upstream=use.upstream_id,
        ) as trace_parent:
            call = UpstreamCall(
                request_id=request.request_id,
                method=request.method,
                path=request.target,
                headers=(*request.headers, ("traceparent", trace_parent)),
                body=request.body,
                silent_after_seconds=(
                    request.document.limits.silent_after_seconds
                ),
            )
            if claim is not None and not self._claims.may_send(claim):
                raise _claim_expired()
            before = track.run
            track.run = RunState.UNKNOWN
            try:
                answer = await self._upstreams.async_call(
                    service, use.upstream_id, call
                )
            except UpstreamError as error:
                if error.run is RunState.NOT_RUN:
                    track.run = before
                raise
        self._in_flight.hop(track, "head", use.upstream_id)
        try:
            outcome, kept = await async_stream_answer(
                request, exchange, answer, use
            )
        finally:
            await answer.async_close()
        if kept is not None:
            track.run = RunState.RAN
            if claim is not None:
                self._claims.record_outcome(claim, kept)
        return outcome


def _slot_outcome(error: UpstreamError) -> SlotOutcome:
    if isinstance(error, UpstreamRefusedError):
        return SlotOutcome.UPSTREAM_REFUSED
    return SlotOutcome.UPSTREAM_FAILED


def _refusal(error: UpstreamError) -> RequestRefusedError:
    status, code = _CODE_BY_ERROR.get(type(error), (502, "upstream_failed"))
    return RequestRefusedError(
        status,
        code,
        str(error),
        run=error.run,
        retry_after_seconds=RETRY_AFTER_FAILURE_SECONDS,
    )


def _claim_expired() -> RequestRefusedError:
    return RequestRefusedError(
        503,
        "claim_expired",
        "the call waited longer than its claim allows and was not sent",
        retry_after_seconds=RETRY_AFTER_CLAIM_SECONDS,
    )
