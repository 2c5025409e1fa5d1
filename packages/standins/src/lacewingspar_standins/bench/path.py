"""Benchmark `path`: latency and cost that a router adds to a request."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from lacewingspar_standins.bench.path_client import (
    OpenLoop,
    PathClient,
    run_closed_loop,
    run_open_loop,
)
from lacewingspar_standins.bench.process_usage import CpuMeter, resident_bytes
from lacewingspar_standins.bench.report import (
    Report,
    new_report,
    percentile,
    print_report,
)
from lacewingspar_standins.bench.rig import (
    MODEL_FAST,
    MODEL_SLOW,
    PathRig,
    start_path_rig,
)
from lacewingspar_standins.fleet import Fleet

PATHS = ("direct", "bare", "router")
MEASURED_PATHS = ("bare", "router")
PERCENTS = (50, 99)
REQUESTS_PER_SECOND = 7.0
TOKENS_PER_SECOND = 2150
# Upper limits, in milliseconds or as a ratio.
TARGETS = {
    "whole_added_router_p99_ms": 3.0,
    "first_event_added_router_p99_ms": 3.0,
    "event_added_router_p99_ms": 3.0,
    "cpu_per_event_router_to_bare": 2.0,
}
# Enough to keep one core busy.
REQUEST_CLIENTS = 64
SATURATING_STREAMS = 400
# Uses about half a core, so that each event is forwarded alone. A busy router
# forwards several events at once, at a lower cost per event.
STEADY_STREAMS = 30
STREAM_TOKENS = 150
OPEN_STREAMS = 1000
OPEN_STREAM_TOKENS = 600
MIB = 1024 * 1024

Figures = dict[str, float]


class Phase(StrEnum):
    """Phase of the benchmark."""

    LATENCY = "latency"
    REQUESTS = "requests"
    EVENTS = "events"
    SATURATION = "saturation"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class RoundPlan:
    """Plan of a round.

    Attributes:
        seconds: Duration of each phase.
        seed: Seed of the load.
        phases: Phases to run.
    """

    seconds: float
    seed: int
    phases: frozenset[Phase]


def path_command(
    rounds: Annotated[int, typer.Option(min=1, max=50)] = 3,
    seconds: Annotated[
        float, typer.Option(min=1, max=120, help="Time of each phase.")
    ] = 6.0,
    seed: int = 1,
    phase: Annotated[
        list[Phase], typer.Option(help="Part to run; can be repeated.")
    ] = list(Phase),  # noqa: B006
    output: Annotated[
        Path | None, typer.Option(help="File for the figures as JSON.")
    ] = None,
) -> None:
    """Compare requests through a router, a bare proxy and no proxy."""
    report = uvloop.run(run_path(rounds, seconds, seed, frozenset(phase)))
    print_report(report, output)
    for line in target_lines(report):
        typer.echo(line, err=True)


async def run_path(
    rounds: int, seconds: float, seed: int, phases: frozenset[Phase]
) -> Report:
    """Run all rounds and return the figures."""
    figures: list[Figures] = []
    async with Fleet() as fleet:
        rig = await start_path_rig(fleet)
        rest: Figures = {}
        if Phase.MEMORY in phases:
            rest = await _at_rest(rig, seconds)
        for number in range(rounds):
            typer.echo(f"round {number + 1} of {rounds}", err=True)
            plan = RoundPlan(seconds, seed + number, phases)
            figures.append(rest | await _round(rig, plan))
        if Phase.MEMORY in phases:
            figures[-1] |= await _open_streams(rig)
    options = {"rounds": rounds, "seconds": seconds, "seed": seed}
    return new_report("path", options, figures)


def target_lines(report: Report) -> list[str]:
    """Return a line for each target that has a figure."""
    return [
        f"{name} {report.medians[name]:.3f}: target {target:g} "
        + ("met" if report.medians[name] < target else "missed")
        for name, target in TARGETS.items()
        if name in report.medians
    ]


async def _round(rig: PathRig, plan: RoundPlan) -> Figures:
    figures: Figures = {}
    if Phase.LATENCY in plan.phases:
        figures |= await _latency(rig, plan.seconds, plan.seed)
    if Phase.REQUESTS in plan.phases:
        figures |= await _requests(rig, plan.seconds)
    if Phase.EVENTS in plan.phases:
        figures |= await _steady_events(rig, plan.seconds)
    if Phase.SATURATION in plan.phases:
        figures |= await _saturating_events(rig, plan.seconds)
    return figures


async def _latency(rig: PathRig, seconds: float, seed: int) -> Figures:
    """Measure the added latency at the target load."""
    plan = OpenLoop(
        seed,
        seconds,
        REQUESTS_PER_SECOND,
        round(TOKENS_PER_SECOND / REQUESTS_PER_SECOND),
    )
    figures: Figures = {}
    for path in PATHS:
        client = PathClient(rig.address_of(path), MODEL_FAST)
        await run_open_loop(client, plan, stream=False)
        await run_open_loop(client, plan, stream=True)
        client.close()
        for kind, values in (
            ("whole", client.times.whole),
            ("first_event", client.times.first_event),
            ("event", client.times.event),
        ):
            for percent in PERCENTS:
                value = percentile(values, percent)
                direct = figures.get(f"{kind}_direct_p{percent}_ms", value)
                figures[f"{kind}_{path}_p{percent}_ms"] = value
                if path != "direct":
                    name = f"{kind}_added_{path}_p{percent}_ms"
                    figures[name] = value - direct
    return figures


async def _requests(rig: PathRig, seconds: float) -> Figures:
    """Measure the request throughput of one process."""
    figures: Figures = {}
    for path in MEASURED_PATHS:
        client = PathClient(rig.address_of(path), MODEL_FAST)
        meter = CpuMeter(rig.pid_of(path))
        await run_closed_loop(
            client,
            clients=REQUEST_CLIENTS,
            seconds=seconds,
            tokens=1,
            stream=False,
        )
        figures |= {
            f"requests_per_second_{path}": client.responses
            / meter.elapsed_seconds(),
            f"requests_cores_{path}": meter.used_seconds()
            / meter.elapsed_seconds(),
            f"cpu_per_request_{path}_us": meter.used_seconds()
            / client.responses
            * 1e6,
            f"requests_failed_{path}": len(client.errors),
        }
        _show_errors(client, path)
        client.close()
    figures["cpu_per_request_router_to_bare"] = (
        figures["cpu_per_request_router_us"]
        / figures["cpu_per_request_bare_us"]
    )
    return figures


async def _steady_events(rig: PathRig, seconds: float) -> Figures:
    """Measure the processor time per event when each is forwarded alone."""
    figures: Figures = {}
    for path in MEASURED_PATHS:
        client, meter = await _streams(rig, path, STEADY_STREAMS, seconds)
        figures[f"cpu_per_event_{path}_us"] = (
            meter.used_seconds() / client.events * 1e6
        )
        figures[f"steady_events_per_second_{path}"] = (
            client.events / meter.elapsed_seconds()
        )
    figures["cpu_per_event_router_to_bare"] = (
        figures["cpu_per_event_router_us"] / figures["cpu_per_event_bare_us"]
    )
    return figures


async def _saturating_events(rig: PathRig, seconds: float) -> Figures:
    """Measure the event throughput of one process."""
    figures: Figures = {}
    for path in MEASURED_PATHS:
        client, meter = await _streams(rig, path, SATURATING_STREAMS, seconds)
        elapsed = meter.elapsed_seconds()
        figures[f"events_per_second_{path}"] = client.events / elapsed
        figures[f"events_cores_{path}"] = meter.used_seconds() / elapsed
    return figures


async def _streams(
    rig: PathRig, path: str, count: int, seconds: float
) -> tuple[PathClient, CpuMeter]:
    client = PathClient(rig.address_of(path), MODEL_FAST)
    meter = CpuMeter(rig.pid_of(path))
    await run_closed_loop(
        client,
        clients=count,
        seconds=seconds,
        tokens=STREAM_TOKENS,
        stream=True,
    )
    _show_errors(client, path)
    client.close()
    return client, meter


def _show_errors(client: PathClient, path: str) -> None:
    if client.errors:
        typer.echo(
            f"{path}: {len(client.errors)} requests failed, "
            f"the first with {client.errors[0]}",
            err=True,
        )


async def _at_rest(rig: PathRig, seconds: float) -> Figures:
    """Measure what the router uses without load."""
    meter = CpuMeter(rig.pid_of("router"))
    await asyncio.sleep(seconds)
    return {
        "rest_cores_router": meter.used_seconds() / meter.elapsed_seconds(),
        "rest_memory_router_mib": resident_bytes(rig.pid_of("router")) / MIB,
        "rest_memory_bare_mib": resident_bytes(rig.slow_proxy.process.pid)
        / MIB,
    }


async def _open_streams(rig: PathRig) -> Figures:
    """Measure the memory with many open streams."""
    figures: Figures = {}
    for path, address, pid in (
        ("bare", rig.slow_proxy.address, rig.slow_proxy.process.pid),
        ("router", rig.router_address, rig.pid_of("router")),
    ):
        client = PathClient(address, MODEL_SLOW)
        before = resident_bytes(pid)
        streams = [
            client.parts(OPEN_STREAM_TOKENS) for _ in range(OPEN_STREAMS)
        ]
        await asyncio.gather(*(anext(stream) for stream in streams))
        after = resident_bytes(pid)
        for stream in streams:
            await stream.aclose()
        figures[f"open_streams_memory_{path}_mib"] = after / MIB
        figures[f"open_streams_added_{path}_mib"] = (after - before) / MIB
    return figures
