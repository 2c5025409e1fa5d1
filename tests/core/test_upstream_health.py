"""Health of one upstream."""

from random import Random

import pytest

from lacewingspar_core.upstream_health import (
    FIRST_PROBE_DELAY_SECONDS,
    MAXIMUM_PROBE_DELAY_SECONDS,
    AnswerOk,
    BrokenAnswer,
    ConnectFailure,
    HealthEvent,
    LoadReported,
    ProbeFailed,
    ProbeSucceeded,
    Removed,
    ReportsStopped,
    UpstreamHealth,
    VmLeaving,
    VmLive,
    apply_event,
    are_reports_overdue,
    new_health,
    with_slots,
)

IDLE = LoadReported(running=1, waiting=0, age_seconds=0.0)
BUSY = LoadReported(running=8, waiting=8, age_seconds=0.0)


def _after(*events: HealthEvent, now: float = 100.0) -> UpstreamHealth:
    health, random = new_health(10, now), Random(1)
    for event in events:
        health = apply_event(health, event, now, random)
    return health


@pytest.mark.parametrize(
    ("events", "state", "slots"),
    [
        ((), "unknown", 10),
        ((IDLE,), "healthy", 10),
        ((IDLE, BUSY), "healthy", 8),
        ((IDLE, ConnectFailure()), "failing", 0),
        ((BrokenAnswer(), AnswerOk(0.1), IDLE), "failing", 0),
        ((BrokenAnswer(), ProbeSucceeded()), "healthy", 10),
        ((IDLE, VmLeaving(), ProbeSucceeded(), IDLE), "leaving", 0),
        ((VmLeaving(), VmLive()), "unknown", 10),
        ((IDLE, Removed(), VmLive(), IDLE), "gone", 0),
    ],
)
def test_new_work_follows_the_state(
    events: tuple[HealthEvent, ...], state: str, slots: int
) -> None:
    """Guards against new work for failing, leaving and removed upstreams."""
    health = _after(*events)
    assert (health.state, health.slots) == (state, slots)


def _probe_delays(events: list[HealthEvent]) -> list[float]:
    health, random, delays = new_health(10, 0.0), Random(1), []
    for event in events:
        health = apply_event(health, event, 0.0, random)
        if health.next_probe_at is not None:
            delays.append(health.next_probe_at)
    return delays


def test_probe_delay_grows_to_its_limit() -> None:
    """Guards against routers that probe a dead upstream in a tight loop."""
    delays = _probe_delays([ConnectFailure(), *[ProbeFailed()] * 9])
    bounds = [
        min(MAXIMUM_PROBE_DELAY_SECONDS, FIRST_PROBE_DELAY_SECONDS * 2**n)
        for n in range(10)
    ]
    assert all(
        bound / 2 <= delay <= bound
        for delay, bound in zip(delays, bounds, strict=True)
    )
    assert len(set(delays)) == len(delays)


@pytest.mark.parametrize(
    ("is_answered", "is_reset"), [(True, True), (False, False)]
)
def test_only_a_complete_answer_resets_the_probe_delay(
    is_answered: bool, is_reset: bool
) -> None:
    """Guards against flapping of an upstream that answers only probes."""
    answer = [AnswerOk(0.1)] if is_answered else []
    events = [ConnectFailure(), *[ProbeFailed()] * 3, ProbeSucceeded()]
    last = _probe_delays([*events, *answer, BrokenAnswer()])[-1]
    assert (last <= FIRST_PROBE_DELAY_SECONDS) is is_reset


def test_limit_is_frozen_without_fresh_reports() -> None:
    """Guards against a limit that follows numbers from the past."""
    health = _after(IDLE, BUSY)
    assert not are_reports_overdue(health, 104.9)
    assert are_reports_overdue(health, 105.0)
    stale = LoadReported(running=8, waiting=8, age_seconds=5.0)
    for event in (ReportsStopped(), stale):
        health = apply_event(health, event, 105.0, Random(1))
    assert health.slots == 8
    assert not are_reports_overdue(health, 200.0)
    assert with_slots(health, 4).slots == 4
