"""Requests in flight while the configuration and the upstreams change."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest
from pydantic import TypeAdapter
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import (
    LIMITS,
    Deployment,
    ReceivedResponse,
    async_add_overloaded_router,
    manifest,
    receive,
    route,
    until,
)
from tests.router.deployed.test_forwarding import STREAM

from lacewingspar_router import main
from lacewingspar_router.application import Application
from lacewingspar_router.components.routing.models import (
    ROUTING,
    KeyedRecord,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1 import connection_pool
from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.settings import Settings
from lacewingspar_standins.deployed.documents import request_bytes

BODY = b"x" * 4000
HEAD_BYTES = 40
# Longer than a test takes on a busy machine.
TIMEOUT_MS = 20_000
LATE_SECONDS = 0.2
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REFUSAL_STATUSES = NOT_RUN_STATUSES | {401, 404, 413, 431}
SERVICES = ("engines", "broken", "plain", "full", "slow")
LOW_LIMITS = LIMITS | {
    "maxHeaderBytes": 64,
    "maxBodyBytes": 1,
    "headerTimeoutMs": 20,
    "idleTimeoutMs": 20,
}


def base_manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    value = manifest(version)
    engine = value["services"][0]
    value["services"] = [
        engine | {"name": name}
        if name in ("engines", "broken")
        else {"name": name, "maxConnections": 100}
        for name in SERVICES
    ]
    value["routes"] += [
        route("/stream-broken/", "streaming", "broken", resumable=True),
        route("/full/", "non_idempotent", "full"),
        route("/slow/", "non_idempotent", "slow"),
    ]
    for item in value["routes"]:
        item["timeoutMs"] = TIMEOUT_MS
    return value | changes


def changed_routes(**changes: Any) -> dict[str, Any]:
    return {"routes": [item | changes for item in base_manifest()["routes"]]}


NOTHING_LEFT: dict[str, Any] = {"routes": [], "services": [], "tenants": []}


@dataclass(frozen=True, slots=True)
class Change:
    """Changes that follow each other.

    Attributes:
        versions: Configurations, as changes to the first one.
        upstream_state: New state of all upstreams, "" if they are removed, or
            None if they stay.
        statuses: Further statuses of requests that were not yet accepted.
    """

    versions: tuple[dict[str, Any], ...] = ()
    upstream_state: str | None = None
    statuses: frozenset[int] = frozenset()


CHANGE_BY_NAME = {
    "routes removed": Change(({"routes": []},)),
    "routes moved": Change((changed_routes(service="moved"),)),
    "routes split": Change(
        (changed_routes(trafficSplit=[{"service": "moved", "weight": 1}]),)
    ),
    "services removed": Change(({"services": []},)),
    "services of another kind": Change(
        (
            {
                "services": [
                    {"name": name, "maxConnections": 1} for name in SERVICES
                ]
            },
        )
    ),
    "key revoked": Change(({"tenants": [{"name": "alpha", "apiKeys": []}]},)),
    "key of another workspace": Change(
        ({"tenants": [{"name": "beta", "apiKeys": ["key-of-alpha"]}]},)
    ),
    "lower limits": Change(({"limits": LOW_LIMITS},)),
    "lower timeout": Change(
        (changed_routes(timeoutMs=1, targetLatencyMs=1),),
        # The timeout passes while the request is handed over.
        statuses=frozenset({504}),
    ),
    "fewer attempts": Change((changed_routes(maxAttempts=1),)),
    "routes of another kind": Change(
        (changed_routes(kind="non_idempotent", resumable=False),)
    ),
    "in pieces": Change(
        (
            {"limits": LOW_LIMITS},
            {"limits": LOW_LIMITS, "tenants": []},
            {"limits": LOW_LIMITS, "tenants": [], "services": []},
            NOTHING_LEFT,
            {"routes": [route("/", "idempotent", "other")]},
        )
    ),
    "removed and back": Change((NOTHING_LEFT, {})),
    "upstreams removed": Change((), ""),
    "upstreams leaving": Change((), "draining"),
    "all removed": Change((NOTHING_LEFT,), ""),
}


@dataclass(frozen=True, slots=True)
class Place:
    """A place in the life of a request at which the change comes.

    Attributes:
        path: Path of the request.
        sent_bytes: Bytes sent before the change; the rest follows it.
        is_used: Whether the connection has carried a request before.
        is_queued: Whether another request is in flight on the connection.
        copies: Number of requests.
        is_accepted: Whether the request was accepted by the first
            configuration and has a free upstream.
    """

    path: str
    sent_bytes: int | None = None
    is_used: bool = False
    is_queued: bool = False
    copies: int = 1
    is_accepted: bool = False


PLACE_BY_NAME = {
    "connected": Place("/write/", sent_bytes=0),
    "idle connection": Place("/read/", sent_bytes=0, is_used=True),
    "head begun": Place("/write/", sent_bytes=HEAD_BYTES),
    "body begun": Place("/write/", sent_bytes=-len(BODY) // 2),
    "queued": Place("/write/", is_queued=True),
    "waiting": Place("/full/", copies=6),
    "connecting": Place("/slow/"),
    "sent": Place("/write/", is_accepted=True),
    "sent, repeatable": Place("/read/", is_accepted=True),
    "streaming": Place("/stream-once/", is_accepted=True),
    "streaming, resumable": Place("/stream/", is_accepted=True),
    "continuation": Place("/stream-broken/"),
}


# The requests that are sent, and the one before the queued one.
PLAIN_RUNS = 3


@dataclass(slots=True)
class PlacedRequest:
    """A request at its place.

    Attributes:
        name: Name of the place.
        request_id: Id of the request.
        connection: Connection of the caller.
        unsent: Part of the request that follows the change.
        response: What was received of the response.
        receiving: Receives the response.
    """

    name: str
    request_id: str
    connection: ClientConnection
    unsent: bytes = b""
    response: ReceivedResponse = field(default_factory=ReceivedResponse)
    receiving: "asyncio.Task[ReceivedResponse] | None" = None


async def async_place(address: str, name: str, number: int) -> PlacedRequest:
    """Open a connection and send what precedes the change."""
    place = PLACE_BY_NAME[name]
    connection = await async_open_connection(address)
    placed = PlacedRequest(name, f"{name} {number}", connection)
    if place.is_used:
        connection.send(request_bytes("/unknown/", "before", TIMEOUT_MS))
        await receive(connection, ReceivedResponse())
        assert connection.complete_exchange()
    if place.is_queued:
        connection.send(request_bytes(place.path, "before", TIMEOUT_MS))
    data = request_bytes(place.path, placed.request_id, TIMEOUT_MS, BODY)
    sent_bytes = len(data) if place.sent_bytes is None else place.sent_bytes
    connection.send(data[:sent_bytes])
    placed.unsent = data[sent_bytes:]
    placed.receiving = asyncio.create_task(async_receive(placed))
    return placed


async def async_receive(placed: PlacedRequest) -> ReceivedResponse:
    connection = placed.connection
    if PLACE_BY_NAME[placed.name].is_queued:
        await receive(connection, ReceivedResponse())
    return await receive(connection, placed.response)


async def async_start_upstreams(
    deployment: Deployment, may_go_on: asyncio.Event
) -> None:
    """Start upstreams that pause: streams after two events, others at once."""
    deployment.publish(base_manifest())
    for service in SERVICES:
        for name in (f"{service}-1", f"{service}-2"):
            upstream = await deployment.add_upstream(name, service)
            upstream.may_go_on = may_go_on
            is_engine = service in ("engines", "broken")
            upstream.faults.pause_after_events = 2 if is_engine else 0
    deployment.register("full-1", "full", slots=1)
    deployment.register("full-2", "full", slots=1)


def hold_connections(
    deployment: Deployment,
    service: str,
    may_go_on: asyncio.Event,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hold new connections to the upstreams of a service until an event."""
    addresses = {
        upstream.address
        for name, upstream in deployment.upstream_by_id.items()
        if name.startswith(service)
    }

    async def async_connect_late(address: str) -> ClientConnection:
        if address in addresses:
            await may_go_on.wait()
        return await async_connect(address)

    monkeypatch.setattr(connection_pool, "async_connect", async_connect_late)


def metric(app: Application, name: str) -> float:
    _, page = app.get(TELEMETRY).render()
    return sum(
        float(line.rsplit(b" ", 1)[1])
        for line in page.splitlines()
        if line.startswith(b"lacewingspar_" + name.encode() + b"{")
    )


def are_placed(deployment: Deployment, placed: list[PlacedRequest]) -> bool:
    """Return whether the requests have come to their places."""
    running = sum(
        upstream.running
        for name, upstream in deployment.upstream_by_id.items()
        if name.startswith("plain")
    )
    return (
        running >= PLAIN_RUNS
        and any(metric(app, "pool_waiting") for app in deployment.apps)
        and all(
            item.response.body.count(b"\n\n") >= 2
            for item in placed
            if "stream" in PLACE_BY_NAME[item.name].path
        )
    )


def apply_version(deployment: Deployment, changes: dict[str, Any]) -> None:
    """Apply a configuration to all routers at once."""
    version = deployment.store.topic("keyed.op").end + 1
    value = base_manifest(version, **changes)
    deployment.publish(value)
    for app in deployment.apps:
        app.get(ROUTING).apply_configuration(msgspec.json.encode(value), "log")


def change_upstreams(deployment: Deployment, state: str) -> None:
    """Change or remove the entries of all upstreams at all routers."""
    topic = deployment.store.topic("keyed.servers")
    begin = topic.end
    for upstream_id in deployment.upstream_by_id:
        service = upstream_id.partition("-")[0]
        if state:
            deployment.register(upstream_id, service, state=state)
        else:
            topic.append(upstream_id, b"")
    records = [
        KeyedRecord(key, value, offset)
        for offset, (key, value) in enumerate(topic.records)
        if offset >= begin
    ]
    for app in deployment.apps:
        app.get(ROUTING).apply_upstream_records(records, topic.end, "log")


def break_runs(deployment: Deployment, service: str) -> None:
    """Reset the connections of an upstream in the middle of its runs."""
    for name, upstream in deployment.upstream_by_id.items():
        if name.startswith(service):
            upstream.faults.pause_after_events = -1
            if upstream.running:
                for connection in list(upstream.open_connections):
                    connection.reset()


async def async_apply(
    deployment: Deployment, change: Change, reload: Callable[[], None]
) -> None:
    """Apply a change piece by piece, with a SIGHUP before each piece."""
    for changes in change.versions:
        reload()
        apply_version(deployment, changes)
        await asyncio.sleep(0)
    if change.upstream_state is not None:
        change_upstreams(deployment, change.upstream_state)


def check(deployment: Deployment, placed: PlacedRequest, change: Change) -> str:
    """Return what is wrong with the response to a request, or ""."""
    response, place = placed.response, PLACE_BY_NAME[placed.name]
    runs = [
        upstream.runs[placed.request_id]
        for upstream in deployment.upstream_by_id.values()
    ]
    if not response.is_complete:
        # The upstream broke off, and no other one may be used.
        if (
            place.path == "/stream-broken/"
            and change.upstream_state is not None
        ):
            return ""
        return f"{response.status} without an end"
    if response.status in NOT_RUN_STATUSES and any(runs):
        return f"{response.status} for a request that has run"
    if sum(runs) > 1 and place.path in ("/write/", "/full/", "/slow/"):
        return f"{sum(runs)} runs"
    if response.status != 200 and place.is_accepted:
        return f"{response.status} for a request that was accepted"
    if response.status not in REFUSAL_STATUSES | change.statuses | {200}:
        return f"status {response.status}"
    if "stream" in place.path and response.body != STREAM:
        return f"{response.body!r}"
    return ""


@pytest.fixture
async def may_go_on() -> asyncio.Event:
    """Provide the event that ends the pauses of the upstreams."""
    return asyncio.Event()


@pytest.fixture(params=["forwarded", "handed over"])
async def address(
    deployment: Deployment,
    may_go_on: asyncio.Event,
    monkeypatch: pytest.MonkeyPatch,
    request: pytest.FixtureRequest,
) -> str:
    """Provide the address of a router, alone or with an idle neighbour."""
    await async_start_upstreams(deployment, may_go_on)
    if request.param == "forwarded":
        return (await deployment.add_router("r1")).address
    caller = await async_add_overloaded_router(deployment, monkeypatch)
    return caller.address


@pytest.mark.parametrize("is_late", [False, True], ids=["", "late loop"])
@pytest.mark.parametrize("change", CHANGE_BY_NAME.values(), ids=CHANGE_BY_NAME)
async def test_request_beside_a_change_gets_an_answer_or_a_refusal(
    deployment: Deployment,
    address: str,
    may_go_on: asyncio.Event,
    change: Change,
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    *,
    is_late: bool,
) -> None:
    """Guards against requests that a change leaves without a response."""
    settings = deployment.apps[0].settings
    file = tmp_path / "settings.json"
    file.write_bytes(TypeAdapter(Settings).dump_json(settings))
    hold_connections(deployment, "slow", may_go_on, monkeypatch)
    placed = [
        await async_place(address, name, number)
        for name, place in PLACE_BY_NAME.items()
        for number in range(place.copies)
    ]
    await until(lambda: are_placed(deployment, placed), TIMEOUT_MS / 1000)
    if is_late:
        for item in placed:
            item.connection.send(item.unsent)
        await async_apply(deployment, change, lambda: None)
        time.sleep(LATE_SECONDS)  # noqa: ASYNC251
    else:
        await async_apply(
            deployment, change, lambda: main._reload(file, settings)
        )
        for item in placed:
            item.connection.send(item.unsent)
    break_runs(deployment, "broken")
    may_go_on.set()
    async with asyncio.timeout(TIMEOUT_MS / 1000):
        for item in placed:
            assert item.receiving is not None
            await item.receiving
            item.connection.abort()
    problems = {
        item.request_id: problem
        for item in placed
        if (problem := check(deployment, item, change))
    }
    assert not problems
