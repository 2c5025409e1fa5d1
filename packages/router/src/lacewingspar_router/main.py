"""Command line of the router daemon."""

import asyncio
import dataclasses
import gc
import importlib
import signal
from pathlib import Path
from typing import Annotated

import structlog
import typer
import uvloop

from lacewingspar_router.application import Application, SetupFunction
from lacewingspar_router.components.telemetry.log_lines import (
    configure_log_lines,
)
from lacewingspar_router.errors import ComponentSetupError, SettingsError
from lacewingspar_router.settings import Settings, load_settings
from lacewingspar_router.shutdown import (
    SHUTDOWN,
    Shutdown,
    drain_limit_seconds,
)

_LOGGER = structlog.get_logger(__name__)

COMPONENT_PATHS: tuple[str, ...] = (
    "components.telemetry",
    "components.log_service",
    "components.vm_list",
    "components.peers",
    "components.configuration",
    "components.claims",
    "components.upstreams",
    "components.quarantine",
    "components.scheduler",
    "components.caller_api",
    "components.admin_api",
)

# Components of a router on the users' platform. They implement the platform's
# interface for callers; operators reach them through the log service only.
PLATFORM_COMPONENT_PATHS: tuple[str, ...] = (
    "components.telemetry",
    "components.peers",
    "platform",
    "components.routing",
    "components.admission",
    "components.forwarding",
)

# Objects allocated between two collections of the youngest generation, and
# collections of a generation between two of the next one. A busy router
# allocates the default of 700 objects in a few milliseconds.
GC_THRESHOLDS = (10_000, 10, 10)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

cli = typer.Typer(
    help="Router of the lacewingspar fleet.",
    no_args_is_help=True,
    # Plain text output; also for VMs, where rich is not loaded.
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    add_completion=False,
)


@cli.command("run")
def run_command(
    settings: Annotated[Path, typer.Argument(help="Settings file.")],
) -> None:
    """Run a router until it receives a signal to stop."""
    loaded = _load_or_exit(settings)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        code = runner.run(async_run(loaded, settings))
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


def setup_functions(settings: Settings) -> list[tuple[str, SetupFunction]]:
    """Return the set-up function of every component, in order.

    Raises:
        ComponentSetupError: A component is not installed.
    """
    functions: list[tuple[str, SetupFunction]] = []
    paths = PLATFORM_COMPONENT_PATHS
    if settings.platform is None:
        paths = COMPONENT_PATHS
    for name in paths:
        path = f"lacewingspar_router.{name}"
        setup = getattr(importlib.import_module(path), "async_setup", None)
        if setup is None:
            raise ComponentSetupError(f"component {name} is not installed")
        functions.append((name.rpartition(".")[2], setup))
    return functions


async def async_run(settings: Settings, path: Path | None = None) -> int:
    """Run a router with its signal handlers.

    Args:
        settings: Settings of the router.
        path: Settings file to reload on SIGHUP.

    Returns:
        Exit status of the process.
    """
    shutdown = Shutdown()
    loop = asyncio.get_running_loop()
    if path is not None:
        loop.add_signal_handler(signal.SIGHUP, _reload, path, settings)
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
        # Components that were set up before the fault must be unloaded.
        _LOGGER.exception("router cannot start")
        await application.async_stop()
        return EXIT_FAILED
    if not is_started:
        await application.async_stop()
        return EXIT_OK
    _freeze_startup_objects()
    await shutdown.graceful.wait()
    is_drained = await _async_drain(application, shutdown)
    await application.async_stop()
    return EXIT_OK if is_drained else EXIT_FAILED


def _freeze_startup_objects() -> None:
    """Exclude the objects created so far from garbage collection.

    Modules and components consist of about 50,000 objects, which live until the
    process ends. A full collection would visit them and block the event loop.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _reload(path: Path, running: Settings) -> None:
    """Reload the settings and apply those that can change at run time."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        _LOGGER.error("settings cannot be reloaded", problem=str(error))
        return
    configure_log_lines(settings.log_level, running.router_id)
    _LOGGER.info(
        "settings reloaded",
        log_level=settings.log_level,
        needs_restart=_differs_beyond_log_level(settings, running),
    )


def _differs_beyond_log_level(settings: Settings, running: Settings) -> bool:
    same_level = dataclasses.replace(settings, log_level=running.log_level)
    return same_level != running


async def _async_start(application: Application, shutdown: Shutdown) -> bool:
    """Start the application; return False if a signal comes first."""
    start = asyncio.ensure_future(
        application.async_start(setup_functions(application.settings))
    )
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
    """Drain the application; return False if requests were aborted."""
    drain = asyncio.ensure_future(application.async_drain())
    abort = asyncio.ensure_future(shutdown.immediate.wait())
    await asyncio.wait(
        {drain, abort},
        timeout=drain_limit_seconds(application.settings),
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
    count = await application.async_abort_requests()
    _LOGGER.error("drain ended early", reason=reason, cut_requests=count)
    return False


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        typer.echo(f"{path}: invalid settings", err=True)
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
