"""Benchmark `soak`: random faults from outside against a platform fleet.

Routers run as processes; the store, the upstreams and the links between all
parts run here, where faults are put into them. Faults come in series and
overlap. Callers keep their connections until these are closed.

The routers keep nothing on disk and compare no clocks of several VMs, so that
neither is disturbed.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from lacewingspar_standins.bench.soak_callers import SoakCallers
from lacewingspar_standins.bench.soak_checks import Facts, Span, breaches
from lacewingspar_standins.bench.soak_fleet import (
    EVENTS,
    STOP_GRACE_SECONDS,
    SoakFleet,
)
from lacewingspar_standins.fleet import Fleet

DEFAULT_ROUTERS = 5
DEFAULT_ROUNDS = 6
CALLERS_PER_ROUTER = 5
# Length of a round; its faults begin at any moment of it.
ROUND_SECONDS = 3.0
WARM_UP_SECONDS = 2.0
# Time in which the fleet notices the end of a fault.
NOTICE_SECONDS = 3.5
# Time from the last fault until everything is served again, and for which that
# is checked.
RECOVERY_SECONDS = 6.0
CHECKED_SECONDS = 3.0

Action = Callable[["Soak", random.Random], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak.

    Attributes:
        faults: Faults in order of their begin.
        calls_by_status: Requests by status, 0 without an answer.
        breaches: What was broken, by check.
    """

    faults: list[str]
    calls_by_status: dict[int, int]
    breaches: dict[str, list[str]]


class Soak:
    """Applies faults and notes when.

    Attributes:
        fleet: The deployment.
        spans: Disturbances so far.
        flips: Time and number of each configuration.
        drains: Announced departures of upstreams.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.spans: list[Span] = []
        self.flips: list[tuple[float, int]] = [(self.now, 0)]
        self.drains: list[tuple[str, float, float]] = []
        self._busy: set[str] = set()

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def free(self, names: list[str], generator: random.Random) -> str | None:
        """Return a part that no other fault works on, or None."""
        free = sorted(set(names) - self._busy)
        return generator.choice(free) if len(free) > 1 else None

    async def async_during(
        self,
        subject: str,
        name: str,
        kind: str,
        work: Coroutine[Any, Any, None],
    ) -> None:
        """Do some work and note it as a disturbance."""
        start = self.now
        self._busy.add(name)
        typer.echo(f"  {kind} {name}", err=True)
        try:
            await work
        finally:
            self._busy.discard(name)
            end = self.now + NOTICE_SECONDS
            self.spans.append(Span(subject, kind, start, end))


async def _async_pause(soak: Soak, generator: random.Random) -> None:
    router_id = soak.free(list(soak.fleet.plan_by_id), generator)
    if router_id is None:
        return
    router = soak.fleet.router_by_id[router_id]

    async def work() -> None:
        router.stop()
        await asyncio.sleep(generator.uniform(0.3, 3.0))
        router.resume()

    await soak.async_during(router_id, router_id, "pause", work())


async def _async_kill(soak: Soak, generator: random.Random) -> None:
    router_id = soak.free(list(soak.fleet.plan_by_id), generator)
    if router_id is None:
        return
    router = soak.fleet.router_by_id[router_id]

    async def work() -> None:
        router.kill()
        await router.wait()
        await asyncio.sleep(generator.uniform(0.0, 2.0))
        await soak.fleet.async_start_router(router_id)
        await soak.fleet.async_wait_ready(router_id)

    await soak.async_during(router_id, router_id, "kill", work())


async def _async_terminate(soak: Soak, generator: random.Random) -> None:
    router_id = soak.free(list(soak.fleet.plan_by_id), generator)
    if router_id is None:
        return
    router = soak.fleet.router_by_id[router_id]

    async def work() -> None:
        router.terminate()
        try:
            async with asyncio.timeout(STOP_GRACE_SECONDS):
                await router.wait()
        except TimeoutError:
            router.kill()
            await router.wait()
        await soak.fleet.async_start_router(router_id)
        await soak.fleet.async_wait_ready(router_id)

    await soak.async_during(router_id, router_id, "terminate", work())


async def _async_link(soak: Soak, generator: random.Random) -> None:
    name = soak.free(list(soak.fleet.link_by_name), generator)
    if name is None:
        return
    link = soak.fleet.link_by_name[name]
    fault, value = generator.choice(
        (("cut", True), ("silent", True), ("mute", True), ("delay_ms", 200.0))
    )

    async def work() -> None:
        normal = getattr(link.faults, fault)
        setattr(link.faults, fault, value)
        link.faults_changed()
        await asyncio.sleep(generator.uniform(0.2, 3.0))
        setattr(link.faults, fault, normal)

    await soak.async_during("link", name, f"{fault} of", work())


async def _async_store(soak: Soak, generator: random.Random) -> None:
    if soak.free(["store", "none"], generator) is None:
        return
    store = soak.fleet.store
    fault, value, normal = generator.choice(
        (
            ("outage", True, False),
            ("busy", True, False),
            ("silent", True, False),
            ("lose_replies", 3, 0),
            ("delay_ms", 250.0, 0.0),
            ("history", None, None),
        )
    )

    async def work() -> None:
        if fault == "history":
            for topic in store.topic_by_name.values():
                topic.drop_history()
            return
        setattr(store.faults, fault, value)
        store.faults_changed()
        await asyncio.sleep(generator.uniform(0.3, 3.0))
        setattr(store.faults, fault, normal)

    await soak.async_during("store", "store", fault, work())


async def _async_crash(soak: Soak, generator: random.Random) -> None:
    name = soak.free(list(soak.fleet.upstream_by_id), generator)
    if name is None:
        return
    seconds = generator.uniform(0.2, 3.0)
    work = soak.fleet.async_crash_upstream(name, seconds)
    await soak.async_during(name, name, "crash", work)


async def _async_drain(soak: Soak, generator: random.Random) -> None:
    name = soak.free(list(soak.fleet.upstream_by_id), generator)
    if name is None:
        return

    async def work() -> None:
        since = soak.now
        soak.fleet.draining.add(name)
        soak.fleet.beat(name)
        await asyncio.sleep(generator.uniform(1.0, 4.0))
        soak.fleet.draining.discard(name)
        soak.drains.append((name, since, soak.now))
        soak.fleet.beat(name)

    await soak.async_during(name, name, "drain", work())


async def _async_upstream(soak: Soak, generator: random.Random) -> None:
    name = soak.free(list(soak.fleet.upstream_by_id), generator)
    if name is None:
        return
    faults = soak.fleet.upstream_by_id[name].faults
    fault, value = generator.choice(
        (
            ("refuse", True),
            ("refuse_silently", True),
            ("is_other_upstream", True),
            ("break_after_events", 3),
            ("extra_answer", True),
            ("stray_id", True),
            ("mute", True),
            ("no_seal", True),
            ("status", 500),
        )
    )

    async def work() -> None:
        normal = getattr(faults, fault)
        setattr(faults, fault, value)
        await asyncio.sleep(generator.uniform(0.2, 2.0))
        setattr(faults, fault, normal)

    await soak.async_during(name, name, fault, work())


async def _async_flip(soak: Soak, generator: random.Random) -> None:
    for _ in range(generator.choice((1, 1, 4))):
        number = 1 - soak.flips[-1][1]
        soak.fleet.publish(number)
        soak.flips.append((soak.now, number))
        await asyncio.sleep(generator.uniform(0.0, 0.3))


_WEIGHT_BY_ACTION: dict[Action, int] = {
    _async_pause: 2,
    _async_kill: 2,
    _async_terminate: 3,
    _async_link: 4,
    _async_store: 2,
    _async_crash: 2,
    _async_drain: 2,
    _async_upstream: 3,
    _async_flip: 3,
}


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    rounds: Annotated[int, typer.Option(help="Rounds.")] = DEFAULT_ROUNDS,
    routers: Annotated[int, typer.Option(help="Routers.")] = DEFAULT_ROUTERS,
    keep_logs: Annotated[
        Path | None, typer.Option(help="Folder that keeps all logs.")
    ] = None,
) -> None:
    """Break parts of a platform fleet under load and check what it keeps."""
    is_clean = True
    for number in range(seed, seed + seeds):
        folder = None if keep_logs is None else keep_logs / str(number)
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(async_soak(number, rounds, routers, folder))
        is_clean = is_clean and not result.breaches
        typer.echo(
            f"seed {number}: {dict(sorted(result.calls_by_status.items()))}"
        )
        for name, items in result.breaches.items():
            for item in items:
                typer.echo(f"  {name}: {item}")
    if not is_clean:
        raise typer.Exit(1)


async def async_soak(
    seed: int, rounds: int, routers: int, folder: Path | None = None
) -> SoakResult:
    """Run one seed.

    Args:
        seed: Seed of the faults and of the load.
        rounds: Number of rounds of faults.
        routers: Number of routers.
        folder: Folder that keeps settings and logs, or None.
    """
    generator = random.Random(seed)
    async with AsyncExitStack() as stack, Fleet(folder) as processes:
        fleet = SoakFleet(processes, stack, routers)
        await fleet.async_start()
        soak = Soak(fleet)
        addresses = {
            plan.router_id: plan.caller_address
            for plan in fleet.plan_by_id.values()
        }
        callers = SoakCallers(addresses, seed)
        tasks = [
            asyncio.create_task(fleet.async_beat()),
            asyncio.create_task(
                callers.async_run(CALLERS_PER_ROUTER * routers)
            ),
        ]
        await asyncio.sleep(WARM_UP_SECONDS)
        async with asyncio.TaskGroup() as group:
            for _ in range(rounds):
                _begin_round(soak, generator, group)
                await asyncio.sleep(ROUND_SECONDS)
        await asyncio.sleep(RECOVERY_SECONDS)
        faults_end_at = soak.now
        await asyncio.sleep(CHECKED_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        facts = Facts(
            calls=callers.calls,
            upstreams=list(fleet.upstream_by_id.values()),
            spans=soak.spans,
            flips=soak.flips,
            drains=soak.drains,
            faults_end_at=faults_end_at,
            events=EVENTS,
        )
        return SoakResult(
            [f"{span.kind} {span.subject}" for span in soak.spans],
            Counter(call.status for call in callers.calls),
            breaches(facts),
        )


def _begin_round(
    soak: Soak, generator: random.Random, group: asyncio.TaskGroup
) -> None:
    """Begin the faults of a round, each at its own moment."""
    actions = list(_WEIGHT_BY_ACTION)
    weights = list(_WEIGHT_BY_ACTION.values())
    for action in generator.choices(
        actions, weights, k=generator.choice((1, 2, 3))
    ):
        delay = generator.uniform(0.0, ROUND_SECONDS)
        own = random.Random(generator.random())
        group.create_task(_async_later(delay, action(soak, own)))


async def _async_later(seconds: float, work: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(seconds)
    await work
