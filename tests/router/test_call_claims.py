"""Calls with an idempotency key, end to end."""

import asyncio
from typing import Any

import pytest
from tests.router.conftest import (
    AUTHORIZED,
    FakeClaims,
    Router,
    responding,
    routed,
)

from lacewingspar_core.messages import SlotOutcome
from lacewingspar_router.components.claims.models import (
    ClaimAnswered,
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimUnavailable,
    ClaimUnknown,
)

KEYED = AUTHORIZED | {"idempotency-key": "key"}
BROKEN = responding(b"half", is_complete=False)
REFUSING = responding(status=503, headers={"x-not-run": "1"})
GOOD = responding(b"good", headers={"content-type": "text/x"})


async def pay(router: Router) -> Any:
    return await router.client.post("/services/swap/pay", headers=KEYED)


@pytest.mark.parametrize(
    ("decision", "status", "code", "run"),
    [
        (ClaimInProgress(), 409, "in_progress", "unknown"),
        (ClaimUnknown(), 409, "outcome_unknown", "unknown"),
        (ClaimKeyReused(), 422, "key_reused", "not_run"),
        (ClaimKeyExpired(), 409, "key_expired", "unknown"),
        (ClaimUnavailable(), 503, "claims_unavailable", "not_run"),
        (ClaimAnswered(200, "text/x", None), 409, "answer_not_kept", "ran"),
    ],
)
async def test_call_that_is_not_granted_is_not_sent(
    decision: ClaimDecision, status: int, code: str, run: str
) -> None:
    """Guards against a second run and against a wrong run state."""
    async with routed(GOOD) as router:
        router.claims.decision = decision
        response = await pay(router)
        error = response.json()["error"]
        assert (response.status_code, error["code"]) == (status, code)
        assert error["run"] == run
        assert router.scheduler.requests == []


async def test_first_response_is_replayed() -> None:
    async with routed(GOOD) as router:
        router.claims.decision = ClaimAnswered(201, "text/y", b"first")
        response = await pay(router)
        assert (response.status_code, response.content) == (201, b"first")
        assert response.headers["content-type"] == "text/y"
        assert router.scheduler.requests == []


@pytest.mark.parametrize(
    ("body", "kept"), [(b"good", b"good"), (b"x" * 8193, None)]
)
async def test_outcome_is_recorded(body: bytes, kept: bytes | None) -> None:
    upstream = responding(body, headers={"content-type": "text/x"})
    async with routed(upstream) as router:
        assert (await pay(router)).content == body
        assert router.claims.outcomes == [ClaimAnswered(200, "text/x", kept)]
        assert router.claims.released == 0


@pytest.mark.parametrize(
    ("upstream", "may_send", "confirmed", "code", "run", "releases"),
    [
        (GOOD, False, True, "claim_expired", "not_run", 1),
        (GOOD, False, False, "claim_expired", "unknown", 1),
        (REFUSING, True, True, "upstream_refused", "not_run", 1),
        (REFUSING, True, False, "upstream_refused", "unknown", 1),
        (
            responding(is_complete=False),
            True,
            True,
            "upstream_broken",
            "unknown",
            0,
        ),
        (
            responding(response_request_id="x"),
            True,
            True,
            "answer_mismatch",
            "unknown",
            0,
        ),
    ],
)
async def test_call_that_fails(
    upstream: Any,
    may_send: bool,
    confirmed: bool,
    code: str,
    run: str,
    releases: int,
) -> None:
    """Guards against `not_run` for a call that ran or a key still claimed."""
    async with routed(upstream, GOOD) as router:
        router.claims.may = may_send
        router.claims.release_confirmed = confirmed
        error = (await pay(router)).json()["error"]
        assert (error["code"], error["run"]) == (code, run)
        assert router.claims.released == releases
        # After sending, a release must confirm that the call has not run.
        assert router.claims.released_after_sending == releases * may_send
        assert len(router.scheduler.requests) == 1
        assert router.claims.outcomes == []


class SlowClaims(FakeClaims):
    """Delays decisions until the test sets `decide`."""

    def __init__(self) -> None:
        super().__init__()
        self.decide = asyncio.Event()
        self.claim_requested = asyncio.Event()

    async def async_claim(self, **call: Any) -> ClaimDecision:
        self.claim_requested.set()
        await self.decide.wait()
        return await super().async_claim(**call)


async def test_claim_granted_after_the_caller_left_is_released() -> None:
    """Guards against a key that stays claimed without a sent call."""
    claims = SlowClaims()
    async with routed(GOOD, claims=claims) as router:
        request = asyncio.create_task(pay(router))
        await claims.claim_requested.wait()
        request.cancel()
        await router.proxy.in_flight.async_wait_empty()
        claims.decide.set()
        await claims.was_released.wait()
        assert router.scheduler.requests == []


async def test_sent_call_continues_after_a_disconnect() -> None:
    """Guards against losing the outcome when the caller disconnects."""
    hold, called = asyncio.Event(), asyncio.Event()
    upstream = responding(b"good", hold=hold, called=called)
    async with routed(upstream) as router:
        request = asyncio.create_task(pay(router))
        await called.wait()
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)
        hold.set()
        await router.proxy.in_flight.async_wait_empty()
        assert [item.body for item in router.claims.outcomes] == [b"good"]
        outcomes = [outcome for _, outcome, _ in router.scheduler.released]
        assert outcomes == [SlotOutcome.COMPLETED]


class ExpiringClaims(FakeClaims):
    """The first claim expires before its call gets a slot."""

    def __init__(self) -> None:
        super().__init__()
        self.decision = ClaimGranted(3, 0.0)

    def may_send(self, claim: ClaimGranted) -> bool:
        return claim.claim_offset != 3

    async def async_release(self, claim: ClaimGranted, **how: bool) -> bool:
        self.decision = ClaimGranted(4, float("inf"))
        return await super().async_release(claim, **how)


@pytest.mark.parametrize("is_released", [True, False])
async def test_call_that_outlasts_its_claim_claims_again(
    is_released: bool,
) -> None:
    """An expired claim must not refuse a call long before its deadline.

    The key may be claimed again only after the first claim was released.
    """
    claims = ExpiringClaims()
    claims.release_confirmed = is_released
    async with routed(GOOD, claims=claims) as router:
        response = await pay(router)
        assert claims.released == 1
        if is_released:
            assert response.content == b"good"
        else:
            error = response.json()["error"]
            assert (error["code"], error["run"]) == ("claim_expired", "unknown")
