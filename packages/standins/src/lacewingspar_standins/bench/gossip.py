"""Simulation of heartbeats between many member tables."""

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.membership import (
    HEARTBEAT_INTERVAL_SECONDS,
    Membership,
)
from lacewingspar_core.messages import (
    Heartbeat,
    MemberRecord,
    RouterState,
    decode_message,
    encode_message,
)

# Random variation of the heartbeat interval, as a fraction of it.
_HEARTBEAT_JITTER_FRACTION = 0.05


@dataclass(slots=True)
class GossipFigures:
    """Results of one simulation.

    Attributes:
        sent_bytes: Bytes of all heartbeats.
        messages: Number of heartbeats.
        cpu_seconds: Processor time that the first router spends on heartbeats.
        local_misses: Number of times that a live router of the same data
            centre was not seen as alive, checked at every heartbeat.
        remote_misses: The same for routers of other data centres.
        suspected_seconds: Time from a failure until its detection, for each
            other router of the data centre.
    """

    sent_bytes: int = 0
    messages: int = 0
    cpu_seconds: float = 0.0
    local_misses: int = 0
    remote_misses: int = 0
    suspected_seconds: list[float] = field(default_factory=list)


class GossipFleet:
    """Simulates routers that exchange heartbeats without delay.

    Args:
        routers: Number of routers.
        data_centres: Number of data centres, with equal numbers of routers.
        seed: Seed of heartbeat phases and receivers.
        loss: Fraction of the heartbeats that is lost.
    """

    def __init__(
        self, routers: int, data_centres: int, seed: int, loss: float = 0.0
    ) -> None:
        self.now = 0.0
        self.figures = GossipFigures()
        self._loss = loss
        self._generator = random.Random(seed)
        records = [
            member_record(index, data_centres) for index in range(routers)
        ]
        table = Heartbeat(tuple(records))
        self.membership_by_id: dict[str, Membership] = {}
        self._next_heartbeat_by_id: dict[str, float] = {}
        for index, record in enumerate(records):
            membership = Membership(
                record, (), random.Random(seed * 1009 + index)
            )
            membership.merge(table, 0.0)
            router_id = record.life.router_id
            self.membership_by_id[router_id] = membership
            self._next_heartbeat_by_id[router_id] = self._generator.random()
        self.first_id = records[0].life.router_id

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        for router_id in self._due_routers(self.now + seconds):
            self._send_heartbeats(router_id)
            self._count_misses(router_id)

    def fail(self, router_id: str, seconds: float) -> None:
        """Stop a router and measure when its data centre detects it."""
        failed = self.membership_by_id.pop(router_id)
        del self._next_heartbeat_by_id[router_id]
        failed_at = self.now
        unaware = {
            other
            for other, membership in self.membership_by_id.items()
            if membership.own_record.data_centre
            == failed.own_record.data_centre
        }
        for other in self._due_routers(self.now + seconds):
            self._send_heartbeats(other)
            alive = self.membership_by_id[other].alive(self.now)
            if other in unaware and router_id not in alive:
                unaware.remove(other)
                self.figures.suspected_seconds.append(self.now - failed_at)
        self.figures.suspected_seconds += [seconds] * len(unaware)

    def _due_routers(self, until: float) -> Iterator[str]:
        """Yield the routers in the order of their heartbeats."""
        while True:
            router_id = min(
                self._next_heartbeat_by_id,
                key=self._next_heartbeat_by_id.__getitem__,
            )
            if self._next_heartbeat_by_id[router_id] >= until:
                self.now = until
                return
            self.now = self._next_heartbeat_by_id[router_id]
            jitter = 1 + self._generator.uniform(0, _HEARTBEAT_JITTER_FRACTION)
            self._next_heartbeat_by_id[router_id] += (
                HEARTBEAT_INTERVAL_SECONDS * jitter
            )
            yield router_id

    def _send_heartbeats(self, router_id: str) -> None:
        started_at = time.process_time()
        membership = self.membership_by_id[router_id]
        heartbeat, receivers = membership.next_heartbeat(self.now)
        data = encode_message(heartbeat)
        if router_id == self.first_id:
            self.figures.cpu_seconds += time.process_time() - started_at
        for receiver in receivers:
            self._send(receiver, heartbeat, data)
        table, receivers = membership.next_full_table(self.now)
        for receiver in receivers:
            if table is not None:
                self._send(receiver, table, encode_message(table))

    def _send(self, receiver: str, message: Heartbeat, data: bytes) -> None:
        self.figures.sent_bytes += len(data)
        self.figures.messages += 1
        membership = self.membership_by_id.get(receiver)
        if membership is None or self._generator.random() < self._loss:
            return
        if receiver != self.first_id:
            membership.merge(message, self.now)
            return
        started_at = time.process_time()
        decoded = decode_message(data)
        assert isinstance(decoded, Heartbeat)
        membership.merge(decoded, self.now)
        membership.alive(self.now)
        self.figures.cpu_seconds += time.process_time() - started_at

    def _count_misses(self, router_id: str) -> None:
        own = self.membership_by_id[router_id]
        alive = own.alive(self.now)
        for other, membership in self.membership_by_id.items():
            if other in alive:
                continue
            if membership.own_record.data_centre == own.own_record.data_centre:
                self.figures.local_misses += 1
            else:
                self.figures.remote_misses += 1


def member_record(index: int, data_centres: int) -> MemberRecord:
    """Return the member record of a serving router."""
    data_centre = f"dc-{index % data_centres + 1}"
    return MemberRecord(
        life=RouterInstance(
            f"router-{data_centre}-{index:03}", (1 << 52) + index * 7919
        ),
        data_centre=data_centre,
        address=f"tcp://10.12.{index // 250}.{index % 250}:7000",
        state=RouterState.SERVING,
        heartbeat=70_000,
        applied_offset=2_600,
    )
