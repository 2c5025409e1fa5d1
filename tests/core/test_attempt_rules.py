"""Tests of the retry rules after an attempt."""

import pytest

from lacewingspar_core.attempt_rules import AttemptHistory, AttemptResult

Result = AttemptResult


@pytest.mark.parametrize(
    ("results", "may_run_again", "limit", "expected", "may_have_run"),
    [
        ([Result.RESPONDED], True, 3, False, True),
        ([Result.NOT_RUN], False, 2, True, False),
        ([Result.NOT_RUN], False, 1, False, False),
        ([Result.WRONG_UPSTREAM], False, 2, True, False),
        ([Result.UNREACHABLE], False, 1, True, False),
        ([Result.UNREACHABLE] * 3, False, 1, True, False),
        ([Result.UNREACHABLE] * 4, False, 1, False, False),
        ([Result.BROKEN], False, 3, False, True),
        ([Result.BROKEN], True, 2, True, True),
        ([Result.BROKEN] * 2, True, 2, False, True),
        ([Result.INVALID], False, 3, False, True),
        ([Result.TIMED_OUT], True, 2, True, True),
        ([Result.WITHDRAWN], True, 2, True, True),
        ([Result.NOT_RUN, Result.TIMED_OUT], True, 2, False, True),
        ([Result.UPSTREAM_FAILURE], True, 2, True, True),
        ([Result.UPSTREAM_FAILURE], False, 2, False, True),
        ([Result.BROKEN, Result.NOT_RUN], True, 2, False, True),
        ([Result.TIMED_OUT, Result.NOT_RUN], True, 2, True, True),
        ([Result.TIMED_OUT, Result.BROKEN], True, 2, False, True),
        ([Result.TIMED_OUT, *[Result.NOT_RUN] * 2], True, 2, False, True),
    ],
)
def test_whether_another_attempt_is_allowed(
    results: list[AttemptResult],
    may_run_again: bool,
    limit: int,
    expected: bool,
    may_have_run: bool,
) -> None:
    """A request that must not run twice is not retried if it may have run.

    `may_have_run` must not be false if an upstream may have run the request.
    """
    history = AttemptHistory(may_run_again, limit)
    for number, result in enumerate(results):
        history.record(result, f"u{number}")
    assert history.may_try_again(results[-1]) is expected
    assert history.may_have_run is may_have_run


@pytest.mark.parametrize(
    ("results", "may_run_again", "limit", "expected"),
    [
        ([], True, 2, True),
        ([], True, 1, False),
        ([], False, 2, False),
        ([Result.UNREACHABLE], True, 2, True),
        ([Result.NOT_RUN], True, 2, False),
        ([Result.BROKEN], True, 3, True),
        ([Result.UNREACHABLE] * 4, True, 3, False),
    ],
)
def test_whether_an_attempt_in_flight_may_be_replaced(
    results: list[AttemptResult],
    may_run_again: bool,
    limit: int,
    expected: bool,
) -> None:
    """Guards against an attempt that is ended though it is the last one."""
    history = AttemptHistory(may_run_again, limit)
    for number, result in enumerate(results):
        history.record(result, f"u{number}")
    assert history.may_replace is expected


@pytest.mark.parametrize(
    ("attempts", "may_return", "excluded"),
    [
        ([("a", Result.BROKEN)], False, {"a"}),
        ([("a", Result.BROKEN)], True, set()),
        ([("a", Result.BROKEN), ("b", Result.UNREACHABLE)], True, {"b"}),
        ([("a", Result.BROKEN), ("a", Result.UNREACHABLE)], True, {"a"}),
        ([("a", Result.INVALID), ("b", Result.BROKEN)], True, {"a"}),
        ([("a", Result.TIMED_OUT)], True, {"a"}),
    ],
)
def test_upstreams_that_broke_off_may_be_used_again_without_others(
    attempts: list[tuple[str, Result]], may_return: bool, excluded: set[str]
) -> None:
    """Guards against streams that are cut beside a sound upstream."""
    history = AttemptHistory(may_run_again=True, max_sent=4)
    history.may_return = may_return
    for upstream_id, result in attempts:
        history.record(result, upstream_id)
    assert history.excluded == excluded
