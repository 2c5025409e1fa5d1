"""Tests of the request queue of one router."""

import pytest

from lacewingspar_core.documents import RequestClass
from lacewingspar_core.queueing import (
    MIN_GRANTS_FOR_PREDICTION,
    Refusal,
    RequestQueue,
    WaitingRequest,
)

CLASSES = {
    item.name: item
    for item in (
        RequestClass(name="lookup", priority=1, max_wait_seconds=5.0),
        RequestClass(name="review", priority=9, max_wait_seconds=20.0),
    )
}


def make_queue(limit: int = 100) -> RequestQueue:
    queue = RequestQueue()
    queue.configure(CLASSES, {"w1": limit, "w2": limit})
    return queue


def request(
    number: int,
    *,
    workspace: str = "w1",
    request_class: str = "lookup",
    at: float = 0.0,
    deadline: float = 1000.0,
    model: str = "",
    excluded: frozenset[str] = frozenset(),
) -> WaitingRequest:
    return WaitingRequest(
        f"r{number}", workspace, model, request_class, at, deadline, excluded
    )


def pop(
    queue: RequestQueue, now: float, workspace: str = "w1", upstream: str = "u1"
) -> str | None:
    best = queue.pop_best(workspace, upstream, frozenset({"small"}), now)
    return best.request_id if best else None


def test_full_queue_does_not_affect_other_workspaces() -> None:
    queue = make_queue(limit=2)
    refusals = [queue.add(request(n), 0.0) for n in range(3)]
    assert [item.code if item else None for item in refusals] == [
        None,
        None,
        "queue_full",
    ]
    assert queue.add(request(9, workspace="w2"), 0.0) is None


def test_refusal_has_a_retry_after_value() -> None:
    queue = make_queue(limit=1)
    queue.add(request(1), 0.0)
    refusal = queue.add(request(2), 0.0)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_seconds > 0


@pytest.mark.parametrize(
    ("first", "second", "now", "expected"),
    [
        # The class with the lower number goes first.
        (("review", 0.0, 900.0), ("lookup", 1.0, 950.0), 2.0, "r2"),
        # Within a class the earliest deadline goes first.
        (("lookup", 0.0, 900.0), ("lookup", 1.0, 800.0), 2.0, "r2"),
        # A review that has waited its limit goes before new lookups.
        (("review", 0.0, 900.0), ("lookup", 20.0, 950.0), 20.0, "r1"),
    ],
)
def test_order_within_a_workspace(
    first: tuple[str, float, float],
    second: tuple[str, float, float],
    now: float,
    expected: str,
) -> None:
    """Urgent requests must not starve a batch review."""
    queue = make_queue()
    for number, (name, at, deadline) in enumerate((first, second), start=1):
        queue.add(
            request(number, request_class=name, at=at, deadline=deadline), at
        )
    assert pop(queue, now) == expected


@pytest.mark.parametrize(
    ("waiting", "expected"),
    [
        (request(1, model="large"), None),
        (request(1, model="small"), "r1"),
        (request(1, excluded=frozenset({"u1"})), None),
    ],
)
def test_request_fits_the_upstream(
    waiting: WaitingRequest, expected: str | None
) -> None:
    """A retry must not go to an upstream that failed or lacks the model."""
    queue = make_queue()
    queue.add(waiting, 0.0)
    assert pop(queue, 0.0) == expected


def test_request_past_its_deadline_is_removed() -> None:
    queue = make_queue()
    queue.add(request(1, deadline=5.0), 0.0)
    queue.add(request(2, deadline=9.0), 0.0)
    assert [item.request_id for item in queue.pop_expired(5.0)] == ["r1"]
    assert len(queue) == 1
    late = queue.add(request(3, deadline=5.0), 5.0)
    assert late is not None
    assert late.code == "deadline_passed"


def serve(queue: RequestQueue, count: int, start: float, gap: float) -> float:
    """Add and pop requests at a fixed interval while others wait.

    Returns:
        The time of the last grant.
    """
    now = start
    for number in range(count):
        now += gap
        queue.add(request(1000 + number, at=now), now)
        pop(queue, now)
    return now


def test_unreachable_deadline_is_refused_before_it_waits() -> None:
    queue = make_queue()
    for number in range(10):
        queue.add(request(number), 0.0)
    now = serve(queue, 3 * MIN_GRANTS_FOR_PREDICTION, 0.0, 1.0)
    refusal = queue.add(request(50, deadline=now + 2.0), now)
    assert refusal is not None
    assert refusal.code == "deadline_unreachable"
    assert queue.add(request(51, deadline=now + 60.0), now) is None


def test_empty_queue_time_does_not_count_as_slow_grants() -> None:
    """A burst after rare requests must not be refused."""
    queue = make_queue()
    now = 0.0
    for number in range(3 * MIN_GRANTS_FOR_PREDICTION):
        now += 10.0
        queue.add(request(2 * number, at=now), now)
        queue.add(request(2 * number + 1, at=now), now)
        pop(queue, now + 0.01)
        pop(queue, now + 0.02)
    for number in range(50):
        burst = request(900 + number, at=now + 1, deadline=now + 11)
        assert queue.add(burst, now + 1) is None
