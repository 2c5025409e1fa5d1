"""Tests of the circuit breaker of an upstream."""

import random

import pytest

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.circuit_breaker import (
    FIRST_BLOCK_SECONDS,
    FIRST_REFUSAL_BLOCK_SECONDS,
    MAX_BLOCK_SECONDS,
    CircuitBreaker,
)


@pytest.mark.parametrize(
    ("failed_share", "is_blocked"), [(0.05, False), (0.5, True)]
)
def test_failure_rate_decides(failed_share: float, is_blocked: bool) -> None:
    """Guards against blocks for the usual failure rate of healthy upstreams."""
    generator = random.Random(3)
    breaker = CircuitBreaker()
    blocks = 0
    for step in range(200):
        failed = generator.random() < failed_share
        outcome = RunOutcome.FAILED if failed else RunOutcome.COMPLETED
        blocks += breaker.record(outcome, step * 10.0)
    assert (blocks > 0) is is_blocked


def test_blocks_of_an_unreachable_upstream_grow_and_end() -> None:
    breaker = CircuitBreaker()
    now, lengths = 0.0, []
    for _ in range(6):
        assert breaker.record_unreachable(now)
        lengths.append(breaker.blocked_until - now)
        now = breaker.blocked_until
        assert not breaker.is_blocked(now)
    assert lengths[0] == FIRST_BLOCK_SECONDS
    assert max(lengths) == MAX_BLOCK_SECONDS
    breaker.record(RunOutcome.COMPLETED, now)
    breaker.record_unreachable(now)
    assert breaker.blocked_until - now == FIRST_BLOCK_SECONDS


@pytest.mark.parametrize("outcome", [RunOutcome.NOT_RUN, RunOutcome.CANCELLED])
def test_cancelled_and_refused_runs_are_no_failures(
    outcome: RunOutcome,
) -> None:
    breaker = CircuitBreaker()
    assert not any(breaker.record(outcome, 0.0) for _ in range(50))


def test_blocks_of_a_refusing_upstream_start_short_and_grow() -> None:
    """Guards against a full upstream that is left out for long."""
    breaker = CircuitBreaker()
    now, lengths = 0.0, []
    for _ in range(8):
        assert breaker.record_refusal(now)
        assert not breaker.record_refusal(now)
        lengths.append(breaker.blocked_until - now)
        now = breaker.blocked_until
        breaker.record_grant(now)
    assert lengths[0] == pytest.approx(FIRST_REFUSAL_BLOCK_SECONDS)
    assert lengths == sorted(lengths)
    assert lengths[-1] == pytest.approx(MAX_BLOCK_SECONDS)
    breaker.record_response()
    assert not breaker.is_blocked(now)
    breaker.record_refusal(now)
    assert breaker.blocked_until - now == pytest.approx(
        FIRST_REFUSAL_BLOCK_SECONDS
    )
    assert breaker.record_unreachable(now)
    assert breaker.blocked_until - now >= FIRST_BLOCK_SECONDS
