"""Tests of the HTTP client of the load generator."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from lacewingspar_standins.http_client import (
    ClientError,
    ConnectionPool,
    encode_request,
)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


@asynccontextmanager
async def serve_responses(
    *responses: bytes,
) -> AsyncIterator[tuple[str, list[int]]]:
    """Serve the given responses in order.

    Yields:
        The address and a list with one item for each connection.
    """
    remaining = list(responses)
    connections: list[int] = []

    async def response(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(1)
        while remaining:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(remaining.pop(0))
        writer.close()

    server = await asyncio.start_server(response, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}", connections
    server.close()


async def exchange(pool: ConnectionPool, address: str) -> bytes | str:
    """Return the response body, or the outcome if the exchange fails."""
    try:
        connection = await pool.acquire(address)
        await connection.exchange(encode_request("GET", "/", address, {}, b""))
        body = b"".join([part async for part in connection.parts()])
    except ClientError as error:
        return error.outcome
    pool.release(address, connection)
    return body


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (HEAD + b"content-length: 2\r\n\r\nok", b"ok"),
        (CHUNKED + b"2\r\nok\r\n0\r\n\r\n", b"ok"),
        (HEAD + b"content-length: 3\r\n\r\nok", "broken"),
        (CHUNKED + b"2\r\nok\r\n", "broken"),
        (CHUNKED + b"2\r\nokay\r\n", "broken"),
        (b"", "no_answer"),
        (b"HTTP/1.1 200", "no_answer"),
        (b"nonsense\r\n\r\n", "no_answer"),
    ],
)
async def test_incomplete_responses_are_errors(
    response: bytes, expected: Any
) -> None:
    """Guards against counting an incomplete response as complete."""
    async with serve_responses(response) as (address, _):
        assert await exchange(ConnectionPool(), address) == expected


@pytest.mark.parametrize(
    ("header", "connection_count"), [(b"", 1), (b"connection: close\r\n", 2)]
)
async def test_connection_reuse(header: bytes, connection_count: int) -> None:
    head = HEAD + header + b"content-length: 2\r\n\r\n"
    pool = ConnectionPool()
    async with serve_responses(head + b"ab", head + b"cd") as (
        address,
        connections,
    ):
        bodies = [await exchange(pool, address) for _ in range(2)]
    assert (bodies, len(connections)) == ([b"ab", b"cd"], connection_count)
    pool.close()
    assert await exchange(pool, address) == "connect_failed"
