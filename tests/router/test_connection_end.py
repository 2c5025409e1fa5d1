"""Requests on connections that end."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpx
import pytest
import uvloop

from lacewingspar_router.http1.connection_end import (
    ConnectionEnded,
    EndReason,
    ResponseState,
    Unanswered,
)
from lacewingspar_router.http1.exchange import ConnectionLimits, ServerExchange
from lacewingspar_router.http1.messages import HttpRequest, Response
from lacewingspar_router.http1.server import Http1Server

REFUSAL = Response(503, [(b"retry-after", b"1")], b"")
IDLE_TIMEOUT_SECONDS = 0.05
LOOP_BLOCK_SECONDS = 0.2
LOOP_FACTORY_BY_NAME: dict[
    str, Callable[[], asyncio.AbstractEventLoop] | None
] = {"asyncio": None, "uvloop": uvloop.new_event_loop}


def request(target: str = "/", headers: str = "") -> bytes:
    return f"GET {target} HTTP/1.1\r\nhost: h\r\n{headers}\r\n".encode()


class Recorder:
    """Keeps what a server records."""

    def __init__(self) -> None:
        self.ends: list[ConnectionEnded] = []
        self.crossings: list[tuple[str, EndReason]] = []

    def record_end(self, ended: ConnectionEnded) -> None:
        self.ends.append(ended)

    def record_crossing(self, request: HttpRequest, reason: EndReason) -> None:
        self.crossings.append((request.target, reason))


async def respond(exchange: ServerExchange) -> None:
    exchange.send_response(200, [], b"done")


@asynccontextmanager
async def serving(
    handler: Callable[[ServerExchange], Awaitable[None]] = respond,
) -> AsyncIterator[tuple[Http1Server, Recorder]]:
    recorder = Recorder()
    server = Http1Server(
        handler, asyncio.get_running_loop().time, observer=recorder
    )
    await server.async_start("127.0.0.1:0")
    try:
        yield server, recorder
    finally:
        server.close()


def connect(server: Http1Server) -> socket.socket:
    return socket.create_connection(("127.0.0.1", server.port), timeout=5)


async def async_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def async_read_all(caller: socket.socket) -> bytes:
    """Return what a caller receives until the end of its connection."""
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(5):
        while part := await loop.sock_recv(caller, 65536):
            data += part
    return data


async def async_connect_idle(
    server: Http1Server, count: int, *, is_used: bool
) -> list[socket.socket]:
    callers = [connect(server) for _ in range(count)]
    await async_until(lambda: len(server.connections) >= count)
    for caller in callers if is_used else []:
        caller.sendall(request())
        await asyncio.sleep(0.01)
        assert caller.recv(65536).startswith(b"HTTP/1.1 200 ")
    return callers


def close_by_drain(server: Http1Server) -> None:
    server.is_closing_connections = True
    server.close_idle()


def close_for_room(server: Http1Server) -> None:
    server.is_closing_connections = True
    server._close_longest_idle()


def close_by_idle_timeout(server: Http1Server) -> None:
    server.is_closing_connections = True
    server.limits = ConnectionLimits(idle_timeout_seconds=IDLE_TIMEOUT_SECONDS)
    for connection in server.connections:
        connection._check_timeout()


def close_at_once(server: Http1Server) -> None:
    server.close()


CLOSE_BY_NAME: dict[str, Callable[[Http1Server], None]] = {
    "drain": close_by_drain,
    "room": close_for_room,
    "idle timeout": close_by_idle_timeout,
    "stop": close_at_once,
}


@pytest.mark.parametrize("is_used", [False, True], ids=["fresh", "used"])
@pytest.mark.parametrize("count", [1, 20])
@pytest.mark.parametrize("close", CLOSE_BY_NAME.values(), ids=CLOSE_BY_NAME)
@pytest.mark.parametrize("loop", LOOP_FACTORY_BY_NAME)
def test_request_that_a_late_loop_has_not_read_is_answered(
    loop: str,
    close: Callable[[Http1Server], None],
    count: int,
    *,
    is_used: bool,
) -> None:
    async def async_run() -> list[bytes]:
        async with serving() as (server, recorder):
            callers = await async_connect_idle(server, count, is_used=is_used)
            for caller in callers:
                caller.sendall(request())
            time.sleep(LOOP_BLOCK_SECONDS)  # noqa: ASYNC251
            close(server)
            received = [await async_read_all(caller) for caller in callers]
            for caller in callers:
                caller.close()
            assert all(
                (item.unanswered.unread_bytes > 0) is (close is close_at_once)
                for item in recorder.ends
            )
            return received

    with asyncio.Runner(loop_factory=LOOP_FACTORY_BY_NAME[loop]) as runner:
        received = runner.run(async_run())
    statuses = {data.split(b" ", 2)[1] for data in received if data}
    assert all(data.count(b"HTTP/1.1") == 1 for data in received)
    assert statuses == ({b"408"} if close is close_at_once else {b"200"})


@pytest.mark.parametrize("loop", LOOP_FACTORY_BY_NAME)
def test_request_in_the_listen_queue_of_a_closing_server_is_answered(
    loop: str,
) -> None:
    async def async_run() -> bytes:
        async with serving() as (server, _):
            caller = connect(server)
            caller.sendall(request())
            closing = asyncio.create_task(server.async_close(REFUSAL))
            received = await async_read_all(caller)
            caller.close()
            await closing
            return received

    with asyncio.Runner(loop_factory=LOOP_FACTORY_BY_NAME[loop]) as runner:
        assert runner.run(async_run()).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("block_seconds", [0.0, 0.5], ids=["", "late loop"])
async def test_request_during_the_close_of_a_server_is_answered(
    block_seconds: float,
) -> None:
    """Guards against waiting times that a late loop spends in one turn."""
    async with serving() as (server, _):
        callers = await async_connect_idle(server, 5, is_used=True)
        closing = asyncio.create_task(server.async_close(REFUSAL))
        await asyncio.sleep(0)
        for caller in callers:
            caller.sendall(request())
        time.sleep(block_seconds)  # noqa: ASYNC251
        received = [await async_read_all(caller) for caller in callers]
        for caller in callers:
            caller.close()
        await closing
    assert [data[:13] for data in received] == [b"HTTP/1.1 200 "] * 5


@pytest.mark.parametrize("loop", LOOP_FACTORY_BY_NAME)
def test_end_reaches_the_caller_before_a_late_loop_goes_on(loop: str) -> None:
    """Guards against closing responses to requests that were sent before."""

    async def async_run() -> bytes:
        async with serving() as (server, _):
            (caller,) = await async_connect_idle(server, 1, is_used=True)
            server.close_idle()
            # The event loop does not run until all was received.
            received = b""
            while part := caller.recv(65536):
                received += part
            caller.close()
            return received

    with asyncio.Runner(loop_factory=LOOP_FACTORY_BY_NAME[loop]) as runner:
        assert runner.run(async_run()).startswith(b"HTTP/1.1 408 ")


@pytest.mark.parametrize(
    ("close", "reason"),
    [
        (close_by_drain, EndReason.DRAIN),
        (close_for_room, EndReason.ROOM),
        (close_at_once, EndReason.STOP),
    ],
    ids=["drain", "room", "stop"],
)
async def test_request_that_crosses_the_end_is_refused_and_recorded(
    close: Callable[[Http1Server], None], reason: EndReason
) -> None:
    async with serving() as (server, recorder):
        (caller,) = await async_connect_idle(server, 1, is_used=True)
        close(server)
        await asyncio.sleep(0.05)
        caller.sendall(request("/crossing"))
        received = await async_read_all(caller)
        caller.close()
        await async_until(lambda: bool(recorder.crossings))
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b"connection: close\r\n" in received
    assert received.count(b"HTTP/1.1") == 1
    assert recorder.crossings == [("/crossing", reason)]
    assert recorder.ends == [ConnectionEnded(reason, Unanswered(), refused=1)]


async def test_request_behind_an_announced_end_is_refused() -> None:
    may_finish = asyncio.Event()

    async def async_handle(exchange: ServerExchange) -> None:
        exchange.start(200, [], length=4)
        await may_finish.wait()
        exchange.write(b"done")
        exchange.finish()

    async with serving(async_handle) as (server, recorder):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        server.is_closing_connections = True
        caller.sendall(request())
        await asyncio.sleep(0.05)
        caller.sendall(request("/second"))
        await asyncio.sleep(0.05)
        may_finish.set()
        received = await async_read_all(caller)
        caller.close()
    first, _, second = received.partition(b"done")
    assert first.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close\r\n" in first
    assert second.startswith(b"HTTP/1.1 408 ")
    assert recorder.ends == [
        ConnectionEnded(EndReason.ANNOUNCED, Unanswered(queued=1), refused=1)
    ]


async def test_requests_read_with_an_early_refusal_are_refused() -> None:
    """Guards against an announced end in front of further responses."""
    async with serving() as (server, recorder):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        server.is_closing_connections = True
        server.early_responder = lambda _: REFUSAL
        caller.sendall(b"".join(request(f"/{number}") for number in range(3)))
        received = await async_read_all(caller)
        caller.close()
    statuses = [part[:4] for part in received.split(b"HTTP/1.1")[1:]]
    assert statuses == [b" 503"] * 3
    assert received.count(b"connection: close\r\n") == 1
    assert received.endswith(b"connection: close\r\n\r\n")
    assert recorder.ends == [ConnectionEnded(EndReason.ANNOUNCED, Unanswered())]


@pytest.mark.parametrize("is_unread", [False, True], ids=["partial", "unread"])
async def test_end_is_not_announced_in_front_of_further_input(
    *, is_unread: bool
) -> None:
    """Guards against requests that callers may drop behind an announced end."""
    rest = request("/second")

    async def async_handle(exchange: ServerExchange) -> None:
        if is_unread and exchange.request.target == "/":
            caller.sendall(rest)
        exchange.send_response(200, [], b"done")

    async with serving(async_handle) as (server, _):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        server.is_closing_connections = True
        caller.sendall(request() + (b"" if is_unread else rest[:9]))
        await asyncio.sleep(0.05)
        if not is_unread:
            caller.sendall(rest[9:])
        received = await async_read_all(caller)
        caller.close()
    first, _, second = received.partition(b"done")
    assert b"connection: close\r\n" not in first
    assert second.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close\r\n" in second


@pytest.mark.parametrize("is_stopping", [False, True], ids=["", "stop"])
@pytest.mark.parametrize("loop", LOOP_FACTORY_BY_NAME)
def test_rest_of_a_request_that_a_late_loop_has_not_read_is_answered(
    loop: str, *, is_stopping: bool
) -> None:
    """Guards against a refusal of what has arrived, and silence behind it."""

    async def async_run() -> bytes:
        async with serving() as (server, _):
            server.limits = ConnectionLimits(header_timeout_seconds=0.2)
            late, other = await async_connect_idle(server, 2, is_used=False)
            late.sendall(request("/0")[:9])
            await asyncio.sleep(0.05)

            def block(blocking: HttpRequest) -> None:
                if blocking.target == "/block":
                    late.sendall(request("/0")[9:] + request("/1"))
                    time.sleep(0.4)

            server.early_responder = block
            if is_stopping:
                closing = asyncio.create_task(server.async_close(REFUSAL))
                await asyncio.sleep(0.05)
            other.sendall(request("/block"))
            if not is_stopping:
                await asyncio.sleep(0.05)
                server.is_closing_connections = True
            received = await async_read_all(late)
            if is_stopping:
                await closing
            for caller in (late, other):
                caller.close()
            return received

    with asyncio.Runner(loop_factory=LOOP_FACTORY_BY_NAME[loop]) as runner:
        received = runner.run(async_run())
    assert received.count(b"HTTP/1.1 200 ") == 2


async def test_continue_is_sent_behind_an_early_refusal() -> None:
    async with serving() as (server, _):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        server.early_responder = lambda item: (
            REFUSAL if item.target == "/first" else None
        )
        caller.sendall(
            request("/first")
            + b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
            b"expect: 100-continue\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        received = caller.recv(65536)
        caller.close()
    assert received.startswith(b"HTTP/1.1 503 ")
    assert received.endswith(b"HTTP/1.1 100 Continue\r\n\r\n")


async def test_rejected_input_is_answered_behind_an_early_refusal() -> None:
    async with serving() as (server, _):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        server.is_closing_connections = True
        server.early_responder = lambda _: REFUSAL
        caller.sendall(request() + b"\x00 no request\r\n\r\n")
        received = await async_read_all(caller)
        caller.close()
    statuses = [part[:4] for part in received.split(b"HTTP/1.1")[1:]]
    assert statuses == [b" 503", b" 400"]
    assert received.count(b"connection: close\r\n") == 1


async def test_requests_behind_a_cancelled_one_are_answered() -> None:
    async def async_handle(_: ServerExchange) -> None:
        raise asyncio.CancelledError

    async with serving(async_handle) as (server, _):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        caller.sendall(request() + request())
        received = await async_read_all(caller)
        caller.close()
    statuses = [part[:4] for part in received.split(b"HTTP/1.1")[1:]]
    assert statuses == [b" 500", b" 408"]
    assert received.count(b"connection: close\r\n") == 1


async def test_errors_of_other_parts_leave_no_request_unanswered() -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("failed")

    async with serving() as (server, recorder):
        callers = await async_connect_idle(server, 2, is_used=False)
        server.early_responder = fail
        recorder.record_end = fail  # type: ignore[method-assign]
        for caller in callers:
            caller.sendall(request())
        await asyncio.sleep(0.05)
        server.close_idle()
        received = [await async_read_all(caller) for caller in callers]
        for caller in callers:
            caller.close()
    assert all(data.startswith(b"HTTP/1.1 200 ") for data in received)
    assert all(b"HTTP/1.1 408 " in data for data in received)


async def test_server_closes_once_within_its_time() -> None:
    async with serving() as (server, _):
        callers = await async_connect_idle(server, 3, is_used=True)
        await server.async_close(REFUSAL)
        turns = 0

        async def async_count() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(async_count())
        await server.async_close(REFUSAL)
        counting.cancel()
        for caller in callers:
            caller.close()
    assert turns <= 1


async def test_input_behind_the_last_request_does_not_reset_its_response() -> (
    None
):
    body = b"x" * 4_000_000

    async def async_handle(exchange: ServerExchange) -> None:
        exchange.send_response(200, [], body)

    async with serving(async_handle) as (server, _):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        caller.sendall(request("/", "connection: close\r\n"))
        await asyncio.sleep(0.05)
        caller.sendall(b"x" * 50_000)
        await asyncio.sleep(0.05)
        received = await async_read_all(caller)
        caller.close()
    assert received.endswith(body)


@dataclass(frozen=True, slots=True)
class Broken:
    """A response that its handler does not complete.

    Attributes:
        has_begun: Whether its handler sends a part of it.
        response: State of the response at the end of the handler.
        received: Start of what the caller receives.
    """

    has_begun: bool
    response: ResponseState
    received: bytes


@pytest.mark.parametrize(
    "case",
    [
        Broken(True, ResponseState.BEGUN, b"HTTP/1.1 200 "),
        Broken(False, ResponseState.PENDING, b"HTTP/1.1 500 "),
    ],
    ids=["begun", "pending"],
)
async def test_response_that_is_broken_off_is_seen_as_incomplete(
    case: Broken,
) -> None:
    async def async_handle(exchange: ServerExchange) -> None:
        if case.has_begun:
            exchange.start(200, [], length=None)
            exchange.write(b"part")

    async with serving(async_handle) as (server, recorder):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        caller.sendall(request())
        received = await async_read_all(caller)
        caller.close()
    assert received.startswith(case.received)
    assert not received.endswith(b"0\r\n\r\n") or not case.has_begun
    (ended,) = recorder.ends
    assert ended.reason is EndReason.BROKEN_OFF
    assert ended.unanswered.response is case.response


async def test_caller_that_leaves_is_recorded_with_its_requests() -> None:
    async def async_handle(_: ServerExchange) -> None:
        await asyncio.Event().wait()

    async with serving(async_handle) as (server, recorder):
        (caller,) = await async_connect_idle(server, 1, is_used=False)
        caller.sendall(request("/0") + request("/1") + b"GET /2 HT")
        await asyncio.sleep(0.05)
        caller.close()
        await async_until(lambda: bool(recorder.ends))
    assert recorder.ends == [
        ConnectionEnded(
            EndReason.CALLER_LEFT,
            Unanswered(ResponseState.PENDING, queued=1, is_partial=True),
        )
    ]


async def test_stock_client_connects_anew_after_an_idle_connection_ended() -> (
    None
):
    """Guards against closing responses that clients take for an answer."""
    async with serving() as (server, recorder), httpx.AsyncClient() as client:
        url = f"http://127.0.0.1:{server.port}/"
        statuses = []
        for _ in range(3):
            statuses.append((await client.get(url)).status_code)
            server.close_idle()
            await asyncio.sleep(0.05)
    assert statuses == [200, 200, 200]
    assert len(recorder.ends) == 3
