"""Command line of the stand-ins."""

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import typer
import uvloop

from lacewingspar_standins.asgi import AsgiApp, decode_json
from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.engine import Engine
from lacewingspar_standins.engine_options import EngineFaults, EngineOptions
from lacewingspar_standins.faults import Faults, merge_faults
from lacewingspar_standins.link import Link, LinkFaults, LinkGroup
from lacewingspar_standins.load import run_load_until_signal
from lacewingspar_standins.load_options import LoadOptions
from lacewingspar_standins.log import LogFaults, LogOptions, LogService
from lacewingspar_standins.plain import PlainFaults, PlainOptions, PlainService
from lacewingspar_standins.prefix_cache import CacheOptions
from lacewingspar_standins.server import serve
from lacewingspar_standins.vms import VmListService, VmsFaults

app = typer.Typer(no_args_is_help=True, add_completion=False)

DEFAULT_HOST = "127.0.0.1"
Host = Annotated[str, typer.Option(help="Address to listen on.")]
Port = Annotated[int, typer.Option(help="Port; 0 selects a free port.")]
FaultJson = Annotated[
    str, typer.Option("--faults", help="Faults from the start, as JSON.")
]
RunsFile = Annotated[
    Path | None, typer.Option(help="File that preserves runs across restarts.")
]
F = TypeVar("F", bound=Faults)


def _parse_faults(fault_type: type[F], text: str) -> F:
    return merge_faults(
        fault_type(), decode_json(text.encode(), dict[str, Any])
    )


def _serve(build: Callable[[], AsgiApp], host: str, port: int) -> None:
    async def main() -> None:
        await serve(build(), host, port)

    run_loop(main())


def run_loop(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on uvloop until it ends or is interrupted."""
    try:
        uvloop.run(main)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None


@app.command()
def log(
    host: Host = DEFAULT_HOST,
    port: Port = 0,
    appends_per_second: float = 300,
    retention_seconds: float = 3600,
    faults: FaultJson = "{}",
) -> None:
    """Run the log service."""
    options = LogOptions(appends_per_second, retention_seconds)
    _serve(
        lambda: LogService(options, _parse_faults(LogFaults, faults)),
        host,
        port,
    )


@app.command()
def vms(
    host: Host = DEFAULT_HOST,
    port: Port = 0,
    lag_ms: float = 500,
    faults: FaultJson = "{}",
) -> None:
    """Run the VM list."""
    fault_set = merge_faults(
        _parse_faults(VmsFaults, faults), {"lag_ms": lag_ms}
    )
    _serve(lambda: VmListService(fault_set), host, port)


@app.command()
def engine(
    host: Host = DEFAULT_HOST,
    port: Port = 0,
    model: Annotated[list[str], typer.Option()] = ["model"],  # noqa: B006
    slots: int = 16,
    step_ms: float = 10,
    prompt_token_ms: float = 0.2,
    load_lag_ms: float = 200,
    cache_blocks: int = 4096,
    median_tokens: float = 64,
    sigma: float = 0.7,
    seed: int = 1,
    runs_file: RunsFile = None,
    faults: FaultJson = "{}",
) -> None:
    """Run a model engine."""
    options = EngineOptions(
        models=tuple(model),
        batch=BatchOptions(
            slots=slots,
            step_seconds=step_ms / 1000,
            prompt_token_seconds=prompt_token_ms / 1000,
            load_lag_seconds=load_lag_ms / 1000,
        ),
        cache=CacheOptions(blocks=cache_blocks, seed=seed),
        median_tokens=median_tokens,
        sigma=sigma,
        seed=seed,
        runs_file=runs_file,
    )
    _serve(
        lambda: Engine(options, _parse_faults(EngineFaults, faults)), host, port
    )


@app.command()
def plain(
    host: Host = DEFAULT_HOST,
    port: Port = 0,
    slots: int = 8,
    work_ms: float = 20,
    load_lag_ms: float = 200,
    runs_file: RunsFile = None,
    faults: FaultJson = "{}",
) -> None:
    """Run a plain service."""
    options = PlainOptions(slots, work_ms / 1000, load_lag_ms / 1000, runs_file)
    _serve(
        lambda: PlainService(options, _parse_faults(PlainFaults, faults)),
        host,
        port,
    )


@app.command()
def link(
    target: Annotated[str, typer.Option(help="HOST:PORT to relay to.")],
    host: Host = DEFAULT_HOST,
    port: Port = 0,
    control_port: Annotated[
        int, typer.Option(help="Port that serves /faults.")
    ] = 0,
    delay_ms: float = 0,
    faults: FaultJson = "{}",
) -> None:
    """Run a TCP relay."""
    fault_set = _parse_faults(LinkFaults, faults)
    if delay_ms:
        fault_set.delay_ms = delay_ms

    async def main() -> None:
        relay = Link(target, fault_set)
        async with relay.listening(host, port) as address:
            await serve(
                relay, host, control_port, "control_address", address=address
            )

    run_loop(main())


@app.command("link-group")
def link_group(
    target: Annotated[list[str], typer.Option(help="HOST:PORT, repeated.")],
    host: Host = DEFAULT_HOST,
    delay_ms: float = 0,
) -> None:
    """Run TCP relays to several targets that share one fault set."""
    faults = LinkFaults(delay_ms=delay_ms)

    async def main() -> None:
        group = LinkGroup(target, faults)
        async with group.listening(host) as address_by_target:
            await serve(
                group,
                host,
                0,
                "control_address",
                address=host,
                **address_by_target,
            )

    run_loop(main())


@app.command()
def load(
    options: Annotated[Path, typer.Argument(help="LoadOptions as JSON.")],
    output: Annotated[Path | None, typer.Option(help="Result file.")] = None,
) -> None:
    """Send load to routers and print the result as JSON."""
    parsed = msgspec.json.decode(options.read_bytes(), type=LoadOptions)
    result = msgspec.json.encode(uvloop.run(run_load_until_signal(parsed)))
    if output is None:
        typer.echo(result.decode())
    else:
        output.write_bytes(result)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
