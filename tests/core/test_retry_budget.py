"""Tests that the retries of all routers stay within the fleet's limit."""

import random

import pytest

from lacewingspar_core.retry_budget import RetryBudget, RetryBudgetConfig

CONFIG = RetryBudgetConfig(ratio=0.2, window_seconds=10.0, base_retries=54.0)


@pytest.mark.parametrize("routers", [1, 7, 10, 87])
@pytest.mark.parametrize("rate", [0.0, 20.0, 200.0])
def test_fleet_stays_within_its_retry_limit(routers: int, rate: float) -> None:
    """Guards against a retry storm when every upstream fails.

    Load: a steady rate of requests, unevenly spread over the fleet. All fail,
    and every router retries as often as its budget allows.
    """
    generator = random.Random(1)
    budgets = [RetryBudget(CONFIG) for _ in range(routers)]
    weights = [generator.random() for _ in range(routers)]
    requests: list[float] = []
    retries: list[float] = []
    for step in range(300):
        now = step * 0.1
        for _ in range(round(rate * 0.1)):
            generator.choices(budgets, weights)[0].record_request(now)
            requests.append(now)
        for budget in budgets:
            while budget.try_spend(routers, now):
                retries.append(now)
    for end in (10.0, 15.0, 20.0, 29.9):
        retries_in_window = [t for t in retries if end - 10.0 <= t <= end]
        requests_in_window = [t for t in requests if end - 10.0 <= t <= end]
        assert len(retries_in_window) <= 0.2 * len(requests_in_window) + 54
        # A single router can use about half of the limit.
        if routers == 1:
            assert len(retries_in_window) >= 0.08 * len(requests_in_window) + 20


def test_restarted_routers_do_not_exceed_the_retry_limit() -> None:
    """Guards against a new full budget at each restart."""
    retries = 0
    for _ in range(2):
        budgets = [RetryBudget(CONFIG) for _ in range(7)]
        for budget in budgets:
            while budget.try_spend(7, 1.0):
                retries += 1
    assert retries <= 54


def test_question_whether_a_retry_is_allowed_spends_nothing() -> None:
    budget = RetryBudget(RetryBudgetConfig(0.0, 10.0, base_retries=2.0))
    assert all(budget.allows_retry(1, 0.0) for _ in range(10))
    assert budget.try_spend(1, 0.0)
    assert not budget.allows_retry(1, 0.0)
    assert budget.allows_retry(1, 10.1)
