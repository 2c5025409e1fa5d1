"""Tests of requests that a router hands over to a neighbour."""

import asyncio

import pytest
import structlog
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    stream_bytes,
    until,
)

from lacewingspar_core.messages import RouterState
from lacewingspar_router.components.forwarding import hand_over
from lacewingspar_router.components.forwarding.retry_budgets import RetryBudgets
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.hand_over_tokens import HAND_OVER_TOKENS
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import ConnectionBrokenError
from lacewingspar_router.http1.messages import ResponseHead
from lacewingspar_standins.deployed.documents import (
    KEY,
    LIMITS,
    manifest,
    request_bytes,
    route,
)


@pytest.mark.parametrize(
    ("path", "method", "body"),
    [
        ("/stream/x", "POST", b"prompt"),
        ("/stream-once/x", "POST", b""),
        ("/read/x?y=1", "GET", b""),
        ("/write/x", "POST", b"order"),
    ],
)
async def test_request_passes_unchanged(
    served: Deployment,
    overloaded_caller: Caller,
    path: str,
    method: str,
    body: bytes,
) -> None:
    """Guards against a workspace limited to the capacity of one entry VM."""
    with structlog.testing.capture_logs() as lines:
        response = await overloaded_caller.call(
            path, method, body, x_other="kept", x_tenant="forged"
        )
    assert response.status == 200
    assert response.is_complete
    assert response.headers["x-server-seal"] == "seal"
    (line,) = [item for item in lines if item["event"] == "request handed over"]
    assert line["neighbour"] == "r2"
    assert line["outcome"] == "answered"
    received = [
        request
        for upstream in served.upstream_by_id.values()
        for request in upstream.received
    ]
    (request,) = received
    assert (request.method, request.target, request.body) == (
        method,
        path,
        body,
    )
    values = request.value_by_header
    assert values["x-other"] == "kept"
    assert values["x-tenant"] == "alpha"
    assert "authorization" not in values
    assert not [name for name in values if "lacewingspar" in name]
    assert 0 < int(values["x-time-budget-ms"]) <= 3000


async def test_busy_neighbour_gets_no_request(
    served: Deployment, overloaded_caller: Caller
) -> None:
    """Guards against requests that move from one overloaded router to another.

    The neighbour announces its state with its heartbeats.
    """
    peers, neighbour = (app.get(PEERS) for app in served.apps)
    neighbour_id = served.apps[1].instance.router_id
    outcomes_by_state: dict[RouterState, list[str]] = {}
    for state in (RouterState.BUSY, RouterState.SERVING):
        is_busy = state is RouterState.BUSY
        neighbour.set_busy_source(lambda is_busy=is_busy: is_busy)
        await until(
            lambda state=state: (
                peers.alive_by_router_id[neighbour_id].state is state
            )
        )
        with structlog.testing.capture_logs() as lines:
            assert (await overloaded_caller.call("/write/x")).status == 200
        outcomes_by_state[state] = [
            line["outcome"]
            for line in lines
            if line["event"] == "request handed over"
        ]
    assert outcomes_by_state == {
        RouterState.BUSY: [],
        RouterState.SERVING: ["answered"],
    }


async def test_caller_that_leaves_ends_the_run(
    served: Deployment, overloaded_caller: Caller
) -> None:
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.response_delay_seconds = 0.5
    connection = await async_open_connection(overloaded_caller.address)
    connection.send(request_bytes("/stream/x", "a-leaves", 3000))
    await until(lambda: any(engine.running for engine in engines))
    connection.abort()
    await until(lambda: any(engine.cancelled for engine in engines))


async def test_stopped_router_costs_no_request(
    served: Deployment, overloaded_caller: Caller
) -> None:
    await served.apps[1].async_stop()
    responses = [await overloaded_caller.call("/write/x") for _ in range(3)]
    assert [response.status for response in responses] == [200] * 3


async def test_stream_of_a_router_that_dies_never_looks_complete(
    served: Deployment, overloaded_caller: Caller
) -> None:
    for name in ("e1", "e2"):
        served.upstream_by_id[name].response_delay_seconds = 0.2
    call = asyncio.create_task(overloaded_caller.call("/stream-once/x"))
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    await until(lambda: any(engine.running for engine in engines))
    await asyncio.sleep(0.3)
    await served.apps[1].async_stop()
    response = await call
    assert response.status in (200, 502)
    assert response.status == 502 or not response.is_complete


async def test_neighbour_whose_upstream_broke_off_gets_further_requests(
    served: Deployment, overloaded_caller: Caller
) -> None:
    """Guards against neighbours that are all left out when upstreams crash."""
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.faults.break_after_events = 2
    response = await overloaded_caller.call("/stream-once/x")
    assert response.status == 200
    assert not response.is_complete
    for engine in engines:
        engine.faults.break_after_events = -1
    with structlog.testing.capture_logs() as lines:
        response = await overloaded_caller.call("/write/x")
    assert response.status == 200
    (line,) = [item for item in lines if item["event"] == "request handed over"]
    assert line["neighbour"] == "r2"


async def test_request_that_a_lost_neighbour_has_run_is_not_refused_as_not_run(
    served: Deployment,
    overloaded_caller: Caller,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a status that promises that a request has not run."""
    upstreams = [served.upstream_by_id[name] for name in ("p1", "p2")]
    for upstream in upstreams:
        upstream.response_delay_seconds = 0.5

    async def async_lose_connection(_: ClientConnection) -> ResponseHead:
        monkeypatch.undo()
        await until(lambda: any(item.running for item in upstreams))
        for upstream in upstreams:
            upstream.faults.refuse = True
        raise ConnectionBrokenError("connection closed")

    monkeypatch.setattr(hand_over, "async_read_head", async_lose_connection)
    response = await overloaded_caller.call("/read/x")
    assert response.status == 502


@pytest.mark.parametrize(
    ("limits", "status", "runs"),
    [({}, 200, 2), ({"retry": False}, 502, 1), ({"maxAttempts": 1}, 502, 1)],
    ids=["allowed", "no retry budget", "one attempt"],
)
async def test_broken_hand_over_is_repeated_within_the_retry_limits(
    served: Deployment,
    overloaded_caller: Caller,
    monkeypatch: pytest.MonkeyPatch,
    limits: dict[str, int],
    status: int,
    runs: int,
) -> None:
    """Guards against a load of repeats after the loss of a router."""
    changed = route(
        "/read/",
        "idempotent",
        "plain",
        maxAttempts=limits.get("maxAttempts", 2),
    )
    served.publish(manifest(2, routes=[changed]))
    for app in served.apps:
        routing = app.get(ROUTING)
        await until(lambda view=routing: view.configuration.version == 2)
    if "retry" in limits:
        monkeypatch.setattr(RetryBudgets, "try_spend", lambda *_: False)
    upstreams = [served.upstream_by_id[name] for name in ("p1", "p2")]
    for upstream in upstreams:
        upstream.response_delay_seconds = 0.1

    async def async_lose_connection(_: ClientConnection) -> ResponseHead:
        await until(lambda: any(item.running for item in upstreams))
        raise ConnectionBrokenError("connection closed")

    monkeypatch.setattr(hand_over, "async_read_head", async_lose_connection)
    response = await overloaded_caller.call("/read/x")
    assert (response.status, response.is_complete) == (status, True)
    assert sum(len(upstream.received) for upstream in upstreams) == runs


async def test_deadline_counts_from_the_first_arrival(
    served: Deployment,
) -> None:
    """Guards against a deadline that restarts at the hand-over.

    The upstream would continue to run a request whose caller has timed out.
    """
    caller = await served.add_router()
    (router,) = served.apps
    response = await caller.call(
        "/write/x",
        budget_ms=3000,
        x_lacewingspar_token=router.get(HAND_OVER_TOKENS).own,
        x_lacewingspar_waited_ms="1000",
    )
    assert response.status == 200
    (request,) = [
        item
        for upstream in served.upstream_by_id.values()
        for item in upstream.received
    ]
    assert 0 < int(request.value_by_header["x-time-budget-ms"]) <= 2000


_NEW_KEY = "key-of-beta"


@pytest.mark.parametrize(
    ("path", "key"),
    [("/added/x", KEY), ("/read/x", _NEW_KEY)],
    ids=["added route", "added key"],
)
async def test_neighbour_with_an_older_configuration_costs_no_request(
    served: Deployment,
    overloaded_caller: Caller,
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    key: str,
) -> None:
    """Guards against 404 and 401 for what the newest configuration allows."""
    newer = manifest(2)
    newer["routes"].append(route("/added/", "non_idempotent", "plain"))
    newer["tenants"].append({"name": "beta", "apiKeys": [_NEW_KEY]})
    current, outdated = (app.get(ROUTING) for app in served.apps)
    monkeypatch.setattr(outdated, "apply_configuration", lambda *_: False)
    served.publish(newer)
    await until(lambda: current.configuration.version == 2)
    response = await overloaded_caller.call(path, key=key)
    assert response.status == 200


async def test_resumable_stream_outlasts_the_router_it_was_handed_over_to(
    served: Deployment, overloaded_caller: Caller
) -> None:
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.events = 20
        engine.response_delay_seconds = 0.02
    call = asyncio.create_task(overloaded_caller.call("/stream/x"))
    await until(lambda: any(engine.running for engine in engines))
    await asyncio.sleep(0.2)
    await served.apps[1].async_stop()
    response = await call
    assert response.is_complete
    assert response.body == stream_bytes(20)


@pytest.mark.parametrize(
    ("limits_of_neighbour", "pad_bytes", "body_bytes"),
    [({}, 16_220, 0), ({"maxBodyBytes": 1000}, 0, 2000)],
    ids=["headers of a hand-over", "smaller bodies"],
)
async def test_request_beyond_the_limits_of_a_neighbour_is_served(
    served: Deployment,
    overloaded_caller: Caller,
    monkeypatch: pytest.MonkeyPatch,
    limits_of_neighbour: dict[str, int],
    pad_bytes: int,
    body_bytes: int,
) -> None:
    """Guards against 413 and 431 for a request within the caller's limits."""
    own, neighbour = (app.get(ROUTING) for app in served.apps)
    monkeypatch.setattr(own, "apply_configuration", lambda *_: False)
    served.publish(manifest(2, limits=LIMITS | limits_of_neighbour))
    await until(lambda: neighbour.configuration.version == 2)
    response = await overloaded_caller.call(
        "/write/x", body=bytes(body_bytes), x_pad="a" * pad_bytes
    )
    assert response.status == 200
