"""Tests of the health of one upstream."""

from random import Random

import pytest

from lacewingspar_core import upstream_health as uh

IDLE = uh.LoadReported(running=1, waiting=0, age_seconds=0.0)
BUSY = uh.LoadReported(running=8, waiting=8, age_seconds=0.0)
STALE = uh.LoadReported(running=8, waiting=8, age_seconds=5.0)
RESPONSE = uh.ResponseCompleted(0.1)


def _history(*events: uh.HealthEvent) -> list[uh.UpstreamHealth]:
    """Return the health after each event, all of them at 100 s."""
    history, random = [uh.new_health(10, 100.0)], Random(1)
    for event in events:
        history.append(uh.apply_event(history[-1], event, 100.0, random))
    return history


@pytest.mark.parametrize(
    ("events", "state", "slots"),
    [
        ([], "unknown", 10),
        ([IDLE], "healthy", 10),
        ([IDLE, BUSY], "healthy", 8),
        ([IDLE, STALE], "healthy", 10),
        ([IDLE, uh.ConnectFailure()], "failing", 0),
        ([uh.ResponseBroken(), RESPONSE, IDLE], "failing", 0),
        ([uh.ResponseBroken(), uh.ProbeSucceeded()], "healthy", 10),
        ([IDLE, uh.VmLeaving(), uh.ProbeSucceeded(), IDLE], "leaving", 0),
        ([uh.VmLeaving(), uh.VmLive()], "unknown", 10),
        ([IDLE, uh.Removed(), uh.VmLive(), IDLE], "gone", 0),
    ],
)
def test_state_and_slots(
    events: list[uh.HealthEvent], state: str, slots: int
) -> None:
    """Failing, leaving and removed upstreams must get no new requests."""
    health = _history(*events)[-1]
    assert (health.state, health.slots) == (state, slots)


def test_probe_delay_grows_to_its_limit() -> None:
    """A dead upstream must not be probed in a tight loop."""
    history = _history(uh.ConnectFailure(), *[uh.ProbeFailed()] * 9)
    delays = [(health.next_probe_at or 0.0) - 100.0 for health in history[1:]]
    for number, delay in enumerate(delays):
        bound = min(5.0, 0.25 * 2**number)
        assert bound / 2 <= delay <= bound
    assert len(set(delays)) == len(delays)


@pytest.mark.parametrize(
    ("responses", "delay"), [([RESPONSE], 0.25), ([], 4.0)]
)
def test_only_a_complete_response_resets_the_probe_delay(
    responses: list[uh.HealthEvent], delay: float
) -> None:
    """An upstream that responds only to probes must not flap."""
    start = [uh.ConnectFailure(), *[uh.ProbeFailed()] * 3, uh.ProbeSucceeded()]
    last = _history(*start, *responses, uh.ResponseBroken())[-1]
    assert last.probe_delay_seconds == delay


def test_limit_is_frozen_without_reports() -> None:
    """Stale load reports must not change the limit."""
    *_, busy, stopped, stale = _history(BUSY, uh.ReportsStopped(), STALE)
    overdue = [uh.are_reports_overdue(busy, now) for now in (104.9, 105.0)]
    assert overdue == [False, True]
    assert not uh.are_reports_overdue(stopped, 105.0)
    assert stale.slots == 8
    assert uh.with_slots(stale, 4).slots == 4
