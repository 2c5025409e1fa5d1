"""Load that upstreams report in their responses.

Designed for upstreams that several owners use at once, such as during a
partition or a change of owners, and for machines that other workloads slow
down for some tenths of a second. A report is as old as its response.
"""

import math
from dataclasses import dataclass, field

# Time constant of the smoothed reports. Messages that overtake each other shift
# single reports by a few requests; slow phases last some tenths of a second.
SMOOTHING_SECONDS = 0.3
# Time constant of the usual slowness of an upstream, which its fitted times
# already contain: they cover 50 responses, about ten seconds of an engine.
USUAL_SLOWNESS_SECONDS = 10.0
# A report has no effect at this age, so that an upstream that was left alone
# is tried again. Requests of most owners end within this time.
MAX_REPORT_AGE_SECONDS = 2.0
# Range in which the slowness of a report is believed, in per cent. It bounds
# the effect of wrong reports.
MIN_SLOWNESS_PERCENT = 50
MAX_SLOWNESS_PERCENT = 1000


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an upstream at the time of a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs concurrently.
        slowness_percent: How long work currently takes there, where 100 is
            usual, or None if the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int | None = None


@dataclass(slots=True)
class ReportedLoad:
    """Newest report of one upstream, combined with the owner's own counts.

    The report minus the owner's requests at that time are the requests of
    others. They are added to the owner's current count, so that its sends and
    ends since the report are included.

    Attributes:
        report: The newest report, or None.
        reported_at: Time of the newest report.
        other_runs: Requests that others currently run there, estimated.
        slowdown: Current duration of work relative to the usual one there.
    """

    report: LoadReport | None = None
    reported_at: float = -math.inf
    other_runs: float = 0.0
    slowdown: float = 1.0
    _difference: float = field(default=0.0, init=False)
    _slowness: float = field(default=100.0, init=False)
    _usual_slowness: float = field(default=100.0, init=False)

    def record(
        self, report: LoadReport, reported_at: float, own_runs: int, now: float
    ) -> None:
        """Record a report; one that is older than the newest has no effect.

        Args:
            report: The report.
            reported_at: Time of the response that carried it.
            own_runs: Requests of this owner at that time, as far as known.
            now: Time in seconds.
        """
        reported_at = min(reported_at, now)
        if reported_at < self.reported_at:
            return
        # Reports of long ago and none at all weigh nothing.
        elapsed = reported_at - self.reported_at
        weight = 1 - math.exp(-elapsed / SMOOTHING_SECONDS)
        limit = float(max(1, report.slots))
        difference = float(report.running + report.waiting - own_runs)
        difference = max(-limit, min(limit, difference))
        self._difference += weight * (difference - self._difference)
        if report.slowness_percent is not None:
            self._record_slowness(report.slowness_percent, elapsed)
        self.report = report
        self.reported_at = reported_at
        self.refresh(now)

    def adopt_run(self) -> None:
        """Record that a run of others now counts as one of this owner."""
        if self.report is not None:
            self._difference -= 1
            self.other_runs = max(0.0, self.other_runs - 1)

    def _record_slowness(self, percent: float, elapsed: float) -> None:
        percent = max(MIN_SLOWNESS_PERCENT, min(MAX_SLOWNESS_PERCENT, percent))
        weight = 1 - math.exp(-elapsed / SMOOTHING_SECONDS)
        self._slowness += weight * (percent - self._slowness)
        # A single report after a long time says little about the usual state.
        elapsed = min(elapsed, SMOOTHING_SECONDS)
        weight = 1 - math.exp(-elapsed / USUAL_SLOWNESS_SECONDS)
        self._usual_slowness += weight * (percent - self._usual_slowness)

    def refresh(self, now: float) -> None:
        """Reduce the effect of the newest report with its age."""
        if self.report is None:
            return
        trust = max(0.0, 1 - self.age(now) / MAX_REPORT_AGE_SECONDS)
        self.other_runs = trust * max(0.0, self._difference)
        current = self._slowness / self._usual_slowness
        self.slowdown = 1.0 + trust * (current - 1.0)

    def age(self, now: float) -> float:
        """Return the age of the newest report in seconds."""
        return max(0.0, now - self.reported_at)
