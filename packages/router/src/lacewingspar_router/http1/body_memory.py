"""Bound of the memory that callers make the process hold."""

from collections.abc import Callable
from typing import Protocol

import structlog

from lacewingspar_core.memory_budget import MemoryBudget, Progress

_LOGGER = structlog.get_logger(__name__)

# Twice this much fits beside the router into the memory of a small VM; a body
# that is sent on is held twice for a moment.
DEFAULT_MAX_BYTES = 32 * 1024 * 1024


class Holder(Protocol):
    """Holds memory for a caller, and can be made to release it."""

    @property
    def progress(self) -> Progress:
        """Return the progress of the caller."""

    def evict(self) -> bool:
        """Release the memory now; return whether that was possible."""


def _ignore_evictions(_count: int) -> None:
    """Count nothing."""


class BodyMemory(MemoryBudget):
    """Counts the bytes that are held for callers, mostly bodies of requests.

    Those of a body are held from the head of a request, which announces them,
    or else from their arrival, until the request ends.

    Attributes:
        record_evictions: Called with the number of evicted holders.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        super().__init__(max_bytes)
        self.record_evictions: Callable[[int], None] = _ignore_evictions
        # Those that can be evicted.
        self._holders: dict[Holder, None] = {}

    def add_holder(self, holder: Holder) -> None:
        """Let a holder be evicted from now on, until it is removed."""
        self._holders[holder] = None

    def remove_holder(self, holder: Holder) -> None:
        """Let a holder no longer be evicted."""
        self._holders.pop(holder, None)

    def hold_or_evict(
        self,
        size: int,
        own: int,
        address: str,
        now: float,
        asking: Holder | None,
    ) -> bool:
        """Hold more bytes, if necessary in place of stalled holders.

        Args:
            size: Number of bytes.
            own: Bytes that are held for the same purpose.
            address: Address of the caller.
            now: Time in seconds.
            asking: Holder that is not evicted, or None.

        Returns:
            Whether they are held.
        """
        if self.try_hold(size, own, address):
            return True
        stalled = sorted(
            (
                holder
                for holder in self._holders
                if holder is not asking and holder.progress.is_stalled(now)
            ),
            key=lambda holder: holder.progress.made_at,
        )
        evicted = 0
        is_held = False
        for holder in stalled:
            evicted += holder.evict()
            is_held = self.try_hold(size, own, address)
            if is_held:
                break
        if evicted:
            self.record_evictions(evicted)
            _LOGGER.info(
                "callers without progress evicted to free memory",
                evicted=evicted,
                needed_bytes=size,
                held_bytes=self.held_bytes,
                max_bytes=self.max_bytes,
            )
        return is_held


class CallerAccount:
    """What one connection makes the process hold.

    Attributes:
        address: Address of the caller, or "" before it is known.
        progress: Progress of the caller.

    Args:
        memory: Bounds all connections together.
        holder: The connection.
        now: Clock in seconds.
    """

    __slots__ = ("_holder", "_memory", "_now", "address", "progress")

    def __init__(
        self, memory: BodyMemory, holder: Holder, now: Callable[[], float]
    ) -> None:
        self.address = ""
        self.progress = Progress(now())
        self._memory = memory
        self._holder: Holder | None = holder
        self._now = now

    def try_hold(self, size: int, own: int = 0) -> bool:
        """Hold more bytes, unless there is no room.

        Args:
            size: Number of bytes.
            own: Bytes that are held for the same purpose.

        Returns:
            Whether they are held.
        """
        return self._memory.try_hold(
            size, own, self.address
        ) or self._memory.hold_or_evict(
            size, own, self.address, self._now(), self._holder
        )

    def set_evictable(self, *, is_evictable: bool) -> None:
        """Let the connection be evicted, or no longer."""
        if self._holder is None:
            return
        if is_evictable:
            self._memory.add_holder(self._holder)
        else:
            self._memory.remove_holder(self._holder)

    def close(self) -> None:
        """Release the connection, which refers to this account."""
        self.set_evictable(is_evictable=False)
        self._holder = None

    def release(self, size: int) -> None:
        """Release bytes that were held."""
        if size:
            self._memory.release(size, self.address)
