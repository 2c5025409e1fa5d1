"""A value whose changes become visible after a delay."""

import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Lagged(Generic[T]):
    """Value whose changes become visible after a delay.

    Args:
        initial: Value that is visible before the first change.
        lag_seconds: Delay until a change becomes visible.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        initial: T,
        lag_seconds: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lag_seconds = lag_seconds
        self._clock = clock
        self._visible = initial
        self._pending: deque[tuple[float, T]] = deque()

    def set(self, value: T) -> None:
        """Set the value that becomes visible after the delay."""
        self._advance()
        self._pending.append((self._clock(), value))

    def get(self) -> T:
        """Return the value of `lag_seconds` ago."""
        self._advance()
        return self._visible

    def _advance(self) -> None:
        visible_before = self._clock() - self.lag_seconds
        while self._pending and self._pending[0][0] <= visible_before:
            self._visible = self._pending.popleft()[1]
