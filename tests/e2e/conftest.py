"""Fixtures with small fleets of real processes."""

import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx
import pytest
import pytest_asyncio

from lacewingspar_standins.bench.deployment import (
    MODEL,
    SERVICE_PLAIN,
    Deployment,
    Shape,
    deployed,
)
from lacewingspar_standins.demo.small_fleet import FleetOptions, SmallFleet
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import token_of, workspace_entry

SHAPE = Shape(
    name="e2e",
    data_centres=("dc-1", "dc-2"),
    routers=(2, 1),
    engines=(1, 0),
    plains=(1, 0),
    delay_ms=0.0,
)
WORKSPACE = "ws"
# Limit for waiting until a condition holds.
WAIT_TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True)
class Caller:
    """HTTP client that sends each request to a chosen router."""

    deployment: Deployment
    client: httpx.AsyncClient

    async def call(
        self, router: int, key: str | None, work_ms: float = 1
    ) -> httpx.Response:
        headers = {"x-work-ms": str(work_ms)}
        if key is not None:
            headers["idempotency-key"] = key
        return await self._post(
            router, f"/services/{SERVICE_PLAIN}/work", {"n": 1}, headers
        )

    async def chat(self, router: int) -> httpx.Response:
        message = {"role": "user", "content": "hello"}
        body = {"model": MODEL, "messages": [message], "max_tokens": 3}
        return await self._post(router, "/v1/chat/completions", body, {})

    async def runs(self, key: str) -> int:
        (plain,) = self.deployment.plains.values()
        by_key: Any = (await plain.get("/_runs"))["by_key"]
        return int(by_key.get(f"{WORKSPACE}/{key}", 0))

    async def _post(
        self, router: int, path: str, body: Any, headers: dict[str, str]
    ) -> httpx.Response:
        address = self.deployment.plans[router].caller_address
        headers["authorization"] = f"Bearer {token_of(WORKSPACE)}"
        return await self.client.post(
            f"http://{address}{path}", json=body, headers=headers
        )


@pytest.fixture
def caller(tmp_path: Path) -> Callable[[], Any]:
    """Return an async context manager that runs the deployment."""

    @contextlib.asynccontextmanager
    async def run() -> AsyncIterator[Caller]:
        async with (
            deployed(
                SHAPE,
                (workspace_entry(WORKSPACE),),
                step_ms=5,
                folder=tmp_path,
            ) as deployment,
            httpx.AsyncClient(timeout=30, trust_env=False) as client,
        ):
            yield Caller(deployment, client)
            for router in deployment.routers.values():
                # Faults left by a test could block a graceful shutdown.
                router.kill()

    return run


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
