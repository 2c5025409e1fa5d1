"""Stand-in for a model engine."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpx
import msgspec
import pytest

from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.engine import WRONG_ID, Engine
from lacewingspar_standins.engine_options import EngineFaults, EngineOptions
from lacewingspar_standins.http_client import (
    ClientError,
    ConnectionPool,
    encode_request,
)

OPTIONS = EngineOptions(
    batch=BatchOptions(
        slots=2, step_seconds=0.001, prompt_token_seconds=0, load_lag_seconds=0
    )
)
ENDLESS = 1_000_000
PATH = "/v1/chat/completions"


def chat_body(**fields: Any) -> dict[str, Any]:
    message = {"role": "user", "content": "hi marker=m"}
    return {"model": "model", "messages": [message], **fields}


async def chat(engine: Any, **fields: Any) -> httpx.Response:
    headers = {"X-Request-Id": "r1"}
    answer: httpx.Response = await engine.send(
        "POST", PATH, chat_body(**fields), **headers
    )
    return answer


@asynccontextmanager
async def open_stream(engine: Any, max_tokens: int) -> AsyncIterator[Any]:
    """Open a stream and yield its body as it arrives."""
    body = msgspec.json.encode(chat_body(stream=True, max_tokens=max_tokens))
    connection = await ConnectionPool().take(engine.address)
    await connection.exchange(
        encode_request("POST", PATH, engine.address, {}, body)
    )
    yield connection.parts()
    connection.close()


async def read_all(parts: AsyncIterator[bytes], received: list[bytes]) -> None:
    async for part in parts:
        received.append(part)


@pytest.fixture
async def engine(serve: Any) -> AsyncIterator[Any]:
    async with serve(Engine(OPTIONS, EngineFaults())) as client:
        yield client


@pytest.mark.parametrize("resume_from", [0, 3])
async def test_whole_answer_has_all_tokens_and_usage(
    engine: Any, resume_from: int
) -> None:
    answer = await chat(engine, max_tokens=5, resume_from=resume_from)
    value = answer.json()
    expected = "".join(f"m:{number} " for number in range(resume_from, 5))
    assert value["choices"][0]["message"]["content"] == expected
    assert value["usage"]["completion_tokens"] == 5
    assert (answer.headers["X-Request-Id"], value["id"]) == ("r1", "r1")


@pytest.mark.parametrize("resume_from", [0, 3])
async def test_stream_has_all_tokens_and_ends_with_its_marker(
    engine: Any, resume_from: int
) -> None:
    answer = await chat(
        engine, stream=True, max_tokens=5, resume_from=resume_from
    )
    events = answer.text.strip().split("\n\n")
    tokens = [event for event in events if '"content"' in event]
    assert len(tokens) == 5 - resume_from
    for number, event in enumerate(tokens, start=resume_from):
        assert f'"m:{number} "' in event
    assert '"completion_tokens":5' in events[-2]
    assert events[-1] == "data: [DONE]"
    assert answer.headers["X-Request-Id"] == "r1"


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"max_tokens": 0}, 400),
        ({"max_tokens": 3, "resume_from": 3}, 400),
        ({"messages": "hi"}, 400),
        ({"model": "other"}, 404),
    ],
)
async def test_bad_request_is_refused_without_running(
    engine: Any, fields: dict[str, Any], status: int
) -> None:
    assert (await chat(engine, **fields)).status_code == status
    assert (await engine.get("/stats"))["started"] == 0


async def test_closed_connection_cancels_the_request(engine: Any) -> None:
    """Guards against engines that keep generating for clients that left."""
    async with open_stream(engine, ENDLESS) as parts:
        await anext(parts)
    await engine.wait_for("/stats", cancelled=1)
    await engine.wait_for("/load", running=0)


async def test_silence_ends_old_streams_only(
    engine: Any, stays_pending: Any
) -> None:
    async with open_stream(engine, ENDLESS) as parts:
        await anext(parts)
        await engine.inject(silent=True)
        assert (await chat(engine, max_tokens=3)).status_code == 200
        # What was sent before the fault is read first; then nothing comes.
        received: list[bytes] = []
        reader = asyncio.create_task(read_all(parts, received))
        await asyncio.sleep(0.1)
        count = len(received)
        await stays_pending(reader)
        assert len(received) == count


async def test_cut_stream_has_the_stated_number_of_events(engine: Any) -> None:
    await engine.inject(cut_after=2)
    received: list[bytes] = []
    async with open_stream(engine, 50) as parts:
        with pytest.raises(ClientError, match="closed"):
            await read_all(parts, received)
    assert b"".join(received).count(b"data: ") == 2
    await engine.wait_for("/stats", cancelled=1)


async def test_wrong_id_is_in_headers_and_body(engine: Any) -> None:
    await engine.inject(wrong_id=1)
    wrong = await chat(engine, max_tokens=1)
    right = await chat(engine, max_tokens=1)
    assert (wrong.headers["X-Request-Id"], wrong.json()["id"]) == (
        WRONG_ID,
        WRONG_ID,
    )
    assert right.json()["id"] == "r1"


@pytest.mark.parametrize(
    ("faults", "health", "status", "started"),
    [
        ({}, 200, 200, 1),
        ({"refuse": True}, 503, 503, 0),
        ({"leave": True}, 503, 200, 1),
    ],
)
async def test_refusing_and_leaving_engines(
    engine: Any,
    faults: dict[str, Any],
    health: int,
    status: int,
    started: int,
) -> None:
    await engine.inject(**faults)
    answer = await engine.send("GET", "/health")
    assert answer.status_code == health
    assert (await chat(engine, max_tokens=1)).status_code == status
    stats = await engine.get("/stats")
    assert stats["started"] == started
    assert stats["arrived_after_leave"] == int("leave" in faults)
    assert stats["runs_by_request_id"].get("r1", 0) == started
