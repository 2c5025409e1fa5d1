"""Requirements of requests for the admission to an upstream."""

from dataclasses import replace

from lacewingspar_router.components.admission.models import RequestRequirements
from lacewingspar_router.components.forwarding.models import Call


def requirements_of(call: Call) -> RequestRequirements:
    """Return the requirements of a request whose response has not started."""
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
        latency_target_at=call.arrived_at + call.route.latency_target_seconds,
        deadline_at=call.deadline_at,
        first_chunk_timeout_seconds=call.route.first_chunk_timeout_seconds,
        identity=call.identity,
    )


def resumed(
    requirements: RequestRequirements, call: Call, now: float
) -> RequestRequirements:
    """Return the requirements of a stream that continues elsewhere.

    The latency target counts from now, as the caller waits for the next event.
    With the original times the pool would treat the request as late and decline
    it first.
    """
    return replace(
        requirements,
        arrived_at=now,
        latency_target_at=now + call.route.latency_target_seconds,
    )


def without_shared_parts(
    requirements: RequestRequirements,
) -> RequestRequirements:
    """Return the requirements of a request that may crash its upstream.

    Requests with the same shared parts go to one upstream. The streams of the
    last one that continue there must not meet it again.
    """
    shared_tokens = sum(part.tokens for part in requirements.shared_parts)
    return replace(
        requirements,
        shared_parts=(),
        own_tokens=requirements.own_tokens + shared_tokens,
    )
