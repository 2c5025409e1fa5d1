"""Conversion of admission requests and decisions to and from messages."""

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    AdmissionKey,
    Declined,
    Granted,
    Queued,
)
from lacewingspar_core.admission_messages import (
    AdmissionDeclined,
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRequest,
)
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import AnyPeerMessage
from lacewingspar_core.pools import Pool
from lacewingspar_core.prefix_cache import PromptPart

DECISION_MESSAGES = (AdmissionGranted, AdmissionQueued, AdmissionDeclined)


def milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds."""
    return round(seconds * 1000)


def encode_request(
    pool: Pool, admission: Admission, leaving_share: float, now: float
) -> AdmissionRequest:
    """Return the message that requests admission to a pool."""
    return AdmissionRequest(
        service=pool.service,
        data_centre=pool.data_centre,
        shard=pool.shard,
        number=admission.key.number,
        workspace=admission.workspace,
        parts=tuple((part.key, part.tokens) for part in admission.shared_parts),
        own_tokens=admission.own_tokens,
        output_tokens=admission.output_tokens,
        priority=admission.priority,
        waited_ms=milliseconds(now - admission.arrived_at),
        latency_target_ms=milliseconds(admission.latency_target_at - now),
        deadline_ms=milliseconds(admission.deadline_at - now),
        identity=admission.identity,
        excluded=tuple(admission.excluded),
        first_chunk_deadline_ms=milliseconds(
            admission.first_chunk_deadline_at - now
        ),
        cached_at=admission.cached_at,
        leaving_share=leaving_share,
    )


def decode_request(
    ingress_router: RouterInstance,
    data_centre: str,
    request: AdmissionRequest,
    now: float,
) -> Admission:
    """Return the admission request that a message contains.

    Args:
        ingress_router: Router that sent the message.
        data_centre: Data centre of the sender.
        request: The message.
        now: Time in seconds on the receiver's clock.
    """
    return Admission(
        key=AdmissionKey(ingress_router, request.number),
        workspace=request.workspace,
        data_centre=data_centre,
        shared_parts=tuple(PromptPart(*part) for part in request.parts),
        own_tokens=request.own_tokens,
        output_tokens=request.output_tokens,
        priority=request.priority,
        arrived_at=now - request.waited_ms / 1000,
        latency_target_at=now + request.latency_target_ms / 1000,
        deadline_at=now + request.deadline_ms / 1000,
        identity=request.identity,
        excluded=frozenset(request.excluded),
        first_chunk_timeout_seconds=(
            request.waited_ms + request.first_chunk_deadline_ms
        )
        / 1000,
        cached_at=request.cached_at,
    )


def encode_decision(
    service: str, decision: AdmissionDecision, leaving_share: float
) -> AnyPeerMessage:
    """Return the message that contains a decision."""
    number = decision.key.number
    match decision:
        case Granted(_, upstream_id, fetch_from):
            return AdmissionGranted(
                service, number, upstream_id, fetch_from, leaving_share
            )
        case Queued(_, wait_seconds):
            return AdmissionQueued(
                service, number, milliseconds(wait_seconds), leaving_share
            )
        case Declined():
            return AdmissionDeclined(
                service,
                number,
                decision.reason,
                milliseconds(decision.wait_seconds),
                milliseconds(decision.retry_after_seconds),
                leaving_share,
            )


def decode_decision(
    ingress_router: RouterInstance, message: AnyPeerMessage
) -> AdmissionDecision | None:
    """Return the decision in a message, or None for other messages."""
    match message:
        case AdmissionGranted():
            return Granted(
                AdmissionKey(ingress_router, message.number),
                message.upstream_id,
                message.fetch_from,
            )
        case AdmissionQueued():
            return Queued(
                AdmissionKey(ingress_router, message.number),
                message.wait_ms / 1000,
            )
        case AdmissionDeclined():
            return Declined(
                AdmissionKey(ingress_router, message.number),
                message.reason,
                message.wait_ms / 1000,
                message.retry_after_ms / 1000,
            )
        case _:
            return None
