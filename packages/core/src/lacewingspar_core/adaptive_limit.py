"""Concurrency limit of one upstream, adapted from its load reports.

Reported waiting requests lower the limit. Slow answers alone never do, since
an upstream that only serves long requests is slow without being overloaded:
latency counts only against the upstream's own moving baseline, and only while
the upstream also reports waiting requests.
"""

from dataclasses import dataclass, replace

MINIMUM_LIMIT = 1.0
# One report without waiting requests raises the limit by this part of the
# document's slots, so it recovers from 1 within 16 reports.
INCREASE_FRACTION = 1 / 16
MINIMUM_INCREASE = 1.0
DECREASE_FACTOR = 0.8
# A few waiting requests keep the upstream's batch full between two reports.
TOLERATED_WAITING_FRACTION = 0.1
MINIMUM_TOLERATED_WAITING = 1.0
# Waiting requests within the tolerance count once answers are this much
# slower than the baseline.
SLOW_FACTOR = 2.0
RECENT_LATENCY_WEIGHT = 0.2
# Ten times slower than the recent mean, so that the baseline follows a change
# of the requests but not a short overload.
BASELINE_LATENCY_WEIGHT = 0.02
# Requests that were admitted before a decrease stay for a while. No further
# decrease follows until they have left or this time has passed.
SETTLE_SECONDS = 30.0
# Without a report for this long the limit stays as it is.
REPORTS_STOPPED_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Limit between 1 and the slots of the service document.

    Attributes:
        maximum: Slots in the service document.
        value: Current limit; whole slots are its integer part.
        lowered_at: Time of the last decrease in seconds.
        recent_latency_seconds: Moving mean over few answers, or None.
        baseline_latency_seconds: Moving mean over many answers, or None.
    """

    maximum: int
    value: float
    lowered_at: float = float("-inf")
    recent_latency_seconds: float | None = None
    baseline_latency_seconds: float | None = None

    @property
    def slots(self) -> int:
        """Return the number of requests that may run at once."""
        return int(self.value)

    @property
    def is_slow(self) -> bool:
        """Return whether recent answers are far above the baseline."""
        recent = self.recent_latency_seconds
        baseline = self.baseline_latency_seconds
        if recent is None or baseline is None:
            return False
        return recent > SLOW_FACTOR * baseline


def new_limit(maximum: int) -> AdaptiveLimit:
    """Return the limit of a new upstream, which starts at the maximum."""
    return AdaptiveLimit(maximum=maximum, value=float(maximum))


def with_maximum(limit: AdaptiveLimit, maximum: int) -> AdaptiveLimit:
    """Return the limit after a change of the service document.

    A limit that was not lowered follows the document upwards at once.
    """
    is_lowered = limit.value < limit.maximum
    value = min(limit.value, maximum) if is_lowered else float(maximum)
    return replace(limit, maximum=maximum, value=value)


def with_latency(limit: AdaptiveLimit, latency_seconds: float) -> AdaptiveLimit:
    """Return the limit after an answer.

    Args:
        limit: Limit before the answer.
        latency_seconds: Time from sending the request to the answer's head.
    """
    # Called for every answer, and cheaper than `replace`.
    return AdaptiveLimit(
        maximum=limit.maximum,
        value=limit.value,
        lowered_at=limit.lowered_at,
        recent_latency_seconds=_mean(
            limit.recent_latency_seconds, latency_seconds, RECENT_LATENCY_WEIGHT
        ),
        baseline_latency_seconds=_mean(
            limit.baseline_latency_seconds,
            latency_seconds,
            BASELINE_LATENCY_WEIGHT,
        ),
    )


def with_report(
    limit: AdaptiveLimit,
    running: int,
    waiting: int,
    measured_at: float,
    now: float,
) -> AdaptiveLimit:
    """Return the limit after a load report.

    Args:
        limit: Limit before the report.
        running: Requests that the upstream runs.
        waiting: Requests that it has admitted but not started.
        measured_at: Time in seconds to which the report refers.
        now: Time in seconds.
    """
    if _is_congested(limit, waiting):
        if _is_settling(limit, running + waiting, measured_at):
            return limit
        lowered = max(MINIMUM_LIMIT, limit.value * DECREASE_FACTOR)
        return replace(limit, value=lowered, lowered_at=now)
    if waiting > 0:
        return limit
    step = max(MINIMUM_INCREASE, limit.maximum * INCREASE_FRACTION)
    return replace(limit, value=min(float(limit.maximum), limit.value + step))


def _is_settling(
    limit: AdaptiveLimit, admitted: int, measured_at: float
) -> bool:
    """Return whether a report cannot show the effect of the last decrease."""
    if measured_at <= limit.lowered_at:
        return True
    is_recent = measured_at - limit.lowered_at < SETTLE_SECONDS
    return is_recent and admitted > limit.slots


def _is_congested(limit: AdaptiveLimit, waiting: int) -> bool:
    tolerated = max(
        MINIMUM_TOLERATED_WAITING, limit.value * TOLERATED_WAITING_FRACTION
    )
    return waiting > tolerated or (waiting > 0 and limit.is_slow)


def _mean(mean: float | None, value: float, weight: float) -> float:
    return value if mean is None else mean + weight * (value - mean)
