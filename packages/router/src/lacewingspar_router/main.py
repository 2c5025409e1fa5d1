"""Command line of the router daemon."""

import asyncio
import importlib
import signal
from pathlib import Path
from typing import Annotated

import structlog
import typer
import uvloop

from lacewingspar_router.application import Application, SetupFunction
from lacewingspar_router.components.caller_api.models import CALLER_API
from lacewingspar_router.errors import ComponentSetupError, SettingsError
from lacewingspar_router.settings import Settings, load_settings
from lacewingspar_router.shutdown import SHUTDOWN, Shutdown

_LOGGER = structlog.get_logger(__name__)

COMPONENT_NAMES = (
    "telemetry",
    "log_service",
    "vm_list",
    "peers",
    "configuration",
    "claims",
    "upstreams",
    "quarantine",
    "scheduler",
    "caller_api",
    "admin_api",
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

cli = typer.Typer(
    help="Router of the lacewingspar fleet.",
    no_args_is_help=True,
    add_completion=False,
)


@cli.command("run")
def run_command(
    settings: Annotated[Path, typer.Argument(help="Settings file.")],
) -> None:
    """Run a router until it is told to stop."""
    loaded = _load_or_exit(settings)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        code = runner.run(async_run(loaded))
    raise typer.Exit(code)


@cli.command("check-settings")
def check_settings_command(
    file: Annotated[Path, typer.Argument(help="Settings file.")],
) -> None:
    """Check a settings file and list every error."""
    _load_or_exit(file)
    typer.echo(f"{file} is valid")


def run() -> None:
    """Run the command line."""
    cli()


def setup_functions() -> list[tuple[str, SetupFunction]]:
    """Return the set-up function of every component, in order.

    Raises:
        ComponentSetupError: A component is not installed.
    """
    functions: list[tuple[str, SetupFunction]] = []
    for name in COMPONENT_NAMES:
        path = f"lacewingspar_router.components.{name}"
        setup = getattr(importlib.import_module(path), "async_setup", None)
        if setup is None:
            raise ComponentSetupError(f"component {name} is not installed")
        functions.append((name, setup))
    return functions


async def async_run(settings: Settings) -> int:
    """Run a router with its signal handlers.

    Returns:
        Exit status of the process.
    """
    shutdown = Shutdown()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.handle_signal)
    application = Application(settings)
    application.register(SHUTDOWN, shutdown)
    try:
        is_started = await _async_start(application, shutdown)
    except ComponentSetupError as error:
        _LOGGER.error("router cannot start", error=str(error))
        typer.echo(f"lacewingspar: {error}", err=True)
        await application.async_stop()
        return EXIT_FAILED
    except Exception:
        # What was set up must not be left behind by a fault in a component.
        _LOGGER.exception("router cannot start")
        await application.async_stop()
        return EXIT_FAILED
    if not is_started:
        await application.async_stop()
        return EXIT_OK
    await shutdown.graceful.wait()
    is_drained = await _async_drain(application, shutdown)
    await application.async_stop()
    return EXIT_OK if is_drained else EXIT_FAILED


async def _async_start(application: Application, shutdown: Shutdown) -> bool:
    """Start the application unless a signal comes first."""
    start = asyncio.ensure_future(application.async_start(setup_functions()))
    stop = asyncio.ensure_future(shutdown.graceful.wait())
    await asyncio.wait({start, stop}, return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if start.done():
        start.result()
        return True
    start.cancel()
    await asyncio.gather(start, return_exceptions=True)
    return False


async def _async_drain(application: Application, shutdown: Shutdown) -> bool:
    """Drain the application and return whether no request was cut."""
    drain = asyncio.ensure_future(application.async_drain())
    abort = asyncio.ensure_future(shutdown.immediate.wait())
    await asyncio.wait(
        {drain, abort},
        timeout=application.settings.drain_limit_seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    is_aborted = abort.done()
    abort.cancel()
    if drain.done() and drain.exception() is None:
        return True
    reason = "second signal" if is_aborted else "drain limit"
    if drain.done():
        reason = f"drain failed: {drain.exception()}"
    drain.cancel()
    await asyncio.gather(drain, return_exceptions=True)
    count = await application.get(CALLER_API).async_cut_requests()
    _LOGGER.error("drain ended early", reason=reason, cut_requests=count)
    return False


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        typer.echo(f"{path}: invalid settings", err=True)
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
