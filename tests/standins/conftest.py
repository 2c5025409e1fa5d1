"""Fixtures for the tests of the stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from unittest.mock import Mock

import httpx
import pytest

from lacewingspar_standins.asgi import AsgiApp
from lacewingspar_standins.server import running


class Client:
    """JSON client of a stand-in."""

    def __init__(self, http: httpx.AsyncClient, address: str) -> None:
        self.http = http
        self.address = address

    async def send(
        self, method: str, path: str, value: Any = None, **headers: str
    ) -> httpx.Response:
        url = f"http://{self.address}{path}"
        return await self.http.request(method, url, json=value, headers=headers)

    async def get(self, path: str) -> Any:
        response = await self.send("GET", path)
        assert response.status_code == 200, response.text
        return response.json()

    async def inject(self, **faults: Any) -> None:
        response = await self.send("POST", "/faults", faults)
        assert response.status_code == 200, response.text

    async def wait_for(self, path: str, **expected: Any) -> None:
        """Poll a resource until it has the expected values."""
        # The resource is read over HTTP, so there is no event to wait for.
        while not expected.items() <= (await self.get(path)).items():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@pytest.fixture
def clock() -> Mock:
    """Return a clock that moves only when a test sets its return value."""
    return Mock(return_value=0.0)


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        yield client


@pytest.fixture
def serve(http: httpx.AsyncClient) -> Callable[[AsgiApp], Any]:
    @asynccontextmanager
    async def context(app: AsgiApp) -> AsyncIterator[Client]:
        async with running(app) as address:
            yield Client(http, address)

    return context


@pytest.fixture
def stays_pending() -> Callable[[asyncio.Task[Any]], Awaitable[None]]:
    async def check(task: asyncio.Task[Any]) -> None:
        """Check that a task does not end, and cancel it."""
        await asyncio.sleep(0.1)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    return check
