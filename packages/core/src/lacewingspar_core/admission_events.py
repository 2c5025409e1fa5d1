"""What a request needs of an upstream, and the answers to it."""

import math
from dataclasses import dataclass, field
from enum import IntEnum

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.prefix_memory import PromptPart


@dataclass(frozen=True, slots=True)
class AdmissionKey:
    """Identity of one wish for an upstream.

    Attributes:
        holder: Router that has the caller's connection.
        number: Number that the holder uses once in its life.
    """

    holder: RouterLife
    number: int


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that needs an upstream.

    Attributes:
        key: Identity of the wish.
        workspace: Workspace of the caller, or "" for public routes.
        data_centre: Data centre of the holder.
        shared_parts: Parts of the prompt that other requests may share.
        own_tokens: Further tokens of the prompt.
        output_tokens: Expected tokens of the answer.
        priority: Rank of the route; 0 is the most urgent.
        arrived_at: Arrival at the holder, in seconds.
        aim_at: Time by which the first part of the answer should be there.
        deadline_at: Time by which the whole answer must be there.
        identity: Hash that is the same when the caller sends the request
            again, or 0 if there is none.
        excluded: Upstreams that must not be used.
        patience_seconds: Time from the arrival after which the caller gives up
            if the first part is not there.
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
    aim_at: float
    deadline_at: float
    identity: int = 0
    excluded: frozenset[str] = frozenset()
    patience_seconds: float = math.inf
    prompt_tokens: int = field(init=False, default=0)

    @property
    def given_up_at(self) -> float:
        """Return when the caller gives up without a first part."""
        return min(self.deadline_at, self.arrived_at + self.patience_seconds)

    def __post_init__(self) -> None:
        # Needed for each upstream at each decision, so it is kept.
        shared = sum(part.tokens for part in self.shared_parts)
        object.__setattr__(self, "prompt_tokens", shared + self.own_tokens)


@dataclass(frozen=True, slots=True)
class Granted:
    """A request may be sent.

    Attributes:
        key: Identity of the wish.
        upstream_id: Upstream to use.
        fetch_from: Upstream to copy shared parts of the prompt from, or "".
    """

    key: AdmissionKey
    upstream_id: str
    fetch_from: str


@dataclass(frozen=True, slots=True)
class Queued:
    """A request waits.

    Attributes:
        key: Identity of the wish.
        wait_seconds: Expected wait.
    """

    key: AdmissionKey
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Declined:
    """A request cannot be served in time.

    Attributes:
        key: Identity of the wish.
        reason: Machine-readable reason.
        wait_seconds: Wait that was expected.
        retry_after_seconds: When to come back.
    """

    key: AdmissionKey
    reason: str
    wait_seconds: float
    retry_after_seconds: float


AdmissionDecision = Granted | Queued | Declined


class RunOutcome(IntEnum):
    """How a granted request ended at its upstream."""

    COMPLETED = 0
    # The upstream answered with a failure of its own, or spoiled the answer.
    FAILED = 1
    # No connection, or the connection broke without a whole answer.
    BROKEN = 2
    # The upstream refused to run the request.
    NOT_RUN = 3
    # The caller has left, or the request was not sent after all.
    CANCELLED = 4
