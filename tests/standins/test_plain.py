"""Tests of the plain service stand-in."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import httpx
import pytest

from lacewingspar_standins.plain import PlainFaults, PlainOptions, PlainService

OPTIONS = PlainOptions(slots=1, work_seconds=0, load_lag_seconds=0)
BODY = b'"body"'
DIGEST = hashlib.sha256(BODY).hexdigest()


@pytest.fixture
def gate() -> asyncio.Event:
    """Return an event that calls with a work time wait for."""
    return asyncio.Event()


@pytest.fixture
async def plain(serve: Any, gate: asyncio.Event) -> AsyncIterator[Any]:
    async def work(seconds: float) -> None:
        if seconds:
            await gate.wait()

    async with serve(PlainService(OPTIONS, PlainFaults(), work)) as client:
        yield client


async def call(plain: Any, **headers: str) -> Any:
    return await plain.send("POST", "/a", "body", **headers)


def start_work(plain: Any) -> asyncio.Task[Any]:
    return asyncio.create_task(call(plain, **{"X-Work-Ms": "1"}))


async def test_runs_are_counted_by_key_and_digest(plain: Any) -> None:
    """Guards against a second run that is not counted."""
    headers = {"Idempotency-Key": "k", "X-Request-Id": "r"}
    responses = [await call(plain, **headers), await call(plain)]
    assert [response.json()["run"] for response in responses] == [1, 2]
    assert responses[0].json()["digest"] == DIGEST
    assert responses[0].headers["X-Request-Id"] == "r"
    assert await plain.get("/_runs") == {
        "arrived": 2,
        "total": 2,
        "by_key": {"k": 1},
        "by_digest": {DIGEST: 2},
        "by_request_id": {"r": 1},
    }


async def test_slot_time_goes_to_the_account_of_the_marker(plain: Any) -> None:
    """Guards against a fairness measurement that misses plain calls."""
    await plain.send("POST", "/a", {"marker": "tenant.1.2"})
    await call(plain)
    accounts = (await plain.get("/accounts"))["seconds_by_account"]
    assert set(accounts) == {"tenant", ""}


async def test_lost_reply_has_run(plain: Any) -> None:
    await plain.inject(lose_replies=1)
    with pytest.raises(httpx.RemoteProtocolError):
        await call(plain)
    assert (await plain.get("/_runs"))["total"] == 1


@pytest.mark.parametrize(
    ("faults", "head", "status"),
    [({"refuse": True}, {}, 503), ({}, {"X-Work-Ms": "long"}, 400)],
)
async def test_refusal(plain: Any, faults: Any, head: Any, status: int) -> None:
    """Guards against running refused calls."""
    await plain.inject(**faults)
    assert (await call(plain, **head)).status_code == status
    assert (await plain.get("/_runs"))["total"] == 0


async def test_waiting_call_of_a_disconnected_client(
    plain: Any, gate: Any
) -> None:
    """Guards against running a call whose client has disconnected."""
    first = start_work(plain)
    await plain.wait_for("/load", running=1, waiting=0)
    second = start_work(plain)
    await plain.wait_for("/load", running=1, waiting=1)
    second.cancel()
    await asyncio.gather(second, return_exceptions=True)
    # The service must see the closed connection before a slot is free.
    await asyncio.sleep(0.1)
    gate.set()
    assert (await first).status_code == 200
    await plain.wait_for("/load", running=0, waiting=0)
    assert (await plain.get("/_runs"))["total"] == 1


async def test_silence(plain: Any, gate: Any, stays_pending: Any) -> None:
    old = start_work(plain)
    await plain.wait_for("/load", running=1)
    await plain.inject(silent=True)
    gate.set()
    assert (await call(plain)).status_code == 200
    await stays_pending(old)


async def test_runs_survive_a_restart(serve: Any, tmp_path: Path) -> None:
    """Guards against losing the counted runs when the process is killed."""
    options = replace(OPTIONS, runs_file=tmp_path / "runs")
    for runs in (1, 2):
        async with serve(PlainService(options, PlainFaults())) as client:
            await call(client, **{"Idempotency-Key": "k", "X-Work-Ms": "0"})
            response = await client.get("/_runs")
        assert response["by_key"] == {"k": runs}
        assert response["arrived"] == 1
