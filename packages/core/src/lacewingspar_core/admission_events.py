"""Admission requests for an upstream and the decisions on them."""

import math
from dataclasses import dataclass, field
from enum import IntEnum

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.prefix_cache import PromptPart


@dataclass(frozen=True, slots=True)
class AdmissionKey:
    """Identity of one admission request.

    Attributes:
        ingress_router: Router that has the caller's connection.
        number: Number that the ingress router instance uses only once.
    """

    ingress_router: RouterInstance
    number: int


@dataclass(frozen=True, slots=True)
class Admission:
    """A request for an upstream.

    All times are on the clock of the router that handles the object.

    Attributes:
        key: Identity of the admission request.
        workspace: Workspace of the caller, or "" for public routes.
        data_centre: Data centre of the ingress router.
        shared_parts: Leading parts of the prompt that other requests may share.
        own_tokens: Remaining tokens of the prompt.
        output_tokens: Expected tokens of the response.
        priority: Priority of the route; 0 is the most urgent.
        arrived_at: Arrival at the ingress router, in seconds.
        latency_target_at: Time by which the first chunk of the response should
            arrive.
        deadline_at: Time by which the whole response must arrive.
        identity: Hash that stays the same when the caller retries the request,
            or 0 if there is none.
        excluded: Upstreams that must not be used.
        first_chunk_timeout_seconds: Time from the arrival after which the
            caller disconnects if no chunk has arrived.
        cached_at: Upstream that the ingress router has last used for the shared
            parts, or "".
        prompt_tokens: Length of the whole prompt in tokens.
    """

    key: AdmissionKey
    workspace: str
    data_centre: str
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    priority: int
    arrived_at: float
    latency_target_at: float
    deadline_at: float
    identity: int = 0
    excluded: frozenset[str] = frozenset()
    first_chunk_timeout_seconds: float = math.inf
    cached_at: str = ""
    prompt_tokens: int = field(init=False, default=0)

    @property
    def first_chunk_deadline_at(self) -> float:
        """Return the time at which the caller's first-chunk timeout ends."""
        return min(
            self.deadline_at, self.arrived_at + self.first_chunk_timeout_seconds
        )

    def __post_init__(self) -> None:
        # Precomputed: every decision reads it once per upstream.
        shared = sum(part.tokens for part in self.shared_parts)
        object.__setattr__(self, "prompt_tokens", shared + self.own_tokens)


@dataclass(frozen=True, slots=True)
class Granted:
    """A decision to send a request to an upstream.

    Attributes:
        key: Identity of the admission request.
        upstream_id: Upstream to use.
        fetch_from: Upstream to copy the KV cache of shared prompt parts from,
            or "".
    """

    key: AdmissionKey
    upstream_id: str
    fetch_from: str


@dataclass(frozen=True, slots=True)
class Queued:
    """A decision to keep a request in the queue.

    Attributes:
        key: Identity of the admission request.
        wait_seconds: Expected wait.
    """

    key: AdmissionKey
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Declined:
    """A decision not to serve a request.

    Attributes:
        key: Identity of the admission request.
        reason: Machine-readable reason.
        wait_seconds: Expected wait at the time of the decision.
        retry_after_seconds: Time after which the caller should retry.
    """

    key: AdmissionKey
    reason: str
    wait_seconds: float
    retry_after_seconds: float


AdmissionDecision = Granted | Queued | Declined


class RunOutcome(IntEnum):
    """Outcome of a granted request."""

    COMPLETED = 0
    # The upstream returned an error or an invalid response, or stalled.
    FAILED = 1
    # The connection broke before the response was complete.
    BROKEN = 2
    # The upstream did not run the request.
    NOT_RUN = 3
    # The caller disconnected, or the request was not sent.
    CANCELLED = 4
