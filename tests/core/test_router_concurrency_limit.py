"""Tests of the adaptive concurrency limit of a router."""

import random
from collections import Counter, deque

import pytest

from lacewingspar_core.router_concurrency_limit import (
    MAX_LOOP_DELAY_SECONDS,
    MIN_LIMIT,
    RouterConcurrencyLimit,
)

LATE = 2 * MAX_LOOP_DELAY_SECONDS
SAMPLE_SECONDS = 0.1


def loaded(**active_by_workspace: int) -> RouterConcurrencyLimit:
    """Return the limit of a fast router with requests in flight."""
    limit = RouterConcurrencyLimit(processors=10.0)
    for workspace, active in active_by_workspace.items():
        for _ in range(active):
            assert limit.try_acquire(workspace)
    return limit


def late(limit: RouterConcurrencyLimit, samples: int) -> None:
    for _ in range(samples):
        limit.record_loop_delay(LATE)


def test_one_late_round_changes_nothing() -> None:
    limit = loaded(a=50)
    for _ in range(10):
        late(limit, 1)
        limit.record_loop_delay(0.0)
    assert limit.try_acquire("a")


def test_late_loop_lowers_the_limit_below_what_is_in_flight() -> None:
    limit = loaded(a=50)
    late(limit, 2)
    assert limit.limit == 40
    assert not limit.try_acquire("a")
    for _ in range(11):
        limit.release("a")
    assert limit.try_acquire("a")


def test_limit_keeps_a_minimum() -> None:
    limit = loaded(a=50)
    late(limit, 1000)
    assert limit.limit == MIN_LIMIT


def test_small_workspace_is_accepted_beside_a_large_one() -> None:
    """Guards against one workspace that locks out all others at its VM."""
    limit = loaded(large=100, small=3)
    late(limit, 2)
    assert not limit.try_acquire("large")
    assert limit.try_acquire("small")
    assert limit.try_acquire("new")


@pytest.mark.parametrize("offered_per_second", [150.0, 600.0])
def test_accepted_requests_are_served_soon(
    offered_per_second: float,
) -> None:
    """Guards against needless refusals and against long queues.

    Load: a VM that forwards 200 requests per second gets fewer or more. The
    limit must refuse nothing in the first case. In the second case it must
    keep the CPU busy and the queueing time of accepted requests short.
    """
    generator = random.Random(1)
    limit, queue = RouterConcurrencyLimit(), deque[float]()
    outcomes: Counter[str] = Counter()
    now = arrival = work = 0.0
    while now < 30.0:
        now += SAMPLE_SECONDS
        while arrival < now:
            arrival += generator.expovariate(offered_per_second)
            if limit.try_acquire("w"):
                queue.append(arrival)
            else:
                outcomes["refused"] += 1
        work += 200.0 * SAMPLE_SECONDS
        while queue and work >= 1:
            work -= 1
            waited = now - queue.popleft()
            limit.release("w")
            if now > 5.0:
                outcomes["soon" if waited < 0.5 else "late"] += 1
        work = min(work, 1.0) if not queue else work
        limit.record_loop_delay(len(queue) / 200.0)
    assert outcomes["late"] <= 0.02 * outcomes["soon"]
    if offered_per_second < 200.0:
        assert not outcomes["refused"]
    else:
        assert outcomes["soon"] >= 0.9 * 200.0 * 25.0


@pytest.mark.parametrize(
    ("times_the_limit", "expected"),
    [(2.0, 800), (4.0, 1000), (5.0, 400), (10.0, 200), (40.0, 100)],
)
def test_limit_falls_at_once_when_the_loop_is_seconds_late(
    times_the_limit: float, expected: int
) -> None:
    """Guards against a router that accepts no connection for seconds.

    Load: 1000 requests are in flight, and one iteration of the event loop
    processes them all.
    """
    delay_seconds = times_the_limit * MAX_LOOP_DELAY_SECONDS
    limit = loaded(a=1000)
    if times_the_limit < 4.0:
        limit.record_loop_delay(delay_seconds)
    limit.record_loop_delay(delay_seconds)
    assert min(limit.limit, limit.active) == expected


def test_limit_does_not_grow_while_it_is_not_used() -> None:
    """Guards against a limit that grows without bound while it is not used.

    Load: after a quiet minute, 1000 requests arrive between two samples.
    """
    limit = RouterConcurrencyLimit(processors=0.5)
    first = limit.limit
    for _ in range(600):
        assert limit.try_acquire("a")
        limit.record_loop_delay(0.0)
        limit.release("a")
    let_in = sum(limit.try_acquire("a") for _ in range(1000))
    assert let_in == first
