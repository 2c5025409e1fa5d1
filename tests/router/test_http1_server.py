"""Connections of callers to the HTTP/1.1 server."""

import asyncio

import pytest
import structlog
from tests.router.connections import async_open_connection

from lacewingspar_router.http1 import server as http1_server
from lacewingspar_router.http1.client import async_exchange
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import HttpRequest, Response
from lacewingspar_router.http1.server import Http1Server

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"


class BlockingHandler:
    """Handler that blocks until the test lets it respond."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()

    async def async_handle(self, exchange: ServerExchange) -> None:
        await self.may_respond.wait()
        exchange.send_response(204, [], b"")


async def is_open(connection: ClientConnection) -> bool:
    """Return whether the server still responds on a connection."""
    try:
        connection.send(REQUEST)
        async with asyncio.timeout(1.0):
            await connection.async_next_event()
    except Exception:
        return False
    return True


async def test_idle_connections_are_closed_for_new_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against idle connections that use up the file descriptors."""
    monkeypatch.setattr(http1_server, "IDLE_CLOSE_BATCH_SIZE", 1)
    handler = BlockingHandler()
    loop = asyncio.get_running_loop()
    server = Http1Server(handler.async_handle, loop.time)
    server.max_connections = 2
    await server.async_start("127.0.0.1:0")
    address = f"127.0.0.1:{server.port}"
    try:
        busy = await async_open_connection(address)
        busy.send(REQUEST)
        idle = await async_open_connection(address)
        await asyncio.sleep(0.05)
        newest = await async_open_connection(address)
        await asyncio.sleep(0.05)
        assert len(server.connections) == 2
        handler.may_respond.set()
        assert not await is_open(idle)
        assert await is_open(newest)
        assert await busy.async_next_event()
    finally:
        server.close()


async def test_burst_of_connections_closes_idle_ones_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a scan of all connections for each new connection."""
    monkeypatch.setattr(http1_server, "IDLE_CLOSE_BATCH_SIZE", 8)
    loop = asyncio.get_running_loop()
    server = Http1Server(BlockingHandler().async_handle, loop.time)
    server.max_connections = 16
    await server.async_start("127.0.0.1:0")
    address = f"127.0.0.1:{server.port}"
    with structlog.testing.capture_logs() as lines:
        opened = await asyncio.gather(
            *(async_open_connection(address) for _ in range(40))
        )
        await asyncio.sleep(0.1)
    try:
        assert 8 < len(server.connections) <= 16
        # 24 connections above the limit, closed in batches of eight.
        batches = [
            line
            for line in lines
            if line["event"] == "idle connections closed to make room"
        ]
        assert len(batches) == 3
        assert sum(line["closed"] for line in batches) == 24
    finally:
        for connection in opened:
            connection.abort()
        server.close()


async def test_early_response_leaves_the_connection_open() -> None:
    early_response = Response(503, [(b"retry-after", b"1")], b"later")
    early_responses = [early_response, None, early_response]
    handler = BlockingHandler()
    handler.may_respond.set()
    loop = asyncio.get_running_loop()
    server = Http1Server(
        handler.async_handle, loop.time, lambda _: early_responses.pop(0)
    )
    await server.async_start("127.0.0.1:0")
    connection = await async_open_connection(f"127.0.0.1:{server.port}")
    statuses = []
    for _ in range(3):
        response = await async_exchange(connection, REQUEST, 1000)
        assert connection.complete_exchange()
        statuses.append(response.status)
    assert statuses == [503, 204, 503]
    assert server.accepted_connection_count == 1
    connection.abort()
    server.close()


class RecordingConnection:
    """Connection that records each write."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []

    def decide_close(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.writes.append(data)

    async def async_drain(self) -> None:
        pass


def test_whole_response_is_sent_in_one_write() -> None:
    """Guards against a separate system call for each response head."""
    sink = RecordingConnection()
    request = HttpRequest("GET", "/", [], b"", 0.0)
    exchange = ServerExchange(sink, request)
    exchange.send_response(503, [(b"retry-after", b"1")], b"later")
    assert exchange.is_started
    assert exchange.is_finished
    (data,) = sink.writes
    assert data.startswith(b"HTTP/1.1 503 ")
    assert data.endswith(b"content-length: 5\r\n\r\nlater")


async def test_unread_response_is_sent_before_the_end() -> None:
    """Guards against responses that a process leaves behind when it ends."""
    body = b"x" * 8_000_000

    async def async_handle(exchange: ServerExchange) -> None:
        exchange.send_response(200, [], body)

    server = Http1Server(async_handle, asyncio.get_running_loop().time)
    await server.async_start("127.0.0.1:0")
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", server.port, limit=1000
    )
    writer.write(REQUEST)
    try:
        await reader.readuntil(b"\r\n\r\n")
        assert server.busy_connection_count == 1
        closing = asyncio.create_task(
            server.async_close(Response(503, [], b""))
        )
        assert await reader.readexactly(len(body)) == body
        # The response had announced no close.
        assert await reader.read() == (
            b"HTTP/1.1 408 Request Timeout\r\n"
            b"content-length: 0\r\nconnection: close\r\n\r\n"
        )
        await closing
    finally:
        writer.close()
        server.close()
    assert server.busy_connection_count == 0
