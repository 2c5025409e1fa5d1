"""Tests of the hand-over of requests to neighbour routers."""

import pytest

from lacewingspar_core.hand_over import (
    EXCLUSION_SECONDS,
    HIGH_DELAY_SECONDS,
    LOW_DELAY_SECONDS,
    HandOverController,
    Neighbour,
    NeighbourLoads,
    eligible_neighbours,
)
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import MemberRecord, RouterState

LATE = 2 * HIGH_DELAY_SECONDS
IN_TIME = LOW_DELAY_SECONDS / 2


def record(
    router_id: str,
    state: RouterState = RouterState.SERVING,
    capacity: float = 0.5,
    data_centre: str = "dc",
    caller_address: str = "10.0.0.1:80",
) -> MemberRecord:
    return MemberRecord(
        RouterInstance(router_id, 1),
        data_centre,
        "tcp://10.0.0.1:1",
        state,
        1,
        0,
        capacity,
        caller_address,
    )


def test_router_without_delay_hands_nothing_over() -> None:
    controller = HandOverController()
    for _ in range(50):
        controller.record_loop_delay(IN_TIME)
    assert not any(controller.should_hand_over_next() for _ in range(100))
    assert not controller.is_busy


def test_late_router_hands_all_over_within_a_second() -> None:
    controller = HandOverController()
    for _ in range(10):
        controller.record_loop_delay(LATE)
    assert all(controller.should_hand_over_next() for _ in range(100))
    assert controller.is_busy


def test_single_late_sample_does_not_make_a_router_busy() -> None:
    """Guards against neighbours that are all left out after one short burst."""
    controller = HandOverController()
    for sample in [IN_TIME, LATE, IN_TIME, IN_TIME]:
        controller.record_loop_delay(sample)
        assert not controller.is_busy
    controller.record_loop_delay(LATE)
    assert controller.is_busy


def test_share_falls_slowly_after_an_overload() -> None:
    """Guards against oscillation between handing over all and none."""
    controller = HandOverController()
    for _ in range(10):
        controller.record_loop_delay(LATE)
    for _ in range(50):
        controller.record_loop_delay(IN_TIME)
    assert sum(controller.should_hand_over_next() for _ in range(100)) == 50
    for _ in range(50):
        controller.record_loop_delay(IN_TIME)
    assert not any(controller.should_hand_over_next() for _ in range(100))


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([record("b"), record("c")], ["b", "c"]),
        ([record("b", RouterState.BUSY), record("c")], ["c"]),
        ([record("b", RouterState.DRAINING), record("c")], ["c"]),
        ([record("b", RouterState.STARTING)], []),
        ([record("b", data_centre="other")], []),
        ([record("b", caller_address="")], []),
        # A router that may own pools is eligible only if there is no other.
        ([record("b", capacity=2.0), record("c")], ["c"]),
        ([record("b", capacity=2.0)], ["b"]),
    ],
)
def test_eligible_neighbours(
    others: list[MemberRecord], expected: list[str]
) -> None:
    records = {item.life.router_id: item for item in [record("a"), *others]}
    found = eligible_neighbours("a", "dc", records)
    assert [item.router_id for item in found] == expected


def test_least_loaded_neighbour_is_chosen() -> None:
    loads = NeighbourLoads()
    neighbours = [Neighbour(RouterInstance(name, 1)) for name in "abc"]
    chosen = []
    for _ in range(6):
        neighbour = loads.choose(neighbours, 0.0)
        assert neighbour is not None
        loads.begin(neighbour.router_id)
        chosen.append(neighbour.router_id)
    assert chosen == ["a", "b", "c", "a", "b", "c"]
    loads.end("c")
    assert loads.choose(neighbours, 0.0) == neighbours[2]
    assert loads.in_flight == 5


def test_failed_neighbour_is_excluded_for_a_while() -> None:
    loads = NeighbourLoads()
    neighbours = [Neighbour(RouterInstance("a", 1))]
    loads.exclude("a", 10.0)
    assert loads.choose(neighbours, 10.0 + EXCLUSION_SECONDS / 2) is None
    assert loads.choose(neighbours, 10.0 + EXCLUSION_SECONDS) == neighbours[0]


def test_requests_at_neighbours_are_bounded() -> None:
    """Guards against a router that runs out of file descriptors."""
    loads = NeighbourLoads(max_in_flight=2)
    neighbours = [Neighbour(RouterInstance(name, 1)) for name in "ab"]
    loads.begin("a")
    loads.begin("b")
    assert loads.choose(neighbours, 0.0) is None
    loads.end("b")
    assert loads.choose(neighbours, 0.0) == neighbours[1]
