"""Validated requests of callers."""

from dataclasses import dataclass
from enum import StrEnum

from lacewingspar_core.documents import ServiceDocument, Workspace


class Repeatability(StrEnum):
    """When a request may be sent again."""

    IDEMPOTENT = "idempotent"
    IF_NOT_RUN = "if_not_run"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Options:
    """Request options from the headers.

    Attributes:
        deadline_ms: Deadline in milliseconds after arrival, or None.
        cost_hint: Expected slot-seconds, or None.
        request_class: Name of the request class, or None.
        idempotency_key: Idempotency key of an at-most-once call, or None.
    """

    deadline_ms: int | None
    cost_hint: float | None
    request_class: str | None
    idempotency_key: str | None


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request.

    Attributes:
        request_id: Identity of the request.
        document: Document of the service.
        workspace: Workspace of the caller.
        model: Model that the upstream must serve, or "" for any.
        request_class: Name of the request class.
        arrived_at: Arrival time on the application's clock, in seconds.
        deadline_at: Latest start of the response, on the same clock.
        idempotency_key: Idempotency key of an at-most-once call, or None.
        repeatability: When the request may be sent again.
        method: HTTP method.
        target: Path and query string at the upstream, in the caller's spelling.
        headers: Headers for the upstream.
        body: Request body.
        trace_parent: `traceparent` value of the caller's span.
    """

    request_id: str
    document: ServiceDocument
    workspace: Workspace
    model: str
    request_class: str
    arrived_at: float
    deadline_at: float
    idempotency_key: str | None
    repeatability: Repeatability
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    trace_parent: str
