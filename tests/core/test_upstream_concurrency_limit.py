"""Adaptive concurrency limit of an upstream."""

from dataclasses import replace
from functools import reduce

import pytest

from lacewingspar_core import upstream_concurrency_limit
from lacewingspar_core.upstream_concurrency_limit import new_limit, with_report


@pytest.mark.parametrize(
    ("maximum", "value", "waiting", "expected"),
    [
        (16, 10, 0, 11),
        (32, 32, 0, 32),
        (32, 20, 2, 20),
        (32, 20, 3, 16),
        (8, 1, 9, 1),
    ],
)
def test_waiting_requests_move_the_limit(
    maximum: int, value: float, waiting: int, expected: int
) -> None:
    """The limit stays between 1 and the slots of the service document."""
    limit = replace(new_limit(maximum), value=float(value))
    assert with_report(limit, 1, waiting, 9.0, 9.0).slots == expected


@pytest.mark.parametrize(
    ("slow_responses", "waiting", "expected"),
    [(20, 0, 32), (20, 1, 25), (60, 1, 32)],
)
def test_slow_responses(
    slow_responses: int, waiting: int, expected: int
) -> None:
    """Slow responses without waiting requests must not lower the limit."""
    latencies = [0.1, *[60.0] * slow_responses]
    limit = reduce(
        upstream_concurrency_limit.with_latency, latencies, new_limit(32)
    )
    assert with_report(limit, 31, waiting, 1.0, 1.0).slots == expected


def test_limit_converges_to_the_capacity() -> None:
    """The limit is not lowered again for requests admitted before a decrease.

    The upstream has 32 slots but runs only 24 requests at once, each of which
    takes 10 s to 12 s.
    """
    limit, ends_at, waiting, slots = new_limit(32), [], 0, []
    for second in range(300):
        ends_at = [end for end in ends_at if end > second]
        waiting += max(0, limit.slots - len(ends_at) - waiting)
        started = min(waiting, 24 - len(ends_at))
        ends_at += [second + 10 + index % 3 for index in range(started)]
        waiting -= started
        limit = with_report(limit, len(ends_at), waiting, second, second)
        slots.append(limit.slots)
    assert min(slots) >= 22
    assert max(slots[30:]) <= 28


@pytest.mark.parametrize(
    ("value", "maximum", "expected"), [(32, 64, 64), (8, 64, 8), (8, 4, 4)]
)
def test_document_changes(value: float, maximum: int, expected: int) -> None:
    limit = replace(new_limit(32), value=float(value))
    assert (
        upstream_concurrency_limit.with_maximum(limit, maximum).slots
        == expected
    )
