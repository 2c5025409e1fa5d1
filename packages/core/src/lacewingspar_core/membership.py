"""Who is alive: heartbeat counters that spread by gossip."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import Heartbeat, MemberRecord, RouterState

HEARTBEAT_INTERVAL_SECONDS = 0.5
# A router whose heartbeat has not grown for this long is not alive.
SUSPECT_AFTER_SECONDS = 3.0
# A router whose heartbeat has not grown for this long is dropped. It stays
# known until then, so that its old heartbeats do not look new.
DROP_AFTER_SECONDS = 30.0
# Receivers of a heartbeat in the own data centre.
LOCAL_FANOUT = 4
# Receivers of a heartbeat in each other data centre.
REMOTE_FANOUT = 1


@dataclass(slots=True)
class _Member:
    """A known router and when its heartbeat last grew."""

    record: MemberRecord
    grew_at: float


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
        self._generator = generator

    @property
    def own(self) -> MemberRecord:
        """Return the record of this router."""
        return self._own

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
        members = tuple(
            member.record
            for member in self._member_by_id.values()
            if now - member.grew_at < SUSPECT_AFTER_SECONDS
        )
        return Heartbeat((self._own, *members)), self._receivers()

    def merge(self, heartbeat: Heartbeat, now: float) -> None:
        """Merge the member table of another router by maximum."""
        for record in heartbeat.members:
            router_id = record.life.router_id
            if router_id == self._own.life.router_id:
                continue
            known = self._member_by_id.get(router_id)
            if known is None or _age(record) > _age(known.record):
                self._member_by_id[router_id] = _Member(record, now)

    def alive(self, now: float) -> dict[str, MemberRecord]:
        """Return the routers that are alive by id, this one included."""
        result = {
            router_id: member.record
            for router_id, member in self._member_by_id.items()
            if now - member.grew_at < SUSPECT_AFTER_SECONDS
        }
        result[self._own.life.router_id] = self._own
        return result

    def address_of(self, router_id: str) -> str | None:
        """Return the endpoint of a router, if it is known."""
        member = self._member_by_id.get(router_id)
        if member is not None:
            return member.record.address
        seed = self._seed_by_id.get(router_id)
        return seed.address if seed else None

    def _receivers(self) -> list[str]:
        ids_by_data_centre: dict[str, list[str]] = {}
        for router_id, data_centre in sorted(self._known().items()):
            ids_by_data_centre.setdefault(data_centre, []).append(router_id)
        receivers: list[str] = []
        for data_centre, ids in ids_by_data_centre.items():
            is_local = data_centre == self._own.data_centre
            fanout = LOCAL_FANOUT if is_local else REMOTE_FANOUT
            receivers += self._generator.sample(ids, min(fanout, len(ids)))
        return receivers

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
        for router_id, member in list(self._member_by_id.items()):
            if now - member.grew_at >= DROP_AFTER_SECONDS:
                del self._member_by_id[router_id]


def _age(record: MemberRecord) -> tuple[RouterLife, int]:
    """Return a key that grows with the age of a record of one router."""
    return (record.life, record.heartbeat)
