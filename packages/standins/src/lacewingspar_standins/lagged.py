"""A value that readers see only some time after it was set."""

import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Lagged(Generic[T]):
    """Keeps the values of the recent past.

    Args:
        initial: Value that readers see before the first change.
        lag_seconds: Time until a change becomes visible.
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
        """Change the value."""
        self._advance()
        self._pending.append((self._clock(), value))

    def get(self) -> T:
        """Return the value of `lag_seconds` ago."""
        self._advance()
        return self._visible

    def _advance(self) -> None:
        limit = self._clock() - self.lag_seconds
        while self._pending and self._pending[0][0] <= limit:
            self._visible = self._pending.popleft()[1]
