"""Requests of callers that have passed all checks."""

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
    """Options that a caller gives in headers.

    Attributes:
        deadline_ms: Time from arrival in milliseconds, or None.
        cost_hint: Expected slot-seconds, or None.
        request_class: Name of the request class, or None.
        idempotency_key: Key of a call that runs at most once, or None.
    """

    deadline_ms: int | None
    cost_hint: float | None
    request_class: str | None
    idempotency_key: str | None


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that may be queued.

    Attributes:
        request_id: Identity of the request.
        document: Document of its service.
        workspace: Workspace of the caller.
        model: Model that the upstream must serve, or "" for any.
        request_class: Name of the request's class.
        arrived_at: Arrival in seconds of the application's clock.
        deadline_at: Latest start of the answer on the same clock.
        idempotency_key: Key of a call that runs at most once, or None.
        repeatability: When the request may be sent again.
        method: HTTP method.
        target: Path at the upstream with query string, as the caller wrote it.
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
