"""Tests of the log service stand-in."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec
import pytest

from lacewingspar_core.platform import AppendRequest, ReadReply
from lacewingspar_standins.log import (
    AppendLimit,
    LogFaults,
    LogOptions,
    LogService,
    LogStream,
)

RECORDS = "/streams/s/records"


@pytest.fixture
async def log(serve: Any) -> AsyncIterator[Any]:
    async with serve(LogService(LogOptions(), LogFaults())) as client:
        yield client


async def append(client: Any, *records: bytes, path: str = RECORDS) -> Any:
    value = msgspec.to_builtins(AppendRequest(records))
    return (await client.send("POST", path, value)).json()["first_offset"]


async def read(client: Any, query: str) -> ReadReply:
    value = await client.get(f"{RECORDS}?{query}")
    return msgspec.convert(value, ReadReply)


async def test_offsets_are_consecutive_in_each_stream(log: Any) -> None:
    assert await append(log, b"a", b"b") == 0
    assert await append(log, b"x", path="/streams/other/records") == 0
    assert await append(log, b"c") == 2
    page = await read(log, "from=1&limit=2")
    empty = await read(log, "from=3")
    assert [(r.offset, r.data) for r in page.records] == [(1, b"b"), (2, b"c")]
    assert (empty.next_offset, empty.records) == (3, ())


async def test_waiting_read_returns_with_the_next_append(log: Any) -> None:
    waiting = asyncio.create_task(read(log, "from=0&wait_ms=60000"))
    await asyncio.sleep(0.05)
    await append(log, b"a")
    assert [record.data for record in (await waiting).records] == [b"a"]


async def test_outage_ends_waiting_reads(log: Any) -> None:
    """Guards against waiting reads that miss an outage until they time out."""
    path = f"{RECORDS}?from=0&wait_ms=60000"
    waiting = asyncio.create_task(log.send("GET", path))
    await asyncio.sleep(0.05)
    await log.inject(outage=True)
    assert (await waiting).status_code == 503


@pytest.mark.parametrize(
    ("faults", "kept"), [({"lose_replies": 1}, 1), ({"refuse": True}, 0)]
)
async def test_lost_reply_and_refusal(log: Any, faults: Any, kept: int) -> None:
    """Guards against losing the record together with its reply."""
    await log.inject(**faults)
    with pytest.raises(httpx.RemoteProtocolError):
        await append(log, b"a")
    await log.inject(refuse=False)
    assert await append(log, b"b") == kept


async def test_append_beyond_the_limit_is_refused(serve: Any) -> None:
    options = LogOptions(appends_per_second=0.5)
    async with serve(LogService(options, LogFaults())) as client:
        response = await client.send("POST", RECORDS, {"records": ["YQ=="]})
    assert (response.status_code, response.headers["retry-after"]) == (429, "1")


@pytest.mark.parametrize("query", ["from=-1", "from=x", "wait_ms=1.5"])
async def test_malformed_read_is_refused(log: Any, query: str) -> None:
    response = await log.send("GET", f"{RECORDS}?{query}")
    assert response.status_code == 400


def test_append_limit_allows_its_rate(clock: Any) -> None:
    limit = AppendLimit(10, clock)
    first = sum(limit.try_acquire() for _ in range(50))
    clock.return_value += 0.5
    second = sum(limit.try_acquire() for _ in range(50))
    assert (first, second) == (10, 5)


def test_expired_records_are_removed_and_offsets_stay() -> None:
    now_ms = [0]
    stream = LogStream(1000, lambda: now_ms[0])
    stream.append((b"a", b"b"))
    now_ms[0] = 600
    stream.append((b"c",))
    now_ms[0] = 1200
    page = stream.read(0, 10)
    assert (page.first_retained, page.next_offset) == (2, 3)
    assert [record.data for record in page.records] == [b"c"]


def test_times_do_not_decrease_when_the_clock_steps_back() -> None:
    now_ms = [500]
    stream = LogStream(10_000, lambda: now_ms[0])
    stream.append((b"a",))
    now_ms[0] = 100
    stream.append((b"b",))
    assert [r.time_ms for r in stream.read(0, 10).records] == [500, 500]
