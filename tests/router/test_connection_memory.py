"""Memory use of idle and of closed connections."""

import asyncio
import gc
import tracemalloc
import weakref
from collections.abc import AsyncIterator, Iterator

import pytest
from tests.router.connections import async_open_connection

from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import ResponseEnd
from lacewingspar_router.http1.server import Http1Server

CONNECTIONS = 20
BODY = bytes(100_000)
REQUEST = (
    b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(BODY)
) + BODY


@pytest.fixture
async def server() -> AsyncIterator[Http1Server]:
    async def respond(exchange: ServerExchange) -> None:
        exchange.send_response(204, [], b"")

    loop = asyncio.get_running_loop()
    http1_server = Http1Server(respond, loop.time)
    await http1_server.async_start("127.0.0.1:0")
    yield http1_server
    http1_server.close()


@pytest.fixture
def without_collections() -> Iterator[None]:
    """Disable the garbage collector, so that only reference counts free."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def send_request(address: str) -> object:
    """Send one request and return its open connection."""
    connection = await async_open_connection(address)
    connection.send(REQUEST)
    while not isinstance(await connection.async_next_event(), ResponseEnd):
        pass
    return connection


async def test_idle_connection_does_not_keep_its_last_request(
    server: Http1Server,
) -> None:
    """Guards against request bodies that fill the memory of a small VM."""
    address = f"127.0.0.1:{server.port}"
    tracemalloc.start()
    try:
        kept = [await send_request(address) for _ in range(CONNECTIONS)]
        gc.collect()
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(kept) == CONNECTIONS
    assert used_bytes < CONNECTIONS * len(BODY) / 4


@pytest.mark.usefixtures("without_collections")
async def test_closed_connections_are_freed_at_once(
    server: Http1Server,
) -> None:
    """Guards against memory that grows until the next garbage collection."""
    client = await async_open_connection(f"127.0.0.1:{server.port}")
    client.send(REQUEST)
    while not isinstance(await client.async_next_event(), ResponseEnd):
        pass
    (connection,) = server.connections
    references = [weakref.ref(connection), weakref.ref(client)]
    client.abort()
    del connection, client
    for _ in range(100):
        if all(reference() is None for reference in references):
            return
        await asyncio.sleep(0.01)
    pytest.fail("a closed connection is still referenced")
