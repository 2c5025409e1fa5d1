"""The fault soak with short seeded runs."""

import pytest

from lacewingspar_standins.bench.soak import async_soak

ROUTERS = 3
ROUNDS = 2


# Seeds that have failed are kept here, each with its cause.
@pytest.mark.parametrize("seed", [1])
async def test_soak_breaks_no_promise(seed: int) -> None:
    result = await async_soak(seed, ROUNDS, ROUTERS)
    assert not result.breaches
    assert result.calls_by_status[200] > 0
