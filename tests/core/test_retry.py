"""Tests of retry decisions, budgets, backoff and Retry-After values."""

from dataclasses import replace
from random import Random

import pytest

from lacewingspar_core import retry

FAILED = retry.FailedAttempt("w", 1, frozenset({"a"}), True, False, False)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({}, None),
        ({"is_not_run": False, "is_idempotent": True}, None),
        ({"is_not_run": False}, "may_have_run"),
        ({"has_response_started": True}, "answer_started"),
        ({"sent": 3}, "attempts_used"),
        ({"failed_upstreams": frozenset("ab")}, "no_other_upstream"),
    ],
)
def test_what_is_retried(change: dict[str, object], reason: str | None) -> None:
    """Requests must not run twice or be retried at the failed upstream."""
    policy = retry.RetryPolicy(Random(1))
    decision = policy.decide(replace(FAILED, **change), ["a", "b"], 3)
    assert getattr(decision, "reason", None) == reason


def _retries(policy: retry.RetryPolicy) -> int:
    decisions = [policy.decide(FAILED, ["b"], 3) for _ in range(10)]
    return sum(isinstance(decision, retry.Retry) for decision in decisions)


def test_budget() -> None:
    """Retries must not multiply the load during an outage."""
    policy = retry.RetryPolicy(Random(1))
    assert _retries(policy) == 3
    for requests, retries in ((10, 1), (1000, 3)):
        for _ in range(requests):
            policy.credit_new_request("w")
        assert _retries(policy) == retries
    assert policy.budget("other") == 3.0
    policy.retain_workspaces({"other"})
    assert policy.budget("w") == 3.0


@pytest.mark.parametrize(("sent", "limit"), [(1, 0.05), (3, 0.2), (2000, 2.0)])
def test_backoff_has_full_jitter(sent: int, limit: float) -> None:
    """Retries of many requests must not happen at the same time."""
    random = Random(1)
    delays = [retry.backoff_seconds(sent, random) for _ in range(200)]
    assert min(delays) < limit * 0.1
    assert limit * 0.9 < max(delays) <= limit


@pytest.mark.parametrize(
    ("queue", "slots", "expected"),
    [(40, 8, 10), (0, 8, 1), (9, 0, 60), (900, 1, 60)],
)
def test_retry_after_depends_on_the_queue(
    queue: int, slots: int, expected: int
) -> None:
    assert retry.retry_after_seconds(queue, slots, 2.0) == expected
