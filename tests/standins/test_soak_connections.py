"""Test what the connections of the fault soak record about their end."""

import asyncio
import socket
from collections.abc import Iterator

import pytest

from lacewingspar_router.http1.errors import ConnectionBrokenError
from lacewingspar_standins.bench.soak_connections import (
    ObservedConnection,
    async_connect_observed,
)

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
CLOSING_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\n\r\n"
END_SECONDS = 5.0


@pytest.fixture(name="listener")
def _listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


async def _async_open(
    listener: socket.socket,
) -> tuple[ObservedConnection, socket.socket]:
    port = listener.getsockname()[1]
    connection = await async_connect_observed(f"127.0.0.1:{port}")
    assert connection is not None
    accepted, _ = listener.accept()
    return connection, accepted


async def _async_wait_end(connection: ObservedConnection) -> None:
    async with asyncio.timeout(END_SECONDS):
        with pytest.raises(ConnectionBrokenError):
            await connection.async_next_event()
    assert connection.is_end_reported


async def test_end_is_seen_before_the_event_loop_reports_it(
    listener: socket.socket,
) -> None:
    connection, accepted = await _async_open(listener)
    accepted.close()
    assert not connection.is_end_reported
    connection.send(REQUEST)
    connection.settle()
    assert connection.closed_at <= connection.sent_at
    await _async_wait_end(connection)


@pytest.mark.parametrize("is_before", [False, True])
async def test_closing_response_before_a_request_is_its_end(
    listener: socket.socket, *, is_before: bool
) -> None:
    connection, accepted = await _async_open(listener)
    if is_before:
        accepted.sendall(CLOSING_RESPONSE)
    connection.send(REQUEST)
    connection.settle()
    if not is_before:
        accepted.sendall(CLOSING_RESPONSE)
    assert (connection.closed_at <= connection.sent_at) is is_before
    connection.abort()
    accepted.close()


@pytest.mark.parametrize("is_read", [False, True])
async def test_end_behind_a_request_is_no_crossing(
    listener: socket.socket, is_read: bool
) -> None:
    connection, accepted = await _async_open(listener)
    connection.send(REQUEST)
    connection.settle()
    if is_read:
        accepted.recv(len(REQUEST))
    accepted.close()
    await _async_wait_end(connection)
    assert connection.closed_at > connection.settled_at
    assert ("reset" in connection.end_reason) is not is_read


async def test_refused_connection_is_none(listener: socket.socket) -> None:
    port = listener.getsockname()[1]
    listener.close()
    assert await async_connect_observed(f"127.0.0.1:{port}") is None
