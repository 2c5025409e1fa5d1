"""Requests with the method HEAD, whose responses have no body."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    async_add_overloaded_router,
)

from lacewingspar_standins.deployed.documents import request_bytes

BODY = b"answer of p1"
# Far below the time budget, at which a wait for a body would end.
RESPONSE_LIMIT_SECONDS = 1.5


class RawCaller:
    """Connection of a caller that sees the bytes of responses."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def async_read_head(
        self, path: str, method: str, request_id: str, **options: Any
    ) -> tuple[int, dict[str, str]]:
        """Send a request and read the head of its response."""
        self._writer.write(
            request_bytes(path, request_id, 3000, method=method, **options)
        )
        async with asyncio.timeout(RESPONSE_LIMIT_SECONDS):
            head = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")[:-2]
        pairs = (line.split(": ", 1) for line in lines)
        return int(first.split()[1]), {n.lower(): value for n, value in pairs}

    async def async_assert_next_is_served(self) -> None:
        """Check that the next response begins right here."""
        status, headers = await self.async_read_head("/read/", "GET", "next")
        assert (status, headers["x-attempt-id"]) == (200, "next")
        body = await self._reader.readexactly(int(headers["content-length"]))
        assert body.startswith(b"answer of p")


@asynccontextmanager
async def opened(caller: Caller) -> AsyncIterator[RawCaller]:
    """Provide an open connection to the router of a caller."""
    host, port = caller.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.close()


def set_faults(served: Deployment, faults: dict[str, Any]) -> None:
    for upstream in served.upstream_by_id.values():
        for name, value in faults.items():
            setattr(upstream.faults, name, value)


@pytest.mark.parametrize("path", ["/read/", "/write/"])
@pytest.mark.parametrize(
    ("faults", "status", "length"),
    [
        ({}, 200, str(len(BODY))),
        ({"status": 404}, 404, str(len(BODY))),
        ({"status": 500}, 500, str(len(BODY))),
        ({"unframed": True}, 200, None),
        ({"extra_answer": True}, 200, str(len(BODY))),
        ({"stray_id": True}, 200, str(len(BODY))),
        ({"surplus": "whole response"}, 200, str(len(BODY))),
    ],
)
async def test_whole_response_has_headers_and_no_body(
    served: Deployment,
    path: str,
    faults: dict[str, Any],
    status: int,
    length: str | None,
) -> None:
    """Guards against a wait for a body, and a body that no caller expects."""
    router = await served.add_router()
    async with opened(router) as caller:
        set_faults(served, faults)
        for number in range(3):
            request_id = f"h{number}"
            got, headers = await caller.async_read_head(
                path, "HEAD", request_id
            )
            assert (got, headers["x-attempt-id"]) == (status, request_id)
            assert headers.get("content-length") == length
            assert "transfer-encoding" not in headers
        set_faults(served, {"status": 200})
        await caller.async_assert_next_is_served()


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
@pytest.mark.parametrize("unframed", [False, True])
async def test_stream_has_headers_and_no_events(
    served: Deployment, path: str, unframed: bool
) -> None:
    """Guards against chunks that follow a response to HEAD."""
    router = await served.add_router()
    async with opened(router) as caller:
        set_faults(served, {"unframed": unframed})
        status, headers = await caller.async_read_head(path, "HEAD", "h")
        assert (status, headers["x-attempt-id"]) == (200, "h")
        assert headers["content-type"] == "text/event-stream"
        assert "content-length" not in headers
        set_faults(served, {"unframed": False})
        await caller.async_assert_next_is_served()


@pytest.mark.parametrize(
    ("path", "options", "faults", "status"),
    [
        ("/none/", {}, {}, 404),
        ("/read/", {"key": "unknown"}, {}, 401),
        ("/write/", {}, {"refuse": True}, 503),
    ],
)
async def test_refusal_has_no_body(
    served: Deployment,
    path: str,
    options: dict[str, Any],
    faults: dict[str, Any],
    status: int,
) -> None:
    """Guards against a body of the router's own in a response to HEAD."""
    router = await served.add_router()
    async with opened(router) as caller:
        set_faults(served, faults)
        got, headers = await caller.async_read_head(
            path, "HEAD", "h", **options
        )
        assert got == status
        assert int(headers["content-length"]) > 0
        set_faults(served, {"refuse": False})
        await caller.async_assert_next_is_served()


async def test_router_that_hands_over_responds_without_a_body(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait for the body of a neighbour's response."""
    router = await async_add_overloaded_router(served, monkeypatch)
    async with opened(router) as caller:
        status, headers = await caller.async_read_head("/read/", "HEAD", "h")
        assert (status, headers["content-length"]) == (200, str(len(BODY)))
        await caller.async_assert_next_is_served()


async def test_repeated_response_to_head_reaches_no_other_request(
    served: Deployment,
) -> None:
    """Guards against a length whose body the next response would fill."""
    router = await served.add_router()
    async with opened(router) as caller:
        set_faults(served, {"extra_answer": True})
        for number in range(10):
            status, _ = await caller.async_read_head(
                "/read/", "HEAD", f"h{number}"
            )
            assert status == 200
            await caller.async_assert_next_is_served()
