"""HTTP connections to upstreams."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

import pytest
from tests.router.ending_connections import (
    ENDING_LOOPS,
    End,
    run_on_ending_loop,
)

from lacewingspar_router.components.upstreams import connections as module
from lacewingspar_router.components.upstreams.connections import (
    UpstreamConnections,
)
from lacewingspar_router.components.upstreams.errors import (
    UpstreamConnectError,
)
from lacewingspar_router.components.upstreams.models import UpstreamCall
from lacewingspar_router.components.upstreams.pool import HttpUpstreamPool
from lacewingspar_router.errors import RunState
from lacewingspar_standins.server import running


class Upstream:
    """Responds with the request id and records each call's client port."""

    def __init__(self) -> None:
        self.ports: list[int] = []
        self.arrivals: asyncio.Queue[None] = asyncio.Queue()
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.ports.append(scope["client"][1])
        self.arrivals.put_nowait(None)
        await receive()
        await self.may_respond.wait()
        headers = dict(scope["headers"])
        request_id = headers[b"x-request-id"]
        head = [(b"x-request-id", request_id), (b"content-length", b"2")]
        start = {"type": "http.response.start", "status": 200, "headers": head}
        await send(start)
        await send({"type": "http.response.body", "body": request_id})


@pytest.fixture
def upstream() -> Upstream:
    return Upstream()


@pytest.fixture
async def connections(
    upstream: Upstream,
) -> AsyncIterator[UpstreamConnections]:
    async with running(upstream) as address:
        pool = UpstreamConnections(
            f"http://{address}", {}, ssl.create_default_context()
        )
        yield pool
        await pool.async_close()


async def call(pool: UpstreamConnections, request_id: str) -> bytes:
    response = await pool.async_call(
        UpstreamCall(request_id, "GET", "/", (), b"", 10.0), lambda _: None
    )
    try:
        return b"".join([part async for part in response.body()])
    finally:
        await response.async_close()
        # A second close must not make the connection idle twice.
        await response.async_close()


async def test_a_connection_is_used_again(
    upstream: Upstream, connections: UpstreamConnections
) -> None:
    """Guards against a new connection for each call."""
    for request_id in ("aa", "bb", "cc"):
        assert await call(connections, request_id) == request_id.encode()
    assert len(set(upstream.ports)) == 1


async def test_calls_at_once_have_connections_of_their_own(
    upstream: Upstream, connections: UpstreamConnections
) -> None:
    """Guards against two calls on one connection after a double close."""
    await call(connections, "aa")
    upstream.may_respond.clear()
    calls = [
        asyncio.create_task(call(connections, name)) for name in ("bb", "cc")
    ]
    for _ in range(3):
        await upstream.arrivals.get()
    upstream.may_respond.set()
    assert await asyncio.gather(*calls) == [b"bb", b"cc"]
    assert len(set(upstream.ports[1:])) == 2


async def test_an_idle_connection_expires(
    upstream: Upstream,
    connections: UpstreamConnections,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against idle connections that stay open forever."""
    upstream.may_respond.clear()
    calls = [
        asyncio.create_task(call(connections, name)) for name in ("aa", "bb")
    ]
    for _ in range(2):
        await upstream.arrivals.get()
    upstream.may_respond.set()
    await asyncio.gather(*calls)
    assert len(connections._transports) == 2
    monkeypatch.setattr(module, "IDLE_EXPIRY_SECONDS", -1.0)
    await call(connections, "cc")
    assert len(connections._transports) == 0


async def test_a_cancelled_call_gives_its_transport_back(
    upstream: Upstream, connections: UpstreamConnections
) -> None:
    """Guards against transports that leak when callers disconnect."""
    upstream.may_respond.clear()
    task = asyncio.create_task(call(connections, "aa"))
    await upstream.arrivals.get()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    upstream.may_respond.set()
    assert await call(connections, "bb") == b"bb"
    assert len(connections._transports) == 1


@ENDING_LOOPS
def test_a_new_connection_that_ends_before_the_send_has_run_nothing(
    base: type[asyncio.BaseEventLoop], end: End
) -> None:
    """Guards against 500, or a call that counts as run, if nothing was sent."""

    async def async_run(port: int) -> None:
        pool = UpstreamConnections(
            f"http://127.0.0.1:{port}", {}, ssl.create_default_context()
        )
        with pytest.raises(UpstreamConnectError) as failed:
            await call(pool, "aa")
        assert failed.value.run is RunState.NOT_RUN
        assert len(pool._transports) == 1
        await pool.async_close()

    run_on_ending_loop(base, end, async_run)


@ENDING_LOOPS
def test_an_upstream_that_ends_a_new_connection_is_not_up(
    base: type[asyncio.BaseEventLoop], end: End
) -> None:
    """Guards against a check for a crash that itself fails at the crash."""

    async def async_run(port: int) -> None:
        application = mock.Mock()
        application.settings.address_map = {}
        pool = HttpUpstreamPool(application)
        pool._address_by_upstream["s", "u"] = f"http://127.0.0.1:{port}"
        assert not await pool.async_is_up("s", "u")
        await pool.async_close()

    run_on_ending_loop(base, end, async_run)
