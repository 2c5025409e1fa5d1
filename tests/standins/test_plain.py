"""Stand-in for a plain service."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from typing import Any

import httpx
import pytest

from lacewingspar_standins.plain import (
    PlainFaults,
    PlainOptions,
    PlainService,
)

OPTIONS = PlainOptions(slots=1, work_seconds=0, load_lag_seconds=0)
BODY = b'"body"'
DIGEST = hashlib.sha256(BODY).hexdigest()


class Gate:
    """Lets calls that ask for work run until a test lets them end."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def work(self, seconds: float) -> None:
        if seconds:
            await self.opened.wait()


@pytest.fixture
def gate() -> Gate:
    return Gate()


@pytest.fixture
async def plain(serve: Any, gate: Gate) -> AsyncIterator[Any]:
    service = PlainService(OPTIONS, PlainFaults(), gate.work)
    async with serve(service) as client:
        yield client


async def call(plain: Any, **headers: str) -> httpx.Response:
    answer: httpx.Response = await plain.send("POST", "/a", "body", **headers)
    return answer


def start_work(plain: Any) -> asyncio.Task[httpx.Response]:
    return asyncio.create_task(call(plain, **{"X-Work-Ms": "1"}))


async def test_runs_are_counted_by_key_and_digest(plain: Any) -> None:
    """Guards against a second run that no count shows."""
    headers = {"Idempotency-Key": "k", "X-Request-Id": "r"}
    answers = [await call(plain, **headers), await call(plain)]
    assert [answer.json()["run"] for answer in answers] == [1, 2]
    assert answers[0].json()["digest"] == DIGEST
    assert answers[0].headers["X-Request-Id"] == "r"
    assert await plain.get("/_runs") == {
        "total": 2,
        "by_key": {"k": 1},
        "by_digest": {DIGEST: 2},
        "by_request_id": {"r": 1},
    }


async def test_lost_reply_has_run(plain: Any) -> None:
    await plain.inject(lose_replies=1)
    with pytest.raises(httpx.RemoteProtocolError):
        await call(plain)
    assert (await plain.get("/_runs"))["total"] == 1


@pytest.mark.parametrize(
    ("faults", "headers", "status"),
    [({"refuse": True}, {}, 503), ({}, {"X-Work-Ms": "long"}, 400)],
)
async def test_refused_call_does_not_run(
    plain: Any, faults: Any, headers: Any, status: int
) -> None:
    await plain.inject(**faults)
    assert (await call(plain, **headers)).status_code == status
    assert (await plain.get("/_runs"))["total"] == 0


async def test_waiting_call_of_a_gone_client_does_not_run(
    plain: Any, gate: Gate
) -> None:
    first = start_work(plain)
    await plain.wait_for("/load", running=1, waiting=0)
    second = start_work(plain)
    await plain.wait_for("/load", running=1, waiting=1)
    second.cancel()
    await asyncio.gather(second, return_exceptions=True)
    # The service must see the connection close before the slot gets free.
    await asyncio.sleep(0.1)
    gate.opened.set()
    assert (await first).status_code == 200
    await plain.wait_for("/load", running=0, waiting=0)
    assert (await plain.get("/_runs"))["total"] == 1


async def test_silence_ends_old_calls_only(
    plain: Any, gate: Gate, stays_pending: Any
) -> None:
    old = start_work(plain)
    await plain.wait_for("/load", running=1)
    await plain.inject(silent=True)
    gate.opened.set()
    assert (await call(plain)).status_code == 200
    await stays_pending(old)
