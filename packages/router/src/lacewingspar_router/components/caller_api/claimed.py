"""Claims of calls that carry an idempotency key."""

import hashlib

from lacewingspar_router.components.caller_api.const import (
    HEADER_REPLAYED,
    RETRY_AFTER_CLAIM_SECONDS,
    RETRY_AFTER_STATE_SECONDS,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.claims.models import (
    ClaimAnswered,
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimRegistry,
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


async def async_claim(
    claims: ClaimRegistry, request: CallerRequest
) -> ClaimGranted | ClaimAnswered | None:
    """Claim the key of a request.

    Returns:
        The claim, the first answer of the call, or None without a key.

    Raises:
        RequestRefusedError: The call must not be sent.
    """
    if request.idempotency_key is None:
        return None
    decision = await claims.async_claim(
        service=request.document.service,
        workspace=request.workspace.name,
        key=request.idempotency_key,
        digest=call_digest(request),
    )
    if isinstance(decision, ClaimGranted | ClaimAnswered):
        return decision
    raise _refusal(decision)


async def async_replay(exchange: Exchange, answer: ClaimAnswered) -> None:
    """Send the first answer of a call again.

    Raises:
        RequestRefusedError: The first answer was not kept.
    """
    if answer.body is None:
        raise RequestRefusedError(
            409,
            "answer_not_kept",
            "the call has run; its answer was too large to be kept",
            run=RunState.RAN,
        )
    headers = [
        (b"content-type", answer.content_type.encode("latin-1")),
        (HEADER_REPLAYED, b"true"),
    ]
    await exchange.async_answer(answer.status, headers, answer.body)


async def async_give_up(
    claims: ClaimRegistry, claim: ClaimGranted, error: RequestRefusedError
) -> RequestRefusedError:
    """Release the claim of a call that was not sent.

    Returns:
        The refusal, with run `unknown` unless the release is confirmed.
    """
    if await claims.async_release(claim):
        return error
    error.run = RunState.UNKNOWN
    return error


def _refusal(decision: ClaimDecision) -> RequestRefusedError:
    match decision:
        case ClaimInProgress():
            return RequestRefusedError(
                409,
                "in_progress",
                "another attempt with this key is under way",
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
