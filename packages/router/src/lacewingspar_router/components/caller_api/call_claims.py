"""Claims of calls with an idempotency key."""

import asyncio
import hashlib

from lacewingspar_router.application import Application
from lacewingspar_router.components.caller_api.const import (
    CLAIM_RELEASE_TIMEOUT_SECONDS,
    HEADER_REPLAYED,
    RETRY_AFTER_CLAIM_SECONDS,
    RETRY_AFTER_STATE_SECONDS,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.claims.models import (
    CLAIMS,
    ClaimAnswered,
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimUnavailable,
    ClaimUnknown,
)
from lacewingspar_router.errors import RequestRefusedError, RunState


def call_digest(request: CallerRequest) -> bytes:
    """Return the digest of method, path and body."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.target.encode("latin-1")):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()


class CallClaims:
    """Claims idempotency keys for calls and releases unused claims.

    Args:
        application: The application that holds the claims component.
    """

    def __init__(self, application: Application) -> None:
        self._application = application
        self._claims = application.get(CLAIMS)

    async def async_claim(
        self, request: CallerRequest
    ) -> ClaimGranted | ClaimAnswered | None:
        """Claim the idempotency key of a request.

        Returns:
            The claim, the recorded first response of the call, or None if the
            request has no key.

        Raises:
            RequestRefusedError: The call must not be sent.
        """
        if request.idempotency_key is None:
            return None
        task = self._application.create_task(
            self._claims.async_claim(
                service=request.document.service,
                workspace=request.workspace.name,
                key=request.idempotency_key,
                digest=call_digest(request),
            ),
            "claim",
        )
        try:
            async with asyncio.timeout(
                request.deadline_at - self._application.now()
            ):
                decision = await asyncio.shield(task)
        except TimeoutError as error:
            self._release_when_granted(task)
            raise _claim_timeout() from error
        except asyncio.CancelledError:
            self._release_when_granted(task)
            raise
        if isinstance(decision, ClaimGranted | ClaimAnswered):
            return decision
        raise _refusal(decision)

    def may_send(self, claim: ClaimGranted) -> bool:
        """Return whether the call may be sent now, and consume the claim."""
        return self._claims.may_send(claim)

    def record_outcome(
        self, claim: ClaimGranted, response: ClaimAnswered
    ) -> None:
        """Record the first response of a call."""
        self._claims.record_outcome(claim, response)

    def release(
        self, claim: ClaimGranted, *, was_sent: bool = False
    ) -> asyncio.Task[bool]:
        """Release the claim of a call that has not run, in the background."""
        return self._application.create_task(
            self._claims.async_release(claim, was_sent=was_sent),
            "claim release",
        )

    async def async_release_refused(
        self,
        claim: ClaimGranted,
        error: RequestRefusedError,
        *,
        was_sent: bool,
    ) -> None:
        """Release the claim of a refused call that has not run.

        The run state of the refusal is `unknown` unless the release is
        confirmed in time.
        """
        error.run = RunState.UNKNOWN
        task = self.release(claim, was_sent=was_sent)
        done, _ = await asyncio.wait(
            {task}, timeout=CLAIM_RELEASE_TIMEOUT_SECONDS
        )
        if done and task.exception() is None and task.result():
            error.run = RunState.NOT_RUN

    def _release_when_granted(self, task: asyncio.Task[ClaimDecision]) -> None:
        """Release a claim if it is granted after the request has ended."""

        def on_done(done: asyncio.Task[ClaimDecision]) -> None:
            if done.cancelled() or done.exception() is not None:
                return
            decision = done.result()
            if isinstance(decision, ClaimGranted):
                self.release(decision)

        task.add_done_callback(on_done)


async def async_replay(exchange: Exchange, response: ClaimAnswered) -> None:
    """Send the recorded first response of a call to the caller.

    Raises:
        RequestRefusedError: The response body was too large to be recorded.
    """
    if response.body is None:
        raise RequestRefusedError(
            409,
            "answer_not_kept",
            "the call has run, but its response was too large to be recorded",
            run=RunState.RAN,
        )
    headers = [
        (b"content-type", response.content_type.encode("latin-1")),
        (HEADER_REPLAYED, b"true"),
    ]
    await exchange.async_send_response(response.status, headers, response.body)


def _claim_timeout() -> RequestRefusedError:
    return RequestRefusedError(
        504,
        "claim_timeout",
        "the key was not claimed before the deadline of the request",
        run=RunState.UNKNOWN,
        retry_after_seconds=RETRY_AFTER_CLAIM_SECONDS,
    )


def _refusal(decision: ClaimDecision) -> RequestRefusedError:
    match decision:
        case ClaimInProgress():
            return RequestRefusedError(
                409,
                "in_progress",
                "another attempt with this key is in progress",
                run=RunState.UNKNOWN,
                retry_after_seconds=RETRY_AFTER_STATE_SECONDS,
            )
        case ClaimKeyReused():
            return RequestRefusedError(
                422, "key_reused", "the key was used for a different call"
            )
        case ClaimKeyExpired():
            return RequestRefusedError(
                409,
                "key_expired",
                "the key is older than the deduplication window",
                run=RunState.UNKNOWN,
            )
        case ClaimUnavailable():
            return RequestRefusedError(
                503,
                "claims_unavailable",
                "the log service cannot be reached",
                retry_after_seconds=RETRY_AFTER_CLAIM_SECONDS,
            )
        case ClaimUnknown() | ClaimGranted() | ClaimAnswered():
            return RequestRefusedError(
                409,
                "outcome_unknown",
                "another attempt with this key may or may not have run",
                run=RunState.UNKNOWN,
            )
