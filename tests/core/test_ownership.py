"""Ownership of upstream shards."""

import pytest

from lacewingspar_core.ownership import (
    capable_routers,
    owner_of,
    shard_count,
    shard_of,
)

ROUTERS = [f"router-{number}" for number in range(8)]


@pytest.mark.parametrize(
    ("upstreams", "expected"), [(0, 1), (1, 1), (16, 1), (17, 2), (360, 23)]
)
def test_shard_count_limits_upstreams_per_owner(
    upstreams: int, expected: int
) -> None:
    assert shard_count(upstreams) == expected


def test_only_shards_of_a_lost_router_move() -> None:
    """Guards against a router failure that moves every shard."""
    services = [f"service-{number}" for number in range(200)]
    before = {name: owner_of(name, 0, ROUTERS) for name in services}
    after = {name: owner_of(name, 0, ROUTERS[1:]) for name in services}
    moved = {name for name in services if before[name] != after[name]}
    assert moved == {n for n in services if before[n] == ROUTERS[0]}


def test_no_router_means_no_owner() -> None:
    assert owner_of("service", 0, []) is None


def test_upstreams_spread_over_all_shards() -> None:
    shards = {shard_of(f"upstream-{number}", 4) for number in range(64)}
    assert shards == {0, 1, 2, 3}


@pytest.mark.parametrize(
    ("capacities", "expected"),
    [
        ([], []),
        ([1.0, 1.0, 1.0], [0, 1, 2]),
        ([0.5, 2.0, 0.5, 1.9], [1, 3]),
        ([0.5, 1.0, 0.7], [0, 1, 2]),
        ([0.5, 0.4], [0, 1]),
    ],
)
def test_small_routers_own_nothing_beside_larger_ones(
    capacities: list[float], expected: list[int]
) -> None:
    """Guards against a pool whose decisions wait for a small VM."""
    capacity_by_id = {
        f"router-{number}": capacity
        for number, capacity in enumerate(capacities)
    }
    assert capable_routers(capacity_by_id) == [
        f"router-{number}" for number in expected
    ]
