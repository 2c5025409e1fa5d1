"""Short soak with upstreams that pause, break and refuse."""

import asyncio
import random

import pytest
import structlog
from tests.router.deployed.conftest import Caller, Deployment, until
from tests.router.deployed.test_silent_upstreams import (
    STREAM,
    add_engines,
    events,
)

from lacewingspar_standins.deployed.upstream import Upstream

SOAK_SECONDS = 6.0


async def disturb(upstreams: list[Upstream], generator: random.Random) -> None:
    """Change the faults of one upstream after the other."""
    while True:
        await asyncio.sleep(generator.uniform(0.1, 0.5))
        faults = generator.choice(upstreams).faults
        faults.pause_after_events = generator.choice([-1, 0, 2, 5])
        faults.pause_seconds = generator.choice([0.6, 1.1, 1.3, 1.6, 3.0])
        faults.break_after_events = generator.choice([-1, -1, -1, 0, 4])
        faults.cut_event = generator.random() < 0.5
        faults.refuse = generator.random() < 0.1


async def call_in_turn(caller: Caller, generator: random.Random) -> None:
    """Send streams, some of which the caller abandons."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SOAK_SECONDS
    while loop.time() < end:
        patience = generator.choice([0.3, 1.2, 60.0, 60.0, 60.0])
        budget_ms = generator.choice([2000, 5000])
        try:
            async with asyncio.timeout(patience):
                response = await caller.call("/stream/1", budget_ms=budget_ms)
        except TimeoutError:
            continue
        if response.status != 200:
            await asyncio.sleep(0.2)
        else:
            assert STREAM.startswith(response.body)
            assert not response.is_complete or response.body == STREAM


@pytest.mark.parametrize("seed", [1])
async def test_pauses_and_breaks_leave_streams_in_order(
    deployment: Deployment, seed: int
) -> None:
    """Guards against events twice or missing, and runs without a caller."""
    generator = random.Random(seed)
    upstreams = await add_engines(deployment, 3, maxAttempts=3)
    callers = [
        await deployment.add_router(name, retry_allowance=12.0)
        for name in ("r1", "r2")
    ]
    await asyncio.gather(*(caller.call("/read/") for caller in callers))
    disturbing = asyncio.create_task(disturb(upstreams, generator))
    with structlog.testing.capture_logs() as lines:
        await asyncio.gather(
            *(
                call_in_turn(callers[number % 2], generator)
                for number in range(12)
            )
        )
        disturbing.cancel()
    assert events(lines, "upstream silent")
    assert not [line for line in lines if line["log_level"] == "error"]
    await until(lambda: not any(item.running for item in upstreams))
