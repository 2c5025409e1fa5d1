"""Tests of requests whose first run failed and that find no other upstream."""

import pytest
from tests.router.deployed.conftest import Deployment, manifest
from tests.router.deployed.test_forwarding import STREAM

from lacewingspar_router.http1 import connection_pool
from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import ConnectionFailedError


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


@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, entry 3; issue 9")
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

    monkeypatch.setattr(connection_pool, "async_connect", async_connect_once)
    response = await caller.call("/stream/")
    assert (response.body, response.is_complete) == (STREAM, True)
    assert sum(len(engine.received) for engine in engines) == 2
