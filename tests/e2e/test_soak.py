"""Test short seeded runs of the fault soak."""

import pytest

from lacewingspar_standins.bench.soak import async_soak

ROUTERS = 3
ROUNDS = 2


# One seed with planned work alone, one with faults, one with a prompt part that
# crashes upstreams, and two in which loaded routers stop in turn.
# Add seeds that have failed, each with its cause.
@pytest.mark.parametrize("seed", [1, 2, 37, 100, 111])
async def test_soak_violates_no_guarantee(seed: int) -> None:
    result = await async_soak(seed, ROUNDS, ROUTERS)
    assert not result.breaches
    assert result.calls_by_status[200] > 0
