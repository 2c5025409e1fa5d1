"""A small fleet of real processes, shared by the tests of a module."""

from collections.abc import AsyncIterator

import httpx
import pytest
import pytest_asyncio

from lacewingspar_standins.demo.small_fleet import FleetOptions, SmallFleet
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import workspace_entry


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def small_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[SmallFleet]:
    options = FleetOptions(
        workspaces=(workspace_entry("alpha"), workspace_entry("beta", 2.0)),
        routers_per_data_centre=1,
        engines_per_data_centre=1,
    )
    async with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        started = SmallFleet(fleet, options)
        await started.start()
        yield started


@pytest_asyncio.fixture(loop_scope="module")
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        yield client
