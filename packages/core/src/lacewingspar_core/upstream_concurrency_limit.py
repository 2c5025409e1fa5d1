"""Concurrency limit of one upstream, adapted to its load reports.

The limit decreases when the upstream reports waiting requests. Latency is
compared with the moving baseline of the same upstream and counts only while the
upstream also reports waiting requests, because long requests are slow without
an overload.
"""

from dataclasses import dataclass, replace

MIN_LIMIT_SLOTS = 1.0
# Each report without waiting requests raises the limit by this fraction of the
# maximum, so it recovers from 1 within 16 reports.
INCREASE_FRACTION = 1 / 16
MIN_INCREASE_SLOTS = 1.0
DECREASE_FACTOR = 0.8
# A few waiting requests are tolerated, since they keep the upstream's batch
# full between two reports.
TOLERATED_WAITING_FRACTION = 0.1
MIN_TOLERATED_WAITING_REQUESTS = 1.0
# Tolerated waiting requests lower the limit as well if the recent latency
# exceeds this multiple of the baseline.
SLOW_LATENCY_FACTOR = 2.0
RECENT_LATENCY_WEIGHT = 0.2
# Ten times lower than the recent weight, so that the baseline follows a change
# of the workload but not a short overload.
BASELINE_LATENCY_WEIGHT = 0.02
# Requests admitted before a decrease are still running after it. The limit is
# not lowered again until the upstream is within the limit or this time has
# passed.
DECREASE_COOLDOWN_SECONDS = 30.0
# Load reports older than this are ignored, and the limit is frozen if no new
# one arrives for this long.
REPORT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class UpstreamConcurrencyLimit:
    """Concurrency limit between 1 and the slots of the service document.

    Attributes:
        maximum: Slots in the service document.
        value: Current limit; its integer part is the number of slots.
        lowered_at: Time of the last decrease in seconds.
        recent_latency_seconds: Moving average over few responses, or None
            before the first one.
        baseline_latency_seconds: Moving average over many responses, or None
            before the first one.
    """

    maximum: int
    value: float
    lowered_at: float = float("-inf")
    recent_latency_seconds: float | None = None
    baseline_latency_seconds: float | None = None

    @property
    def slots(self) -> int:
        """Return the maximum number of concurrent requests."""
        return int(self.value)

    @property
    def is_slow(self) -> bool:
        """Return whether the recent latency is far above the baseline."""
        recent = self.recent_latency_seconds
        baseline = self.baseline_latency_seconds
        if recent is None or baseline is None:
            return False
        return recent > SLOW_LATENCY_FACTOR * baseline


def new_limit(maximum: int) -> UpstreamConcurrencyLimit:
    """Create the limit of a new upstream, which starts at the maximum."""
    return UpstreamConcurrencyLimit(maximum=maximum, value=float(maximum))


def with_maximum(
    limit: UpstreamConcurrencyLimit, maximum: int
) -> UpstreamConcurrencyLimit:
    """Return the limit with a new maximum from the service document.

    A limit at its old maximum moves to the new one at once. A lowered limit
    stays as it is or is reduced to the new maximum.
    """
    is_lowered = limit.value < limit.maximum
    value = min(limit.value, maximum) if is_lowered else float(maximum)
    return replace(limit, maximum=maximum, value=value)


def with_latency(
    limit: UpstreamConcurrencyLimit, latency_seconds: float
) -> UpstreamConcurrencyLimit:
    """Return the limit after a response.

    Args:
        limit: Limit before the response.
        latency_seconds: Time from sending the request to the response head.
    """
    # Runs for every response, and the constructor is faster than `replace`.
    return UpstreamConcurrencyLimit(
        maximum=limit.maximum,
        value=limit.value,
        lowered_at=limit.lowered_at,
        recent_latency_seconds=_moving_mean(
            limit.recent_latency_seconds, latency_seconds, RECENT_LATENCY_WEIGHT
        ),
        baseline_latency_seconds=_moving_mean(
            limit.baseline_latency_seconds,
            latency_seconds,
            BASELINE_LATENCY_WEIGHT,
        ),
    )


def with_report(
    limit: UpstreamConcurrencyLimit,
    running: int,
    waiting: int,
    measured_at: float,
    now: float,
) -> UpstreamConcurrencyLimit:
    """Return the limit after a load report.

    Args:
        limit: Limit before the report.
        running: Number of requests that the upstream runs.
        waiting: Number of requests that it has admitted but not started.
        measured_at: Time of the measurement in seconds.
        now: Time in seconds.
    """
    if _is_congested(limit, waiting):
        if _is_cooling_down(limit, running + waiting, measured_at):
            return limit
        lowered = max(MIN_LIMIT_SLOTS, limit.value * DECREASE_FACTOR)
        return replace(limit, value=lowered, lowered_at=now)
    if waiting > 0:
        return limit
    step = max(MIN_INCREASE_SLOTS, limit.maximum * INCREASE_FRACTION)
    return replace(limit, value=min(float(limit.maximum), limit.value + step))


def _is_cooling_down(
    limit: UpstreamConcurrencyLimit, admitted: int, measured_at: float
) -> bool:
    """Return whether the last decrease may not have taken effect yet."""
    if measured_at <= limit.lowered_at:
        return True
    is_recent = measured_at - limit.lowered_at < DECREASE_COOLDOWN_SECONDS
    return is_recent and admitted > limit.slots


def _is_congested(limit: UpstreamConcurrencyLimit, waiting: int) -> bool:
    tolerated = max(
        MIN_TOLERATED_WAITING_REQUESTS,
        limit.value * TOLERATED_WAITING_FRACTION,
    )
    return waiting > tolerated or (waiting > 0 and limit.is_slow)


def _moving_mean(mean: float | None, value: float, weight: float) -> float:
    return value if mean is None else mean + weight * (value - mean)
