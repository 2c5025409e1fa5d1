"""Workspaces whose requests the pools have just declined.

Load that this answers: a workspace asks for several times its share, and most
of its requests are declined. A router that goes on asking for each of them
spends its own processor time and that of the pool's owner on answers that it
knows.
"""

from collections.abc import Callable

# After a decline for overload a workspace's requests on the same route are not
# asked for again for this long. It is shorter than the waits that pools accept,
# so that their queues do not run empty meanwhile.
QUIET_SECONDS = 0.1
# Callers come back after the time that the pool has named, spread by this part.
SPREAD_FRACTION = 0.25
# Callers wait at most this part of the time that they have left.
LONGEST_RETRY_FRACTION = 0.3


class RecentDeclines:
    """Declines for overload by workspace and route, each for a short time.

    Args:
        uniform: Returns a random number between two others.
    """

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        self._uniform = uniform
        self._decline_by_demand: dict[tuple[str, str], tuple[float, float]] = {}

    def note(
        self,
        workspace: str,
        route: str,
        retry_after_seconds: float,
        now: float,
    ) -> None:
        """Take over that a request was declined for overload."""
        decline = (now + QUIET_SECONDS, retry_after_seconds)
        self._decline_by_demand[workspace, route] = decline

    def is_empty(self, now: float) -> bool:
        """Return whether no decline is recent."""
        if not self._decline_by_demand:
            return True
        if any(until > now for until, _ in self._decline_by_demand.values()):
            return False
        self._decline_by_demand.clear()
        return True

    def retry_after(
        self, workspace: str, route: str, left_seconds: float, now: float
    ) -> float | None:
        """Return when to come back, or None if the pool is to be asked.

        Args:
            workspace: Workspace of the request.
            route: Its route.
            left_seconds: Time that the caller waits for the answer.
            now: Time in seconds.
        """
        until, seconds = self._decline_by_demand.get(
            (workspace, route), (0.0, 0.0)
        )
        if now >= until:
            return None
        spread = self._uniform(1 - SPREAD_FRACTION, 1 + SPREAD_FRACTION)
        return min(seconds * spread, LONGEST_RETRY_FRACTION * left_seconds)
