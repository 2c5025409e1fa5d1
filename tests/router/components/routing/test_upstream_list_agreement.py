"""Agreement of routers on the upstream list, over orders of events."""

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

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
# The store returns from a copy of this age. An upstream that the copy lacks
# writes its record again within 2 s of the return.
RETURN_AT_SECONDS = 8.0
COPY_AGE_SECONDS = 3.1
HEARTBEAT_SECONDS = 1.2
# The routers must agree this long after the last event.
SETTLE_SECONDS = 6.0


class Disturbance(Enum):
    """What happens to a router beside the restoration.

    Attributes:
        NONE: Nothing.
        RESTART: It is stopped and started.
        CUT_OFF: Its messages from and to other routers are lost.
        WITHOUT_STORE: It does not reach the store.
    """

    NONE = "none"
    RESTART = "restart"
    CUT_OFF = "cut"
    WITHOUT_STORE = "lost store"


KNOWN_RED_MARKS = {
    (Disturbance.RESTART, READER): pytest.mark.xfail(
        strict=True, reason="KNOWN-RED.txt, entry 23; issue 66"
    ),
}


@dataclass(frozen=True)
class Schedule:
    """Times of the events, in seconds after the return of the store.

    Attributes:
        outage: How long the store was away before.
        rewritten: When the lost record is written again.
        disturbance: What happens to a router.
        router_id: The router.
        begins: When it begins; may be negative.
        lasts: How long it lasts.
    """

    outage: float
    rewritten: float
    disturbance: Disturbance
    router_id: str = ""
    begins: float = 0.0
    lasts: float = 0.0


def schedules(
    disturbance: Disturbance, router_id: str = ""
) -> Iterator[Schedule]:
    """Return schedules with the events in all orders."""
    begins, lasts = [step / 5 for step in range(-10, 6)], [0.4, 0.9]
    if disturbance is Disturbance.NONE:
        begins, lasts = [0.0], [0.0]
    for outage, rewritten, begin, duration in itertools.product(
        (0.4, 1.0), (0.3, 0.95, 1.7), begins, lasts
    ):
        yield Schedule(
            outage, rewritten, disturbance, router_id, begin, duration
        )


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
                self._async_renew("p2", RETURN_AT_SECONDS + schedule.rewritten)
            ),
            asyncio.create_task(self._async_disturb()),
        ]
        await self._async_until(RETURN_AT_SECONDS - COPY_AGE_SECONDS)
        copied = fleet.store.copied_topics()
        fleet.write_upstream("p2", record("p2", 1))
        fleet.write_upstream("p3", b"")
        await self._async_until(RETURN_AT_SECONDS - schedule.outage)
        fleet.begin_outage()
        await self._async_until(RETURN_AT_SECONDS)
        fleet.end_outage(copied)
        await self._async_until(RETURN_AT_SECONDS + schedule.rewritten)
        fleet.write_upstream("p2", record("p2", 1))
        fleet.write_upstream("p3", b"")
        last = max(schedule.rewritten, schedule.begins + schedule.lasts)
        await self._async_until(RETURN_AT_SECONDS + last + SETTLE_SECONDS)
        found = fleet.ready_by_router_id(SERVICE)
        for task in tasks:
            task.cancel()
        await fleet.async_stop()
        return found

    async def _async_renew(self, upstream_id: str, after: float) -> None:
        await self._async_until(after)
        for sequence in itertools.count(2):
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._fleet.write_upstream(
                upstream_id, record(upstream_id, sequence)
            )

    async def _async_disturb(self) -> None:
        fleet, router_id = self._fleet, self._schedule.router_id
        lasts = self._schedule.lasts
        await self._async_until(RETURN_AT_SECONDS + self._schedule.begins)
        match self._schedule.disturbance:
            case Disturbance.RESTART:
                await fleet.async_stop_router(router_id)
                await asyncio.sleep(lasts)
                await fleet.async_start_router(
                    router_id, DATA_CENTRE_BY_ROUTER_ID[router_id]
                )
            case Disturbance.CUT_OFF:
                await fleet.async_cut_off(router_id, lasts)
            case Disturbance.WITHOUT_STORE:
                await fleet.async_withhold_store(router_id, lasts)
            case Disturbance.NONE:
                pass

    async def _async_until(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self._loop.time()))


def play(schedule: Schedule) -> dict[str, set[str]]:
    """Return the ready upstreams of each router at the end of a schedule."""

    async def async_play() -> dict[str, set[str]]:
        return await Drill(schedule).async_play()

    with (
        structlog.testing.capture_logs() as lines,
        asyncio.Runner(loop_factory=VirtualTimeLoop) as runner,
    ):
        found = runner.run(async_play())
    assert not [line for line in lines if line["log_level"] == "error"]
    return found


def is_agreed(found: dict[str, set[str]]) -> bool:
    """Return whether all routers list the upstreams that live."""
    return found == {name: {"p1", "p2"} for name in DATA_CENTRE_BY_ROUTER_ID}


def broken_schedules(
    disturbance: Disturbance, router_id: str = ""
) -> dict[Schedule, dict[str, set[str]]]:
    """Return the schedules after which a router lists other upstreams."""
    found_by_schedule = {
        item: play(item) for item in schedules(disturbance, router_id)
    }
    return {
        schedule: found
        for schedule, found in found_by_schedule.items()
        if not is_agreed(found)
    }


def test_routers_agree_after_a_restoration() -> None:
    """Guards against a live upstream that some routers drop for good."""
    assert not broken_schedules(Disturbance.NONE)


@pytest.mark.parametrize(
    ("disturbance", "router_id"),
    [
        pytest.param(
            disturbance,
            router_id,
            id=f"{disturbance.value} of {router_id}",
            marks=KNOWN_RED_MARKS.get((disturbance, router_id), ()),
        )
        for disturbance in Disturbance
        for router_id in DATA_CENTRE_BY_ROUTER_ID
        if disturbance is not Disturbance.NONE
    ],
)
def test_routers_agree_after_a_restoration_beside_a_disturbance(
    disturbance: Disturbance, router_id: str
) -> None:
    """Guards against routers that remove upstreams others have kept."""
    assert not broken_schedules(disturbance, router_id)


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
    assert broken_schedules(Disturbance.NONE)
