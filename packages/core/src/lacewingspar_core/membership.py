"""Who is alive: heartbeat counters that spread by gossip."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from lacewingspar_core.identity import life_key
from lacewingspar_core.messages import (
    Beat,
    Heartbeat,
    MemberRecord,
    RouterState,
)

HEARTBEAT_INTERVAL_SECONDS = 1.0
# A router whose heartbeat has not grown for this long is not alive.
SUSPECT_AFTER_SECONDS = 3.0
# A router whose heartbeat has not grown for this many times the longest
# suspect time is dropped. It stays known until then, so that its old heartbeats
# do not look new.
DROP_AFTER_SUSPECT_TIMES = 10.0
# Receivers of a heartbeat in the own data centre.
LOCAL_FANOUT = 4
# Receivers of a heartbeat in each other data centre.
REMOTE_FANOUT = 1

# Larger fleets exchange parts of their tables. At 8 routers in 4 data centres
# whole tables take 2.2 KB/s, and the traffic grows with the square.
FULL_TABLE_ROUTERS = 12
# Fewer and larger messages spread a part of the table as fast as more and
# smaller ones, and cost less processor time.
LARGE_LOCAL_FANOUT = 2
LARGE_REMOTE_FANOUT = 1
# Shortened records in one heartbeat: the 77 others of a data centre at the
# target size, and 40 of the others.
LOCAL_BEATS = 80
REMOTE_BEATS = 40
# Whole records in one heartbeat of routers that have just become known, which
# other routers may lack.
NEW_RECORDS = 8
# Whole records at random, which repair what was lost.
REPAIR_RECORDS = 1
# A life or state counts as new for this long.
NEW_SECONDS = 5.0
# Whole tables that a router sends between two heartbeats. At 390 routers each
# takes some 35 KB.
TABLES_PER_BEAT = 2
# A router that knows this many routers fewer gets a whole table.
MISSING_ALLOWED = 8
# Suspect times with parts of tables. `script/bench capacity gossip` shows how
# long the heartbeat of a live router stands still at most.
LARGE_LOCAL_SUSPECT_SECONDS = 10.0
LARGE_REMOTE_SUSPECT_SECONDS = 13.0
# Added for each time that a heartbeat must be sent until it has named all
# routers of other data centres once.
REMOTE_SUSPECT_SECONDS_PER_ROUND = 4.0

_STATES = tuple(RouterState)


@dataclass(slots=True)
class _Member:
    """A known router, when its heartbeat grew and its life or state changed."""

    record: MemberRecord
    grew_at: float
    changed_at: float
    learned_at: float


@dataclass(frozen=True, slots=True)
class Seed:
    """A router named in the settings.

    Attributes:
        router_id: Name of the router.
        data_centre: Data centre of the router.
        address: ZeroMQ endpoint of the router.
    """

    router_id: str
    data_centre: str
    address: str


class Membership:
    """Member table of one router.

    Args:
        own: Record of this router.
        seeds: Routers that are contacted before they are heard of.
        generator: Seeded generator for the choice of receivers.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Iterable[Seed],
        generator: random.Random,
    ) -> None:
        self._own = own
        self._seed_by_id = {
            seed.router_id: seed
            for seed in seeds
            if seed.router_id != own.life.router_id
        }
        self._member_by_id: dict[str, _Member] = {}
        self._id_by_key: dict[int, str] = {}
        self._local_members = 0
        self._table_receivers: dict[str, None] = {}
        self._generator = generator

    @property
    def own(self) -> MemberRecord:
        """Return the record of this router."""
        return self._own

    def add_seeds(self, seeds: Iterable[Seed]) -> None:
        """Contact further routers."""
        for seed in seeds:
            if seed.router_id != self._own.life.router_id:
                self._seed_by_id[seed.router_id] = seed

    def set_own(self, state: RouterState, applied_offset: int) -> None:
        """Set what this router announces about itself."""
        self._own = msgspec.structs.replace(
            self._own, state=state, applied_offset=applied_offset
        )

    def beat(self, now: float) -> tuple[Heartbeat, list[str]]:
        """Make the next heartbeat.

        Returns:
            The message and the router ids that should get it.
        """
        self._own = msgspec.structs.replace(
            self._own, heartbeat=self._own.heartbeat + 1
        )
        self._drop_old(now)
        return self._heartbeat(now), self._receivers()

    def take_tables(self, now: float) -> tuple[Heartbeat | None, list[str]]:
        """Return the whole table and the routers that lack much of it.

        Each call returns few receivers; the others wait for the next call.
        """
        receivers = list(self._table_receivers)[:TABLES_PER_BEAT]
        if not receivers:
            return None, []
        for router_id in receivers:
            del self._table_receivers[router_id]
        records = tuple(member.record for member in self._alive_members(now))
        return Heartbeat((self._own, *records)), receivers

    def merge(self, heartbeat: Heartbeat, now: float) -> None:
        """Merge the member table of another router by maximum."""
        if not heartbeat.members:
            return
        sender = heartbeat.members[0]
        self._note_missing(sender, heartbeat, now)
        for record in heartbeat.members:
            if record.life.router_id != self._own.life.router_id:
                self._merge_record(record, now)
        for beat in heartbeat.beats:
            self._merge_beat(beat, sender.applied_offset, now)

    def alive(self, now: float) -> dict[str, MemberRecord]:
        """Return the routers that are alive by id, this one included."""
        result = {
            member.record.life.router_id: member.record
            for member in self._alive_members(now)
        }
        result[self._own.life.router_id] = self._own
        return result

    def suspect_after_seconds(self, data_centre: str) -> float:
        """Return how long a heartbeat may stand still in a data centre."""
        if self._is_small:
            return SUSPECT_AFTER_SECONDS
        if data_centre == self._own.data_centre:
            rounds = max(1.0, self._local_members / LOCAL_BEATS)
            return LARGE_LOCAL_SUSPECT_SECONDS * rounds
        remote = len(self._member_by_id) - self._local_members
        rounds = remote / REMOTE_BEATS
        return (
            LARGE_REMOTE_SUSPECT_SECONDS
            + REMOTE_SUSPECT_SECONDS_PER_ROUND * rounds
        )

    def address_of(self, router_id: str) -> str | None:
        """Return the endpoint of a router, if it is known."""
        member = self._member_by_id.get(router_id)
        if member is not None:
            return member.record.address
        seed = self._seed_by_id.get(router_id)
        return seed.address if seed else None

    def addresses(self) -> set[str]:
        """Return the endpoints of all routers that may be sent to."""
        return {seed.address for seed in self._seed_by_id.values()} | {
            member.record.address for member in self._member_by_id.values()
        }

    @property
    def _is_small(self) -> bool:
        return len(self._member_by_id) < FULL_TABLE_ROUTERS

    def _alive_members(self, now: float) -> list[_Member]:
        local = self._own.data_centre
        local_since = now - self.suspect_after_seconds(local)
        remote_since = now - self.suspect_after_seconds("")
        return [
            member
            for member in self._member_by_id.values()
            if member.grew_at
            > (
                local_since
                if member.record.data_centre == local
                else remote_since
            )
        ]

    def _heartbeat(self, now: float) -> Heartbeat:
        """Return what the next heartbeat carries."""
        alive = self._alive_members(now)
        if self._is_small:
            return Heartbeat((self._own, *(item.record for item in alive)))
        new_since = now - NEW_SECONDS
        new = [item for item in alive if item.learned_at > new_since]
        records = self._sample(new, NEW_RECORDS)
        records += self._sample(alive, REPAIR_RECORDS)
        changed = [item for item in alive if item.changed_at > new_since]
        local: list[_Member] = []
        remote: list[_Member] = []
        for item in alive:
            is_local = item.record.data_centre == self._own.data_centre
            (local if is_local else remote).append(item)
        chosen = {
            item.record.life.router_id: item
            for item in (
                *self._sample(changed, REMOTE_BEATS // 2),
                *self._sample(local, LOCAL_BEATS),
                *self._sample(remote, REMOTE_BEATS),
            )
        }
        return Heartbeat(
            members=(self._own, *(item.record for item in records)),
            beats=tuple(self._beat_of(item) for item in chosen.values()),
            known=len(alive) + 1,
        )

    def _sample(self, members: list[_Member], count: int) -> list[_Member]:
        if len(members) <= count:
            return members
        return self._generator.sample(members, count)

    def _beat_of(self, member: _Member) -> Beat:
        record = member.record
        return Beat(
            life_key(record.life),
            record.heartbeat,
            _STATES.index(record.state),
            self._own.applied_offset - record.applied_offset,
        )

    def _merge_record(self, record: MemberRecord, now: float) -> None:
        router_id = record.life.router_id
        known = self._member_by_id.get(router_id)
        if known is None or record.life > known.record.life:
            self._remove(router_id)
            self._member_by_id[router_id] = _Member(record, now, now, now)
            self._id_by_key[life_key(record.life)] = router_id
            self._local_members += record.data_centre == self._own.data_centre
        elif record.life == known.record.life:
            self._grow(known, record, now)

    def _merge_beat(self, beat: Beat, sender_offset: int, now: float) -> None:
        router_id = self._id_by_key.get(beat.key)
        if router_id is None or not 0 <= beat.state < len(_STATES):
            return
        known = self._member_by_id[router_id]
        if beat.heartbeat <= known.record.heartbeat:
            return
        record = msgspec.structs.replace(
            known.record,
            heartbeat=beat.heartbeat,
            state=_STATES[beat.state],
            applied_offset=sender_offset - beat.lag,
        )
        self._grow(known, record, now)

    def _grow(self, known: _Member, record: MemberRecord, now: float) -> None:
        if record.heartbeat <= known.record.heartbeat:
            return
        if record.state is not known.record.state:
            known.changed_at = now
        known.record = record
        known.grew_at = now

    def _note_missing(
        self, sender: MemberRecord, heartbeat: Heartbeat, now: float
    ) -> None:
        """Note a sender that knows much less than this router."""
        if self._is_small or sender.life.router_id == self._own.life.router_id:
            return
        known = heartbeat.known or len(heartbeat.members)
        if known + MISSING_ALLOWED < len(self._alive_members(now)):
            self._table_receivers.setdefault(sender.life.router_id)

    def _receivers(self) -> list[str]:
        ids_by_data_centre: dict[str, list[str]] = {}
        for router_id, data_centre in sorted(self._known().items()):
            ids_by_data_centre.setdefault(data_centre, []).append(router_id)
        local = ids_by_data_centre.pop(self._own.data_centre, [])
        if self._is_small:
            groups = list(ids_by_data_centre.values())
            return self._sample_ids(local, LOCAL_FANOUT) + [
                router_id
                for ids in groups
                for router_id in self._sample_ids(ids, REMOTE_FANOUT)
            ]
        groups = self._generator.sample(
            list(ids_by_data_centre.values()),
            min(LARGE_REMOTE_FANOUT, len(ids_by_data_centre)),
        )
        return self._sample_ids(local, LARGE_LOCAL_FANOUT) + [
            router_id
            for ids in groups
            for router_id in self._sample_ids(ids, REMOTE_FANOUT)
        ]

    def _sample_ids(self, ids: list[str], count: int) -> list[str]:
        return self._generator.sample(ids, min(count, len(ids)))

    def _known(self) -> dict[str, str]:
        """Return the data centres of seeds and members by router id."""
        known = {
            router_id: seed.data_centre
            for router_id, seed in self._seed_by_id.items()
        }
        for router_id, member in self._member_by_id.items():
            known[router_id] = member.record.data_centre
        return known

    def _drop_old(self, now: float) -> None:
        longest = max(
            self.suspect_after_seconds(self._own.data_centre),
            self.suspect_after_seconds(""),
        )
        oldest = now - longest * DROP_AFTER_SUSPECT_TIMES
        for router_id, member in list(self._member_by_id.items()):
            if member.grew_at <= oldest:
                self._remove(router_id)

    def _remove(self, router_id: str) -> None:
        member = self._member_by_id.pop(router_id, None)
        if member is None:
            return
        self._id_by_key.pop(life_key(member.record.life), None)
        is_local = member.record.data_centre == self._own.data_centre
        self._local_members -= is_local
