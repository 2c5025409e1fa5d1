"""Tests the HTTP servers of the router process."""

import asyncio
from typing import Any

import pytest

from lacewingspar_router import http_server
from lacewingspar_router.http_server import HttpServer

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


async def respond(_scope: Any, _receive: Any, send: Any) -> None:
    start = {"type": "http.response.start", "status": 204, "headers": []}
    await send(start)
    await send({"type": "http.response.body"})


async def is_accepting(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


async def test_request_on_an_accepted_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a shutdown that resets a connection before reading it."""
    monkeypatch.setattr(
        http_server, "IDLE_CLOSE_DELAY_SECONDS", 2.0, raising=False
    )
    server = HttpServer(respond, "127.0.0.1:0")
    await server.async_start()
    used, used_writer = await asyncio.open_connection("127.0.0.1", server.port)
    used_writer.write(REQUEST.replace(b"close", b"keep-alive"))
    assert (await used.readuntil(b"\r\n")).startswith(b"HTTP/1.1 204")
    fresh, writer = await asyncio.open_connection("127.0.0.1", server.port)
    port = server.port
    stop = asyncio.create_task(server.async_stop())
    while await is_accepting(port):
        pass
    writer.write(REQUEST)
    assert (await fresh.read()).startswith(b"HTTP/1.1 204")
    await stop
