"""Tests of requests whose first run failed and that find no other upstream."""

import asyncio

import pytest
import structlog
from tests.router.deployed.conftest import Deployment, manifest, until
from tests.router.deployed.test_forwarding import STREAM

from lacewingspar_core.continuation_pacing import MAX_ASKS
from lacewingspar_router.components.forwarding import crash_guard
from lacewingspar_router.http1 import connection_pool
from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import ConnectionFailedError
from lacewingspar_standins.deployed.documents import SLOTS


@pytest.mark.parametrize(
    ("path", "service", "faults"),
    [
        ("/stream/", "engines", {"break_after_events": 0}),
        ("/read/", "plain", {"unframed": True, "reset_unframed": True}),
    ],
)
async def test_request_that_has_run_is_not_refused_as_not_run(
    deployment: Deployment, path: str, service: str, faults: dict[str, object]
) -> None:
    """Guards against a status that promises that a request has not run."""
    deployment.publish(manifest())
    upstream = await deployment.add_upstream("u1", service)
    caller = await deployment.add_router()
    for name, value in faults.items():
        setattr(upstream.faults, name, value)
    response = await caller.call(path)
    assert upstream.runs.total() > 0
    assert response.status == 502


async def test_unreachable_upstream_costs_no_retry(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams cut for want of a budget that is not used."""
    await served.add_upstream("e3", "engines")
    caller = await served.add_router(retry_ratio=0.0, retry_allowance=2.0)
    engines = [served.upstream_by_id[name] for name in ("e1", "e2", "e3")]
    for engine in engines:
        engine.faults.break_after_events = 2
    connections = 0

    async def async_connect_once(address: str) -> ClientConnection:
        nonlocal connections
        connections += 1
        if connections == 2:
            for engine in engines:
                engine.faults.break_after_events = -1
            raise ConnectionFailedError("refused")
        return await async_connect(address)

    monkeypatch.setattr(connection_pool, "async_connect", async_connect_once)
    response = await caller.call("/stream/")
    assert (response.status, response.is_complete) == (200, True)
    assert sum(len(engine.received) for engine in engines) == 2


@pytest.mark.parametrize("other", ["none", "unreachable"])
async def test_stream_goes_on_at_an_upstream_that_broke_off_once(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch, other: str
) -> None:
    """Guards against streams cut while attempts and time are left."""
    deployment.publish(manifest())
    names = ["e1"] if other == "none" else ["e1", "e2"]
    engines = [await deployment.add_upstream(n, "engines") for n in names]
    caller = await deployment.add_router()
    for engine in engines:
        engine.faults.break_after_events = 2
    addresses: list[str] = []

    async def async_connect_once(address: str) -> ClientConnection:
        addresses.append(address)
        if len(addresses) > 1:
            for engine in engines:
                engine.faults.break_after_events = -1
        if address != addresses[0]:
            raise ConnectionFailedError("refused")
        return await async_connect(address)

    # The check for a crash keeps its connection for the next request.
    for module in (connection_pool, crash_guard):
        monkeypatch.setattr(module, "async_connect", async_connect_once)
    response = await caller.call("/stream/")
    assert (response.body, response.is_complete) == (STREAM, True)
    assert sum(len(engine.received) for engine in engines) == 2


async def test_streams_go_on_after_their_only_upstream_broke_all_off(
    deployment: Deployment,
) -> None:
    """Guards against streams cut as a pool declines all of them at once."""
    deployment.publish(manifest())
    upstream = await deployment.add_upstream(
        "e1", "engines", response_delay_seconds=0.1
    )
    caller = await deployment.add_router(retry_allowance=100.0)
    calls = [asyncio.create_task(caller.call("/stream/")) for _ in range(SLOTS)]
    await until(lambda: len(upstream.received) == SLOTS)
    await asyncio.sleep(0.25)
    for connection in list(upstream.open_connections):
        connection.reset()
    responses = await asyncio.gather(*calls)
    assert {item.body for item in responses} == {STREAM}
    assert all(item.is_complete for item in responses)
    assert len(upstream.received) == 2 * SLOTS


async def test_stream_that_its_pool_declines_ends_after_some_asks(
    deployment: Deployment,
) -> None:
    """Guards against callers that wait for the deadline of a lost stream."""
    deployment.publish(manifest())
    upstream = await deployment.add_upstream("e1", "engines")
    caller = await deployment.add_router()
    upstream.faults.break_after_events = 2
    started = asyncio.get_running_loop().time()
    with structlog.testing.capture_logs() as lines:
        call = asyncio.create_task(caller.call("/stream/", budget_ms=9000))
        await until(lambda: bool(upstream.received))
        await upstream.async_stop()
        response = await call
    assert not response.is_complete
    asked = [
        line["asked"]
        for line in lines
        if line["event"] == "continuation declined; asking again"
    ]
    assert asked == list(range(len(asked)))
    assert 0 < len(asked) <= MAX_ASKS
    assert asyncio.get_running_loop().time() - started < 5.0
