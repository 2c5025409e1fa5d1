"""Estimates of the run time of a request from earlier ones on its route."""

import math
from dataclasses import dataclass

# Weight of the newest run time in the averages.
NEWEST_WEIGHT = 1 / 16
# Run times of a route that are needed for an estimate.
MIN_RUN_TIMES = 5
# Distance of the estimate from the mean, in standard deviations. At most half
# of the run times are longer, whatever their distribution (Cantelli's
# inequality), so that most requests that are accepted can end.
ESTIMATE_DEVIATIONS = 1.0
# Routes with estimates; the one without a run time for longest is dropped.
MAX_ROUTES = 1024


@dataclass(slots=True)
class _RunTimes:
    """Exponentially weighted mean and variance.

    The first run times have equal weights.
    """

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, seconds: float) -> None:
        self.count += 1
        weight = max(NEWEST_WEIGHT, 1 / self.count)
        difference = seconds - self.mean
        self.mean += weight * difference
        self.variance = (1 - weight) * (
            self.variance + weight * difference * difference
        )


class RunTimeEstimates:
    """Learns how long the requests of each route take."""

    def __init__(self) -> None:
        self._run_times_by_route: dict[str, _RunTimes] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the run time of a finished request."""
        run_times = self._run_times_by_route.pop(route, None) or _RunTimes()
        run_times.add(seconds)
        self._run_times_by_route[route] = run_times
        if len(self._run_times_by_route) > MAX_ROUTES:
            del self._run_times_by_route[next(iter(self._run_times_by_route))]

    def upper_estimate(self, route: str) -> float | None:
        """Return the time in seconds that most requests of a route take.

        Returns:
            The mean plus one standard deviation, or None if too few requests
            have finished.
        """
        run_times = self._run_times_by_route.get(route)
        if run_times is None or run_times.count < MIN_RUN_TIMES:
            return None
        deviation = math.sqrt(run_times.variance)
        return run_times.mean + ESTIMATE_DEVIATIONS * deviation
