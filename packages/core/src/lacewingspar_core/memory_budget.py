"""Budget for the memory that callers make a router hold."""

# Fraction of the budget that one caller address may take. The rest, 4 MiB of
# the default 32 MiB, is one body of the largest usual size of other addresses.
ADDRESS_FRACTION = 7 / 8
# Memory of a router without callers; 47 MB were measured in a small fleet and
# 76 MB for one in a fleet of 390 routers.
BASE_MEGABYTES = 96
# A body that is sent on is held twice for a moment; a third part is left for
# connections, which hold some memory each, and for the allocator.
SHARES = 3
# Less would not take two bodies of the largest usual size.
MIN_BUDGET_BYTES = 8 * 1024 * 1024
# A holder that has received less than this counts as making no progress, so
# that single bytes do not keep a body alive while memory is short.
PROGRESS_BYTES = 1024
# Time without progress after which a holder may be evicted if memory is short.
# Packets that are lost once are sent again within 0.2 to 0.4 s.
STALL_SECONDS = 0.5


def budget_of_memory(megabytes: int) -> int:
    """Return the budget in bytes of a process that may use this memory."""
    room = (megabytes - BASE_MEGABYTES) * 1024 * 1024
    return max(MIN_BUDGET_BYTES, room // SHARES)


class MemoryBudget:
    """Counts the bytes that are held together and for each caller address.

    Attributes:
        max_bytes: Most bytes that are held together. One larger holder is
            accepted if nothing else is held, as waiting would not make room.
        held_bytes: Bytes that are held now.
        held_by_address: Those of each address that holds any.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.held_by_address: dict[str, int] = {}

    def try_hold(self, size: int, own: int = 0, address: str = "") -> bool:
        """Hold more bytes, unless there is no room.

        Args:
            size: Number of bytes.
            own: Bytes that are held for the same purpose.
            address: Address of the caller, or "" if it is not known.

        Returns:
            Whether they are held.
        """
        held = self.held_by_address.get(address, 0)
        if self.held_bytes != own:
            if self.held_bytes + size > self.max_bytes:
                return False
            is_share_exceeded = held + size > ADDRESS_FRACTION * self.max_bytes
            if address and held != own and is_share_exceeded:
                return False
        self.held_bytes += size
        if address and size:
            self.held_by_address[address] = held + size
        return True

    def release(self, size: int, address: str = "") -> None:
        """Release bytes that were held."""
        self.held_bytes -= size
        if not address or not size:
            return
        held = self.held_by_address[address] - size
        if held:
            self.held_by_address[address] = held
        else:
            del self.held_by_address[address]


class Progress:
    """Progress of what a caller sends or reads.

    Attributes:
        made_at: Time of the last progress, in seconds.
    """

    __slots__ = ("_pending_bytes", "made_at")

    def __init__(self, now: float) -> None:
        self.made_at = now
        self._pending_bytes = 0

    def record(self, size: int, now: float) -> None:
        """Record bytes; few of them do not count until more have followed."""
        self._pending_bytes += size
        if self._pending_bytes >= PROGRESS_BYTES:
            self.restart(now)

    def restart(self, now: float) -> None:
        """Count from now on."""
        self._pending_bytes = 0
        self.made_at = now

    def is_stalled(self, now: float) -> bool:
        """Return whether there was no progress for `STALL_SECONDS`."""
        return now - self.made_at >= STALL_SECONDS
