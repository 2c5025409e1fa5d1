"""Tests of streams whose end is the end of their connection."""

import asyncio

import pytest
from tests.router.deployed.conftest import Deployment, until
from tests.router.deployed.test_forwarding import STREAM


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_whole_unframed_stream_is_delivered(
    served: Deployment, path: str
) -> None:
    caller = await served.add_router()
    for engine in served.upstream_by_id.values():
        engine.faults.unframed = True
    response = await caller.call(path)
    assert (response.status, response.is_complete) == (200, True)
    assert response.body == STREAM


@pytest.mark.parametrize(
    ("path", "events", "status", "is_complete"),
    [
        ("/stream/", 0, 200, True),
        ("/stream/", 3, 200, True),
        ("/stream-once/", 0, 502, True),
        ("/stream-once/", 3, 200, False),
    ],
)
async def test_unframed_stream_that_ends_in_a_crash_is_not_complete(
    served: Deployment, path: str, events: int, status: int, is_complete: bool
) -> None:
    """Guards against a crash between two events that looks like the end."""
    caller = await served.add_router()
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.faults.unframed = engine.faults.crash_cleanly = True
        engine.faults.pause_after_events = events
        engine.faults.pause_seconds = 0.3
    call = asyncio.create_task(caller.call(path))
    await until(lambda: any(engine.running for engine in engines))
    (crashing,) = [engine for engine in engines if engine.running]
    await asyncio.sleep(0.1)
    crashing.crash()
    response = await call
    assert (response.status, response.is_complete) == (status, is_complete)
    if is_complete and status == 200:
        assert response.body == STREAM
