"""Callers of the fault soak that send on many connections at one moment.

Their bursts also delay the event loops of the routers.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass

from lacewingspar_standins.bench.soak_callers import (
    DEADLINE_GRACE_SECONDS,
    DEADLINES_SECONDS,
    RECONNECT_SECONDS,
    ObservedCall,
    SoakCallers,
    async_read_responses,
    encode,
)
from lacewingspar_standins.bench.soak_configuration import (
    EXTRA_PATHS,
    FLIP_PATHS,
)
from lacewingspar_standins.bench.soak_connections import ObservedConnection
from lacewingspar_standins.bench.soak_fleet import (
    STOP_GRACE_SECONDS,
    SoakFleet,
)

# Connections of each group of a router, one group each.
GROUP_SIZES = (8, 30, 60)
# Few reach upstreams, so that the bursts load the routers rather than those.
WEIGHT_BY_BURST_PATH = {
    "/read/": 2,
    "/write/": 1,
    EXTRA_PATHS[-1]: 3,
    **dict.fromkeys(FLIP_PATHS, 2),
}
# Numbers of parts in which a group sends, one of which is drawn, and the
# longest time between two parts.
PARTS_PER_BURST = (1, 1, 4, 12)
MAX_PART_GAP_SECONDS = 0.3
# Longest time without a change of the deployment after which a group sends.
MAX_CHANGE_WAIT_SECONDS = 5.0
MAX_PAUSE_SECONDS = 2.0
# Longest time between two bursts that load a router.
MAX_LOAD_GAP_SECONDS = 0.4
# Groups wait for idle timeouts up to this one, and send this close to it.
MAX_IDLE_TIMEOUT_SECONDS = 3.0
IDLE_TIMEOUT_FRACTIONS = (0.97, 1.01)
# Heavy requests that follow each other on a connection to a router that is to
# be loaded. Their headers take most of what a router accepts.
HEAVY_PIPELINE = 4
# Connections of a part that carry heavy requests, and the largest group that
# sends any. Together they delay the event loop of a router by some tenths of a
# second; the requests of larger groups meet the delay.
HEAVY_CONNECTIONS = 16
MAX_HEAVY_GROUP_SIZE = 30
HEAVY_HEADERS = b"".join(b"\r\nX-%04x: 0" % number for number in range(1300))


@dataclass(frozen=True, slots=True)
class _Group:
    """Callers that keep connections to one router."""

    router_id: str
    size: int


@dataclass(frozen=True, slots=True)
class _Sent:
    """Requests that were sent together on a connection."""

    connection: ObservedConnection
    calls: list[ObservedCall]


class SoakBursts:
    """Groups of callers with kept connections to one router each.

    Args:
        callers: Creates the requests and records them.
        fleet: The deployment.
        seed: Seed of the bursts.
    """

    def __init__(
        self, callers: SoakCallers, fleet: SoakFleet, seed: int
    ) -> None:
        self._callers = callers
        self._fleet = fleet
        self._seed = seed

    async def async_run(self) -> None:
        """Send bursts until cancelled."""
        groups = itertools.starmap(
            _Group,
            itertools.product(sorted(self._fleet.plan_by_id), GROUP_SIZES),
        )
        async with asyncio.TaskGroup() as tasks:
            for number, group in enumerate(groups):
                generator = random.Random(f"{self._seed}-{number}")
                tasks.create_task(self._async_run_group(group, generator))

    async def _async_run_group(
        self, group: _Group, generator: random.Random
    ) -> None:
        connections: list[ObservedConnection] = []
        try:
            while True:
                await self._async_fill(connections, group)
                await self._async_wait(group.router_id, generator)
                await self._async_burst(connections, group, generator)
        finally:
            for connection in connections:
                connection.abort()

    async def _async_fill(
        self, connections: list[ObservedConnection], group: _Group
    ) -> None:
        """Open all connections that are missing at once."""
        opened = await asyncio.gather(
            *(
                self._callers.async_connect(group.router_id)
                for _ in range(group.size - len(connections))
            )
        )
        connections += [item for item in opened if item is not None]
        if not connections:
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _async_wait(
        self, router_id: str, generator: random.Random
    ) -> None:
        """Wait for the moment of the next burst."""
        if self._fleet.loaded[router_id]:
            await asyncio.sleep(generator.uniform(0.0, MAX_LOAD_GAP_SECONDS))
            return
        idle_seconds = self._fleet.configuration.idle_timeout_seconds
        match generator.choice(("change", "drain", "idle", "pause")):
            case "change":
                await self._fleet.changes.async_wait(MAX_CHANGE_WAIT_SECONDS)
                await asyncio.sleep(
                    generator.choice((0.0, generator.uniform(0.0, 0.1)))
                )
            case "drain":
                await self._fleet.changes.async_wait(MAX_CHANGE_WAIT_SECONDS)
                await asyncio.sleep(generator.uniform(0.0, STOP_GRACE_SECONDS))
            case "idle" if idle_seconds <= MAX_IDLE_TIMEOUT_SECONDS:
                await asyncio.sleep(
                    generator.uniform(*IDLE_TIMEOUT_FRACTIONS) * idle_seconds
                )
            case _:
                await asyncio.sleep(generator.uniform(0.0, MAX_PAUSE_SECONDS))

    async def _async_burst(
        self,
        connections: list[ObservedConnection],
        group: _Group,
        generator: random.Random,
    ) -> None:
        """Send on all connections, and keep those that are reusable."""
        parts = generator.choice(PARTS_PER_BURST)
        gap_seconds = generator.uniform(0.0, MAX_PART_GAP_SECONDS)
        rest = list(connections)
        connections.clear()
        async with asyncio.TaskGroup() as tasks:
            for left in range(parts, 0, -1):
                count = -(-len(rest) // left)
                part, rest = rest[:count], rest[count:]
                for sent in self._send(part, group, generator):
                    tasks.create_task(_async_read(sent, connections))
                if rest:
                    await asyncio.sleep(gap_seconds)

    def _send(
        self,
        connections: list[ObservedConnection],
        group: _Group,
        generator: random.Random,
    ) -> list[_Sent]:
        """Send requests on the open ones of some connections."""
        is_heavy = (
            group.size <= MAX_HEAVY_GROUP_SIZE
            and self._fleet.loaded[group.router_id] > 0
        )
        deadline_seconds = generator.choice(DEADLINES_SECONDS)
        batch: list[_Sent] = []
        data: list[bytes] = []
        for number, connection in enumerate(connections):
            if connection.is_end_reported:
                continue
            is_loading = is_heavy and number < HEAVY_CONNECTIONS
            calls = [
                self._callers.new_call(
                    group.router_id,
                    deadline_seconds,
                    generator,
                    WEIGHT_BY_BURST_PATH,
                )
                for _ in range(HEAVY_PIPELINE if is_loading else 1)
            ]
            for previous, call in itertools.pairwise(calls):
                call.previous = previous
            encode_call = _encode_heavy if is_loading else encode
            data.append(b"".join(encode_call(call) for call in calls))
            batch.append(_Sent(connection, calls))
        for sent, item in zip(batch, data, strict=True):
            sent.connection.send(item)
        for sent in batch:
            sent.connection.settle()
        return batch


def _encode_heavy(call: ObservedCall) -> bytes:
    head, separator, body = encode(call).partition(b"\r\n\r\n")
    return head + HEAVY_HEADERS + separator + body


async def _async_read(sent: _Sent, reusable: list[ObservedConnection]) -> None:
    """Read the responses, and keep the connection if it is reusable."""
    timeout_seconds = sent.calls[0].deadline_seconds + DEADLINE_GRACE_SECONDS
    is_reusable = False
    try:
        is_reusable = await async_read_responses(
            sent.connection, sent.calls, timeout_seconds
        )
    finally:
        if is_reusable:
            reusable.append(sent.connection)
        else:
            sent.connection.abort()
