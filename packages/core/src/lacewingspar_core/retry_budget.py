"""Retry budget of one router.

The fleet limits the retries to a service: in any window they stay below a
fraction of its requests plus a fixed number. Each router uses half of that
fraction for its own requests, and an equal part of half of the fixed number.
The total stays within the limit without any coordination, also while routers
start, leave or are partitioned.
"""

from collections import deque
from dataclasses import dataclass, field

# Fraction of the fleet's limit that the routers use. The rest covers requests
# that arrive in one window and are retried in the next.
ROUTER_BUDGET_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class RetryBudgetConfig:
    """Limit of the fleet on retries to one service.

    Attributes:
        ratio: Retries allowed per request.
        window_seconds: Window in which requests and retries are counted.
        base_retries: Retries allowed per window in addition to the ratio.
    """

    ratio: float
    window_seconds: float
    base_retries: float


@dataclass(slots=True)
class RetryBudget:
    """Retry budget of this router for one service.

    Attributes:
        bound: Limit of the fleet.
    """

    bound: RetryBudgetConfig
    _request_times: deque[float] = field(default_factory=deque)
    _retry_times: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._request_times.append(now)
        self._prune(now)

    def try_spend(self, routers: int, now: float) -> bool:
        """Count a retry if the budget allows it.

        Args:
            routers: Number of routers in the fleet, including this one.
            now: Time in seconds.

        Returns:
            Whether the request may be retried.
        """
        if not self.allows_retry(routers, now):
            return False
        self._retry_times.append(now)
        return True

    def allows_retry(self, routers: int, now: float) -> bool:
        """Return whether a retry is allowed now, without counting it."""
        self._prune(now)
        fixed = self.bound.base_retries / max(1, routers)
        earned = self.bound.ratio * len(self._request_times)
        limit = ROUTER_BUDGET_FRACTION * (fixed + earned)
        return len(self._retry_times) + 1 <= limit

    def _prune(self, now: float) -> None:
        oldest = now - self.bound.window_seconds
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()
