"""Which upstream of a pool suits a request best.

Load that this answers: prompts that share long parts, more of them than one
engine keeps, beside prompts without any.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from lacewingspar_core.admission_events import Admission
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.ownership import owner_of
from lacewingspar_core.routing import UpstreamService
from lacewingspar_core.upstream_load import (
    EngineLoad,
    PlainLoad,
    UpstreamLoad,
    held_prefix_tokens,
)
from lacewingspar_core.upstream_trust import UpstreamTrust

# Reading a shared part again costs time now and pushes other parts out of
# memory, which are then read again as well.
REREAD_WEIGHT = 4.0
# Part of the aim that a request waits for the engine that suits it best
# before it takes another one with room.
PATIENCE_FRACTION = 0.4
# Expected time that a use in another data centre must save.
CROSS_DATA_CENTRE_SECONDS = 0.004
# Credit, in tokens, of the engine that a prompt falls to by hash. Owners that
# follow each other then send the same prompts to the same engines.
HOME_CREDIT_FRACTION = 0.5
# Shared parts whose home is remembered.
LARGEST_HOME_CACHE = 4096


@dataclass(slots=True)
class PoolMember:
    """One upstream of the pool."""

    entry: UpstreamEntry
    load: UpstreamLoad
    trust: UpstreamTrust


class Placement:
    """Upstreams of a pool, and the choice among them.

    Attributes:
        member_by_id: The upstreams that take new work.

    Args:
        pool: Name of the pool, which seeds the choice of homes.
    """

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self.member_by_id: dict[str, PoolMember] = {}
        self._home_by_part: dict[int, str] = {}

    def update(
        self,
        entry_by_id: Mapping[str, UpstreamEntry],
        service: UpstreamService,
        engine_tokens_per_second: float,
    ) -> list[PoolMember]:
        """Take over the upstreams that take new work.

        Args:
            entry_by_id: The upstreams.
            service: The service that they belong to.
            engine_tokens_per_second: Estimated rate of one engine, or 0.

        Returns:
            Those that have left.
        """
        members = self.member_by_id
        if members.keys() != entry_by_id.keys():
            self._home_by_part.clear()
        left = [
            members.pop(name) for name in members.keys() - entry_by_id.keys()
        ]
        for upstream_id, entry in entry_by_id.items():
            known = members.get(upstream_id)
            if known is None:
                load = _new_load(entry, service, engine_tokens_per_second)
                members[upstream_id] = PoolMember(entry, load, UpstreamTrust())
                continue
            if known.entry.born_ms != entry.born_ms:
                known.load.forget_memory()
                known.trust = UpstreamTrust()
            known.entry = entry
        return left

    def has_open_member(self, now: float) -> bool:
        """Return whether some upstream takes requests now."""
        members = self.member_by_id.values()
        trusted = [item for item in members if not item.trust.is_blocked(now)]
        return any(item.load.is_open for item in trusted or members)

    @property
    def lead_seconds(self) -> float:
        """Return the shortest time to the first part of a small request."""
        return min(
            (item.load.lead_seconds for item in self.member_by_id.values()),
            default=0.0,
        )

    def candidates(self, admission: Admission, now: float) -> list[PoolMember]:
        """Return the upstreams that a request may use."""
        members = [
            member
            for upstream_id, member in self.member_by_id.items()
            if upstream_id not in admission.excluded
        ]
        trusted = [item for item in members if not item.trust.is_blocked(now)]
        # If all of them fail, any may be the one that works again.
        return trusted or members

    def choose(self, admission: Admission, now: float) -> PoolMember | None:
        """Return the upstream for a request, or None if it should wait."""
        members = self.candidates(admission, now)
        if not members:
            return None
        home = self._home(admission, members)
        scored = [
            (self._score(admission, member, home), position, member)
            for position, member in enumerate(members)
        ]
        best = min(scored)
        if best[2].load.has_room(admission):
            return best[2]
        with_room = [
            item for item in scored if item[2].load.has_room(admission)
        ]
        if not with_room:
            return None
        other = min(with_room)
        aim = max(0.0, admission.aim_at - admission.arrived_at)
        patience = PATIENCE_FRACTION * aim
        if now - admission.arrived_at < patience:
            return None
        return other[2]

    def fetch_source(self, admission: Admission, member: PoolMember) -> str:
        """Return the engine to copy shared parts from, or "".

        A copy is worth it where it takes less time than reading.
        """
        load = member.load
        if not isinstance(load, EngineLoad) or not admission.shared_parts:
            return ""
        parts = admission.shared_parts
        held = load.memory.held_tokens(parts)
        source_id, most = "", held
        for upstream_id, other in self.member_by_id.items():
            tokens = held_prefix_tokens(other.load, parts)
            if tokens > most:
                source_id, most = upstream_id, tokens
        if not source_id:
            return ""
        profile = load.profile
        copy_seconds = (
            (most - held)
            * profile.token_bytes
            / max(1.0, profile.link_bytes_per_second)
        )
        read_seconds = (most - held) / load.rate
        return source_id if copy_seconds < read_seconds else ""

    def least_cost(self, admission: Admission) -> float:
        """Return the cost of a request where it costs least."""
        return min(
            (
                member.load.read_cost(admission)
                for member in self.member_by_id.values()
            ),
            default=1.0,
        )

    def _home(
        self, admission: Admission, members: list[PoolMember]
    ) -> PoolMember | None:
        """Return the upstream that a prompt falls to by hash."""
        if not admission.shared_parts:
            return None
        key = admission.shared_parts[-1].key
        home_id = self._home_by_part.get(key)
        if home_id is None:
            home_id = owner_of(self._pool, key, self.member_by_id)
            if home_id is None:
                return None
            if len(self._home_by_part) >= LARGEST_HOME_CACHE:
                self._home_by_part.clear()
            self._home_by_part[key] = home_id
        home = self.member_by_id[home_id]
        return home if home in members else None

    def _score(
        self, admission: Admission, member: PoolMember, home: PoolMember | None
    ) -> float:
        """Return the expected time to the first part, with what it costs."""
        load = member.load
        score = load.first_part_seconds(admission)
        if member.entry.data_centre != admission.data_centre:
            score += CROSS_DATA_CENTRE_SECONDS
        if admission.shared_parts:
            shared = admission.prompt_tokens - admission.own_tokens
            held = held_prefix_tokens(load, admission.shared_parts)
            if member is home:
                held += int((shared - held) * HOME_CREDIT_FRACTION)
            score += (REREAD_WEIGHT - 1) * (shared - held) / load.rate
        return score


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
