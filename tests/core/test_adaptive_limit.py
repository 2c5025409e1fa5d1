"""Adaptive concurrency limit of an upstream."""

from dataclasses import replace

import pytest

from lacewingspar_core.adaptive_limit import (
    AdaptiveLimit,
    new_limit,
    with_latency,
    with_maximum,
    with_report,
)


def _with_latencies(limit: AdaptiveLimit, *seconds: float) -> AdaptiveLimit:
    for latency in seconds:
        limit = with_latency(limit, latency)
    return limit


@pytest.mark.parametrize(
    ("value", "waiting", "expected"),
    [
        (10.0, 0, 11.0),
        (32.0, 0, 32.0),
        (20.0, 2, 20.0),
        (20.0, 3, 16.0),
        (1.0, 9, 1.0),
    ],
)
def test_waiting_requests_move_the_limit(
    value: float, waiting: int, expected: float
) -> None:
    """Guards against a limit outside 1 and the document's slots."""
    limit = replace(new_limit(16 if value < 20 else 32), value=value)
    assert with_report(limit, 1, waiting, 9.0, 9.0).value == expected


def test_slow_answers_alone_do_not_lower_the_limit() -> None:
    """Guards against throttling an upstream that serves long requests."""
    limit = _with_latencies(new_limit(32), 0.1, *[60.0] * 20)
    assert limit.is_slow
    assert with_report(limit, 32, 0, 1.0, 1.0).slots == 32
    assert with_report(limit, 31, 1, 1.0, 1.0).slots == 25


def test_baseline_follows_a_change_of_the_requests() -> None:
    """Guards against an upstream that counts as slow for ever."""
    limit = _with_latencies(new_limit(32), 0.1, *[60.0] * 60)
    assert not limit.is_slow


def test_limit_settles_near_the_capacity() -> None:
    """Guards against repeated decreases for requests admitted before them.

    The upstream runs 24 requests at once for 10 s each, but has 32 slots.
    """
    limit = new_limit(32)
    ends_at: list[float] = []
    waiting = 0
    slots = []
    for second in range(300):
        now = float(second)
        ends_at = [end for end in ends_at if end > now]
        waiting += max(0, limit.slots - len(ends_at) - waiting)
        started = min(waiting, 24 - len(ends_at))
        ends_at += [now + 10.0 + index % 3 for index in range(started)]
        waiting -= started
        limit = with_report(limit, len(ends_at), waiting, now, now)
        slots.append(limit.slots)
    assert min(slots) >= 22
    assert max(slots[30:]) <= 28


@pytest.mark.parametrize(
    ("value", "maximum", "expected"),
    [(32.0, 64, 64), (8.0, 64, 8), (8.0, 4, 4)],
)
def test_document_change_bounds_the_limit(
    value: float, maximum: int, expected: int
) -> None:
    limit = replace(new_limit(32), value=value)
    assert with_maximum(limit, maximum).slots == expected
