"""Calls in tests of what upstreams announce."""

import asyncio

from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    ReceivedResponse,
)

from lacewingspar_standins.deployed.upstream import Upstream

PATHS = ["/read/", "/write/", "/stream/1", "/stream-once/1"]


def both(deployment: Deployment, path: str) -> tuple[Upstream, Upstream]:
    """Return the two upstreams of a path."""
    letter = "e" if "stream" in path else "p"
    known = deployment.upstream_by_id
    return known[f"{letter}1"], known[f"{letter}2"]


async def call_at_once(
    caller: Caller, path: str, count: int = 6
) -> list[ReceivedResponse]:
    """Send concurrent calls, so that each upstream gets some of them."""
    return await asyncio.gather(*(caller.call(path) for _ in range(count)))


async def async_reach(caller: Caller, path: str, upstream: Upstream) -> None:
    """Send calls until an upstream has responded to one."""
    before = len(upstream.received)
    async with asyncio.timeout(10):
        while len(upstream.received) == before:
            await call_at_once(caller, path)


async def async_load(
    callers: list[Caller], path: str, seconds: float
) -> list[ReceivedResponse]:
    """Keep six callers at a time busy, and return all responses."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    responses: list[ReceivedResponse] = []

    async def call_until_end(caller: Caller) -> None:
        while loop.time() < ends_at:
            responses.append(await caller.call(path))
            await asyncio.sleep(0.02)

    await asyncio.gather(
        *(call_until_end(callers[n % len(callers)]) for n in range(6))
    )
    return responses


def served_share(responses: list[ReceivedResponse]) -> float:
    complete = [r.status == 200 and r.is_complete for r in responses]
    return sum(complete) / len(complete)
