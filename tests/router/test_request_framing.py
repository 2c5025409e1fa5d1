"""Requests with headers that concern the framing of messages."""

import asyncio

import pytest

from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.server import Http1Server

RESPONSE_DELAY_SECONDS = 0.05
UPGRADE = "connection: upgrade, x-a\r\nupgrade: h2c\r\n"
# Would be handled as a request of its own if it were not read as a body.
BODY = b"GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n"
CHUNKED_BODY = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def head(headers: str, method: str = "POST", version: str = "1.1") -> bytes:
    return f"{method} /x HTTP/{version}\r\nhost: h\r\n{headers}\r\n".encode()


LENGTH = f"content-length: {len(BODY)}\r\n"
CHUNKED = "transfer-encoding: chunked\r\n"
EXPECT = "expect: 100-continue\r\n"
NEXT = head("", "GET")


async def _async_send(*parts: bytes) -> tuple[list[bytes], bytes]:
    """Send parts on one connection.

    Returns:
        Body of each request that was handled, and all that was received.
    """
    bodies: list[bytes] = []

    async def async_handle(exchange: ServerExchange) -> None:
        bodies.append(exchange.request.body)
        exchange.start(200, [], length=4)
        exchange.write(b"ab")
        await asyncio.sleep(RESPONSE_DELAY_SECONDS)
        exchange.write(b"cd")
        exchange.finish()

    server = Http1Server(async_handle, asyncio.get_running_loop().time)
    await server.async_start("127.0.0.1:0")
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(RESPONSE_DELAY_SECONDS / 4)
    while server.busy_connection_count:  # noqa: ASYNC110
        await asyncio.sleep(RESPONSE_DELAY_SECONDS)
    server.close()
    received = await reader.read()
    writer.close()
    return bodies, received


@pytest.mark.parametrize(
    ("headers", "body"),
    [(UPGRADE + LENGTH, BODY), (UPGRADE + CHUNKED, CHUNKED_BODY)],
    ids=["length", "chunked"],
)
@pytest.mark.parametrize("is_split", [False, True])
async def test_body_of_a_request_for_an_upgrade_is_read(
    headers: str, body: bytes, *, is_split: bool
) -> None:
    """Guards against a body that is lost or handled as further requests."""
    parts = (head(headers), body[:5], body[5:] + NEXT)
    bodies, received = await _async_send(
        *(parts if is_split else (b"".join(parts),))
    )
    assert bodies == [BODY, b""]
    assert received.count(b"HTTP/1.1 200") == 2


async def test_connect_request_with_a_body_is_rejected() -> None:
    bodies, received = await _async_send(head(LENGTH, method="CONNECT") + BODY)
    assert not bodies
    assert received.startswith(b"HTTP/1.1 400")


@pytest.mark.parametrize(
    ("parts", "position"),
    [
        ((head(EXPECT + LENGTH), BODY), "first"),
        ((NEXT, head(EXPECT + LENGTH), BODY), "none"),
        ((head(EXPECT + LENGTH, version="1.0"), BODY), "none"),
    ],
    ids=["alone", "behind a request", "HTTP/1.0"],
)
async def test_continue_is_sent_only_before_a_response(
    parts: tuple[bytes, ...], position: str
) -> None:
    """Guards against 100 Continue in the middle of another response."""
    bodies, received = await _async_send(*parts)
    assert bodies[-1] == BODY
    assert received.startswith(CONTINUE) is (position == "first")
    assert received.count(CONTINUE) == (position == "first")
