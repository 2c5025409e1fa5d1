"""Which upstream of a pool suits a request best.

Load that this answers: prompts that share long parts, more of them than one
engine keeps, beside prompts without any.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from operator import itemgetter

from lacewingspar_core.admission_events import Admission, AdmissionKey
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
# After a request found no room it is compared only with upstreams whose load
# has changed since, and with all of them again after this long. That bounds
# the processor time of a decision.
REJECTION_SECONDS = 0.05
# Waiting requests for which that is remembered.
LARGEST_REJECTION_CACHE = 4096

_SCORE = itemgetter(0)


@dataclass(slots=True, eq=False)
class PoolMember:
    """One upstream of the pool.

    Attributes:
        entry: What it reports about itself.
        load: What runs on it.
        trust: Whether it is believed to work.
        changed: Number of the last change of its load.
    """

    entry: UpstreamEntry
    load: UpstreamLoad
    trust: UpstreamTrust
    changed: int = 0


@dataclass(frozen=True, slots=True)
class _Rejection:
    """A request found no upstream with room.

    Attributes:
        best: The upstream that suited it best.
        is_patient: Whether it waited for that one.
        changes: Changes of load that were known then.
        until: Time until which that is remembered.
    """

    best: PoolMember
    is_patient: bool
    changes: int
    until: float


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
        self._rejection_by_key: dict[AdmissionKey, _Rejection] = {}
        self._changes = 0

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
            self._rejection_by_key.clear()
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

    def open_members(self, now: float) -> list[PoolMember]:
        """Return the upstreams that take requests now."""
        members = _trusted(self.member_by_id.values(), now)
        return [item for item in members if item.load.is_open]

    @property
    def lead_seconds(self) -> float:
        """Return the shortest time to the first part of a small request."""
        return min(
            (item.load.lead_seconds for item in self.member_by_id.values()),
            default=0.0,
        )

    def candidates(self, admission: Admission, now: float) -> list[PoolMember]:
        """Return the upstreams that a request may use."""
        members: Collection[PoolMember] = self.member_by_id.values()
        if admission.excluded:
            members = [
                member
                for upstream_id, member in self.member_by_id.items()
                if upstream_id not in admission.excluded
            ]
        return _trusted(members, now)

    def choose(
        self, admission: Admission, open_members: list[PoolMember], now: float
    ) -> PoolMember | None:
        """Return the upstream for a request, or None if it should wait.

        Args:
            admission: The request.
            open_members: The upstreams that take requests now.
            now: Time in seconds.
        """
        if admission.excluded:
            open_members = [
                member
                for member in self.candidates(admission, now)
                if member.load.is_open
            ]
        if not open_members:
            return None
        aim = max(0.0, admission.aim_at - admission.arrived_at)
        is_patient = now - admission.arrived_at < PATIENCE_FRACTION * aim
        rejection = self._rejection_by_key.get(admission.key)
        if (
            rejection is None
            or now >= rejection.until
            or is_patient != rejection.is_patient
        ):
            if is_patient:
                open_members = self.candidates(admission, now)
            return self._choose_among(admission, open_members, is_patient, now)
        changed = [
            member
            for member in open_members
            if member.changed > rejection.changes
        ]
        if not changed:
            return None
        if is_patient and rejection.best not in changed:
            changed.append(rejection.best)
        return self._choose_among(admission, changed, is_patient, now)

    def note_change(self, member: PoolMember) -> None:
        """Take over that the load of an upstream has changed."""
        self._changes += 1
        member.changed = self._changes

    def _choose_among(
        self,
        admission: Admission,
        members: list[PoolMember],
        is_patient: bool,
        now: float,
    ) -> PoolMember | None:
        """Return the upstream for a request, and remember if there is none.

        A patient request waits for the upstream that suits it best; others
        take the best of those that have room.
        """
        scored = self._scored(admission, members)
        _, best, has_room = min(scored, key=_SCORE)
        if has_room:
            return best
        with_room = [] if is_patient else [item for item in scored if item[2]]
        if with_room:
            return min(with_room, key=_SCORE)[1]
        key = admission.key
        known = self._rejection_by_key.get(key)
        until = now + REJECTION_SECONDS
        if known is not None and now < known.until:
            until = known.until
        elif len(self._rejection_by_key) >= LARGEST_REJECTION_CACHE:
            self._rejection_by_key.clear()
        self._rejection_by_key[key] = _Rejection(
            best, is_patient, self._changes, until
        )
        return None

    def _scored(
        self, admission: Admission, members: list[PoolMember]
    ) -> list[tuple[float, PoolMember, bool]]:
        """Return the score of each upstream and whether it has room.

        The score is the expected time to the first part, with what the choice
        costs others; the lowest is the best.
        """
        home = self._home(admission, members)
        data_centre = admission.data_centre
        shared = admission.prompt_tokens - admission.own_tokens
        scored: list[tuple[float, PoolMember, bool]] = []
        for member in members:
            score, held, has_room = member.load.assess(admission)
            if member.entry.data_centre != data_centre:
                score += CROSS_DATA_CENTRE_SECONDS
            if shared:
                if member is home:
                    held += int((shared - held) * HOME_CREDIT_FRACTION)
                score += (
                    (REREAD_WEIGHT - 1) * (shared - held) / member.load.rate
                )
            scored.append((score, member, has_room))
        return scored

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


def _trusted(members: Collection[PoolMember], now: float) -> list[PoolMember]:
    """Return the upstreams that are not blocked, or all if all of them are.

    If all of them fail, any may be the one that works again.
    """
    trusted = [item for item in members if now >= item.trust.blocked_until]
    return trusted or list(members)


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
