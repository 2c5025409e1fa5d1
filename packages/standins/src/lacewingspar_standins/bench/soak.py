"""Benchmark `soak`: random faults in a fleet on the platform.

Routers run as processes. The store, the upstreams and the links between them
run in this process, which injects faults into them. Faults can overlap and
follow each other. Callers keep their connections until these are closed.

Disk and clock faults are not injected, because routers keep nothing on disk and
don't compare clocks of different VMs.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Coroutine, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from lacewingspar_standins.bench.soak_callers import SoakCallers
from lacewingspar_standins.bench.soak_checks import (
    SoakObservations,
    Span,
    breaches,
)
from lacewingspar_standins.bench.soak_fleet import (
    EVENTS,
    STOP_GRACE_SECONDS,
    SoakFleet,
)
from lacewingspar_standins.faults import Faults
from lacewingspar_standins.fleet import Fleet

DEFAULT_ROUTERS = 5
DEFAULT_ROUNDS = 6
CALLERS_PER_ROUTER = 5
# Faults start at random times within a round.
ROUND_SECONDS = 3.0
WARM_UP_SECONDS = 2.0
# Time until the fleet has detected the end of a fault.
DETECTION_SECONDS = 3.5
# The fleet has this long to recover from the last fault; then requests are
# checked for the following time.
RECOVERY_SECONDS = 6.0
RECOVERY_CHECK_SECONDS = 3.0

# Name and value of a field of `Faults`.
Fault = tuple[str, Any]


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak.

    Attributes:
        faults: Faults in the order in which they ended.
        calls_by_status: Requests by status, 0 without a response.
        breaches: Descriptions of violations by check.
    """

    faults: list[str]
    calls_by_status: dict[int, int]
    breaches: dict[str, list[str]]


class Soak:
    """Injects faults and records when.

    Attributes:
        fleet: The deployment.
        spans: Faults so far.
        route_changes: Time and route number of each published configuration.
        drains: Drained upstreams with the start and end of each drain.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.spans: list[Span] = []
        self.route_changes: list[tuple[float, int]] = [(self.now, 0)]
        self.drains: list[tuple[str, float, float]] = []
        self._busy: set[str] = set()

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def async_apply(
        self, scenario: "FaultScenario", generator: random.Random
    ) -> None:
        """Inject a fault into a random part without a fault."""
        parts = scenario.parts(self.fleet)
        free = sorted(set(parts) - self._busy)
        if len(free) < scenario.min_free:
            return
        name = generator.choice(free)
        kind, fault = scenario.kind, ("", None)
        if scenario.faults:
            fault = generator.choice(scenario.faults)
            kind = fault[0]
        start = self.now
        self._busy.add(name)
        typer.echo(f"  {kind} {name}", err=True)
        try:
            await scenario.work(self, name, fault, generator)
        finally:
            self._busy.discard(name)
            end = self.now + DETECTION_SECONDS
            subject = scenario.subject or name
            self.spans.append(Span(subject, kind, start, end))


Work = Callable[[Soak, str, Fault, random.Random], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class FaultScenario:
    """A kind of fault that can be injected into a part of the deployment.

    Attributes:
        kind: Name of the fault, unless it is drawn from `faults`.
        parts: Returns the names of the parts that it can affect.
        work: Injects the fault into a part, reverts it and returns.
        faults: Faults to draw one from, or empty.
        subject: Subject of the recorded span, if not the part itself.
        min_free: Minimum number of parts without a fault before the
            injection. The default leaves one such part afterwards.
    """

    kind: str
    parts: Callable[[SoakFleet], Collection[str]]
    work: Work
    faults: tuple[Fault, ...] = ()
    subject: str = ""
    min_free: int = 2


def _routers(fleet: SoakFleet) -> Collection[str]:
    return fleet.plan_by_id


def _links(fleet: SoakFleet) -> Collection[str]:
    return fleet.link_by_name


def _store(fleet: SoakFleet) -> Collection[str]:
    del fleet
    return ("store",)


def _upstreams(fleet: SoakFleet) -> Collection[str]:
    return fleet.upstream_by_id


async def _async_pause(
    soak: Soak, name: str, _fault: Fault, generator: random.Random
) -> None:
    router = soak.fleet.router_by_id[name]
    router.stop()
    await asyncio.sleep(generator.uniform(0.3, 3.0))
    router.resume()


async def _async_kill(
    soak: Soak, name: str, _fault: Fault, generator: random.Random
) -> None:
    router = soak.fleet.router_by_id[name]
    router.kill()
    await router.wait()
    await asyncio.sleep(generator.uniform(0.0, 2.0))
    await _async_restart(soak, name)


async def _async_terminate(
    soak: Soak, name: str, _fault: Fault, _generator: random.Random
) -> None:
    await soak.fleet.router_by_id[name].end(STOP_GRACE_SECONDS)
    await _async_restart(soak, name)


async def _async_restart(soak: Soak, name: str) -> None:
    await soak.fleet.async_start_router(name)
    await soak.fleet.async_wait_ready(name)


async def _async_link(
    soak: Soak, name: str, fault: Fault, generator: random.Random
) -> None:
    link = soak.fleet.link_by_name[name]
    with _active_fault(link.faults, fault):
        link.faults_changed()
        await asyncio.sleep(generator.uniform(0.2, 3.0))


async def _async_store(
    soak: Soak, _name: str, fault: Fault, generator: random.Random
) -> None:
    store = soak.fleet.store
    if fault == _DROPPED_HISTORY:
        for topic in store.topic_by_name.values():
            topic.compact()
        return
    with _active_fault(store.faults, fault):
        store.faults_changed()
        await asyncio.sleep(generator.uniform(0.3, 3.0))


async def _async_upstream(
    soak: Soak, name: str, fault: Fault, generator: random.Random
) -> None:
    with _active_fault(soak.fleet.upstream_by_id[name].faults, fault):
        await asyncio.sleep(generator.uniform(0.2, 2.0))


@contextmanager
def _active_fault(faults: Faults, fault: Fault) -> Iterator[None]:
    """Activate a fault until the context ends."""
    field, value = fault
    normal = getattr(faults, field)
    setattr(faults, field, value)
    try:
        yield
    finally:
        setattr(faults, field, normal)


async def _async_crash(
    soak: Soak, name: str, _fault: Fault, generator: random.Random
) -> None:
    await soak.fleet.async_crash_upstream(name, generator.uniform(0.2, 3.0))


async def _async_drain(
    soak: Soak, name: str, _fault: Fault, generator: random.Random
) -> None:
    since = soak.now
    soak.fleet.draining.add(name)
    soak.fleet.write_entry(name)
    await asyncio.sleep(generator.uniform(1.0, 4.0))
    soak.fleet.draining.discard(name)
    soak.drains.append((name, since, soak.now))
    soak.fleet.write_entry(name)


async def _async_change_routes(soak: Soak, generator: random.Random) -> None:
    """Publish alternating configurations, which is not a fault."""
    for _ in range(generator.choice((1, 1, 4))):
        number = 1 - soak.route_changes[-1][1]
        soak.fleet.publish(number)
        soak.route_changes.append((soak.now, number))
        await asyncio.sleep(generator.uniform(0.0, 0.3))


_DROPPED_HISTORY: Fault = ("history", None)
_LINK_FAULTS: tuple[Fault, ...] = (
    ("cut", True),
    ("silent", True),
    ("mute", True),
    ("delay_ms", 200.0),
)
_STORE_FAULTS: tuple[Fault, ...] = (
    ("outage", True),
    ("busy", True),
    ("silent", True),
    ("lose_replies", 3),
    ("delay_ms", 250.0),
    _DROPPED_HISTORY,
)
_UPSTREAM_FAULTS: tuple[Fault, ...] = (
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
# None stands for publishing configurations.
_WEIGHT_BY_SCENARIO: dict[FaultScenario | None, int] = {
    FaultScenario("pause", _routers, _async_pause): 2,
    FaultScenario("kill", _routers, _async_kill): 2,
    FaultScenario("terminate", _routers, _async_terminate): 3,
    FaultScenario("", _links, _async_link, _LINK_FAULTS, "link"): 4,
    FaultScenario(
        "", _store, _async_store, _STORE_FAULTS, "store", min_free=1
    ): 2,
    FaultScenario("crash", _upstreams, _async_crash): 2,
    FaultScenario("drain", _upstreams, _async_drain): 2,
    FaultScenario("", _upstreams, _async_upstream, _UPSTREAM_FAULTS): 3,
    None: 3,
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
    """Inject faults into a fleet on the platform and check its guarantees."""
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
    """Run the soak with one seed.

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
        faults_end_at = await _async_run_rounds(
            soak, callers, generator, rounds, CALLERS_PER_ROUTER * routers
        )
        observations = SoakObservations(
            calls=callers.calls,
            upstreams=list(fleet.upstream_by_id.values()),
            spans=soak.spans,
            route_changes=soak.route_changes,
            drains=soak.drains,
            faults_end_at=faults_end_at,
            events=EVENTS,
        )
        return SoakResult(
            [f"{span.kind} {span.subject}" for span in soak.spans],
            Counter(call.status for call in callers.calls),
            breaches(observations),
        )


async def _async_run_rounds(
    soak: Soak,
    callers: SoakCallers,
    generator: random.Random,
    rounds: int,
    count: int,
) -> float:
    """Run all rounds under load.

    Args:
        soak: The soak.
        callers: The callers.
        generator: Random generator of the faults.
        rounds: Number of rounds of faults.
        count: Number of callers.

    Returns:
        Time from which all requests should be served again.
    """
    tasks = [
        asyncio.create_task(soak.fleet.async_renew_entries()),
        asyncio.create_task(callers.async_run(count)),
    ]
    await asyncio.sleep(WARM_UP_SECONDS)
    async with asyncio.TaskGroup() as group:
        for _ in range(rounds):
            _begin_round(soak, generator, group)
            await asyncio.sleep(ROUND_SECONDS)
    await asyncio.sleep(RECOVERY_SECONDS)
    faults_end_at = soak.now
    await asyncio.sleep(RECOVERY_CHECK_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return faults_end_at


def _begin_round(
    soak: Soak, generator: random.Random, group: asyncio.TaskGroup
) -> None:
    """Schedule the faults of a round at random times."""
    scenarios = list(_WEIGHT_BY_SCENARIO)
    weights = list(_WEIGHT_BY_SCENARIO.values())
    count = generator.choice((1, 2, 3))
    for scenario in generator.choices(scenarios, weights, k=count):
        delay = generator.uniform(0.0, ROUND_SECONDS)
        own = random.Random(generator.random())
        work = (
            _async_change_routes(soak, own)
            if scenario is None
            else soak.async_apply(scenario, own)
        )
        group.create_task(_async_later(delay, work))


async def _async_later(seconds: float, work: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(seconds)
    await work
