"""Requests that follow each other on a caller's connection."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import structlog
import uvloop

from lacewingspar_router.http1.caller_connection import MAX_PIPELINED_REQUESTS
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.server import Http1Server

RESPONSE_DELAY_SECONDS = 0.1


def request(number: int, headers: str = "") -> bytes:
    return f"GET /{number} HTTP/1.1\r\nhost: h\r\n{headers}\r\n".encode()


LAST = "connection: close\r\n"
OTHER_BYTES = b"\x00\x01 neither a request\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Case:
    """Bytes on one connection and the responses to expect.

    Attributes:
        sent: Parts that are sent one after another.
        pause_seconds: Time between two parts.
        statuses: Status of each response, in order.
    """

    sent: tuple[bytes, ...]
    pause_seconds: float
    statuses: tuple[int, ...]


_PAIR = (request(0), request(1, LAST))
_LARGE_HEADS = b"".join(
    request(number, "x: " + "a" * 14_000 + "\r\n") for number in range(3)
)
_MANY = 3 * MAX_PIPELINED_REQUESTS
CASE_BY_NAME = {
    "last request at once": Case((b"".join(_PAIR),), 0.0, (200, 200)),
    "last request later": Case(_PAIR, 0.05, (200, 200)),
    "request after the last one": Case(
        (request(0, LAST) + request(1),), 0.0, (200,)
    ),
    "other bytes later": Case((request(0), OTHER_BYTES), 0.05, (200, 400)),
    "other bytes behind two requests": Case(
        (request(0) + request(1) + OTHER_BYTES,), 0.0, (200, 200, 400)
    ),
    "too long head behind a request": Case(
        (request(0), request(1, "x: " + "a" * 20_000 + "\r\n")),
        0.05,
        (200, 431),
    ),
    "part of a head behind large heads": Case(
        (_LARGE_HEADS[:-20], _LARGE_HEADS[-20:]), 0.05, (200, 200, 200)
    ),
    "more than the queue holds at once": Case(
        (b"".join(request(number) for number in range(_MANY)),),
        0.0,
        (200,) * _MANY,
    ),
    "more than the queue holds, in parts": Case(
        tuple(request(number) for number in range(_MANY)),
        0.005,
        (200,) * _MANY,
    ),
}


@asynccontextmanager
async def serving() -> AsyncIterator[Http1Server]:
    async def async_handle(exchange: ServerExchange) -> None:
        await asyncio.sleep(RESPONSE_DELAY_SECONDS)
        exchange.send_response(200, [], exchange.request.target.encode())

    server = Http1Server(async_handle, asyncio.get_running_loop().time)
    await server.async_start("127.0.0.1:0")
    try:
        yield server
    finally:
        server.close()


async def responses(
    server: Http1Server, sent: tuple[bytes, ...], pause_seconds: float
) -> list[tuple[int, str]]:
    """Return status and body of each response until the connection is idle."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    received: list[tuple[int, str]] = []

    async def async_receive() -> None:
        while line := await reader.readline():
            status = int(line.split()[1])
            length = 0
            while (line := await reader.readline()) != b"\r\n":
                name, _, value = line.partition(b":")
                if name == b"content-length":
                    length = int(value)
            body = await reader.readexactly(length)
            received.append((status, body.decode()))

    receiving = asyncio.create_task(async_receive())
    for part in sent:
        writer.write(part)
        await asyncio.sleep(pause_seconds)
    await asyncio.wait({receiving}, timeout=len(received) + 4.0)
    receiving.cancel()
    writer.close()
    return received


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
@pytest.mark.parametrize("case", CASE_BY_NAME.values(), ids=CASE_BY_NAME)
def test_request_is_answered_whatever_follows_it(
    case: Case, loop_factory: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Guards against requests that later bytes leave without a response."""

    async def async_run() -> list[tuple[int, str]]:
        async with serving() as server:
            return await responses(server, case.sent, case.pause_seconds)

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        received = runner.run(async_run())
    assert tuple(status for status, _ in received) == case.statuses
    bodies = [body for status, body in received if status == 200]
    assert bodies == [f"/{number}" for number in range(len(bodies))]


async def test_queued_request_is_answered_by_a_server_that_stops() -> None:
    """Guards against queued requests that a stop drops without a response."""
    async with serving() as server:
        sent = (request(0) + request(1),)
        receiving = asyncio.create_task(responses(server, sent, 0.0))
        await asyncio.sleep(RESPONSE_DELAY_SECONDS / 2)
        server.is_closing_connections = True
        assert await receiving == [(200, "/0"), (200, "/1")]


async def test_cancelled_request_is_answered() -> None:
    """Guards against a reset of a caller that is still connected."""

    async def async_handle(_: ServerExchange) -> None:
        raise asyncio.CancelledError

    server = Http1Server(async_handle, asyncio.get_running_loop().time)
    await server.async_start("127.0.0.1:0")
    ((status, body),) = await responses(server, (request(0),), 0.0)
    assert status == 500
    assert body.startswith("internal_error: ")
    server.close()


async def test_failed_request_is_answered_and_the_next_is_handled() -> None:
    """Guards against an empty response and a log line without the request."""

    async def async_handle(exchange: ServerExchange) -> None:
        if exchange.request.target == "/0":
            raise RuntimeError("exploded")
        exchange.send_response(200, [], b"handled")

    server = Http1Server(async_handle, asyncio.get_running_loop().time)
    await server.async_start("127.0.0.1:0")
    with structlog.testing.capture_logs() as lines:
        received = await responses(server, (request(0) + request(1),), 0.0)
    server.close()
    (status, body), following = received
    assert status == 500
    assert body.startswith("internal_error: ")
    assert following == (200, "handled")
    (line,) = [item for item in lines if item["log_level"] == "error"]
    assert (line["method"], line["path"]) == ("GET", "/0")
