"""Agreement of routers on the upstream list, over orders of events."""

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import pytest
import structlog
from tests.router.components.routing.fleet_simulation import (
    SimulatedFleet,
    VirtualTimeLoop,
)

from lacewingspar_core.directory import (
    ChangeKind,
    DirectoryChange,
    UpstreamDirectory,
    UpstreamEntry,
)
from lacewingspar_core.log_readers import ReaderAssignment
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_standins.deployed.documents import manifest, upstream_entry

DATA_CENTRE_BY_ROUTER_ID = {"r0": "a", "r1": "a", "r2": "b", "r3": "b"}
READER = ReaderAssignment.of(DATA_CENTRE_BY_ROUTER_ID).reader
SERVICE = "plain"
# Times in seconds. The store returns from a copy of this age, and the upstream
# that it lacks writes its record again within 2 s, as the pages of the platform
# say.
RETURN_AT = 8.0
COPY_AGE = 3.1
HEARTBEAT = 1.2
# The routers must agree this long after the last event.
SETTLED_AFTER = 6.0


@dataclass(frozen=True)
class Schedule:
    """Times of the events, in seconds after the return of the store.

    Attributes:
        outage: How long the store was away before.
        rewritten: When the lost record is written again.
        restarted: Router that is stopped and started, or "".
        stopped: When it is stopped; may be negative.
        downtime: How long it is down.
    """

    outage: float
    rewritten: float
    restarted: str = ""
    stopped: float = 0.0
    downtime: float = 0.0


def schedules(restarted: str) -> Iterator[Schedule]:
    """Return schedules with the events in all orders."""
    stops = [step / 5 for step in range(-10, 6)] if restarted else [0.0]
    for outage, rewritten, stopped, downtime in itertools.product(
        (0.4, 1.0, 2.0), (0.3, 0.95, 1.7), stops, (0.4, 0.9)
    ):
        yield Schedule(outage, rewritten, restarted, stopped, downtime)


def record(upstream_id: str, sequence: int) -> bytes:
    address = f"127.0.0.1:{int(upstream_id[1:]) + 1}"
    return msgspec.json.encode(upstream_entry(SERVICE, address, sequence))


class Drill:
    """Plays a schedule."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._fleet = SimulatedFleet()
        self._loop = asyncio.get_running_loop()

    async def async_play(self) -> dict[str, set[str]]:
        """Return the ready upstreams of each router at the end."""
        fleet, schedule = self._fleet, self._schedule
        fleet.write_configuration(manifest())
        # The first one is always there, the second one is new, and the third
        # one leaves after the copy was made.
        for upstream_id in ("p1", "p3"):
            fleet.write_upstream(upstream_id, record(upstream_id, 1))
        for router_id, data_centre in DATA_CENTRE_BY_ROUTER_ID.items():
            await fleet.async_start_router(router_id, data_centre)
        tasks = [
            asyncio.create_task(self._async_renew("p1", 0.0)),
            asyncio.create_task(
                self._async_renew("p2", RETURN_AT + schedule.rewritten)
            ),
            asyncio.create_task(self._async_restart()),
        ]
        await self._async_until(RETURN_AT - COPY_AGE)
        copied = fleet.store.copied_topics()
        fleet.write_upstream("p2", record("p2", 1))
        fleet.write_upstream("p3", b"")
        await self._async_until(RETURN_AT - schedule.outage)
        fleet.begin_outage()
        await self._async_until(RETURN_AT)
        fleet.end_outage(copied)
        await self._async_until(RETURN_AT + schedule.rewritten)
        fleet.write_upstream("p2", record("p2", 1))
        fleet.write_upstream("p3", b"")
        last = max(schedule.rewritten, schedule.stopped + schedule.downtime)
        await self._async_until(RETURN_AT + last + SETTLED_AFTER)
        found = fleet.ready_by_router_id(SERVICE)
        for task in tasks:
            task.cancel()
        await fleet.async_stop()
        return found

    async def _async_renew(self, upstream_id: str, after: float) -> None:
        await self._async_until(after)
        for sequence in itertools.count(2):
            await asyncio.sleep(HEARTBEAT)
            self._fleet.write_upstream(
                upstream_id, record(upstream_id, sequence)
            )

    async def _async_restart(self) -> None:
        router_id = self._schedule.restarted
        if not router_id:
            return
        await self._async_until(RETURN_AT + self._schedule.stopped)
        await self._fleet.async_stop_router(router_id)
        await asyncio.sleep(self._schedule.downtime)
        await self._fleet.async_start_router(
            router_id, DATA_CENTRE_BY_ROUTER_ID[router_id]
        )

    async def _async_until(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self._loop.time()))


def play(schedule: Schedule) -> dict[str, set[str]]:
    """Return the ready upstreams of each router at the end of a schedule."""

    async def async_play() -> dict[str, set[str]]:
        return await Drill(schedule).async_play()

    with (
        structlog.testing.capture_logs(),
        asyncio.Runner(loop_factory=VirtualTimeLoop) as runner,
    ):
        return runner.run(async_play())


def is_agreed(found: dict[str, set[str]]) -> bool:
    return all(ready == {"p1", "p2"} for ready in found.values())


def broken_schedules(restarted: str) -> dict[Schedule, dict[str, set[str]]]:
    """Return the schedules after which a router lists other upstreams."""
    found_by_schedule = {item: play(item) for item in schedules(restarted)}
    return {
        schedule: found
        for schedule, found in found_by_schedule.items()
        if not is_agreed(found)
    }


@pytest.mark.parametrize(
    "restarted",
    [
        "",
        pytest.param(
            READER,
            marks=pytest.mark.xfail(
                strict=True, reason="KNOWN-RED.txt, entry 23; issue 66"
            ),
        ),
        *sorted(DATA_CENTRE_BY_ROUTER_ID.keys() - {READER}),
    ],
)
def test_routers_agree_after_a_restoration(restarted: str) -> None:
    """Guards against a live upstream that some routers drop for good."""
    assert not broken_schedules(restarted)


def test_schedules_find_records_that_are_not_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against schedules that miss the fault of review case 9.

    Readers passed on only what was a change in their own directory.
    """
    apply = UpstreamDirectory.apply

    def apply_silently(
        directory: UpstreamDirectory, entry: UpstreamEntry
    ) -> DirectoryChange | None:
        change = apply(directory, entry)
        directory._relisted_ids.clear()
        if change is None or change.kind is ChangeKind.RELISTED:
            return None
        return change

    monkeypatch.setattr(UpstreamDirectory, "apply", apply_silently)
    monkeypatch.setattr(RoutingState, "_update_listed", lambda *_: False)
    assert broken_schedules("")
