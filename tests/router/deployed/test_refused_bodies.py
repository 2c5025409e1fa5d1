"""Requests whose body finds no room in the memory of a router."""

import asyncio

import pytest
import structlog
from tests.router.deployed.conftest import (
    LIMITS,
    Caller,
    Deployment,
    async_add_overloaded_router,
    manifest,
    until,
)

from lacewingspar_router.components.forwarding.refusals import (
    is_router_refusal,
)
from lacewingspar_standins.deployed.documents import request_bytes
from lacewingspar_standins.deployed.upstream import Upstream

SIZE = 700_000
# Room for one body of this size.
MAX_BYTES = 1024 * 1024


async def async_add_slow_upstream(deployment: Deployment) -> Upstream:
    """Publish a configuration and start the only upstream."""
    deployment.publish(manifest(limits=LIMITS | {"maxBodyBytes": SIZE}))
    return await deployment.add_upstream(
        "p1", "plain", response_delay_seconds=0.5
    )


async def test_refusal_says_when_to_come_back(deployment: Deployment) -> None:
    """Guards against callers that come back at once, and requests that run."""
    upstream = await async_add_slow_upstream(deployment)
    caller = await deployment.add_router(max_held_body_bytes=MAX_BYTES)
    assert (await caller.call("/read/")).status == 200
    first = asyncio.create_task(caller.call("/write/", body=bytes(SIZE)))
    await until(lambda: upstream.running == 1)
    refused = await Caller(caller.address).send(
        request_bytes("/write/", "refused", 3000, bytes(SIZE))
    )
    assert refused.status == 503
    assert is_router_refusal(refused.status, refused.body)
    assert 0 < float(refused.headers["retry-after"]) < 3
    assert (await first).status == 200
    assert "refused" not in deployment.received_ids()
    assert (await caller.call("/write/", body=bytes(SIZE))).status == 200


async def test_request_that_a_neighbour_has_no_room_for_is_served(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a neighbour's refusal that reaches the caller."""
    upstream = await async_add_slow_upstream(deployment)
    caller = await async_add_overloaded_router(
        deployment, monkeypatch, max_held_body_bytes=MAX_BYTES
    )
    neighbour = Caller(deployment.apps[1].settings.caller_address)
    first = asyncio.create_task(neighbour.call("/write/", body=bytes(SIZE)))
    await until(lambda: upstream.running == 1)
    with structlog.testing.capture_logs() as lines:
        response = await caller.call("/write/", body=bytes(SIZE))
    assert (response.status, (await first).status) == (200, 200)
    outcomes = [
        line["outcome"]
        for line in lines
        if line["event"] == "request handed over"
    ]
    assert outcomes == ["not_taken"]
