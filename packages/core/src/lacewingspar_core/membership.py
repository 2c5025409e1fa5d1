"""Failure detection with heartbeat counters that spread by gossip."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from lacewingspar_core.identity import instance_key
from lacewingspar_core.messages import (
    Heartbeat,
    MemberRecord,
    MemberUpdate,
    RouterState,
)

HEARTBEAT_INTERVAL_SECONDS = 1.0
# A router counts as failed if its heartbeat counter has not increased for this
# long (in small fleets, which exchange full tables).
FAILURE_TIMEOUT_SECONDS = 3.0
# A router is removed if its heartbeat counter has not increased for this
# multiple of the longest failure timeout. It stays known until then, so that
# its old heartbeats do not look new.
REMOVAL_TIMEOUT_MULTIPLE = 10.0
# Receivers of a heartbeat in the router's own data centre.
LOCAL_FANOUT = 4
# Receivers of a heartbeat in each other data centre.
REMOTE_FANOUT = 1

# Larger fleets exchange partial tables. At 8 routers in 4 data centres full
# tables take 2.2 KB/s, and the traffic grows with the square of the fleet size.
MAX_FULL_TABLE_ROUTERS = 12
# Receivers of partial tables. A few large messages spread a partial table as
# fast as many small ones, and cost less processor time.
LARGE_FLEET_LOCAL_FANOUT = 2
LARGE_FLEET_REMOTE_FANOUT = 1
# Member updates in one heartbeat: enough for the 77 other routers of a data
# centre at the target size, and for 40 routers of other data centres.
LOCAL_UPDATES_PER_HEARTBEAT = 80
REMOTE_UPDATES_PER_HEARTBEAT = 40
# Full records in one heartbeat of routers that have just become known and that
# other routers may lack.
NEW_RECORDS_PER_HEARTBEAT = 8
# Full records in one heartbeat that are chosen at random, to replace lost ones.
RANDOM_RECORDS_PER_HEARTBEAT = 1
# A router or its state counts as new for this long.
RECENT_CHANGE_SECONDS = 5.0
# Full tables that a router sends between two heartbeats. At 390 routers each
# takes about 35 KB.
FULL_TABLES_PER_HEARTBEAT = 2
# A router that lacks more routers than this is sent a full table.
MAX_MISSING_ROUTERS = 8
# Failure timeouts with partial tables. `script/bench capacity gossip` shows the
# longest time between two increases of a live router's heartbeat counter.
LARGE_FLEET_LOCAL_TIMEOUT_SECONDS = 10.0
LARGE_FLEET_REMOTE_TIMEOUT_SECONDS = 13.0
# Added for each heartbeat that it takes to include all routers of the other
# data centres once.
REMOTE_TIMEOUT_SECONDS_PER_HEARTBEAT = 4.0

_STATES = tuple(RouterState)


@dataclass(slots=True)
class _Member:
    """A known router and the times of its latest changes.

    Attributes:
        record: Its newest record.
        increased_at: Time of the last increase of its heartbeat counter.
        changed_at: Time at which its instance or state last changed.
        added_at: Time at which its instance became known.
    """

    record: MemberRecord
    increased_at: float
    changed_at: float
    added_at: float


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
        seeds: Routers that are contacted before they are known through gossip.
        generator: Seeded random generator, which chooses receivers and records.
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
        self._id_by_instance_key: dict[int, str] = {}
        self._local_member_count = 0
        self._full_table_receivers: dict[str, None] = {}
        self._generator = generator

    @property
    def own_record(self) -> MemberRecord:
        """Return the record of this router."""
        return self._own

    def add_seeds(self, seeds: Iterable[Seed]) -> None:
        """Add routers to contact before they are known through gossip."""
        for seed in seeds:
            if seed.router_id != self._own.life.router_id:
                self._seed_by_id[seed.router_id] = seed

    def update_own_record(
        self, state: RouterState, applied_offset: int
    ) -> None:
        """Update the state and the offset that this router announces."""
        self._own = msgspec.structs.replace(
            self._own, state=state, applied_offset=applied_offset
        )

    def next_heartbeat(self, now: float) -> tuple[Heartbeat, list[str]]:
        """Increase the own heartbeat counter and build the next heartbeat.

        Returns:
            The message and the ids of the routers that receive it.
        """
        self._own = msgspec.structs.replace(
            self._own, heartbeat=self._own.heartbeat + 1
        )
        self._remove_expired(now)
        return self._build_heartbeat(now), self._receivers(now)

    def next_full_table(self, now: float) -> tuple[Heartbeat | None, list[str]]:
        """Return the full table and the next routers to send it to.

        Each call returns at most `FULL_TABLES_PER_HEARTBEAT` receivers; the
        others wait for the next call.
        """
        receivers = list(self._full_table_receivers)[:FULL_TABLES_PER_HEARTBEAT]
        if not receivers:
            return None, []
        for router_id in receivers:
            del self._full_table_receivers[router_id]
        records = tuple(member.record for member in self._alive_members(now))
        return Heartbeat((self._own, *records)), receivers

    def merge(self, heartbeat: Heartbeat, now: float) -> None:
        """Merge the member table of another router; the newest records win."""
        if not heartbeat.members:
            return
        sender = heartbeat.members[0]
        self._schedule_full_table(sender, heartbeat, now)
        for record in heartbeat.members:
            if record.life.router_id != self._own.life.router_id:
                self._merge_record(record, now)
        for update in heartbeat.member_updates:
            self._merge_update(update, sender.applied_offset, now)

    def alive(self, now: float) -> dict[str, MemberRecord]:
        """Return the routers that are alive by id, including this one."""
        result = {
            member.record.life.router_id: member.record
            for member in self._alive_members(now)
        }
        result[self._own.life.router_id] = self._own
        return result

    def failure_timeout_seconds(self, data_centre: str) -> float:
        """Return the failure timeout of the routers in a data centre."""
        if self._uses_full_tables:
            return FAILURE_TIMEOUT_SECONDS
        if data_centre == self._own.data_centre:
            heartbeats = max(
                1.0, self._local_member_count / LOCAL_UPDATES_PER_HEARTBEAT
            )
            return LARGE_FLEET_LOCAL_TIMEOUT_SECONDS * heartbeats
        remote = len(self._member_by_id) - self._local_member_count
        heartbeats = remote / REMOTE_UPDATES_PER_HEARTBEAT
        return (
            LARGE_FLEET_REMOTE_TIMEOUT_SECONDS
            + REMOTE_TIMEOUT_SECONDS_PER_HEARTBEAT * heartbeats
        )

    def address_of(self, router_id: str) -> str | None:
        """Return the endpoint of a router, or None if it is unknown."""
        member = self._member_by_id.get(router_id)
        if member is not None:
            return member.record.address
        seed = self._seed_by_id.get(router_id)
        return seed.address if seed else None

    def addresses(self) -> set[str]:
        """Return the endpoints of all seeds and known routers."""
        return {seed.address for seed in self._seed_by_id.values()} | {
            member.record.address for member in self._member_by_id.values()
        }

    @property
    def _uses_full_tables(self) -> bool:
        return len(self._member_by_id) < MAX_FULL_TABLE_ROUTERS

    def _alive_members(self, now: float) -> list[_Member]:
        local = self._own.data_centre
        local_since = now - self.failure_timeout_seconds(local)
        remote_since = now - self.failure_timeout_seconds("")
        return [
            member
            for member in self._member_by_id.values()
            if member.increased_at
            > (
                local_since
                if member.record.data_centre == local
                else remote_since
            )
        ]

    def _build_heartbeat(self, now: float) -> Heartbeat:
        """Build the next heartbeat."""
        alive = self._alive_members(now)
        if self._uses_full_tables:
            return Heartbeat((self._own, *(item.record for item in alive)))
        new_since = now - RECENT_CHANGE_SECONDS
        new = [item for item in alive if item.added_at > new_since]
        records = self._sample(new, NEW_RECORDS_PER_HEARTBEAT)
        records += self._sample(alive, RANDOM_RECORDS_PER_HEARTBEAT)
        changed = [item for item in alive if item.changed_at > new_since]
        local: list[_Member] = []
        remote: list[_Member] = []
        for item in alive:
            is_local = item.record.data_centre == self._own.data_centre
            (local if is_local else remote).append(item)
        chosen = {
            item.record.life.router_id: item
            for item in (
                *self._sample(changed, REMOTE_UPDATES_PER_HEARTBEAT // 2),
                *self._sample(local, LOCAL_UPDATES_PER_HEARTBEAT),
                *self._sample(remote, REMOTE_UPDATES_PER_HEARTBEAT),
            )
        }
        return Heartbeat(
            members=(self._own, *(item.record for item in records)),
            member_updates=tuple(
                self._update_of(item) for item in chosen.values()
            ),
            alive_count=len(alive) + 1,
        )

    def _sample(self, members: list[_Member], count: int) -> list[_Member]:
        if len(members) <= count:
            return members
        return self._generator.sample(members, count)

    def _update_of(self, member: _Member) -> MemberUpdate:
        record = member.record
        return MemberUpdate(
            instance_key(record.life),
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
            self._id_by_instance_key[instance_key(record.life)] = router_id
            self._local_member_count += (
                record.data_centre == self._own.data_centre
            )
        elif record.life == known.record.life:
            self._replace_if_newer(known, record, now)

    def _merge_update(
        self, update: MemberUpdate, sender_offset: int, now: float
    ) -> None:
        router_id = self._id_by_instance_key.get(update.instance_key)
        if router_id is None or not 0 <= update.state < len(_STATES):
            return
        known = self._member_by_id[router_id]
        if update.heartbeat <= known.record.heartbeat:
            return
        record = msgspec.structs.replace(
            known.record,
            heartbeat=update.heartbeat,
            state=_STATES[update.state],
            applied_offset=sender_offset - update.offset_lag,
        )
        self._replace_if_newer(known, record, now)

    def _replace_if_newer(
        self, known: _Member, record: MemberRecord, now: float
    ) -> None:
        if record.heartbeat <= known.record.heartbeat:
            return
        if record.state is not known.record.state:
            known.changed_at = now
        known.record = record
        known.increased_at = now

    def _schedule_full_table(
        self, sender: MemberRecord, heartbeat: Heartbeat, now: float
    ) -> None:
        """Schedule a full table for a sender that knows far fewer routers."""
        if (
            self._uses_full_tables
            or sender.life.router_id == self._own.life.router_id
        ):
            return
        known = heartbeat.alive_count or len(heartbeat.members)
        if known + MAX_MISSING_ROUTERS < len(self._alive_members(now)):
            self._full_table_receivers.setdefault(sender.life.router_id)

    def _receivers(self, now: float) -> list[str]:
        ids_by_data_centre: dict[str, list[str]] = {}
        for router_id, data_centre in sorted(self._data_centre_by_id().items()):
            ids_by_data_centre.setdefault(data_centre, []).append(router_id)
        local = ids_by_data_centre.pop(self._own.data_centre, [])
        if self._uses_full_tables:
            groups = list(ids_by_data_centre.values())
            alive = self.alive(now).keys()
            return self._sample_alive_first(local, alive, LOCAL_FANOUT) + [
                router_id
                for ids in groups
                for router_id in self._sample_alive_first(
                    ids, alive, REMOTE_FANOUT
                )
            ]
        groups = self._generator.sample(
            list(ids_by_data_centre.values()),
            min(LARGE_FLEET_REMOTE_FANOUT, len(ids_by_data_centre)),
        )
        return self._sample_ids(local, LARGE_FLEET_LOCAL_FANOUT) + [
            router_id
            for ids in groups
            for router_id in self._sample_ids(ids, REMOTE_FANOUT)
        ]

    def _sample_alive_first(
        self, ids: list[str], alive: Collection[str], count: int
    ) -> list[str]:
        """Return some alive routers, and one of the others in addition.

        A router that is gone must not take the place of an alive one, which
        would miss heartbeats.
        """
        others = [router_id for router_id in ids if router_id not in alive]
        return self._sample_ids(
            [router_id for router_id in ids if router_id in alive], count
        ) + self._sample_ids(others, 1)

    def _sample_ids(self, ids: list[str], count: int) -> list[str]:
        return self._generator.sample(ids, min(count, len(ids)))

    def _data_centre_by_id(self) -> dict[str, str]:
        """Return the data centres of seeds and members by router id."""
        known = {
            router_id: seed.data_centre
            for router_id, seed in self._seed_by_id.items()
        }
        for router_id, member in self._member_by_id.items():
            known[router_id] = member.record.data_centre
        return known

    def _remove_expired(self, now: float) -> None:
        longest = max(
            self.failure_timeout_seconds(self._own.data_centre),
            self.failure_timeout_seconds(""),
        )
        oldest = now - longest * REMOVAL_TIMEOUT_MULTIPLE
        for router_id, member in list(self._member_by_id.items()):
            if member.increased_at <= oldest:
                self._remove(router_id)

    def _remove(self, router_id: str) -> None:
        member = self._member_by_id.pop(router_id, None)
        if member is None:
            return
        self._id_by_instance_key.pop(instance_key(member.record.life), None)
        is_local = member.record.data_centre == self._own.data_centre
        self._local_member_count -= is_local
