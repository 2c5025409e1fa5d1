"""Benchmark `faults`: guarantees of a fleet under faults."""

import asyncio
import os
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from lacewingspar_core.documents import Limits
from lacewingspar_standins.bench.deployment import (
    MODEL,
    SERVICE_PLAIN,
    SHAPES_BY_NAME,
    Deployment,
    data_centre_of,
    deployed,
)
from lacewingspar_standins.bench.fault_actions import FaultInjector
from lacewingspar_standins.bench.fault_checks import (
    aborted_by_shutdowns,
    async_read_runs,
    differing_versions,
    repeated_runs,
    responses_without_run,
    wrong_not_run,
)
from lacewingspar_standins.bench.fault_edits import (
    POLL_TIMEOUT_SECONDS,
    VersionMonitor,
    admin_client,
    async_lost_edits,
    read_versions,
)
from lacewingspar_standins.bench.fault_plan import (
    PlannedFault,
    Targets,
    draw_rounds,
)
from lacewingspar_standins.bench.load_processes import (
    LoadProcess,
    start_load,
)
from lacewingspar_standins.fleet_settings import token_of, workspace_entry
from lacewingspar_standins.load_options import LoadOptions, WorkspaceLoad
from lacewingspar_standins.load_result import LoadResult

WORKSPACES = ("ws-01", "ws-02", "ws-03")
RATE_PER_WORKSPACE = 4.0
STEP_MS = 10.0
WARM_UP_SECONDS = 2.0
SETTLE_SECONDS = 2.0
READY_SECONDS = 60.0
# Exceeds the longest fault plus the longest graceful shutdown.
ROUND_LIMIT_SECONDS = 180.0
LOAD_TIMEOUT_SECONDS = 40.0
LOAD_END_LIMIT_SECONDS = 300.0
LIMITS = Limits(silent_after_seconds=5.0)
MAX_SHOWN_DETAILS = 5


class FaultsResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the benchmark.

    Attributes:
        deployment: Name of the deployment.
        seed: Seed.
        faults: Faults of each round.
        calls_by_outcome: Requests of the load by outcome.
        keys_run: Number of idempotency keys that ran.
        readings: Number of readings of versions.
        breaches: Descriptions of violations by check; all must be empty.
        gap_seconds_by_data_centre: Longest time without a complete
            response.
        shutdown_seconds: Durations of graceful shutdowns.
        edits_by_status: Edits by HTTP status, 0 without a response.
    """

    deployment: str
    seed: int
    faults: list[list[str]]
    calls_by_outcome: dict[str, int]
    keys_run: int
    readings: int
    breaches: dict[str, list[str]]
    gap_seconds_by_data_centre: dict[str, float]
    shutdown_seconds: list[float]
    edits_by_status: dict[int, int]

    @property
    def is_clean(self) -> bool:
        """Return whether no check found a violation."""
        return not any(self.breaches.values())


def main(
    seed: Annotated[int, typer.Option(help="Seed of faults and load.")] = 1,
    rounds: Annotated[int, typer.Option(help="Number of rounds.")] = 6,
    deployment: Annotated[str, typer.Option(help="a or b")] = "b",
    output: Annotated[Path | None, typer.Option(help="Result file.")] = None,
    keep_logs: Annotated[
        Path | None, typer.Option(help="Folder that keeps all logs.")
    ] = None,
) -> None:
    """Inject faults into a fleet under load and check its guarantees."""
    result = asyncio.run(async_faults(deployment, seed, rounds, keep_logs))
    if output is not None:
        output.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    _print(result)
    if not result.is_clean:
        raise typer.Exit(1)


async def async_faults(
    name: str, seed: int, rounds: int, folder: Path | None = None
) -> FaultsResult:
    """Run the benchmark and return its result."""
    workspaces = tuple(workspace_entry(w) for w in WORKSPACES)
    async with deployed(
        SHAPES_BY_NAME[name],
        workspaces,
        step_ms=STEP_MS,
        limits=LIMITS,
        folder=folder,
    ) as deployment:
        injector = FaultInjector(deployment, seed)
        await injector.async_list_vms()
        planned = draw_rounds(
            seed, rounds, deployment.shape, _targets(deployment)
        )
        monitor = VersionMonitor()
        monitor_task = asyncio.create_task(monitor.async_run(deployment))
        loads = await _async_start_loads(deployment, seed)
        await asyncio.sleep(WARM_UP_SECONDS)
        for number, faults in enumerate(planned):
            await _async_round(deployment, injector, number, faults)
        for load in loads.values():
            load.process.terminate()
        async with asyncio.timeout(LOAD_END_LIMIT_SECONDS):
            results = {dc: await load.result() for dc, load in loads.items()}
        monitor_task.cancel()
        return await _async_result(
            deployment, seed, planned, injector, monitor, results
        )


async def _async_round(
    deployment: Deployment,
    injector: FaultInjector,
    number: int,
    faults: tuple[PlannedFault, ...],
) -> None:
    """Inject the faults of a round and wait until all routers are ready."""
    started_at = time.monotonic()
    async with (
        asyncio.timeout(ROUND_LIMIT_SECONDS),
        asyncio.TaskGroup() as group,
    ):
        for fault in faults:
            group.create_task(injector.async_apply(fault))
    for plan in deployment.plans:
        router = deployment.routers[plan.router_id]
        await router.wait_ready(plan.admin_address, READY_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    seconds = time.monotonic() - started_at
    text = ", ".join(str(fault) for fault in faults)
    typer.echo(f"round {number}: {text}; took {seconds:.1f} s")


def _targets(deployment: Deployment) -> Targets:
    return Targets(
        routers={p.router_id: p.data_centre for p in deployment.plans},
        upstreams={name: data_centre_of(name) for name in deployment.upstreams},
    )


async def _async_start_loads(
    deployment: Deployment, seed: int
) -> dict[str, LoadProcess]:
    """Start a load generator for each data centre."""
    loads: dict[str, LoadProcess] = {}
    for index, data_centre in enumerate(deployment.shape.data_centres):
        options = LoadOptions(
            addresses=deployment.caller_addresses(data_centre),
            workspaces=tuple(
                WorkspaceLoad(
                    name=name, token=token_of(name), rate=RATE_PER_WORKSPACE
                )
                for name in WORKSPACES
            ),
            # Markers and keys contain the seed and must differ between loads.
            seed=seed * 100 + index,
            max_requests=1_000_000,
            max_seconds=100_000,
            timeout_seconds=LOAD_TIMEOUT_SECONDS,
            chat_share=0.4,
            keyed_share=0.8,
            model=MODEL,
            plain_path=f"/services/{SERVICE_PLAIN}/work",
            median_tokens=40,
            # Long enough that a killed router usually has a call in flight.
            work_ms=300,
        )
        loads[data_centre] = await start_load(
            deployment.fleet, f"load-{data_centre}", options
        )
    return loads


async def _async_result(
    deployment: Deployment,
    seed: int,
    planned: list[tuple[PlannedFault, ...]],
    injector: FaultInjector,
    monitor: VersionMonitor,
    results: dict[str, LoadResult],
) -> FaultsResult:
    """Compare the responses to callers with the runs of the upstreams."""
    runs = await async_read_runs(deployment)
    observed = injector.observed
    loads = list(results.values())
    async with admin_client(POLL_TIMEOUT_SECONDS) as client:
        versions = {
            plan.router_id: await read_versions(client, plan)
            for plan in deployment.plans
        }
    newest = max((edit.version for edit in observed.edits), default=0)
    calls: Counter[str] = Counter()
    for load in loads:
        for workspace in load.by_workspace.values():
            calls.update(workspace.finals_by_outcome)
    return FaultsResult(
        deployment=deployment.shape.name,
        seed=seed,
        faults=[[str(fault) for fault in faults] for faults in planned],
        calls_by_outcome=dict(calls),
        keys_run=len(runs.by_key),
        readings=monitor.readings,
        breaches={
            "calls that ran more than once": repeated_runs(runs),
            "not_run answers of requests that ran": wrong_not_run(loads, runs),
            "answers without a run": responses_without_run(loads, runs),
            "wrong or incomplete answers": [
                problem for load in loads for problem in load.problems
            ],
            "versions that reverted": monitor.reverted,
            "versions that differ at the end": differing_versions(
                versions, newest
            ),
            "conflicting edits both accepted": observed.both_accepted,
            "accepted edits lost": await async_lost_edits(
                deployment, observed.edits
            ),
            "requests cut by a graceful shutdown": [
                *observed.aborted_requests,
                *aborted_by_shutdowns(loads, observed.shutdowns),
            ],
            "late work at leaving upstreams": observed.late_requests,
        },
        gap_seconds_by_data_centre={
            data_centre: result.longest_gap_seconds
            for data_centre, result in results.items()
        },
        shutdown_seconds=[
            shutdown.ended_at - shutdown.began_at
            for shutdown in observed.shutdowns
        ],
        edits_by_status=dict(Counter(edit.status for edit in observed.edits)),
    )


def _print(result: FaultsResult) -> None:
    typer.echo(
        f"deployment {result.deployment}, seed {result.seed}, "
        f"{len(result.faults)} rounds, {os.cpu_count()} cores"
    )
    total = sum(result.calls_by_outcome.values())
    typer.echo(f"calls: {total}; keys that ran: {result.keys_run}")
    for outcome, count in sorted(result.calls_by_outcome.items()):
        typer.echo(f"  {outcome}: {count}")
    typer.echo(f"version readings: {result.readings}")
    typer.echo(f"edits by status: {result.edits_by_status}")
    for data_centre, seconds in result.gap_seconds_by_data_centre.items():
        typer.echo(f"{data_centre}: longest gap {seconds:.2f} s")
    for seconds in result.shutdown_seconds:
        typer.echo(f"graceful shutdown took {seconds:.2f} s")
    for check, details in result.breaches.items():
        typer.echo(f"{check}: {len(details)}")
        for detail in details[:MAX_SHOWN_DETAILS]:
            typer.echo(f"  {detail}")
