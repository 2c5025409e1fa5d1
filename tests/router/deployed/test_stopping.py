"""Tests of the graceful shutdown of a router on the platform."""

import asyncio

import pytest
from tests.router.deployed.conftest import Deployment

# The platform kills a process 8 s after the stop signal. A stream that starts
# later than 3 s after the signal may not end before that, so it must be
# refused. The test scales these times to a shorter grace period.
GRACE_SECONDS = 2.4
REFUSED_AFTER_SECONDS = 3.0 / 8.0 * GRACE_SECONDS


async def drain(deployment: Deployment) -> "asyncio.Task[None]":
    task = asyncio.create_task(deployment.apps[0].async_drain())
    await asyncio.sleep(0)
    return task


@pytest.mark.parametrize(
    ("path", "after_seconds", "status"),
    [
        ("/stream/1", 0.0, 200),
        ("/write/", 0.0, 200),
        ("/stream/1", REFUSED_AFTER_SECONDS, 503),
        ("/write/", REFUSED_AFTER_SECONDS, 503),
    ],
)
async def test_requests_are_taken_first_and_refused_later(
    served: Deployment, path: str, after_seconds: float, status: int
) -> None:
    """Guards against streams that are cut off when the process ends."""
    caller = await served.add_router(stop_grace_seconds=GRACE_SECONDS)
    task = await drain(served)
    await asyncio.sleep(after_seconds)
    response = await caller.call(path)
    assert response.status == status
    assert response.is_complete
    assert response.headers["connection"] == "close"
    if status == 503:
        assert float(response.headers["retry-after"]) > 0
    await task


async def test_stream_in_flight_is_finished(served: Deployment) -> None:
    for upstream in served.upstream_by_id.values():
        upstream.response_delay_seconds = 0.15
    caller = await served.add_router(stop_grace_seconds=1.0)
    call = asyncio.create_task(caller.call("/stream/1"))
    await asyncio.sleep(0.2)
    task = await drain(served)
    response = await call
    assert response.is_complete
    assert response.body.endswith(b"event 5\n\n")
    await task


async def test_router_that_stops_is_not_ready(served: Deployment) -> None:
    caller = await served.add_router()
    address = served.apps[0].settings.admin_address
    ready = f"GET /readyz HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
    caller.address = address
    assert (await caller.send(ready)).status == 200
    task = await drain(served)
    assert (await caller.send(ready)).status == 503
    await task


async def test_metrics_page_has_counters_and_histograms(
    served: Deployment,
) -> None:
    caller = await served.add_router()
    await caller.call("/stream/1")
    platform = served.apps[0].settings.platform
    assert platform is not None
    caller.address = platform.metrics_address
    page = await caller.send(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
    text = page.body.decode()
    assert 'lacewingspar_requests_total{outcome="answered"' in text
    assert "lacewingspar_first_part_seconds_bucket" in text
