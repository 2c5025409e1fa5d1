"""The application object: components, tasks and life-cycle."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Generic, TypeVar, cast

import structlog

from lacewingspar_core.identity import RouterInstance, new_incarnation
from lacewingspar_router.errors import (
    ComponentNotReadyError,
    ComponentSetupError,
)
from lacewingspar_router.settings import Settings

_T = TypeVar("_T")
_LOGGER = structlog.get_logger(__name__)

SETUP_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ComponentKey(Generic[_T]):
    """Typed key of a component in the application."""

    name: str


class LifeCycle(StrEnum):
    """State in the life-cycle of the application."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


SetupFunction = Callable[["Application"], Awaitable[None]]
Hook = Callable[[], Awaitable[None]]
AbortHook = Callable[[], Awaitable[int]]


class Application:
    """Owns components, tasks and shutdown of one router.

    Attributes:
        settings: Settings of this router.
        random: Source of random numbers.
        instance: Identity of this router and its start.
        life_cycle: State in the life-cycle.
        drain_started_at: Time on the clock of `now` at which the graceful
            shutdown began, or None.

    Args:
        settings: Settings of this router.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.random = random.Random()
        self.instance = RouterInstance(
            settings.router_id,
            new_incarnation(time.time(), self.random.getrandbits(12)),
        )
        self.life_cycle = LifeCycle.STARTING
        self.drain_started_at: float | None = None
        self._component_by_name: dict[str, Any] = {}
        self._unload_hooks: list[tuple[str, Hook]] = []
        self._drain_hooks: list[tuple[str, Hook]] = []
        self._abort_hooks: list[AbortHook] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def now(self) -> float:
        """Return the boot-time clock in seconds, which counts suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def register(self, key: ComponentKey[_T], component: _T) -> None:
        """Make a component available to the others."""
        self._component_by_name[key.name] = component

    def get(self, key: ComponentKey[_T]) -> _T:
        """Return a component that has been set up."""
        return cast(_T, self._component_by_name[key.name])

    def on_drain(self, name: str, hook: Hook) -> None:
        """Call a hook when a graceful shutdown begins, in set-up order.

        A hook returns when its component has no more work in flight.
        """
        self._drain_hooks.append((name, hook))

    def on_abort(self, hook: AbortHook) -> None:
        """Call a hook when a graceful shutdown is aborted.

        A hook aborts the requests in flight and returns their number.
        """
        self._abort_hooks.append(hook)

    def on_unload(self, name: str, hook: Hook) -> None:
        """Call a hook when the application stops, in reverse set-up order."""
        self._unload_hooks.append((name, hook))

    def create_task(
        self, coroutine: Coroutine[Any, Any, _T], name: str
    ) -> asyncio.Task[_T]:
        """Run a coroutine as a task that is cancelled with the application."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    async def async_start(
        self, setup_functions: list[tuple[str, SetupFunction]]
    ) -> None:
        """Set up all components in order.

        Raises:
            ComponentSetupError: The set-up of a component has failed.
        """
        for name, setup in setup_functions:
            await self._async_setup(name, setup)
        self.life_cycle = LifeCycle.SERVING
        _LOGGER.info("router started", router_id=self.instance.router_id)

    async def async_drain(self) -> None:
        """Stop accepting new work and wait for the work in flight."""
        self.life_cycle = LifeCycle.DRAINING
        self.drain_started_at = self.now()
        _LOGGER.info("drain started")
        for name, hook in self._drain_hooks:
            await hook()
            _LOGGER.debug("component drained", component=name)

    async def async_abort_requests(self) -> int:
        """Abort the requests in flight and return their number."""
        return sum([await hook() for hook in self._abort_hooks])

    async def async_stop(self) -> None:
        """Unload all components and cancel all tasks."""
        for name, hook in reversed(self._unload_hooks):
            try:
                await hook()
            except Exception:
                _LOGGER.exception("component unload failed", component=name)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.life_cycle = LifeCycle.STOPPED
        _LOGGER.info("router stopped")

    async def _async_setup(self, name: str, setup: SetupFunction) -> None:
        while True:
            try:
                await setup(self)
            except ComponentNotReadyError as error:
                _LOGGER.warning(
                    "component not ready", component=name, error=str(error)
                )
                await asyncio.sleep(SETUP_RETRY_SECONDS)
            except OSError as error:
                raise ComponentSetupError(f"{name}: {error}") from error
            else:
                return

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _LOGGER.error("task failed", task=task.get_name(), exc_info=error)
