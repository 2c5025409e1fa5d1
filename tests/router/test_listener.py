"""Accepting connections under load, on the daemon's event loop."""

import asyncio
import errno
import select
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import structlog
import uvloop

from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.listener import Listener
from lacewingspar_router.http1.server import LISTEN_BACKLOG, Http1Server
from lacewingspar_router.http_server import HttpServer

# Callers time out after a second, in which a router on half a processor accepts
# about 500 connections.
ACCEPTED_IN_HALF_A_SECOND = 250
# Fills the listen queue.
CONNECTIONS = LISTEN_BACKLOG
# Event loop iterations; far fewer than connections.
TURNS = 20

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"


async def respond(exchange: ServerExchange) -> None:
    exchange.send_response(204, [], b"")


async def respond_asgi(_scope: Any, _receive: Any, send: Any) -> None:
    start = {"type": "http.response.start", "status": 204, "headers": []}
    await send(start)
    await send({"type": "http.response.body"})


@asynccontextmanager
async def run_http1_server() -> AsyncIterator[int]:
    """Run the HTTP/1.1 server for the users' platform."""
    server = Http1Server(respond, asyncio.get_running_loop().time)
    await server.async_start("127.0.0.1:0")
    yield server.port
    server.close()


@asynccontextmanager
async def run_http_server() -> AsyncIterator[int]:
    """Run the HTTP server of the project's own interface."""
    server = HttpServer(respond_asgi, "127.0.0.1:0")
    await server.async_start()
    yield server.port
    await server.async_stop(abort=True)


def connect(port: int) -> socket.socket:
    """Open a connection without waiting for the server to accept it."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(REQUEST)
    connection.setblocking(False)
    return connection


def is_answered(connection: socket.socket) -> bool:
    try:
        return connection.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return False


@pytest.mark.parametrize("run_server", [run_http1_server, run_http_server])
def test_busy_event_loop_accepts_all_waiting_connections(
    run_server: Any,
) -> None:
    """Guards against accepting only one connection per loop iteration."""

    async def run() -> int:
        async with run_server() as port:
            connections = [connect(port) for _ in range(CONNECTIONS)]
            for _ in range(TURNS):
                await asyncio.sleep(0)
            answered = sum(is_answered(item) for item in connections)
            for connection in connections:
                connection.close()
        return answered

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(run()) == CONNECTIONS


async def test_listen_queue_is_bounded() -> None:
    """Guards against queued connections whose callers have timed out."""
    async with run_http1_server() as port:
        connections = [socket.socket() for _ in range(400)]
        for connection in connections:
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", port))
        # The server cannot accept before this coroutine awaits.
        _, established, _ = select.select([], connections, [], 0.1)
        for connection in connections:
            connection.close()
    assert len(established) <= ACCEPTED_IN_HALF_A_SECOND


class ExhaustedSocket(socket.socket):
    """Listening socket whose first calls of `accept` fail."""

    failures = 3

    def accept(self) -> tuple[socket.socket, Any]:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


async def test_listener_recovers_when_descriptors_run_out() -> None:
    """Guards against a listener that stops after a failed `accept`."""
    bound = ExhaustedSocket()
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    opened = asyncio.Event()
    with structlog.testing.capture_logs() as lines:
        listener = Listener(bound, lambda: OpenedProtocol(opened), 16)
        connection = connect(listener.port)
        await asyncio.wait_for(opened.wait(), 2.0)
    assert [line["event"] for line in lines] == ["failed to accept connections"]
    assert listener.accepted_count == 1
    listener.close()
    connection.close()


class OpenedProtocol(asyncio.Protocol):
    """Protocol that signals that its connection was accepted."""

    def __init__(self, opened: asyncio.Event) -> None:
        self._opened = opened

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._opened.set()
        transport.close()
