"""Messages between ingress routers and pool owners."""

import msgspec

from lacewingspar_core.peer_message import PeerMessage


class AdmissionRequest(PeerMessage, frozen=True, tag="adm?"):
    """Requests an upstream from the pool owner.

    Times are in milliseconds relative to the moment of sending, so routers
    need no common clock.

    Attributes:
        service: Service of the pool.
        data_centre: Data centre of the pool's upstreams, or "" for all.
        shard: Shard of the service's upstreams.
        number: Number of the request, unique for the sender's instance. A
            request that asks another pool gets another number.
        workspace: Workspace of the caller, or "".
        parts: Key and token count of each shared part of the prompt.
        own_tokens: Remaining tokens of the prompt.
        output_tokens: Expected tokens of the response.
        priority: Priority of the route.
        waited_ms: Time since the request arrived.
        latency_target_ms: Time until the latency target of the first chunk;
            negative if the target has passed.
        deadline_ms: Time until the deadline of the whole response.
        identity: Hash that stays the same when the caller retries the request,
            or 0.
        excluded: Upstreams that must not be used.
        first_chunk_deadline_ms: Time until the caller's first-chunk timeout
            ends.
        cached_at: Upstream that the sender has last used for the parts, or "".
        leaving_share: Share of the sender's requests that leave its data
            centre.
    """

    service: str
    data_centre: str
    shard: int
    number: int
    workspace: str
    parts: tuple[tuple[int, int], ...]
    own_tokens: int
    output_tokens: int
    priority: int
    waited_ms: int
    latency_target_ms: int
    deadline_ms: int
    identity: int
    excluded: tuple[str, ...]
    first_chunk_deadline_ms: int
    cached_at: str
    leaving_share: float


class AdmissionGranted(PeerMessage, frozen=True, tag="adm+"):
    """Grants an upstream.

    Attributes:
        service: Service of the pool.
        number: Number of the request.
        upstream_id: Upstream to use.
        fetch_from: Upstream to copy the KV cache of shared prompt parts from,
            or "".
        leaving_share: Mean of the leaving shares of the routers in the pool's
            data centre.
    """

    service: str
    number: int
    upstream_id: str
    fetch_from: str
    leaving_share: float


class AdmissionQueued(PeerMessage, frozen=True, tag="adm="):
    """Reports that a request is queued.

    Attributes:
        service: Service of the pool.
        number: Number of the request.
        wait_ms: Expected wait in milliseconds.
        leaving_share: Mean of the leaving shares of the routers in the pool's
            data centre.
    """

    service: str
    number: int
    wait_ms: int
    leaving_share: float


class AdmissionDeclined(PeerMessage, frozen=True, tag="adm-"):
    """Declines a request.

    Attributes:
        service: Service of the pool.
        number: Number of the request.
        reason: Machine-readable reason.
        wait_ms: Expected wait in milliseconds.
        retry_after_ms: Time after which the caller should retry, in
            milliseconds.
        leaving_share: Mean of the leaving shares of the routers in the pool's
            data centre.
    """

    service: str
    number: int
    reason: str
    wait_ms: int
    retry_after_ms: int
    leaving_share: float


class UpstreamLoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load that an upstream has reported in a response.

    Attributes:
        upstream_id: The upstream.
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs concurrently.
        slowness_percent: How long work takes there (100 is usual), or None.
        age_ms: Time since the response began, in milliseconds.
    """

    upstream_id: str
    running: int
    waiting: int
    slots: int
    slowness_percent: int | None
    age_ms: int


class RunStarted(PeerMessage, frozen=True, tag="run+"):
    """Reports the arrival of the first chunk of a response.

    Attributes:
        service: Service of the pool.
        data_centre: Data centre of the pool's upstreams, or "" for all.
        shard: Shard of the service's upstreams.
        number: Number of the request.
        load: Load that the upstream has reported, or None.
    """

    service: str
    data_centre: str
    shard: int
    number: int
    load: UpstreamLoadReport | None = None


class RunEnded(PeerMessage, frozen=True, tag="run-"):
    """Reports the end of a granted request or withdraws a queued one.

    Attributes:
        service: Service of the pool.
        data_centre: Data centre of the pool's upstreams, or "" for all.
        shard: Shard of the service's upstreams.
        number: Number of the request.
        outcome: Value of `RunOutcome`.
        unreachable: Upstream that accepted no connection, or "".
        load: Load that the upstream has reported since the last message about
            this request, or None.
    """

    service: str
    data_centre: str
    shard: int
    number: int
    outcome: int
    unreachable: str
    load: UpstreamLoadReport | None = None


class ReportedRun(msgspec.Struct, frozen=True, array_like=True):
    """A granted request that has not ended.

    Attributes:
        number: Number of the request.
        upstream_id: Upstream that runs the request.
        pending_prefill_tokens: Prompt tokens that the upstream may still have
            to prefill (process before it generates the first output token).
        memory_tokens: Tokens that the request occupies in the KV cache of the
            upstream.
        remaining_ms: Time until the deadline of the request, in milliseconds.
    """

    number: int
    upstream_id: str
    pending_prefill_tokens: int
    memory_tokens: int
    remaining_ms: int


class RunReport(PeerMessage, frozen=True, tag="runs"):
    """Reports all granted requests of the sender in one pool."""

    service: str
    data_centre: str
    shard: int
    runs: tuple[ReportedRun, ...]


class CachedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt whose shared parts an upstream has prefilled or copied.

    Attributes:
        part_key: Key of the last shared part.
        upstream_id: The upstream.
    """

    part_key: int
    upstream_id: str


class PromptsCached(PeerMessage, frozen=True, tag="kv"):
    """Tells the owners of pools elsewhere from where they may copy prompts."""

    service: str
    prompts: tuple[CachedPrompt, ...]


class UpstreamsCold(PeerMessage, frozen=True, tag="cold"):
    """Tells other routers of upstreams that may restart, or have restarted.

    Any of them may be asked to own a pool before the entries arrive.

    Attributes:
        lost: Upstreams that crashed or could not be reached.
        cold_ms_by_id: Time for which upstreams are cold that were lost and have
            responded, in milliseconds.
    """

    lost: tuple[str, ...]
    cold_ms_by_id: dict[str, int]
