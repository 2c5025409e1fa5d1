"""How many requests this router may send a second time.

The whole fleet has one bound: in any window, the second sends to a service
stay below a share of its requests plus a fixed number. Each router takes half
of that share of its own requests and its part of half of the number. The sum
over all routers then stays below the bound without any message, also while
routers start, leave or cannot hear each other.
"""

from collections import deque
from dataclasses import dataclass, field

# Part of the fleet's bound that the routers use together; the rest covers
# requests that arrive in one window and are sent again in the next.
USED_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class RetryBound:
    """Bound of the fleet on second sends to one service.

    Attributes:
        ratio: Second sends for each request.
        window_seconds: Window over which they are counted.
        allowance: Second sends allowed in a window without any request.
    """

    ratio: float
    window_seconds: float
    allowance: float


@dataclass(slots=True)
class RetryAllowance:
    """Second sends of this router to one service.

    Attributes:
        bound: Bound of the fleet.
    """

    bound: RetryBound
    _requests_at: deque[float] = field(default_factory=deque)
    _retries_at: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests_at.append(now)
        self._forget(now)

    def take(self, routers: int, now: float) -> bool:
        """Count a second send if there is room for it.

        Args:
            routers: Number of routers in the fleet, this one included.
            now: Time in seconds.

        Returns:
            Whether the request may be sent again.
        """
        self._forget(now)
        fixed = self.bound.allowance / max(1, routers)
        earned = self.bound.ratio * len(self._requests_at)
        if len(self._retries_at) + 1 > USED_FRACTION * (fixed + earned):
            return False
        self._retries_at.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self.bound.window_seconds
        for times in (self._requests_at, self._retries_at):
            while times and times[0] < oldest:
                times.popleft()
