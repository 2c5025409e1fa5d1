"""Health of one upstream: its chart state, slot limit and next probe."""

from dataclasses import dataclass, replace
from random import Random
from typing import ClassVar

from lacewingspar_core.adaptive_limit import (
    REPORTS_STOPPED_SECONDS,
    AdaptiveLimit,
    new_limit,
    with_latency,
    with_maximum,
    with_report,
)
from lacewingspar_core.chart import load_chart

CHART = load_chart("upstream")

STATE_UNKNOWN = "unknown"
STATE_HEALTHY = "healthy"
STATE_FAILING = "failing"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"
# An unknown upstream gets work, so that a router that has just started does
# not leave it idle; its first probe or answer decides.
_STATES_WITH_NEW_WORK = frozenset({STATE_UNKNOWN, STATE_HEALTHY})

# A false alarm, such as one broken connection, costs this much idle time.
FIRST_PROBE_DELAY_SECONDS = 0.25
PROBE_DELAY_FACTOR = 2.0
# A restarted upstream waits at most this long for its next work.
MAXIMUM_PROBE_DELAY_SECONDS = 5.0
# The delay is drawn between this part of it and all of it, so that the
# routers do not probe at the same moment.
MINIMUM_PROBE_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class AnswerOk:
    """An answer was received completely.

    Attributes:
        latency_seconds: Time from sending the request to the answer's head.
    """

    NAME: ClassVar[str] = "answer_ok"
    latency_seconds: float


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """No connection could be opened."""

    NAME: ClassVar[str] = "connect_failure"


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer ended early or went silent, as after a crash."""

    NAME: ClassVar[str] = "broken_answer"


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The upstream reported its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that it has admitted but not started.
        age_seconds: Age of the report.
    """

    NAME: ClassVar[str] = "load_report"
    running: int
    waiting: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class ReportsStopped:
    """No load report has arrived for `REPORTS_STOPPED_SECONDS`."""

    NAME: ClassVar[str] = "reports_stopped"


@dataclass(frozen=True, slots=True)
class VmLeaving:
    """The VM list says that the upstream's VM is leaving."""

    NAME: ClassVar[str] = "vm_leaving"


@dataclass(frozen=True, slots=True)
class VmLive:
    """The VM list says that the upstream's VM is live."""

    NAME: ClassVar[str] = "vm_live"


@dataclass(frozen=True, slots=True)
class Removed:
    """The service document no longer lists the upstream."""

    NAME: ClassVar[str] = "removed"


@dataclass(frozen=True, slots=True)
class ProbeSucceeded:
    """The upstream answered a probe."""

    NAME: ClassVar[str] = "probe_succeeded"


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """The upstream did not answer a probe."""

    NAME: ClassVar[str] = "probe_failed"


HealthEvent = (
    AnswerOk
    | ConnectFailure
    | BrokenAnswer
    | LoadReported
    | ReportsStopped
    | VmLeaving
    | VmLive
    | Removed
    | ProbeSucceeded
    | ProbeFailed
)


@dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """What one router knows about one upstream.

    Attributes:
        state: State of the chart `upstream`.
        limit: Adapted concurrency limit.
        last_report_at: Time of the last usable load report in seconds, or
            None while the limit is frozen.
        probe_delay_seconds: Delay before the last scheduled probe, 0 after a
            complete answer.
        next_probe_at: Time of the next probe in seconds, or None if the
            state needs no probe.
    """

    state: str
    limit: AdaptiveLimit
    last_report_at: float | None = None
    probe_delay_seconds: float = 0.0
    next_probe_at: float | None = None

    @property
    def slots(self) -> int:
        """Return the number of requests that may run at once now."""
        if self.state not in _STATES_WITH_NEW_WORK:
            return 0
        return self.limit.slots


def new_health(slots: int, now: float) -> UpstreamHealth:
    """Return the health of an upstream that has just been listed.

    Args:
        slots: Slots in the service document.
        now: Time in seconds.
    """
    return UpstreamHealth(
        state=CHART.initial, limit=new_limit(slots), next_probe_at=now
    )


def with_slots(health: UpstreamHealth, slots: int) -> UpstreamHealth:
    """Return the health after a change of the document's slots."""
    return replace(health, limit=with_maximum(health.limit, slots))


def are_reports_overdue(health: UpstreamHealth, now: float) -> bool:
    """Return whether `ReportsStopped` is due."""
    if health.last_report_at is None:
        return False
    return now - health.last_report_at >= REPORTS_STOPPED_SECONDS


def apply_event(
    health: UpstreamHealth, event: HealthEvent, now: float, random: Random
) -> UpstreamHealth:
    """Return the health after an event.

    Args:
        health: Health before the event.
        event: What happened.
        now: Time in seconds.
        random: Generator for the jitter of probes.
    """
    state = CHART.next_state(health.state, event.NAME)
    changed = _with_measurement(health, event, now)
    if state != health.state or isinstance(event, ProbeFailed):
        changed = _with_probe_schedule(changed, state, now, random)
    # Most events change no state and need no further copy.
    return changed if state == health.state else replace(changed, state=state)


def _with_measurement(
    health: UpstreamHealth, event: HealthEvent, now: float
) -> UpstreamHealth:
    """Return the health with a changed limit, in the state before."""
    match event:
        case AnswerOk(latency_seconds):
            limit = with_latency(health.limit, latency_seconds)
            # Only real work proves a recovery: an upstream that answers
            # probes but breaks every request is probed ever more rarely.
            is_proof = health.state in _STATES_WITH_NEW_WORK
            delay = 0.0 if is_proof else health.probe_delay_seconds
            return replace(health, limit=limit, probe_delay_seconds=delay)
        case LoadReported():
            return _with_report(health, event, now)
        case ReportsStopped():
            return replace(health, last_report_at=None)
        case _:
            return health


def _with_report(
    health: UpstreamHealth, report: LoadReported, now: float
) -> UpstreamHealth:
    if report.age_seconds >= REPORTS_STOPPED_SECONDS:
        return health
    limit = with_report(
        health.limit,
        report.running,
        report.waiting,
        now - report.age_seconds,
        now,
    )
    return replace(health, limit=limit, last_report_at=now)


def _with_probe_schedule(
    health: UpstreamHealth, state: str, now: float, random: Random
) -> UpstreamHealth:
    """Return the health with the next probe for a state that is entered."""
    if state == STATE_UNKNOWN:
        return replace(health, next_probe_at=now)
    if state != STATE_FAILING:
        return replace(health, next_probe_at=None)
    delay = min(
        MAXIMUM_PROBE_DELAY_SECONDS,
        max(
            FIRST_PROBE_DELAY_SECONDS,
            health.probe_delay_seconds * PROBE_DELAY_FACTOR,
        ),
    )
    jitter = random.uniform(MINIMUM_PROBE_JITTER, 1.0)
    return replace(
        health, probe_delay_seconds=delay, next_probe_at=now + delay * jitter
    )
