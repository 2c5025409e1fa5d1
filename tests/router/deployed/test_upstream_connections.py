"""Tests of connections to upstreams that end around the send of a request."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from enum import Enum, auto

import msgspec
import pytest
from tests.router.deployed.conftest import Caller, Deployment, manifest, until

from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.http1 import connection_pool
from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_standins.deployed.documents import upstream_entry
from lacewingspar_standins.deployed.upstream import SEAL

# SO_LINGER with a time of zero: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BODY = b"x" * 50_000


class End(Enum):
    """Point at which the upstream ends a connection.

    Attributes:
        NONE: It does not.
        WITHIN_REQUEST: Before it has read the whole request, with a reset.
        CLOSE_AFTER_RUN: After it has run the request, without a response.
        RESET_AFTER_RUN: The same, with a reset.
        WITHIN_HEAD: Within the response head.
        WITHIN_BODY: Within the response body.
    """

    NONE = auto()
    WITHIN_REQUEST = auto()
    CLOSE_AFTER_RUN = auto()
    RESET_AFTER_RUN = auto()
    WITHIN_HEAD = auto()
    WITHIN_BODY = auto()


RESPONSE_END_BY_END = {End.WITHIN_HEAD: 20, End.WITHIN_BODY: -2}


class EndingUpstream:
    """Plain upstream that ends its connections.

    Attributes:
        end: Point at which to end the connection.
        run_ids: Ids of the requests that ran, in order.
        ended: Number of connections that it has ended.
    """

    def __init__(self) -> None:
        self.end = End.NONE
        self.run_ids: list[str] = []
        self.ended = 0

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection until it ends."""
        try:
            while await self._async_serve_next(reader, writer):
                pass
            self.ended += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _async_serve_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        value_by_header = dict(
            line.lower().split(": ", 1)
            for line in head.decode().split("\r\n")[1:-2]
        )
        if self.end is End.WITHIN_REQUEST:
            _reset_on_close(writer)
            return False
        await reader.readexactly(int(value_by_header["content-length"]))
        request_id = value_by_header["x-attempt-id"]
        self.run_ids.append(request_id)
        response = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Server-Seal: {SEAL}\r\nContent-Length: 4\r\n\r\nbody"
        ).encode()
        match self.end:
            case End.NONE:
                writer.write(response)
                return True
            case End.WITHIN_HEAD | End.WITHIN_BODY:
                writer.write(response[: RESPONSE_END_BY_END[self.end]])
            case End.RESET_AFTER_RUN:
                _reset_on_close(writer)
        return False


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )


def register(deployment: Deployment, address: str) -> None:
    entry = upstream_entry("plain", address, 1)
    deployment.store.topic("keyed.servers").append(
        "ending", msgspec.json.encode(entry)
    )


@pytest.fixture
async def ending(deployment: Deployment) -> AsyncIterator[EndingUpstream]:
    """Provide an upstream that ends its connections, the only plain one."""
    deployment.publish(manifest())
    upstream = EndingUpstream()
    server = await asyncio.start_server(
        upstream.async_serve, deployment.host, 0
    )
    host, port = server.sockets[0].getsockname()
    register(deployment, f"{host}:{port}")
    yield upstream
    server.close()


async def knows_upstreams(deployment: Deployment, count: int) -> None:
    directory = deployment.apps[0].get(ROUTING).directory
    await until(lambda: len(directory.ready_upstreams("plain")) == count)


@pytest.fixture(params=["new", "kept"])
async def ending_caller(
    deployment: Deployment,
    ending: EndingUpstream,
    request: pytest.FixtureRequest,
) -> Caller:
    """Provide a caller whose router has a kept connection, or none."""
    del ending
    caller = await deployment.add_router()
    await knows_upstreams(deployment, 1)
    if request.param == "kept":
        assert (await caller.call("/write/")).status == 200
    return caller


ENDS = pytest.mark.parametrize(
    "end", [end for end in End if end is not End.NONE], ids=lambda end: end.name
)


@ENDS
async def test_request_sent_on_a_connection_that_ends_may_have_run(
    ending: EndingUpstream, ending_caller: Caller, end: End
) -> None:
    """Guards against a promise that a request has not run, and a second run."""
    ending.end = end
    response = await ending_caller.call("/write/", body=BODY, x_attempt_id="a")
    assert (response.status, response.is_complete) == (502, True)
    assert ending.run_ids.count("a") == (end is not End.WITHIN_REQUEST)


@ENDS
async def test_repeatable_request_sent_on_a_connection_that_ends_is_repeated(
    deployment: Deployment,
    ending: EndingUpstream,
    ending_caller: Caller,
    end: End,
) -> None:
    await deployment.add_upstream("sound", "plain")
    await knows_upstreams(deployment, 2)
    ending.end = end
    for _ in range(4):
        response = await ending_caller.call("/read/", body=BODY)
        assert (response.status, response.is_complete) == (200, True)
    assert ending.ended


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
async def test_new_connection_that_ends_before_the_send_has_run_nothing(
    served: Deployment, monkeypatch: pytest.MonkeyPatch, is_reset: bool
) -> None:
    """Guards against a 502 for a request that no upstream has received."""
    caller = await served.add_router()
    await knows_upstreams(served, 2)
    ended: list[str] = []

    async def async_connect_late(address: str) -> ClientConnection:
        if ended:
            return await async_connect(address)
        ended.append(address)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await async_connect(f"{host}:{port}")
            peer, _ = listener.accept()
            if is_reset:
                peer.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            peer.close()
        return connection

    monkeypatch.setattr(connection_pool, "async_connect", async_connect_late)
    response = await caller.call("/write/")
    assert (response.status, response.is_complete) == (200, True)
    assert ended
