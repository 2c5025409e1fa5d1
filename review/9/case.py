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
COPY_AGE_S = 4.0
AWAY_S = 0.6
WRITTEN_AGAIN_S = 1.0
# Heartbeats of the new runner go on this much later.
HEARTBEAT_AFTER_S = 0.2
STABLE_WINDOW_S = 3.0
APPLY_S = 2.0
JUDGED_S = 15.0
PER_S = 2.0
LEAST_REQUESTS = 20
FIRST_PATH = "/first/x"
LATER_PATH = "/later/x"


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


def manifests() -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the first manifest, and one with a further route and service."""
    first = rig.route("/first/", "idempotent", "ledger")
    later = rig.route("/later/", "idempotent", "archive")
    ledger = rig.plain_service("ledger")
    archive = rig.plain_service("archive")
    return (
        rig.manifest(1, [first], [ledger]),
        rig.manifest(4, [first, later], [ledger, archive]),
    )


class Traffic:
    """Requests on both routes at all machines."""

    def __init__(self, routers: list[rig.Router], record: rig.Record) -> None:
        self._callers = [load.Callers(item.front, record) for item in routers]
        self._number = 0

    async def async_play(self, seconds: float) -> dict[str, Counter[str]]:
        """Send requests; return the statuses by path."""
        for caller in self._callers:
            caller.outcomes.clear()
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
                for path in (FIRST_PATH, LATER_PATH)
            )
        )
        statuses: dict[str, Counter[str]] = {
            FIRST_PATH: Counter(),
            LATER_PATH: Counter(),
        }
        for caller in self._callers:
            await caller.async_finish()
            for item in caller.outcomes:
                seen = str(item.status or item.error)
                statuses[paths[item.attempt]][seen] += 1
        return statuses


async def async_run(record: rig.Record, temporary: Path) -> int:
    """Play the case; return 1 if the rule was broken."""
    store = rig.Store()
    await store.async_start()
    first, second = manifests()
    store.publish(first)
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
        return await _async_play(record, store, second, routers)
    finally:
        for router in routers:
            await router.async_stop()


async def _async_play(
    record: rig.Record,
    store: rig.Store,
    second: dict[str, Any],
    routers: list[rig.Router],
) -> int:
    copy = store.copy()
    runner = rig.Runner("a-0", "archive", async_behave, record)
    runner.zone = ZONES[0]
    runner.slots = 6
    await runner.async_listen()
    runner.register(store)
    store.publish(second)
    record("a runner, a service and a route are added")
    traffic = Traffic(routers, record)
    await asyncio.sleep(APPLY_S)
    before = await traffic.async_play(COPY_AGE_S - APPLY_S - 0.5)
    record.say(f"before: {describe(before)}")
    if rig.with_trouble():
        record("the store is away")
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.come_back(copy)
        record("the store is back from a copy")
        await asyncio.sleep(WRITTEN_AGAIN_S)
        # What the operator and the runners wrote is written again.
        store.publish(second)
        runner.register(store, is_new=False)
        record("what was lost is written again")
    await asyncio.sleep(HEARTBEAT_AFTER_S)
    runner.keep_registered(store)
    await asyncio.sleep(STABLE_WINDOW_S + APPLY_S)
    after = await traffic.async_play(JUDGED_S)
    record.say(f"in steady state: {describe(after)}")
    first_share = share_served(after[FIRST_PATH])
    later_share = share_served(after[LATER_PATH])
    broken = (
        after[LATER_PATH].total() >= LEAST_REQUESTS
        and later_share < first_share / 4
    )
    record.say("rule CONFIG broken" if broken else "rule CONFIG held")
    return int(broken)


def share_served(statuses: Counter[str]) -> float:
    """Return the share of requests with a success."""
    return statuses["200"] / max(1, statuses.total())


def describe(statuses: dict[str, Counter[str]]) -> str:
    """Return the statuses by path."""
    return ", ".join(
        f"{path} {dict(counter)}" for path, counter in statuses.items()
    )


if __name__ == "__main__":
    rig.main(async_run, FOLDER)
