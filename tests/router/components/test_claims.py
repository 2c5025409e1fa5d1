"""Claim registry on top of the claim stream."""

import asyncio
import uuid
from collections.abc import Callable
from typing import Any

import httpx
import pytest

from lacewingspar_core.claims import (
    Claim,
    Release,
    claim_key,
    decode_record,
    encode_record,
)
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.platform import STREAM_CLAIMS
from lacewingspar_router.components.claims import async_setup, models, registry

RESPONSE = models.ClaimAnswered(200, "text/plain", b"ok")


@pytest.fixture(autouse=True)
def short_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "RETRY_DELAY_SECONDS", 0.005)


@pytest.fixture
def start(make_app: Any, until: Any) -> Callable[..., Any]:
    """Return a function that starts a router and reads the claim stream."""

    async def start_router(router_id: str = "r1") -> Any:
        app = make_app(router_id)
        await async_setup(app)
        claims = app.get(models.CLAIMS)
        await until(lambda: claims._is_current)
        return claims

    return start_router


def claim(claims: Any, key: str = "k", digest: bytes = b"d") -> Any:
    return claims.async_claim(
        service="s", workspace="w", key=key, digest=digest
    )


def records(fake_log: Any) -> list[Any]:
    stored = fake_log.records_by_stream.get(STREAM_CLAIMS, [])
    return [decode_record(record.data) for record in stored]


async def test_granted_claim_may_be_sent_once(start) -> None:
    claims = await start()
    granted = await claim(claims)
    assert isinstance(granted, models.ClaimGranted)
    assert claims.may_send(granted)
    assert not claims.may_send(granted)
    assert not await claims.async_release(granted)


async def test_frozen_router_does_not_send(start, monkeypatch) -> None:
    """A process that was suspended must not use its expired claim."""
    claims = await start()
    granted = await claim(claims)
    monkeypatch.setattr(claims._app, "now", lambda: granted.send_before)
    assert not claims.may_send(granted)


async def test_other_attempts_get_the_first_response(start, until) -> None:
    first, second = await start("r1"), await start("r2")
    granted = await claim(first)
    assert first.may_send(granted)
    assert await claim(first) == models.ClaimInProgress()
    await until(lambda: len(second._state) == 1)
    assert await claim(second) == models.ClaimInProgress()
    assert await claim(second, digest=b"other") == models.ClaimKeyReused()
    first.record_outcome(granted, RESPONSE)
    await until(lambda: second._state.entry_by_offset(0).outcome)
    assert await claim(first) == RESPONSE
    assert await claim(second) == RESPONSE


async def test_large_response_is_recorded_without_body(start, until) -> None:
    claims = await start()
    granted = await claim(claims)
    large = models.ClaimAnswered(200, "text/plain", b"x" * 9000)
    claims.record_outcome(granted, large)
    await until(lambda: claims._state.entry_by_offset(0).outcome)
    assert await claim(claims) == models.ClaimAnswered(200, "text/plain", None)


async def test_racing_claims_have_one_winner(start, fake_log, until) -> None:
    """Guards against two routers that send the same call."""
    routers = [await start("r1"), await start("r2")]
    results = await asyncio.gather(*(claim(router) for router in routers))
    assert sorted(type(r).__name__ for r in results) == [
        "ClaimGranted",
        "ClaimInProgress",
    ]
    await until(lambda: Release(1) in records(fake_log))


async def test_released_key_can_be_claimed_again(start, until) -> None:
    first, second = await start("r1"), await start("r2")
    granted = await claim(first)
    assert await first.async_release(granted)
    assert not first.may_send(granted)
    await until(lambda: second._state.next_offset == 2)
    assert isinstance(await claim(second), models.ClaimGranted)


async def test_claim_of_a_dead_router_is_unknown(start, fake_log) -> None:
    """Guards against a second run after a router crash.

    The claim may belong to another router or to an earlier instance of the same
    router.
    """
    instances = [RouterInstance("gone", 1), RouterInstance("r1", 1)]
    for instance in instances:
        key = claim_key("s", "w", instance.router_id)
        record = encode_record(Claim(key, b"d", instance, 1))
        fake_log.append(STREAM_CLAIMS, record)
    claims = await start("r1")
    for instance in instances:
        assert await claim(claims, instance.router_id) == models.ClaimUnknown()


@pytest.mark.parametrize(
    "fault", [httpx.ReadTimeout("lost"), httpx.RemoteProtocolError("closed")]
)
async def test_lost_append_reply(start, fake_log, fault) -> None:
    """Guards against refusing a call whose claim was written."""
    claims = await start()
    fake_log.append_fault, fake_log.is_written = fault, True
    assert isinstance(await claim(claims), models.ClaimGranted)


async def test_late_claim_is_released(
    start, fake_log, until, monkeypatch
) -> None:
    """Guards against a key that is blocked by a claim that timed out."""
    claims = await start()
    monkeypatch.setattr(registry, "CLAIM_TIMEOUT_SECONDS", 0.02)
    fake_log.gate.clear()
    assert await claim(claims) == models.ClaimUnavailable()
    fake_log.gate.set()
    await until(lambda: Release(0) in records(fake_log))


async def test_cancelled_claim_is_released(start, fake_log, until) -> None:
    claims = await start()
    fake_log.gate.clear()
    task = asyncio.create_task(claim(claims))
    await asyncio.sleep(0.01)
    task.cancel()
    fake_log.gate.set()
    await until(lambda: Release(0) in records(fake_log))


async def test_log_down(start, fake_log, until) -> None:
    """Guards against granting a new key while the log is unavailable."""
    claims = await start()
    granted = await claim(claims, "known")
    claims.record_outcome(granted, RESPONSE)
    await until(lambda: claims._state.entry_by_offset(0).outcome)
    fake_log.append_fault = 503
    assert await claim(claims) == models.ClaimUnavailable()
    fake_log.is_down = True
    fake_log.append(STREAM_CLAIMS, b"")
    await until(lambda: not claims._is_current)
    assert await claim(claims) == models.ClaimUnavailable()
    assert await claim(claims, "known") == RESPONSE
    fake_log.is_down = False
    await until(lambda: claims._is_current)
    assert isinstance(await claim(claims), models.ClaimGranted)


async def test_router_that_has_not_read_the_stream_refuses(make_app) -> None:
    app = make_app()
    await async_setup(app)
    assert await claim(app.get(models.CLAIMS)) == models.ClaimUnavailable()


async def test_outcome_is_written_after_an_outage(
    start, fake_log, until
) -> None:
    """Guards against losing the first response with one failed append."""
    claims = await start()
    granted = await claim(claims)
    fake_log.append_fault = httpx.ReadTimeout("lost")
    claims.record_outcome(granted, RESPONSE)
    await until(lambda: claims._state.entry_by_offset(0).outcome)


@pytest.mark.parametrize(("age_windows", "is_expired"), [(1, True), (0, False)])
async def test_key_older_than_the_window(
    start, fake_log, age_windows, is_expired
) -> None:
    claims = await start()
    window_ms = fake_log.retention_ms // 2
    time_ms = fake_log.now_ms - age_windows * window_ms
    key = uuid.UUID(int=time_ms << 80 | 7 << 76 | 2 << 62)
    decision = await claim(claims, str(key))
    assert isinstance(decision, models.ClaimKeyExpired) is is_expired


async def test_claim_of_a_call_that_failed_to_start_is_released(start) -> None:
    """Guards against a key that is blocked although the call did not run."""
    claims = await start()
    granted = await claim(claims)
    assert claims.may_send(granted)
    assert await claims.async_release(granted, was_sent=True)
    assert isinstance(await claim(claims), models.ClaimGranted)
