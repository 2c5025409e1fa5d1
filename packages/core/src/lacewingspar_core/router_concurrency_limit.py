"""Adaptive limit of the requests that a router handles concurrently.

All connections of a large workspace may lead to one entry VM and bring more
requests than its CPU can forward. Without a limit every request is late and new
connections are not accepted.
"""

from collections import Counter

# Delay of the event loop above which it counts as overloaded. A request waits
# for several iterations, and the shortest latency targets in use are 0.125 s.
MAX_LOOP_DELAY_SECONDS = 0.05
# Consecutive late samples before the limit falls. A single one may have another
# cause, such as loading a large configuration.
LATE_SAMPLES_BEFORE_DECREASE = 2
# A delay of this many times the maximum lowers the limit at once: a loop that
# needs seconds for one iteration yields only one sample in this time.
VERY_LATE_FACTOR = 5.0
# Bounds of the fraction of the in-flight requests that the limit is reduced to.
# Between the bounds, the fraction falls as the delay grows.
MAX_RETAINED_FRACTION = 0.8
MIN_RETAINED_FRACTION = 0.1
# Growth of the limit after each sample that is not late: the larger of a number
# of requests and a fraction of the limit, which doubles it in less than a
# second. It grows only while a minimum fraction of it is in use, so that it is
# close to the load when a burst arrives.
MIN_INCREASE_REQUESTS = 4
INCREASE_FRACTION = 0.1
MIN_USED_FRACTION = 0.5
# Lower bound of the limit, however slow the router is.
MIN_LIMIT = 8
# Initial limit per CPU core: half of the 530 requests per second that
# docs/proof.md records for one core, with a duration of one second each.
REQUESTS_PER_PROCESSOR = 265


class RouterConcurrencyLimit:
    """Concurrency limit that adapts to the delay of the event loop.

    The limit falls while the event loop is late and grows otherwise. When it is
    reached, a workspace is refused only beyond its equal share.

    Attributes:
        limit: Maximum number of in-flight requests.
        active: Number of in-flight requests.

    Args:
        processors: CPU time available to the router, in cores.
    """

    def __init__(self, processors: float = 1.0) -> None:
        self.limit = max(MIN_LIMIT, round(REQUESTS_PER_PROCESSOR * processors))
        self.active = 0
        self._peak_active = 0
        self._late_samples = 0
        self._active_by_workspace: Counter[str] = Counter()

    def record_loop_delay(self, seconds: float) -> None:
        """Adapt the limit to the measured delay of the event loop.

        Args:
            seconds: Delay of a timer, measured about ten times a second.
        """
        peak_active, self._peak_active = self._peak_active, self.active
        if seconds <= MAX_LOOP_DELAY_SECONDS:
            self._late_samples = 0
            if peak_active >= MIN_USED_FRACTION * self.limit:
                self.limit += max(
                    MIN_INCREASE_REQUESTS, int(INCREASE_FRACTION * self.limit)
                )
            return
        self._late_samples += 1
        lateness = seconds / MAX_LOOP_DELAY_SECONDS
        if (
            self._late_samples < LATE_SAMPLES_BEFORE_DECREASE
            and lateness < VERY_LATE_FACTOR
        ):
            return
        factor = min(
            MAX_RETAINED_FRACTION, max(MIN_RETAINED_FRACTION, 2 / lateness)
        )
        used = min(self.limit, self.active)
        self.limit = max(MIN_LIMIT, int(factor * used))

    @property
    def is_full(self) -> bool:
        """Return whether the limit is reached."""
        return self.active >= self.limit

    def has_room(self, workspace: str) -> bool:
        """Return whether a request of a workspace may be accepted."""
        if not self.is_full:
            return True
        own = self._active_by_workspace.get(workspace, 0)
        workspaces = len(self._active_by_workspace) + (own == 0)
        return own < self.limit / workspaces

    def try_acquire(self, workspace: str) -> bool:
        """Count a request if it may be accepted, and return whether it may."""
        if not self.has_room(workspace):
            return False
        self._active_by_workspace[workspace] += 1
        self.active += 1
        self._peak_active = max(self._peak_active, self.active)
        return True

    def release(self, workspace: str) -> None:
        """Release the place of a request that has ended."""
        self.active -= 1
        self._active_by_workspace[workspace] -= 1
        if not self._active_by_workspace[workspace]:
            del self._active_by_workspace[workspace]
