"""Selection of the best upstream of a pool for a request.

Designed for a mix of prompts without shared parts and prompts with long shared
parts, more of which are in use than fit into the KV cache of one engine.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from operator import itemgetter

from lacewingspar_core.admission_events import Admission, AdmissionKey
from lacewingspar_core.circuit_breaker import CircuitBreaker
from lacewingspar_core.cold_pacing import (
    ColdLimit,
    ColdPace,
    ColdState,
    ColdUpstreams,
)
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.ownership import shard_owner
from lacewingspar_core.pool_balance import PoolBalance, RecentChoices
from lacewingspar_core.prompt_locations import PromptLocations
from lacewingspar_core.reported_load import LoadReport, ReportedLoad
from lacewingspar_core.routing import UpstreamService
from lacewingspar_core.upstream_load import (
    EngineLoad,
    PlainLoad,
    UpstreamLoad,
    cached_prefix_tokens,
    runs_before,
)

# Weight of the time to prefill uncached shared parts. It is above 1 because the
# prefill also evicts other parts, which then have to be prefilled again.
REPEATED_PREFILL_WEIGHT = 4.0
# Fraction of the latency target for which a request waits for its best upstream
# before it takes another one with room.
BEST_UPSTREAM_WAIT_FRACTION = 0.4
# Expected time that an upstream in another data centre must save.
CROSS_DATA_CENTRE_PENALTY_SECONDS = 0.004
# Duration of a copy from an engine of another pool, which is mostly in another
# data centre, relative to one within a data centre.
CROSS_DATA_CENTRE_COPY_FACTOR = 2.0
# Longest duration of a copy as a multiple of the prefill that it saves. A copy
# delays its own request only; a prefill delays all requests of the engine.
MAX_COPY_DURATION_FACTOR = 2.0
# Fraction of the uncached shared tokens that count as cached at the affinity
# upstream, which is chosen by hash. It makes a new pool owner send the same
# prompts to the same engines as its predecessor.
AFFINITY_CREDIT_FRACTION = 0.5
# Maximum number of shared parts with a cached affinity upstream.
MAX_AFFINITY_CACHE_ENTRIES = 4096
# For this long after no upstream had room for a request, only the best one and
# those whose load has changed since are assessed again. It bounds the CPU time
# of a decision.
REJECTION_CACHE_SECONDS = 0.05
# Maximum number of queued requests with a cached rejection.
MAX_REJECTION_CACHE_ENTRIES = 4096

_BY_SCORE = itemgetter(0)


@dataclass(slots=True, eq=False)
class PoolMember:
    """One upstream of the pool.

    Attributes:
        entry: Directory entry of the upstream.
        load: Its current load.
        breaker: Circuit breaker that blocks it after failures.
        cold: Whether it is cold.
        pace: Spacing of the requests granted to it.
        load_version: Version of the pool's load at its last change.
    """

    entry: UpstreamEntry
    load: UpstreamLoad
    breaker: CircuitBreaker
    cold: ColdState
    pace: ColdPace = field(default_factory=ColdPace)
    load_version: int = 0


# Score, upstream, and whether it has room.
ScoredMember = tuple[float, PoolMember, bool]


@dataclass(frozen=True, slots=True)
class _Rejection:
    """Cached result for a request that found no upstream with room.

    Attributes:
        best: Upstream with the best score.
        waits_for_best: Whether the request was waiting for this upstream only.
        load_version: Version of the pool's load at the decision.
        until: Time at which the cached result expires.
    """

    best: PoolMember
    waits_for_best: bool
    load_version: int
    until: float


class Placement:
    """Chooses among the upstreams of a pool.

    Attributes:
        member_by_id: Upstreams that accept new requests.
        prompts_elsewhere: Prompts that upstreams of other pools hold.
        cold_limit: Limit on the requests to cold upstreams, or None.
        choices: Recent choices of upstreams with reported load.

    Args:
        pool: Name of the pool, which seeds the hash for affinity upstreams.
        has_other_pools: Whether requests can use pools of other data centres.
        cold_upstreams: Cold upstreams as known to this router.
    """

    def __init__(
        self,
        pool: str,
        *,
        has_other_pools: bool = False,
        cold_upstreams: ColdUpstreams | None = None,
    ) -> None:
        self._pool = pool
        self._cold_upstreams = cold_upstreams or ColdUpstreams()
        self.cold_limit: ColdLimit | None = None
        self._has_other_pools = has_other_pools
        self.member_by_id: dict[str, PoolMember] = {}
        self._affinity_id_by_part_key: dict[int, str] = {}
        self._rejection_by_key: dict[AdmissionKey, _Rejection] = {}
        self._load_version = 0
        self.prompts_elsewhere = PromptLocations()
        self.choices = RecentChoices()

    def update(
        self,
        entry_by_id: Mapping[str, UpstreamEntry],
        service: UpstreamService,
        engine_tokens_per_second: float,
    ) -> list[PoolMember]:
        """Replace the upstreams that accept new requests.

        Args:
            entry_by_id: Upstreams that accept new requests.
            service: Service that the upstreams belong to.
            engine_tokens_per_second: Estimated prefill rate of one engine, or 0
                if there is no estimate.

        Returns:
            Upstreams that were removed.
        """
        members = self.member_by_id
        if members.keys() != entry_by_id.keys():
            self._affinity_id_by_part_key.clear()
            self._rejection_by_key.clear()
        removed = [
            members.pop(name) for name in members.keys() - entry_by_id.keys()
        ]
        for upstream_id, entry in entry_by_id.items():
            known = members.get(upstream_id)
            if known is None:
                load = _new_load(entry, service, engine_tokens_per_second)
                cold = self._cold_upstreams.state(upstream_id)
                members[upstream_id] = PoolMember(
                    entry, load, CircuitBreaker(), cold
                )
                continue
            known.cold = self._cold_upstreams.state(upstream_id)
            if known.entry.born_ms != entry.born_ms:
                known.load.clear_cache()
                known.load.reported = ReportedLoad()
                known.breaker = CircuitBreaker()
            known.entry = entry
        return removed

    def available_members(self, now: float) -> list[PoolMember]:
        """Return the upstreams that can accept a request now."""
        members = self._unblocked(self.member_by_id.values(), now)
        return [
            item
            for item in members
            if item.load.is_available and not self._cold_wait(item, now)
        ]

    def grantable_rate(
        self, member: PoolMember, admission: Admission, now: float
    ) -> float:
        """Return the cost that an upstream can be granted per second."""
        limit = self.cold_limit
        rate = member.load.rate
        if limit is None or not member.cold.is_cold(now):
            return rate
        cost = member.load.request_cost(admission)
        return min(rate, limit.requests_per_second * max(1.0, cost))

    def record_grant(self, member: PoolMember, now: float) -> None:
        """Record that a request was granted an upstream."""
        self.record_load_change(member)
        member.breaker.record_grant(now)
        if self.cold_limit is not None:
            member.pace.record(self.cold_limit, now)

    def record_response(
        self, member: PoolMember, granted_at: float, now: float
    ) -> None:
        """Record a response, after which a lost upstream counts as cold."""
        if self.cold_limit is not None:
            member.cold.record_response(self.cold_limit, granted_at, now)

    def _cold_wait(self, member: PoolMember, now: float) -> float:
        """Return the time until the pace of an upstream permits a request."""
        limit = self.cold_limit
        if limit is None or not member.cold.is_cold(now):
            return 0.0
        return member.pace.wait_seconds(limit, now)

    @property
    def min_first_chunk_seconds(self) -> float:
        """Return the shortest time to the first chunk of a small request."""
        return min(
            (
                item.load.min_first_chunk_seconds
                for item in self.member_by_id.values()
            ),
            default=0.0,
        )

    def candidates(self, admission: Admission, now: float) -> list[PoolMember]:
        """Return the upstreams that a request may use, with or without room."""
        members: Collection[PoolMember] = self.member_by_id.values()
        if admission.excluded:
            members = [
                member
                for upstream_id, member in self.member_by_id.items()
                if upstream_id not in admission.excluded
            ]
        return self._unblocked(members, now)

    def choose(
        self,
        admission: Admission,
        available_members: list[PoolMember],
        now: float,
    ) -> PoolMember | None:
        """Return the upstream for a request, or None if it should wait.

        Args:
            admission: The request.
            available_members: Upstreams that can accept a request now.
            now: Time in seconds.
        """
        if admission.excluded:
            available_members = [
                member
                for member in self.candidates(admission, now)
                if member.load.is_available and not self._cold_wait(member, now)
            ]
        if not available_members:
            return None
        target = max(0.0, admission.latency_target_at - admission.arrived_at)
        waits_for_best = (
            now - admission.arrived_at < BEST_UPSTREAM_WAIT_FRACTION * target
        )
        rejection = self._rejection_by_key.get(admission.key)
        if (
            rejection is None
            or now >= rejection.until
            or waits_for_best != rejection.waits_for_best
        ):
            if waits_for_best:
                available_members = self.candidates(admission, now)
            return self._choose_among(
                admission, available_members, waits_for_best, now
            )
        changed = [
            member
            for member in available_members
            if member.load_version > rejection.load_version
        ]
        if not changed:
            return None
        if waits_for_best and rejection.best not in changed:
            changed.append(rejection.best)
        return self._choose_among(admission, changed, waits_for_best, now)

    def record_load_change(self, member: PoolMember) -> None:
        """Record that the load of an upstream has changed."""
        self._load_version += 1
        member.load_version = self._load_version

    def record_report(
        self,
        upstream_id: str,
        report: LoadReport,
        reported_at: float,
        now: float,
    ) -> None:
        """Record the load that an upstream has reported."""
        member = self.member_by_id.get(upstream_id)
        if member is None:
            return
        load = member.load
        own_runs = runs_before(load.run_by_key, reported_at)
        load.reported.record(report, reported_at, own_runs, now)
        self.record_load_change(member)

    def refresh_reports(self, now: float) -> None:
        """Reduce the effect of reports with their age."""
        for member in self.member_by_id.values():
            member.load.reported.refresh(now)

    def _record_choice(
        self, chosen: PoolMember, scored: list[ScoredMember], now: float
    ) -> PoolMember:
        if chosen.load.reported.report is not None:
            self.choices.record(chosen, scored, now)
        return chosen

    def pop_balance(self) -> PoolBalance | None:
        """Return the balance since the last call, or None without a choice."""
        loads = [item.load for item in self.member_by_id.values()]
        return self.choices.pop_balance(loads)

    def _choose_among(
        self,
        admission: Admission,
        members: list[PoolMember],
        waits_for_best: bool,
        now: float,
    ) -> PoolMember | None:
        """Return the upstream for a request, or cache that none has room.

        A request that waits for its best upstream takes no other; the others
        take the best upstream that has room.
        """
        scored = self._score_members(admission, members, now)
        _, best, has_room = min(scored, key=_BY_SCORE)
        if has_room:
            return self._record_choice(best, scored, now)
        with_room = (
            [] if waits_for_best else [item for item in scored if item[2]]
        )
        if with_room:
            chosen = min(with_room, key=_BY_SCORE)[1]
            return self._record_choice(chosen, scored, now)
        key = admission.key
        known = self._rejection_by_key.get(key)
        until = now + REJECTION_CACHE_SECONDS
        if known is not None and now < known.until:
            until = known.until
        elif len(self._rejection_by_key) >= MAX_REJECTION_CACHE_ENTRIES:
            self._rejection_by_key.clear()
        self._rejection_by_key[key] = _Rejection(
            best, waits_for_best, self._load_version, until
        )
        return None

    def _score_members(
        self, admission: Admission, members: list[PoolMember], now: float
    ) -> list[ScoredMember]:
        """Return the score of each upstream and whether it has room.

        The score is the expected time to the first chunk plus penalties for
        another data centre and for repeated prefill, and the time until the
        pace of a cold upstream permits a request; the lowest is the best.
        """
        affinity = self._affinity_member(admission, members)
        data_centre = admission.data_centre
        shared = admission.prompt_tokens - admission.own_tokens
        scored: list[ScoredMember] = []
        for member in members:
            score, cached, has_room = member.load.assess(admission)
            cold_wait = self._cold_wait(member, now)
            if cold_wait:
                score += cold_wait
                has_room = False
            if member.entry.data_centre != data_centre:
                score += CROSS_DATA_CENTRE_PENALTY_SECONDS
            if shared:
                if member is affinity:
                    cached += int((shared - cached) * AFFINITY_CREDIT_FRACTION)
                score += (
                    (REPEATED_PREFILL_WEIGHT - 1)
                    * (shared - cached)
                    / member.load.rate
                )
            scored.append((score, member, has_room))
        return scored

    def fetch_source(self, admission: Admission, member: PoolMember) -> str:
        """Return the engine to copy the KV cache of shared parts from, or "".

        An engine is returned only if copying takes less than
        `MAX_COPY_DURATION_FACTOR` times as long as prefilling.
        """
        load = member.load
        if not isinstance(load, EngineLoad) or not admission.shared_parts:
            return ""
        parts = admission.shared_parts
        cached = load.prefix_cache.cached_tokens(parts)
        source_id, most_cached = "", cached
        for upstream_id, other in self.member_by_id.items():
            tokens = cached_prefix_tokens(other.load, parts)
            if tokens > most_cached:
                source_id, most_cached = upstream_id, tokens
        transfer_factor = 1.0
        if not source_id:
            source_id = self._source_elsewhere(admission)
            most_cached = admission.prompt_tokens - admission.own_tokens
            transfer_factor = CROSS_DATA_CENTRE_COPY_FACTOR
        if not source_id:
            return ""
        profile = load.profile
        copy_seconds = (
            transfer_factor
            * (most_cached - cached)
            * profile.token_bytes
            / max(1.0, profile.link_bytes_per_second)
        )
        prefill_seconds = (most_cached - cached) / load.rate
        longest = MAX_COPY_DURATION_FACTOR * prefill_seconds
        return source_id if copy_seconds < longest else ""

    def _source_elsewhere(self, admission: Admission) -> str:
        """Return the upstream of another pool that may hold a prompt, or ""."""
        source_id = admission.cached_at
        if not source_id:
            source_id = self.prompts_elsewhere.find(admission.shared_parts)
        return "" if source_id in self.member_by_id else source_id

    def min_cost(self, admission: Admission) -> float:
        """Return the lowest cost of a request over all upstreams."""
        return min(
            (
                member.load.request_cost(admission)
                for member in self.member_by_id.values()
            ),
            default=1.0,
        )

    def _unblocked(
        self, members: Collection[PoolMember], now: float
    ) -> list[PoolMember]:
        """Return the upstreams that are not blocked.

        In the only pool of a service, requests go on when all are blocked.
        Elsewhere other pools take them until the next probe is due, unless the
        upstreams only refuse: most of these are full for a moment.
        """
        unblocked = [
            item for item in members if now >= item.breaker.blocked_until
        ]
        if unblocked:
            return unblocked
        if self._has_other_pools:
            return [item for item in members if item.breaker.is_refusing]
        return list(members)

    def _affinity_member(
        self, admission: Admission, members: list[PoolMember]
    ) -> PoolMember | None:
        """Return the affinity upstream of a prompt if it is a candidate."""
        if not admission.shared_parts:
            return None
        key = admission.shared_parts[-1].key
        affinity_id = self._affinity_id_by_part_key.get(key)
        if affinity_id is None:
            affinity_id = shard_owner(self._pool, key, self.member_by_id)
            if affinity_id is None:
                return None
            if len(self._affinity_id_by_part_key) >= MAX_AFFINITY_CACHE_ENTRIES:
                self._affinity_id_by_part_key.clear()
            self._affinity_id_by_part_key[key] = affinity_id
        affinity = self.member_by_id[affinity_id]
        return affinity if affinity in members else None


def _new_load(
    entry: UpstreamEntry,
    service: UpstreamService,
    engine_tokens_per_second: float,
) -> UpstreamLoad:
    if service.engine is None:
        return PlainLoad(entry.upstream_id, entry.slots)
    return EngineLoad(
        entry.upstream_id, service.engine, engine_tokens_per_second
    )
