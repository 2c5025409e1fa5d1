"""Health of one upstream: its state, concurrency limit and next probe."""

from dataclasses import dataclass, replace
from random import Random
from typing import ClassVar

from lacewingspar_core.chart import load_chart
from lacewingspar_core.upstream_concurrency_limit import (
    REPORT_TIMEOUT_SECONDS,
    UpstreamConcurrencyLimit,
    new_limit,
    with_latency,
    with_maximum,
    with_report,
)

CHART = load_chart("upstream")

STATE_UNKNOWN = "unknown"
STATE_HEALTHY = "healthy"
STATE_FAILING = "failing"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"
# An upstream in the unknown state receives requests, so that a router that has
# just started does not leave it idle. Its first probe or response determines
# the next state.
_STATES_WITH_NEW_WORK = frozenset({STATE_UNKNOWN, STATE_HEALTHY})

# Idle time of the upstream after a false alarm, such as one broken connection.
FIRST_PROBE_DELAY_SECONDS = 0.25
PROBE_DELAY_FACTOR = 2.0
# A restarted upstream waits at most this long for new requests.
MAX_PROBE_DELAY_SECONDS = 5.0
# Each delay is multiplied by a random factor between this and 1, so that the
# routers do not probe at the same time.
MIN_PROBE_JITTER_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ResponseCompleted:
    """A response was received completely.

    Attributes:
        latency_seconds: Time from sending the request to the response head.
    """

    NAME: ClassVar[str] = "answer_ok"
    latency_seconds: float


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """No connection could be opened."""

    NAME: ClassVar[str] = "connect_failure"


@dataclass(frozen=True, slots=True)
class ResponseBroken:
    """A response was truncated or stalled, as after a crash."""

    NAME: ClassVar[str] = "broken_answer"


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The upstream reported its load.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests that it has admitted but not started.
        age_seconds: Age of the report.
    """

    NAME: ClassVar[str] = "load_report"
    running: int
    waiting: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class ReportsStopped:
    """No load report has arrived for `REPORT_TIMEOUT_SECONDS`."""

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
    """The upstream responded to a probe."""

    NAME: ClassVar[str] = "probe_succeeded"


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """The upstream did not respond to a probe."""

    NAME: ClassVar[str] = "probe_failed"


HealthEvent = (
    ResponseCompleted
    | ConnectFailure
    | ResponseBroken
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
    """Health of an upstream as seen by one router.

    Attributes:
        state: State in the state chart `upstream`.
        limit: Adaptive concurrency limit.
        last_report_at: Arrival time of the last valid load report in seconds,
            or None before the first one and while the limit is frozen.
        probe_delay_seconds: Current probe delay without jitter, or 0 after a
            complete response.
        next_probe_at: Time of the next probe in seconds, or None if no probe
            is due in this state.
    """

    state: str
    limit: UpstreamConcurrencyLimit
    last_report_at: float | None = None
    probe_delay_seconds: float = 0.0
    next_probe_at: float | None = None

    @property
    def slots(self) -> int:
        """Return the current maximum number of concurrent requests."""
        if self.state not in _STATES_WITH_NEW_WORK:
            return 0
        return self.limit.slots


def new_health(slots: int, now: float) -> UpstreamHealth:
    """Create the health of a newly listed upstream.

    Args:
        slots: Slots in the service document.
        now: Time in seconds.
    """
    return UpstreamHealth(
        state=CHART.initial, limit=new_limit(slots), next_probe_at=now
    )


def with_slots(health: UpstreamHealth, slots: int) -> UpstreamHealth:
    """Return the health after a change of the slots in the document."""
    return replace(health, limit=with_maximum(health.limit, slots))


def are_reports_overdue(health: UpstreamHealth, now: float) -> bool:
    """Return whether `ReportsStopped` is due."""
    if health.last_report_at is None:
        return False
    return now - health.last_report_at >= REPORT_TIMEOUT_SECONDS


def apply_event(
    health: UpstreamHealth, event: HealthEvent, now: float, random: Random
) -> UpstreamHealth:
    """Return the health after an event.

    Args:
        health: Health before the event.
        event: The event.
        now: Time in seconds.
        random: Generator for the probe jitter.
    """
    state = CHART.next_state(health.state, event.NAME)
    changed = _with_measurement(health, event, now)
    if state != health.state or isinstance(event, ProbeFailed):
        changed = _with_probe_schedule(changed, state, now, random)
    # Avoid a second copy, since most events do not change the state.
    return changed if state == health.state else replace(changed, state=state)


def _with_measurement(
    health: UpstreamHealth, event: HealthEvent, now: float
) -> UpstreamHealth:
    """Return the health with updated measurements and an unchanged state."""
    match event:
        case ResponseCompleted(latency_seconds):
            limit = with_latency(health.limit, latency_seconds)
            # Only responses to requests prove a recovery, so that the delay
            # keeps growing for an upstream that responds to probes but fails
            # every request.
            proves_recovery = health.state in _STATES_WITH_NEW_WORK
            delay = 0.0 if proves_recovery else health.probe_delay_seconds
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
    if report.age_seconds >= REPORT_TIMEOUT_SECONDS:
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
    """Return the health with the next probe scheduled for a new state."""
    if state == STATE_UNKNOWN:
        return replace(health, next_probe_at=now)
    if state != STATE_FAILING:
        return replace(health, next_probe_at=None)
    delay = min(
        MAX_PROBE_DELAY_SECONDS,
        max(
            FIRST_PROBE_DELAY_SECONDS,
            health.probe_delay_seconds * PROBE_DELAY_FACTOR,
        ),
    )
    jitter = random.uniform(MIN_PROBE_JITTER_FRACTION, 1.0)
    return replace(
        health, probe_delay_seconds=delay, next_probe_at=now + delay * jitter
    )
