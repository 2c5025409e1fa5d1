"""Tests of the ownership of upstream shards."""

import pytest

from lacewingspar_core.ownership import (
    assign_shard_owners,
    eligible_owners,
    shard_count,
    shard_owner,
    upstream_shard,
    weighted_shard,
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
    """A router failure must not move the shards of other routers."""
    services = [f"service-{number}" for number in range(200)]
    before = {name: shard_owner(name, 0, ROUTERS) for name in services}
    after = {name: shard_owner(name, 0, ROUTERS[1:]) for name in services}
    moved = {name for name in services if before[name] != after[name]}
    assert moved == {n for n in services if before[n] == ROUTERS[0]}


def test_no_router_means_no_owner() -> None:
    assert shard_owner("service", 0, []) is None


def test_upstreams_spread_over_all_shards() -> None:
    shards = {upstream_shard(f"upstream-{number}", 4) for number in range(64)}
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
    """Decisions for a pool must not wait for a small VM."""
    capacity_by_id = {
        f"router-{number}": capacity
        for number, capacity in enumerate(capacities)
    }
    assert eligible_owners(capacity_by_id) == [
        f"router-{number}" for number in expected
    ]


@pytest.mark.parametrize(("shards", "routers"), [(3, 6), (6, 6), (9, 4)])
def test_shards_of_a_service_spread_over_the_routers(
    shards: int, routers: int
) -> None:
    """No router may own most shards of a service."""
    for number in range(50):
        owners = assign_shard_owners(
            f"service-{number}", shards, ROUTERS[:routers]
        )
        counts = [owners.count(router) for router in ROUTERS[:routers]]
        assert len(owners) == shards
        assert max(counts) - min(counts) <= 1


def test_no_router_means_no_owners() -> None:
    assert assign_shard_owners("service", 3, []) == []


def test_keys_spread_in_proportion_to_the_weights() -> None:
    """A small shard must not receive as many keys as a large one."""
    weights = [14, 11, 20, 0]
    shards = [weighted_shard(str(key), weights) for key in range(9000)]
    for shard, weight in enumerate(weights):
        share = shards.count(shard) / len(shards)
        assert share == pytest.approx(weight / sum(weights), abs=0.03)


def test_change_of_a_weight_moves_keys_of_that_shard_only() -> None:
    before = [weighted_shard(str(key), [14, 11, 20]) for key in range(2000)]
    after = [weighted_shard(str(key), [14, 10, 20]) for key in range(2000)]
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {1}
