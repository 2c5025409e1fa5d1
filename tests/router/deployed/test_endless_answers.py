"""Tests of upstream responses that never end."""

import asyncio

import pytest
from tests.router.deployed.conftest import Caller, Deployment

from lacewingspar_standins.deployed.upstream import ENDLESS_PARTS

# Most bytes of an endless response that the upstream may send: what the router
# reads before it aborts, and what the socket buffers hold.
MAX_SENT_BYTES = 16 * 1024 * 1024
# As many calls as the two upstreams run at once.
CALLS = 8
# Memory for the bodies of all responses.
RESPONSE_BYTES = 4 * 1024 * 1024
# What the buffers of one connection hold, with what is read before the end.
SOCKET_BYTES = 4 * 1024 * 1024


@pytest.mark.parametrize("path", ["/stream-once/x", "/write/x"])
@pytest.mark.parametrize("part", sorted(ENDLESS_PARTS))
async def test_endless_response_is_aborted_early(
    served: Deployment, part: str, path: str
) -> None:
    upstreams = served.upstream_by_id.values()
    for upstream in upstreams:
        upstream.faults.endless = part
    caller = await served.add_router()
    async with asyncio.timeout(10):
        response = await caller.call(path, budget_ms=8000)
    assert response.status in (200, 502)
    assert not response.is_complete or response.status == 502
    sent = sum(upstream.endless_bytes for upstream in upstreams)
    assert 0 < sent < MAX_SENT_BYTES


@pytest.mark.parametrize(
    ("part", "max_sent_bytes"),
    [
        ("event", CALLS * SOCKET_BYTES),
        ("sealed body", 2 * RESPONSE_BYTES + CALLS * SOCKET_BYTES),
    ],
)
async def test_endless_responses_that_come_at_once_are_bounded_together(
    served: Deployment, part: str, max_sent_bytes: int
) -> None:
    """Guards against a router that runs out of memory (review case 6).

    A response without a seal is of no use, however long it is. The rest share
    the memory for responses.
    """
    upstreams = served.upstream_by_id.values()
    for upstream in upstreams:
        upstream.faults.endless = part
    caller = await served.add_router(max_held_body_bytes=2 * RESPONSE_BYTES)
    async with asyncio.timeout(20):
        responses = await asyncio.gather(
            *(
                Caller(caller.address).call(
                    "/write/x", body=b"%d" % number, budget_ms=8000
                )
                for number in range(CALLS)
            )
        )
    assert {response.status for response in responses} == {502}
    sent = sum(upstream.endless_bytes for upstream in upstreams)
    assert 0 < sent < max_sent_bytes


async def test_endless_response_leaves_time_for_another_upstream(
    served: Deployment,
) -> None:
    served.upstream_by_id["p1"].faults.endless = "header lines"
    caller = await served.add_router()
    responses = [await caller.call("/read/x", "GET") for _ in range(4)]
    assert [response.status for response in responses] == [200] * 4
