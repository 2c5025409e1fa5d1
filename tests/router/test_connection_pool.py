"""Connection pool for one address."""

import asyncio
import socket
import struct
from collections.abc import Callable
from unittest import mock

import pytest
import uvloop

from lacewingspar_router.http1.client import async_exchange
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# SO_LINGER with a time of zero: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def used_connection() -> tuple[ClientConnection, mock.Mock]:
    """Return a connection after its exchange, and its transport."""
    connection, transport = ClientConnection(), mock.Mock()
    transport.get_write_buffer_size.return_value = 0
    transport.get_extra_info.return_value = None
    connection.connection_made(transport)
    connection.send(b"request")
    return connection, transport


async def test_idle_connections_beyond_the_limit_are_closed() -> None:
    """Guards against idle connections that use up the file descriptors."""
    pool = ConnectionPool("10.0.0.1:80", max_idle_connections=1)
    kept, kept_transport = used_connection()
    closed, closed_transport = used_connection()
    pool.release(kept)
    pool.release(closed)
    kept_transport.abort.assert_not_called()
    closed_transport.abort.assert_called_once()
    assert await pool.async_acquire() is kept
    assert pool.is_empty


def close(peer: socket.socket) -> None:
    peer.close()


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()


def send_another_response(peer: socket.socket) -> None:
    peer.sendall(RESPONSE)


LOOP_FACTORIES = pytest.mark.parametrize(
    "loop_factory",
    [asyncio.new_event_loop, uvloop.new_event_loop],
    ids=["asyncio", "uvloop"],
)


@LOOP_FACTORIES
@pytest.mark.parametrize("act", [close, reset, send_another_response])
def test_late_event_loop_does_not_reuse_a_connection_that_has_ended(
    loop_factory: Callable[[], asyncio.AbstractEventLoop],
    act: Callable[[socket.socket], None],
) -> None:
    """Guards against a 502 for a request that no upstream has received."""

    async def async_run(listener: socket.socket) -> None:
        host, port = listener.getsockname()
        pool = ConnectionPool(f"{host}:{port}")
        used = await pool.async_acquire()
        peer, _ = listener.accept()
        peer.sendall(RESPONSE)
        await async_exchange(used, b"GET / HTTP/1.1\r\n\r\n", 0)
        pool.release(used)
        # The event loop does not run until the connection is acquired.
        act(peer)
        acquired = await pool.async_acquire()
        assert acquired is not used
        acquired.abort()
        peer.close()

    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        asyncio.Runner(loop_factory=loop_factory) as runner,
    ):
        runner.run(async_run(listener))
