"""HTTP client of the load generator."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from lacewingspar_standins.http_client import (
    ClientError,
    ConnectionPool,
    encode_request,
)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


@asynccontextmanager
async def scripted(*answers: bytes) -> AsyncIterator[tuple[str, list[int]]]:
    """Yield the address of a server that sends scripted answers.

    The list that is yielded gets one entry for each connection. Each
    connection is closed after the last answer.
    """
    remaining = list(answers)
    connections: list[int] = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(1)
        while remaining:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(remaining.pop(0))
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}", connections
    server.close()


async def exchange(pool: ConnectionPool, address: str) -> bytes:
    connection = await pool.take(address)
    try:
        await connection.exchange(encode_request("GET", "/", address, {}, b""))
        return b"".join([part async for part in connection.parts()])
    finally:
        pool.give_back(address, connection)


@pytest.mark.parametrize(
    ("answer", "expected"),
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
async def test_incomplete_answers_are_errors(
    answer: bytes, expected: bytes | str
) -> None:
    """Guards against a cut answer that counts as complete."""
    async with scripted(answer) as (address, _):
        if isinstance(expected, bytes):
            assert await exchange(ConnectionPool(), address) == expected
            return
        with pytest.raises(ClientError) as caught:
            await exchange(ConnectionPool(), address)
    assert caught.value.outcome == expected


@pytest.mark.parametrize(
    ("header", "connection_count"), [(b"", 1), (b"connection: close\r\n", 2)]
)
async def test_connection_is_reused_unless_closed(
    header: bytes, connection_count: int
) -> None:
    answer = HEAD + header + b"content-length: 2\r\n\r\n"
    pool = ConnectionPool()
    async with scripted(answer + b"ab", answer + b"cd") as (
        address,
        connections,
    ):
        assert await exchange(pool, address) == b"ab"
        assert await exchange(pool, address) == b"cd"
    assert len(connections) == connection_count
    pool.close()


async def test_closed_port_is_an_error() -> None:
    async with scripted() as (address, _):
        pass
    with pytest.raises(ClientError) as caught:
        await ConnectionPool().take(address)
    assert caught.value.outcome == "connect_failed"
