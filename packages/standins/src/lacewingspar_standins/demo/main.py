"""Command line of the demo."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from typing import Annotated

import typer
import uvloop

from lacewingspar_standins.demo.samples import Sampler
from lacewingspar_standins.demo.small_fleet import (
    MODEL,
    SERVICE_PLAIN,
    FleetOptions,
    SmallFleet,
)
from lacewingspar_standins.demo.summary import check_lines, summary_lines
from lacewingspar_standins.demo.verdict import (
    Check,
    check_duplicates,
    check_not_run,
    check_responses,
    check_served,
    check_shutdown,
    read_runs,
)
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import (
    ADMIN_TOKEN,
    token_of,
    workspace_entry,
)
from lacewingspar_standins.load import run_load
from lacewingspar_standins.load_options import LoadOptions, WorkspaceLoad
from lacewingspar_standins.load_result import LoadResult
from lacewingspar_standins.process import FleetError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
DEFAULT_LOAD_SECONDS = 20.0
# Times of the failures as fractions of the load's duration. The load continues
# after both, so that their effect is visible.
KILL_AT_FRACTION = 0.4
TERMINATE_AT_FRACTION = 0.6
KILLED_UPSTREAM = "west-engine-2"
TERMINATED_ROUTER = "east-router-2"
MAX_REQUESTS = 100_000

# Each workspace has more clients than its weighted share of slots and stays
# backlogged. `flood` has more clients than its queues admit.
CLIENTS_BY_WORKSPACE = {"flood": 120, "north": 24, "south": 16}
WORKSPACES = (
    workspace_entry("flood", weight=1.0, queue_limit=15),
    workspace_entry("north", weight=2.0),
    workspace_entry("south", weight=1.0),
)

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def demo(
    seconds: Annotated[
        float, typer.Option(min=1, max=600, help="Duration of the load.")
    ] = DEFAULT_LOAD_SECONDS,
    keep: Annotated[
        bool, typer.Option("--keep", help="Keep the fleet until Ctrl-C.")
    ] = False,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Run a small fleet under load and stop an upstream and a router."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            exit_code = runner.run(run_demo(seconds, seed, keep=keep))
    except (KeyboardInterrupt, asyncio.CancelledError):
        typer.echo("interrupted; all processes have ended", err=True)
        exit_code = EXIT_INTERRUPTED
    except FleetError as error:
        typer.echo(f"demo failed: {error}", err=True)
        exit_code = EXIT_FAILED
    raise typer.Exit(exit_code)


def run() -> None:
    """Run the command line."""
    app()


async def run_demo(seconds: float, seed: int, *, keep: bool) -> int:
    """Run the demo and return the exit status."""
    _cancel_on_signals()
    async with Fleet() as fleet:
        small_fleet = SmallFleet(fleet, FleetOptions(WORKSPACES))
        typer.echo("starting stand-ins and routers")
        await small_fleet.start()
        typer.echo(
            f"{len(small_fleet.routers)} routers and "
            f"{len(small_fleet.upstreams)} upstreams in 2 data centres"
        )
        checks = await _run_scenario(small_fleet, seconds, seed)
        if keep:
            await _wait_for_signal(small_fleet)
    has_failed = any(check.failures for check in checks)
    return EXIT_FAILED if has_failed else EXIT_OK


async def _run_scenario(
    small_fleet: SmallFleet, seconds: float, seed: int
) -> list[Check]:
    """Run the load, cause the failures, print a summary and return checks."""
    async with _sampling(small_fleet) as sampler, asyncio.TaskGroup() as group:
        typer.echo(f"load of three workspaces for {seconds:g} s")
        failure_task = group.create_task(_cause_failures(small_fleet, seconds))
        load_task = group.create_task(
            run_load(
                _load_options(small_fleet, seconds, seed),
                lambda: sampler.ready_addresses,
            )
        )
        await load_task
        await failure_task
    result = load_task.result()
    weights = {item.name: item.weight for item in WORKSPACES}
    checks = await _run_checks(small_fleet, result)
    for line in (
        *summary_lines(result, sampler.samples, weights),
        *check_lines(checks),
    ):
        typer.echo(line)
    return checks


@contextlib.asynccontextmanager
async def _sampling(small_fleet: SmallFleet) -> AsyncIterator[Sampler]:
    """Sample the fleet in the background until the context ends."""
    sampler = Sampler(small_fleet)
    task = asyncio.create_task(sampler.run())
    try:
        yield sampler
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _cause_failures(small_fleet: SmallFleet, seconds: float) -> None:
    """Kill an upstream and terminate a router during the load."""
    await asyncio.sleep(seconds * KILL_AT_FRACTION)
    typer.echo(f"SIGKILL to upstream {KILLED_UPSTREAM}")
    upstreams = {
        name: item for (_, name), item in small_fleet.upstreams.items()
    }
    upstreams[KILLED_UPSTREAM].kill()
    await asyncio.sleep(seconds * (TERMINATE_AT_FRACTION - KILL_AT_FRACTION))
    router = small_fleet.routers[TERMINATED_ROUTER]
    typer.echo(f"SIGTERM to router {TERMINATED_ROUTER}")
    router.terminate()
    status = await router.wait()
    typer.echo(f"router {TERMINATED_ROUTER} ended with status {status}")


async def _run_checks(
    small_fleet: SmallFleet, result: LoadResult
) -> list[Check]:
    runs = await read_runs(small_fleet)
    return [
        check_responses(result),
        check_duplicates(result, runs),
        check_not_run(result, runs),
        check_shutdown(
            result,
            small_fleet.routers[TERMINATED_ROUTER],
            small_fleet.plans[TERMINATED_ROUTER].caller_address,
        ),
        check_served(result),
    ]


def _load_options(
    small_fleet: SmallFleet, seconds: float, seed: int
) -> LoadOptions:
    return LoadOptions(
        addresses=small_fleet.caller_addresses,
        workspaces=tuple(
            WorkspaceLoad(name=name, token=token_of(name), concurrency=clients)
            for name, clients in CLIENTS_BY_WORKSPACE.items()
        ),
        seed=seed,
        max_requests=MAX_REQUESTS,
        max_seconds=seconds,
        chat_share=0.8,
        stream_share=0.6,
        keyed_share=0.5,
        model=MODEL,
        plain_path=f"/services/{SERVICE_PLAIN}/work",
    )


async def _wait_for_signal(small_fleet: SmallFleet) -> None:
    """Print the addresses and tokens of the fleet and wait for a signal."""
    token = token_of("north")
    address = ""
    typer.echo("Routers (callers / administration)")
    for router_id, plan in small_fleet.plans.items():
        if small_fleet.routers[router_id].is_running:
            address = plan.caller_address
            typer.echo(
                f"  {router_id}: http://{address} / http://{plan.admin_address}"
            )
    typer.echo(f"Token of workspace north: {token}")
    typer.echo(f"Administration token: {ADMIN_TOKEN}")
    body = (
        f'{{"model": "{MODEL}", "stream": true, "max_tokens": 8, '
        '"messages": [{"role": "user", "content": "hello"}]}'
    )
    typer.echo(
        f"curl -N http://{address}/v1/chat/completions "
        f"-H 'Authorization: Bearer {token}' "
        f"-H 'Content-Type: application/json' -d '{body}'"
    )
    typer.echo("Press Ctrl-C to stop the fleet")
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None:
            task.uncancel()


def _cancel_on_signals() -> None:
    """Cancel the demo on SIGINT and SIGTERM, so that it stops the fleet."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
