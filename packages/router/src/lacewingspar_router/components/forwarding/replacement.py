"""Attempt at another upstream beside the one at a silent upstream."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from lacewingspar_core.attempt_rules import AttemptResult
from lacewingspar_router.components.admission.models import Grant
from lacewingspar_router.components.forwarding.attempt import AttemptEnd
from lacewingspar_router.http1.client_connection import ClientConnection


class AttemptObserver(Protocol):
    """Follows an attempt."""

    def watch(self, connection: ClientConnection) -> None:
        """Watch the upstream of an attempt that was just sent."""

    def record_first_chunk(self) -> None:
        """Record that the first chunk of the response arrived."""

    async def async_before_relay(self) -> None:
        """Wait until the stream of the upstream may be relayed."""


# Sends a request to the upstream of a grant and relays the response.
SendFunction = Callable[
    [Grant, AttemptObserver], Coroutine[Any, Any, AttemptEnd]
]


class Replacement:
    """An attempt that starts beside one whose upstream is silent.

    Its response is held back until the request is left to it.

    Attributes:
        grant: Grant for its upstream.

    Args:
        grant: Grant for its upstream.
        observer: Follows it once the request is left to it.
    """

    def __init__(self, grant: Grant, observer: AttemptObserver) -> None:
        self.grant = grant
        self._observer = observer
        self._task: asyncio.Task[AttemptEnd] | None = None
        self._connection: ClientConnection | None = None
        self._has_begun = asyncio.Event()
        self._is_released = asyncio.Event()

    def start(self, task: asyncio.Task[AttemptEnd]) -> None:
        """Follow the task that runs the attempt."""
        self._task = task
        task.add_done_callback(lambda _: self._has_begun.set())

    def watch(self, connection: ClientConnection) -> None:
        """Watch the upstream once the request is left to it."""
        self._connection = connection
        if self._is_released.is_set():
            self._observer.watch(connection)

    def record_first_chunk(self) -> None:
        """Record that the first chunk of the response arrived."""
        if self._is_released.is_set():
            self._observer.record_first_chunk()

    async def async_before_relay(self) -> None:
        """Wait until the request is left to this attempt."""
        self._has_begun.set()
        await self._is_released.wait()

    async def async_wait_for_response(self, seconds: float) -> None:
        """Wait until the upstream responds, but no longer than a time."""
        try:
            async with asyncio.timeout(seconds):
                await self._has_begun.wait()
        except TimeoutError:
            return

    @property
    def failure(self) -> AttemptEnd | None:
        """Return the end of the attempt if it has failed."""
        assert self._task is not None
        if not self._task.done():
            return None
        end = self._task.result()
        return None if end.result is AttemptResult.RESPONDED else end

    async def async_take_over(self) -> AttemptEnd:
        """Relay the response; return the end of the attempt."""
        assert self._task is not None
        self._is_released.set()
        self._has_begun.set()
        if self._connection is not None and not self._task.done():
            self._observer.watch(self._connection)
        return await self._task

    def cancel(self) -> None:
        """Abort the attempt."""
        assert self._task is not None
        self._task.cancel()
