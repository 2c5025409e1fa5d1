"""Tests of the engine stand-in."""

import asyncio
import re
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest

from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.engine import WRONG_ID, Engine
from lacewingspar_standins.engine_options import EngineFaults, EngineOptions
from lacewingspar_standins.http_client import (
    ClientError,
    Connection,
    ConnectionPool,
    encode_request,
)

BATCH = BatchOptions(2, 0.001, prompt_token_seconds=0, load_lag_seconds=0)
OPTIONS = EngineOptions(batch=BATCH)
ENDLESS = 1_000_000
PATH = "/v1/chat/completions"


MESSAGE = {"role": "user", "content": "hi marker=m"}
BODY = {"model": "model", "messages": [MESSAGE]}
HEADERS = {"X-Request-Id": "r1"}


async def chat(engine: Any, **fields: Any) -> Any:
    return await engine.send("POST", PATH, {**BODY, **fields}, **HEADERS)


async def open_stream(engine: Any, max_tokens: int) -> Connection:
    value = {**BODY, "stream": True, "max_tokens": max_tokens}
    body = msgspec.json.encode(value)
    connection = await ConnectionPool().acquire(engine.address)
    request = encode_request("POST", PATH, engine.address, HEADERS, body)
    await connection.exchange(request)
    return connection


async def read_all(connection: Connection, received: list[bytes]) -> None:
    async for part in connection.parts():
        received.append(part)


@pytest.fixture
async def engine(serve: Any) -> AsyncIterator[Any]:
    async with serve(Engine(OPTIONS, EngineFaults())) as client:
        yield client


@pytest.mark.parametrize("first", [0, 3])
@pytest.mark.parametrize("stream", [False, True])
async def test_response_is_complete(
    engine: Any, stream: bool, first: int
) -> None:
    fields = {"stream": stream, "max_tokens": 5, "resume_from": first}
    response = await chat(engine, **fields)
    expected = [f"m:{number}" for number in range(first, 5)]
    assert re.findall(r"m:\d+", response.text) == expected
    assert response.text.count('"completion_tokens":5') == 1
    assert response.text.endswith("data: [DONE]\n\n") == stream
    assert response.headers["X-Request-Id"] == "r1"
    ids = re.findall(r'"id":"([^"]*)"', response.text)
    assert ids == ["r1"] * (len(expected) + 1 if stream else 1)
    accounts = (await engine.get("/accounts"))["seconds_by_account"]
    slot_seconds = (await engine.get("/stats"))["slot_seconds"]
    assert accounts == {"m": pytest.approx(slot_seconds)}
    assert slot_seconds >= 0.00099 * len(expected)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"max_tokens": 0}, 400),
        ({"max_tokens": 3, "resume_from": 3}, 400),
        ({"messages": "hi"}, 400),
        ({"model": "other"}, 404),
    ],
)
async def test_bad_request(engine: Any, fields: Any, status: int) -> None:
    """Guards against running malformed requests."""
    assert (await chat(engine, **fields)).status_code == status
    assert (await engine.get("/stats"))["started"] == 0


async def test_closed_connection_cancels_the_request(engine: Any) -> None:
    """Guards against generating for clients that have disconnected."""
    (await open_stream(engine, ENDLESS)).close()
    await engine.wait_for("/stats", cancelled=1)
    await engine.wait_for("/load", running=0)


async def test_silence_affects_existing_streams_only(
    engine: Any, stays_pending: Any
) -> None:
    connection = await open_stream(engine, ENDLESS)
    await engine.inject(silent=True)
    assert (await chat(engine, max_tokens=3)).status_code == 200
    # Read what was sent before the fault; nothing may follow.
    received: list[bytes] = []
    reader = asyncio.create_task(read_all(connection, received))
    await asyncio.sleep(0.1)
    count = len(received)
    await stays_pending(reader)
    assert len(received) == count
    connection.close()


async def test_interrupted_stream_has_the_configured_number_of_events(
    engine: Any,
) -> None:
    await engine.inject(cut_after=2)
    received: list[bytes] = []
    with pytest.raises(ClientError, match="closed"):
        await read_all(await open_stream(engine, 50), received)
    assert b"".join(received).count(b"data: ") == 2
    await engine.wait_for("/stats", cancelled=1)


async def test_wrong_id_is_in_headers_and_body(engine: Any) -> None:
    await engine.inject(wrong_id=1)
    wrong = await chat(engine, max_tokens=1)
    right = await chat(engine, max_tokens=1)
    ids = [wrong.headers["X-Request-Id"], wrong.json()["id"]]
    assert (ids, right.json()["id"]) == ([WRONG_ID] * 2, "r1")


@pytest.mark.parametrize(
    ("faults", "codes", "runs"),
    [
        ({}, (200, 200), 1),
        ({"refuse": True}, (503, 503), 0),
        ({"leave": True}, (503, 200), 1),
    ],
)
async def test_refusal(engine: Any, faults: Any, codes: Any, runs: int) -> None:
    """Guards against a leaving engine that does not count late requests."""
    await engine.inject(**faults)
    health = await engine.send("GET", "/health")
    response = await chat(engine, max_tokens=1)
    assert (health.status_code, response.status_code) == codes
    stats = await engine.get("/stats")
    assert stats["started"] == runs
    assert stats["arrived_after_leave"] == int("leave" in faults)
    assert stats["runs_by_request_id"].get("r1", 0) == runs
