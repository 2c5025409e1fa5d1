"""Short-lived cache of overload declines by workspace and route.

When a workspace sends several times its share, most of its requests are
declined. Declining them from the cache saves the CPU time of asking the pool
owner about each one.
"""

from collections.abc import Callable

# Time to live of a cached decline. It is shorter than the waits that pools
# accept, so their queues don't run empty meanwhile.
DECLINE_CACHE_SECONDS = 0.1
# Random spread, in both directions, of the Retry-After that the pool returned.
RETRY_JITTER_FRACTION = 0.25
# Upper bound of Retry-After as a fraction of the caller's remaining time.
MAX_RETRY_AFTER_FRACTION = 0.3


class DeclineCache:
    """Cache of declines for overload by workspace and route.

    Args:
        uniform: Function that returns a random number between two bounds.
    """

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        self._uniform = uniform
        self._decline_by_key: dict[tuple[str, str], tuple[float, float]] = {}

    def record(
        self,
        workspace: str,
        route: str,
        retry_after_seconds: float,
        now: float,
    ) -> None:
        """Cache the decline of a request for overload."""
        decline = (now + DECLINE_CACHE_SECONDS, retry_after_seconds)
        self._decline_by_key[workspace, route] = decline

    def is_empty(self, now: float) -> bool:
        """Return whether the cache holds no unexpired decline."""
        if not self._decline_by_key:
            return True
        if any(until > now for until, _ in self._decline_by_key.values()):
            return False
        self._decline_by_key.clear()
        return True

    def retry_after(
        self, workspace: str, route: str, remaining_seconds: float, now: float
    ) -> float | None:
        """Return the Retry-After of a cached decline, or None.

        Args:
            workspace: Workspace of the request.
            route: Its route.
            remaining_seconds: Time until the caller's deadline.
            now: Time in seconds.
        """
        until, seconds = self._decline_by_key.get(
            (workspace, route), (0.0, 0.0)
        )
        if now >= until:
            return None
        spread = self._uniform(
            1 - RETRY_JITTER_FRACTION, 1 + RETRY_JITTER_FRACTION
        )
        return min(
            seconds * spread, MAX_RETRY_AFTER_FRACTION * remaining_seconds
        )
