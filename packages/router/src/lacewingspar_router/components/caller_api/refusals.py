"""Refusals of requests, by the error that caused them."""

from lacewingspar_core.messages import SlotOutcome
from lacewingspar_core.prompt_quarantine import (
    PartRefusal,
)
from lacewingspar_router.components.caller_api.const import (
    RETRY_AFTER_CLAIM_SECONDS,
    RETRY_AFTER_STATE_SECONDS,
)
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamInvalidCallError,
    UpstreamMismatchError,
    UpstreamRefusedError,
)
from lacewingspar_router.errors import RequestRefusedError, RunState

_REASON_BY_ERROR: dict[type[UpstreamError], tuple[int, str, SlotOutcome]] = {
    UpstreamConnectError: (
        502,
        "upstream_unreachable",
        SlotOutcome.UPSTREAM_FAILED,
    ),
    UpstreamRefusedError: (
        503,
        "upstream_refused",
        SlotOutcome.UPSTREAM_REFUSED,
    ),
    UpstreamBrokenError: (502, "upstream_broken", SlotOutcome.UPSTREAM_FAILED),
    UpstreamMismatchError: (
        502,
        "answer_mismatch",
        SlotOutcome.UPSTREAM_FAILED,
    ),
    UpstreamInvalidCallError: (400, "bad_headers", SlotOutcome.CANCELLED),
}
_OTHER_REASON = (502, "upstream_failed", SlotOutcome.UPSTREAM_FAILED)


def slot_outcome(error: UpstreamError) -> SlotOutcome:
    """Return the slot outcome of a failed call."""
    return _REASON_BY_ERROR.get(type(error), _OTHER_REASON)[2]


def upstream_refusal(
    error: UpstreamError, retry_after_seconds: float
) -> RequestRefusedError:
    """Return the refusal of a request whose last attempt failed."""
    status, code, _ = _REASON_BY_ERROR.get(type(error), _OTHER_REASON)
    is_callers_fault = status == 400
    return RequestRefusedError(
        status,
        code,
        str(error),
        run=error.run,
        retry_after_seconds=(None if is_callers_fault else retry_after_seconds),
    )


def quarantined(seconds: float) -> RequestRefusedError:
    """Return the refusal of a request that has crashed upstreams.

    Args:
        seconds: Time until the quarantine of the request ends.
    """
    return RequestRefusedError(
        422,
        "quarantined",
        "upstreams crashed while they ran this request",
        retry_after_seconds=seconds,
    )


def prompt_quarantined(refusal: PartRefusal) -> RequestRefusedError:
    """Return the refusal of a prompt with a message that crashes upstreams."""
    return RequestRefusedError(
        422,
        "prompt_quarantined",
        f"message {refusal.part} of the prompt has crashed upstreams",
        retry_after_seconds=refusal.seconds,
    )


def suspect_deadline_passed() -> RequestRefusedError:
    """Return the refusal of a suspect request that found no free upstream."""
    return RequestRefusedError(
        504,
        "deadline_passed",
        "the deadline passed while other requests were being checked",
        retry_after_seconds=RETRY_AFTER_STATE_SECONDS,
    )


def claim_expired() -> RequestRefusedError:
    """Return the refusal of a call whose claim expired before sending."""
    return RequestRefusedError(
        503,
        "claim_expired",
        "the claim expired while the call waited; the call was not sent",
        retry_after_seconds=RETRY_AFTER_CLAIM_SECONDS,
    )


def router_stopped(run: RunState) -> RequestRefusedError:
    """Return the refusal of a request that a shutdown cancelled."""
    return RequestRefusedError(
        503,
        "router_stopped",
        "this router stopped before the response was complete",
        run=run,
        retry_after_seconds=RETRY_AFTER_STATE_SECONDS,
    )


def internal_error(run: RunState) -> RequestRefusedError:
    """Return the refusal after an unexpected error in this router."""
    return RequestRefusedError(
        500, "internal_error", "internal error of the router", run=run
    )


def no_body_memory() -> RequestRefusedError:
    """Return the refusal of a request whose body finds no room."""
    return RequestRefusedError(
        503,
        "no_body_memory",
        "this router holds as many bytes of other bodies as it may",
        retry_after_seconds=RETRY_AFTER_STATE_SECONDS,
    )
