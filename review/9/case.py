"""A store that comes back from an older copy ends the use of a new runner."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import load
import rig

FOLDER = Path(__file__).resolve().parent
# The zones and machines of a small deployment.
ZONES = ("gulf-south-a", "gulf-south-b", "gulf-south-c")
MACHINES_IN_ZONE = 2
FIRST_RUNNERS = 3
WORK_S = 0.09
# The copy is this much older than the state that it replaces.
COPY_AGE_S = 3.1
# The new runner has registered this long before, so that its second heartbeat,
# after 1.2 s, meets the store while it is away.
REGISTERED_S = 1.1
AWAY_S = 0.25
# After the return, just before the runner's third heartbeat.
WRITTEN_AGAIN_S = 0.95
STABLE_WINDOW_S = 3.0
APPLY_S = 2.0
JUDGED_S = 15.0
PER_S = 2.0
LEAST_REQUESTS = 20
FIRST_PATH = "/first/x"
# Whether the routers that follow the reader learn of the runner again depends
# on who reads the log at that moment, so there are up to this many drills, each
# with another runner. They end with the first one after which a route is not
# served.
DRILLS = 4


async def async_behave(
    runner: rig.Runner,
    request: rig.Message,
    _reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer a request."""
    runner.note_run(request)
    await asyncio.sleep(WORK_S)
    writer.write(rig.response(200, runner.head(request), b"x" * 800))
    await writer.drain()
    return True


def manifest(drill: int) -> dict[str, Any]:
    """Return the manifest with the routes and services of some drills."""
    numbers = range(1, drill + 1)
    routes = [
        rig.route("/first/", "idempotent", "ledger"),
        *(
            rig.route(f"/later-{number}/", "idempotent", f"archive-{number}")
            for number in numbers
        ),
    ]
    services = [
        rig.plain_service("ledger"),
        *(rig.plain_service(f"archive-{number}") for number in numbers),
    ]
    return rig.manifest(1 + 3 * drill, routes, services)


class Traffic:
    """Requests on both routes at all machines."""

    def __init__(self, routers: list[rig.Router], record: rig.Record) -> None:
        self._callers = [load.Callers(item.front, record) for item in routers]
        self._number = 0
        self.first: Counter[str] = Counter()
        self.later: Counter[str] = Counter()

    async def async_play(self, later: str, seconds: float) -> Counter[str]:
        """Send requests on the first and a later route to each machine.

        Returns:
            The statuses on the later route.
        """
        paths: dict[str, str] = {}

        def make(path: str) -> tuple[str, bytes]:
            self._number += 1
            attempt = f"request-{self._number}"
            paths[attempt] = path
            return attempt, rig.request(path, attempt, 4000, method="GET")

        await asyncio.gather(
            *(
                caller.async_play(
                    PER_S, seconds, lambda _, path=path: make(path), 5.0
                )
                for caller in self._callers
                for path in (FIRST_PATH, later)
            )
        )
        seen: Counter[str] = Counter()
        for caller in self._callers:
            await caller.async_finish()
            for item in caller.outcomes:
                status = str(item.status or item.error)
                if paths[item.attempt] == FIRST_PATH:
                    self.first[status] += 1
                else:
                    seen[status] += 1
            caller.outcomes.clear()
        self.later += seen
        return seen

    async def async_play_once(self, later: str) -> Counter[str]:
        """Send one request on each of both routes to each machine."""
        return await self.async_play(later, 1 / PER_S)


async def async_run(record: rig.Record, temporary: Path) -> int:
    """Play the case; return 1 if the rule was broken."""
    store = rig.Store()
    await store.async_start()
    store.publish(manifest(0))
    for number in range(FIRST_RUNNERS):
        runner = rig.Runner(f"l-{number}", "ledger", async_behave, record)
        runner.zone = ZONES[number % len(ZONES)]
        runner.slots = 6
        await runner.async_listen()
        runner.keep_registered(store)
    names = [
        (zone, f"front-{zone}-{number}")
        for zone in ZONES
        for number in range(1, MACHINES_IN_ZONE + 1)
    ]
    routers = [
        rig.Router(name, zone, ip, store, temporary)
        for (zone, name), ip in zip(
            names, rig.own_hosts(len(names)), strict=True
        )
    ]
    try:
        for router in routers:
            await router.async_start()
        for router in routers:
            await router.async_wait_ready()
        await asyncio.sleep(STABLE_WINDOW_S)
        return await _async_play(record, store, routers)
    finally:
        for router in routers:
            await router.async_stop()


async def _async_play(
    record: rig.Record, store: rig.Store, routers: list[rig.Router]
) -> int:
    traffic = Traffic(routers, record)
    for drill in range(1, DRILLS + 1):
        later = f"/later-{drill}/x"
        await _async_drill(record, store, drill, traffic)
        await asyncio.sleep(STABLE_WINDOW_S + APPLY_S)
        seen = await traffic.async_play_once(later)
        record.say(f"drill {drill}: {later} {dict(seen)}")
        if drill == DRILLS or not seen["200"]:
            break
    seen = await traffic.async_play(later, JUDGED_S)
    record.say(f"in steady state: {later} {dict(seen)}")
    record.say(
        f"in all: first route {dict(traffic.first)}, later ones "
        f"{dict(traffic.later)}"
    )
    broken = (
        traffic.later.total() >= LEAST_REQUESTS
        and share_served(traffic.later) < share_served(traffic.first) / 4
    )
    record.say("rule CONFIG broken" if broken else "rule CONFIG held")
    return int(broken)


async def _async_drill(
    record: rig.Record, store: rig.Store, drill: int, traffic: Traffic
) -> None:
    """Add a route, a service and its runner; then comes the drill."""
    loop = asyncio.get_running_loop()
    copy = store.copy()
    copied_at = loop.time()
    added = manifest(drill)
    store.publish(added)
    record("a service and a route are added")
    await asyncio.sleep(COPY_AGE_S - REGISTERED_S)
    runner = rig.Runner(f"a-{drill}", f"archive-{drill}", async_behave, record)
    runner.zone = ZONES[0]
    runner.slots = 6
    await runner.async_listen()
    runner.keep_registered(store)
    record("the service has a runner")
    await asyncio.sleep(copied_at + COPY_AGE_S - WORK_S - 0.1 - loop.time())
    before = await traffic.async_play_once(f"/later-{drill}/x")
    record.say(f"before drill {drill}: {dict(before)}")
    if not rig.with_trouble():
        return
    record("the store is away")
    store.go_away()
    await asyncio.sleep(AWAY_S)
    store.come_back(copy)
    record("the store is back from a copy")
    await asyncio.sleep(WRITTEN_AGAIN_S)
    # What the operator and the runners wrote is written again.
    store.publish(added)
    runner.register(store, is_new=False)
    record(f"what was lost is written again, sequence {runner.sequence}")


def share_served(statuses: Counter[str]) -> float:
    """Return the share of requests with a success."""
    return statuses["200"] / max(1, statuses.total())


if __name__ == "__main__":
    rig.main(async_run, FOLDER)
