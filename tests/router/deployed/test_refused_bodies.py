"""Requests whose body finds no room in the memory of a router."""

import asyncio

from tests.router.deployed.conftest import (
    LIMITS,
    Caller,
    Deployment,
    manifest,
    until,
)

from lacewingspar_router.components.forwarding.refusals import (
    is_router_refusal,
)
from lacewingspar_standins.deployed.documents import request_bytes


async def test_refusal_says_when_to_come_back(deployment: Deployment) -> None:
    """Guards against callers that come back at once, and requests that run."""
    size = 700_000
    deployment.publish(manifest(limits=LIMITS | {"maxBodyBytes": size}))
    upstream = await deployment.add_upstream(
        "p1", "plain", response_delay_seconds=0.5
    )
    caller = await deployment.add_router(max_held_body_bytes=1024 * 1024)
    assert (await caller.call("/read/")).status == 200
    first = asyncio.create_task(caller.call("/write/", body=bytes(size)))
    await until(lambda: upstream.running == 1)
    refused = await Caller(caller.address).send(
        request_bytes("/write/", "refused", 3000, bytes(size))
    )
    assert refused.status == 503
    assert is_router_refusal(refused.status, refused.body)
    assert 0 < float(refused.headers["retry-after"]) < 3
    assert (await first).status == 200
    assert "refused" not in deployment.received_ids()
    assert (await caller.call("/write/", body=bytes(size))).status == 200
