"""Messages between holders and owners of pools of upstreams."""

import msgspec

from lacewingspar_core.peer_message import PeerMessage


class AdmissionRequest(PeerMessage, frozen=True, tag="adm?"):
    """Asks the owner of a pool for an upstream.

    Times count from the moment of sending, in milliseconds, so that they need
    no common clock.

    Attributes:
        service: Service of the pool.
        shard: Shard of the service's upstreams.
        number: Number of the request, unique in the sender's life.
        workspace: Workspace of the caller, or "".
        parts: Key and tokens of each shared part of the prompt.
        own_tokens: Further tokens of the prompt.
        output_tokens: Expected tokens of the answer.
        priority: Rank of the route.
        waited_ms: Time since the request arrived.
        aim_ms: Time left until the first part should be there; may be
            negative.
        deadline_ms: Time left until the whole answer must be there.
        identity: Hash that is the same when the caller sends the request
            again, or 0.
        excluded: Upstreams that must not be used.
        give_up_ms: Time left until the caller gives up without a first part.
    """

    service: str
    shard: int
    number: int
    workspace: str
    parts: tuple[tuple[int, int], ...]
    own_tokens: int
    output_tokens: int
    priority: int
    waited_ms: int
    aim_ms: int
    deadline_ms: int
    identity: int
    excluded: tuple[str, ...]
    give_up_ms: int


class AdmissionGranted(PeerMessage, frozen=True, tag="adm+"):
    """Grants an upstream.

    Attributes:
        service: Service of the pool.
        number: Number of the request.
        upstream_id: Upstream to use.
        fetch_from: Upstream to copy shared parts of the prompt from, or "".
    """

    service: str
    number: int
    upstream_id: str
    fetch_from: str


class AdmissionQueued(PeerMessage, frozen=True, tag="adm="):
    """Says that a request waits, and how long, in milliseconds."""

    service: str
    number: int
    wait_ms: int


class AdmissionDeclined(PeerMessage, frozen=True, tag="adm-"):
    """Says that a request cannot be served in time.

    Attributes:
        service: Service of the pool.
        number: Number of the request.
        reason: Machine-readable reason.
        wait_ms: Expected wait in milliseconds.
        retry_after_ms: When to come back, in milliseconds.
    """

    service: str
    number: int
    reason: str
    wait_ms: int
    retry_after_ms: int


class RunStarted(PeerMessage, frozen=True, tag="run+"):
    """Says that the first part of an answer has come."""

    service: str
    shard: int
    number: int


class RunEnded(PeerMessage, frozen=True, tag="run-"):
    """Says that a request needs its upstream no longer, or never did.

    Attributes:
        service: Service of the pool.
        shard: Shard of the service's upstreams.
        number: Number of the request.
        outcome: Value of `RunOutcome`.
        unreachable: Upstream that accepted no connection, or "".
    """

    service: str
    shard: int
    number: int
    outcome: int
    unreachable: str


class ReportedRun(msgspec.Struct, frozen=True, array_like=True):
    """A granted request that has not ended.

    Attributes:
        number: Number of the request.
        upstream_id: Its upstream.
        unread_tokens: Prompt tokens that the upstream may still have to read.
        memory_tokens: Tokens that it takes of the upstream's memory.
        left_ms: Time that its caller still waits, in milliseconds.
    """

    number: int
    upstream_id: str
    unread_tokens: int
    memory_tokens: int
    left_ms: int


class RunReport(PeerMessage, frozen=True, tag="runs"):
    """All runs of the sender in one pool."""

    service: str
    shard: int
    runs: tuple[ReportedRun, ...]
