"""Retry rules, budgets and advice."""

from dataclasses import replace
from random import Random

import pytest

from lacewingspar_core.retry import (
    FailedAttempt,
    GiveUp,
    GiveUpReason,
    Retry,
    RetryPolicy,
    backoff_seconds,
    retry_after_seconds,
)

FAILED = FailedAttempt(
    workspace="w",
    sent=1,
    failed_upstreams=frozenset({"a"}),
    is_not_run=True,
    is_idempotent=False,
    has_answer_started=False,
)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({}, None),
        ({"is_not_run": False, "is_idempotent": True}, None),
        ({"is_not_run": False}, GiveUpReason.MAY_HAVE_RUN),
        ({"has_answer_started": True}, GiveUpReason.ANSWER_STARTED),
        ({"sent": 3}, GiveUpReason.ATTEMPTS_USED),
        (
            {"failed_upstreams": frozenset({"a", "b"})},
            GiveUpReason.NO_OTHER_UPSTREAM,
        ),
    ],
)
def test_what_is_retried(
    change: dict[str, object], reason: GiveUpReason | None
) -> None:
    """Guards against second runs and retries on the failed upstream."""
    attempt = replace(FAILED, **change)
    decision = RetryPolicy(Random(1)).decide(attempt, ["a", "b"], 3)
    if reason is None:
        assert isinstance(decision, Retry)
    else:
        assert decision == GiveUp(reason)


def _retries(policy: RetryPolicy, attempts: int) -> int:
    decisions = [policy.decide(FAILED, ["b"], 3) for _ in range(attempts)]
    return sum(isinstance(decision, Retry) for decision in decisions)


def test_budget_bounds_the_retries_of_a_workspace() -> None:
    """Guards against retries that multiply the load of an outage."""
    policy = RetryPolicy(Random(1))
    assert _retries(policy, 10) == 3
    for _ in range(10):
        policy.on_new_request("w")
        policy.on_new_request("other")
    assert _retries(policy, 10) == 1
    for _ in range(1000):
        policy.on_new_request("w")
    assert _retries(policy, 10) == 3
    assert policy.budget("other") == 3.0


def test_budgets_of_removed_workspaces_are_forgotten() -> None:
    policy = RetryPolicy(Random(1))
    _retries(policy, 3)
    policy.keep_workspaces({"other"})
    assert policy.budget("w") == 3.0


def test_backoff_is_spread_over_the_whole_range() -> None:
    """Guards against retries of many requests at the same moment."""
    random = Random(1)
    for sent, ceiling in ((1, 0.05), (3, 0.2), (2000, 2.0)):
        delays = [backoff_seconds(sent, random) for _ in range(200)]
        assert min(delays) < ceiling * 0.1
        assert ceiling * 0.9 < max(delays) <= ceiling


@pytest.mark.parametrize(
    ("queue_length", "slots", "mean", "expected"),
    [
        (40, 8, 2.0, 10.0),
        (0, 8, 2.0, 1.0),
        (9, 0, 2.0, 60.0),
        (900, 1, 2.0, 60.0),
    ],
)
def test_advice_follows_the_queue(
    queue_length: int, slots: int, mean: float, expected: float
) -> None:
    assert retry_after_seconds(queue_length, slots, mean) == expected
