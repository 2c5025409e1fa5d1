"""Bound of the memory for the bodies of callers' requests."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from tests.router.deployed.conftest import until

from lacewingspar_router.errors import SettingsError
from lacewingspar_router.http1.body_memory import BodyMemory
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import HttpRequest, Response
from lacewingspar_router.http1.server import Http1Server
from lacewingspar_router.settings import load_settings
from lacewingspar_standins.fleet_settings import RouterPlan, router_settings

MAX_BYTES = 1000
BODY = bytes(400)
SMALL = bytes(10)
LIMIT_SECONDS = 2.0

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def head(announced: int) -> bytes:
    return (
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % announced
    )


def chunked(body: bytes) -> bytes:
    """Return a request that does not announce the length of its body."""
    return (
        b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    )


WHOLE = head(len(BODY)) + BODY


class BodyServer:
    """Server whose handler waits until the test lets it respond."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()
        self.begun = 0
        self.server = Http1Server(
            self._async_handle,
            asyncio.get_running_loop().time,
            self._refuse_early,
        )
        self.server.body_memory.max_bytes = MAX_BYTES
        self.early: list[Response] = []

    @property
    def held_bytes(self) -> int:
        return self.server.body_memory.held_bytes

    async def _async_handle(self, exchange: ServerExchange) -> None:
        self.begun += 1
        await self.may_respond.wait()
        exchange.send_response(204, [], b"")

    def _refuse_early(self, _request: HttpRequest) -> Response | None:
        return self.early.pop() if self.early else None

    @asynccontextmanager
    async def sending(self, data: bytes) -> AsyncIterator[Streams]:
        """Open a connection, send bytes on it, and close it at the end."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        try:
            writer.write(data)
            yield reader, writer
        finally:
            writer.close()


@pytest.fixture
async def served_bodies() -> AsyncIterator[BodyServer]:
    made = BodyServer()
    await made.server.async_start("127.0.0.1:0")
    yield made
    made.server.close()


async def async_status(reader: asyncio.StreamReader) -> int:
    async with asyncio.timeout(LIMIT_SECONDS):
        first = await reader.readuntil(b"\r\n")
    return int(first.split()[1])


@pytest.mark.parametrize(
    "beyond",
    [head(len(BODY)), WHOLE, chunked(BODY), head(MAX_BYTES)],
    ids=["head", "whole", "chunked", "large"],
)
async def test_body_beyond_the_bound_is_refused_at_once(
    served_bodies: BodyServer, beyond: bytes
) -> None:
    """Guards against bodies that fill the memory of a small VM."""
    async with (
        served_bodies.sending(WHOLE) as (first, _),
        served_bodies.sending(WHOLE) as (second, _),
    ):
        await until(lambda: served_bodies.begun == 2)
        async with served_bodies.sending(beyond) as (refused, _):
            assert await async_status(refused) == 503
        async with served_bodies.sending(head(len(SMALL)) + SMALL) as (
            third,
            _,
        ):
            await until(lambda: served_bodies.begun == 3)
            assert served_bodies.held_bytes == 2 * len(BODY) + len(SMALL)
            served_bodies.may_respond.set()
            for reader in (first, second, third):
                assert await async_status(reader) == 204
    await until(lambda: served_bodies.held_bytes == 0)


async def test_larger_body_is_taken_if_no_other_is_held(
    served_bodies: BodyServer,
) -> None:
    """Guards against a request that is told to come back for ever."""
    served_bodies.may_respond.set()
    large = bytes(2 * MAX_BYTES)
    for data in (head(len(large)) + large, chunked(large)):
        async with served_bodies.sending(data) as (reader, _):
            assert await async_status(reader) == 204
        await until(lambda: served_bodies.held_bytes == 0)


@pytest.mark.parametrize(
    ("data", "held"),
    [
        (head(len(BODY)), len(BODY)),
        (head(len(BODY)) + SMALL, len(BODY)),
        (WHOLE, len(BODY)),
        (WHOLE + WHOLE, 2 * len(BODY)),
        (WHOLE + head(len(BODY)) + SMALL, 2 * len(BODY)),
        (chunked(BODY), len(BODY)),
        (chunked(BODY)[:-5], len(BODY)),
    ],
    ids=[
        "head",
        "part",
        "in flight",
        "queued",
        "part behind another",
        "chunked",
        "part of chunks",
    ],
)
async def test_memory_is_free_after_a_caller_has_left(
    served_bodies: BodyServer, data: bytes, held: int
) -> None:
    """Guards against a bound that fills up with bodies that are gone."""
    async with served_bodies.sending(data):
        await until(lambda: served_bodies.held_bytes == held)
    await until(lambda: served_bodies.held_bytes == 0)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (chunked(BODY).replace(b"0\r\n\r\n", b"x\r\n"), 400),
        (head(100_000_000), 413),
        (WHOLE.replace(b"HTTP/1.1", b"HTTP/1.0"), 204),
        (WHOLE, 204),
    ],
    ids=["invalid", "too large", "last", "whole"],
)
async def test_memory_is_free_after_a_response(
    served_bodies: BodyServer, data: bytes, status: int
) -> None:
    """Guards against a bound that fills up with bodies that are gone."""
    served_bodies.may_respond.set()
    async with served_bodies.sending(data) as (reader, _):
        assert await async_status(reader) == status
        await until(lambda: served_bodies.held_bytes == 0)


async def test_memory_is_free_after_an_early_response(
    served_bodies: BodyServer,
) -> None:
    """Guards against a bound that fills up with refused requests."""
    served_bodies.early.append(Response(503, [], b""))
    async with served_bodies.sending(WHOLE) as (reader, _):
        assert await async_status(reader) == 503
        assert served_bodies.held_bytes == 0


def test_bytes_of_one_body_are_held_beyond_the_bound_only_alone() -> None:
    memory = BodyMemory(MAX_BYTES)
    assert memory.try_hold(MAX_BYTES - 1)
    assert memory.try_hold(2, MAX_BYTES - 1)
    assert not memory.try_hold(1)
    memory.release(MAX_BYTES + 1)
    assert memory.held_bytes == 0


@pytest.mark.parametrize("size", [0, 1024 * 1024 - 1, 2_000_000.5, "32 MB"])
def test_bound_in_the_settings_is_checked(tmp_path: Path, size: object) -> None:
    """Guards against a router that has no room for a body of usual size."""
    path = tmp_path / "settings.json"
    plan = RouterPlan("r1", "dc", *(f"127.0.0.1:{n}" for n in (1, 2, 3)))
    platform = {"metrics_address": "127.0.0.1:4", "max_held_body_bytes": size}
    extra = {"platform": platform}
    value = router_settings(plan, "http://l", "http://v", (), extra)
    path.write_text(json.dumps(value))
    with pytest.raises(SettingsError, match="max_held_body_bytes"):
        load_settings(path)
