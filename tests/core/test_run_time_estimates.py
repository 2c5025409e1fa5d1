"""Tests of the estimates of run times."""

import pytest

from lacewingspar_core.run_time_estimates import (
    MAX_ROUTES,
    MIN_RUN_TIMES,
    RunTimeEstimates,
)


def estimates(run_times: list[float]) -> RunTimeEstimates:
    made = RunTimeEstimates()
    for seconds in run_times:
        made.record("chat", seconds)
    return made


@pytest.mark.parametrize(
    ("run_times", "expected"),
    [
        ([], None),
        ([3.0] * (MIN_RUN_TIMES - 1), None),
        ([3.0] * MIN_RUN_TIMES, 3.0),
        ([1.0, 3.0] * 8, 2.0 + 1.0),
        ([0.0] * 8 + [4.0] * 8, 2.0 + 2.0),
    ],
)
def test_estimate_is_one_deviation_above_the_mean(
    run_times: list[float], expected: float | None
) -> None:
    found = estimates(run_times).upper_estimate("chat")
    assert found == pytest.approx(expected)


@pytest.mark.parametrize(("before", "after"), [(9.0, 1.0), (1.0, 9.0)])
def test_estimate_follows_the_newest_run_times(
    before: float, after: float
) -> None:
    """Guards against an estimate of a service that was replaced since."""
    found = estimates([before] * 1000 + [after] * 300).upper_estimate("chat")
    assert found == pytest.approx(after, rel=0.01)


def test_one_long_run_time_leaves_short_requests_short() -> None:
    """Guards against refusals of short requests after a single slow one."""
    found = estimates([0.05] * 100 + [4.0]).upper_estimate("chat")
    assert found is not None
    assert found < 4.0 * 0.6


def test_routes_are_bounded() -> None:
    made = RunTimeEstimates()
    for number in range(MAX_ROUTES):
        for _ in range(MIN_RUN_TIMES):
            made.record(f"route-{number}", 1.0)
    made.record("route-0", 1.0)
    made.record("new", 1.0)
    assert made.upper_estimate("route-0") == pytest.approx(1.0)
    assert made.upper_estimate("route-1") is None
    assert made.upper_estimate("route-2") == pytest.approx(1.0)
