"""Tests of upstreams that fall silent during a response."""

import asyncio
import re
from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    ReceivedResponse,
    async_running_first,
    manifest,
    route,
    stream_bytes,
    until,
)

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_router.components.admission.models import ADMISSION
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_standins.deployed.documents import SLOTS
from lacewingspar_standins.deployed.upstream import Upstream

EVENTS = 10
STREAM = stream_bytes(EVENTS)

ROUTES = [
    route(
        "/stream/",
        "streaming",
        "engines",
        resumable=True,
        timeoutMs=9000,
        gapAimMs=100,
        targetLatencyMs=100,
    ),
    route(
        "/read/",
        "idempotent",
        "engines",
        timeoutMs=9000,
        targetLatencyMs=100,
    ),
    route("/write/", "non_idempotent", "engines", timeoutMs=9000),
]
# Longest time for which two upstreams may work on one request.
MAX_OVERLAP_SECONDS = 0.4
# Settings of a router whose retry budget never allows a retry.
NO_BUDGET = {"retry_ratio": 0.0, "retry_allowance": 0.0}


async def add_engines(
    deployment: Deployment, count: int, **changes: Any
) -> list[Upstream]:
    """Start engines that all pause; the run that replaces one does not."""
    routes = [item | changes for item in ROUTES]
    service = {"name": "engines", "maxConnections": 100}
    deployment.publish(manifest(routes=routes, services=[service]))
    return [
        await deployment.add_upstream(f"e{number}", "engines", events=EVENTS)
        for number in range(1, count + 1)
    ]


async def async_start_call(
    caller: Caller, path: str, engines: list[Upstream]
) -> tuple["asyncio.Task[ReceivedResponse]", Upstream, Upstream]:
    """Start a call that runs at one of two engines.

    Returns:
        The call, the engine that runs it and the other one.
    """
    call = asyncio.create_task(caller.call(path, budget_ms=9000))
    first, other = await async_running_first(engines)
    return call, first, other


def knows(deployment: Deployment, upstream_id: str) -> bool:
    """Return whether the router may use an upstream."""
    directory = deployment.apps[0].get(ROUTING).directory
    return upstream_id in directory.entry_by_id


def decline_all(deployment: Deployment) -> None:
    """Let the pools decline every further request."""

    async def async_decline(*args: Any) -> Any:
        del args
        raise RequestRefusedError(503, "deadline_unreachable", "declined")

    admission = deployment.apps[0].get(ADMISSION)
    setattr(admission, "async_acquire", async_decline)  # noqa: B010


def events(lines: list[Any], event: str) -> list[Any]:
    return [line for line in lines if line["event"] == event]


@pytest.mark.parametrize(
    ("engines", "changes", "settings", "decisions"),
    [
        # The upstream that takes over pauses as well.
        (2, {}, {}, [("replaced", ""), ("no replacement", "attempts")]),
        (1, {}, {}, [("no replacement", "no_upstream")]),
        (2, {}, NO_BUDGET, [("no replacement", "retry_budget")]),
        (2, {"maxAttempts": 1}, {}, [("no replacement", "attempts")]),
    ],
)
async def test_log_names_the_decision_about_a_silent_upstream(
    deployment: Deployment,
    engines: int,
    changes: dict[str, Any],
    settings: dict[str, Any],
    decisions: list[tuple[str, str]],
) -> None:
    """Guards against a cut stream whose log does not name the reason."""
    for upstream in await add_engines(deployment, engines, **changes):
        upstream.faults.pause_after_events = 3
        upstream.faults.pause_seconds = 1.6
    caller = await deployment.add_router(**settings)
    with structlog.testing.capture_logs() as lines:
        await caller.call("/stream/1", budget_ms=9000)
    silences = events(lines, "upstream silent")
    assert [
        (line["decision"], line["reason"]) for line in silences
    ] == decisions
    assert silences[0]["last_event_id"] == "3"
    assert silences[0]["silent_ms"] >= 1000


@pytest.mark.parametrize(
    ("path", "after", "seconds"),
    [
        ("/stream/1", 3, 1.6),
        ("/stream/1", 1, 1.3),
        ("/stream/1", 0, 1.5),
        ("/read/", 0, 2.5),
    ],
)
@pytest.mark.parametrize(
    ("engines", "changes", "settings"),
    [
        (1, {}, {}),
        (2, {}, NO_BUDGET),
        (2, {"maxAttempts": 1}, {}),
    ],
)
async def test_silent_upstream_without_a_replacement_may_go_on(
    deployment: Deployment,
    engines: int,
    changes: dict[str, Any],
    settings: dict[str, Any],
    path: str,
    after: int,
    seconds: float,
) -> None:
    """Guards against a response that is cut while its upstream only pauses."""
    upstreams = await add_engines(deployment, engines, **changes)
    for upstream in upstreams:
        upstream.faults.pause_after_events = after
        upstream.faults.pause_seconds = seconds
    caller = await deployment.add_router(**settings)
    with structlog.testing.capture_logs() as lines:
        response = await caller.call(path, budget_ms=9000)
    assert (response.status, response.is_complete) == (200, True)
    if "stream" in path:
        assert response.body == STREAM
    assert sum(item.runs.total() for item in upstreams) == 1
    silences = events(lines, "upstream silent")
    assert len(silences) <= 1
    assert len(events(lines, "upstream went on")) == len(silences)
    assert not events(lines, "retry denied: fleet-wide retry budget exhausted")


@pytest.mark.parametrize("after", [0, 1, 3])
async def test_silent_upstream_is_replaced_by_a_certain_one(
    deployment: Deployment, after: int
) -> None:
    """Guards against callers that wait for an upstream that never goes on."""
    first, second = await add_engines(deployment, 2)
    for upstream in (first, second):
        upstream.faults.pause_after_events = after
        upstream.faults.pause_seconds = 60.0
    caller = await deployment.add_router()
    call = asyncio.create_task(caller.call("/stream/1", budget_ms=9000))
    await until(lambda: bool(first.running or second.running))
    (first if second.running else second).faults.pause_after_events = -1
    response = await call
    assert (response.body, response.is_complete) == (STREAM, True)
    assert (first.runs.total(), second.runs.total()) == (1, 1)
    # The first run is cancelled once the second one responds.
    assert first.cancelled + second.cancelled == 1


async def test_whole_call_is_sent_again_after_a_silence(
    deployment: Deployment,
) -> None:
    first, _ = await add_engines(deployment, 2)
    first.faults.mute = True
    caller = await deployment.add_router()
    for _ in range(4):
        response = await caller.call("/read/", budget_ms=9000)
        assert response.body == b"answer of e2"
    assert first.running == 0


@pytest.mark.parametrize(
    ("path", "after", "status"),
    [("/stream/1", 0, 504), ("/stream/1", 3, 200), ("/read/", 0, 504)],
)
@pytest.mark.parametrize(
    ("engines", "settings"), [(1, {}), (2, NO_BUDGET), (2, {})]
)
async def test_upstreams_that_stay_silent_end_at_the_deadline(
    deployment: Deployment,
    path: str,
    after: int,
    status: int,
    engines: int,
    settings: dict[str, Any],
) -> None:
    """Guards against a refusal that says that a request did not run."""
    upstreams = await add_engines(deployment, engines)
    for upstream in upstreams:
        upstream.faults.pause_after_events = after
        upstream.faults.pause_seconds = 60.0
    caller = await deployment.add_router(**settings)
    with structlog.testing.capture_logs() as lines:
        response = await caller.call(path, budget_ms=2500)
    assert (response.status, response.is_complete) == (status, status == 504)
    (ended,) = events(lines, "request ended")
    assert ended["outcome"] == (
        "cut_at_deadline" if status == 200 else "deadline_passed"
    )
    assert ended["no_replacement"]
    assert ended["duration_ms"] >= 2400
    # A router with another upstream has used it.
    is_replaced = engines == 2 and not settings
    assert sum(item.runs.total() for item in upstreams) == 1 + is_replaced
    if after:
        assert STREAM.startswith(response.body)
        ids = re.findall(rb"id: (\d+)", response.body)
        expected = range(1, 1 + (1 + is_replaced) * after)
        assert [int(item) for item in ids] == list(expected)
    await until(lambda: not any(item.running for item in upstreams))


async def test_pause_of_many_streams_at_once_cuts_none(
    deployment: Deployment,
) -> None:
    """Guards against cut streams once a common pause has used the budget."""
    (first,) = await add_engines(deployment, 1)
    first.faults.pause_after_events = 3
    first.faults.pause_seconds = 1.6
    # Allows 4 retries.
    caller = await deployment.add_router(retry_ratio=0.0, retry_allowance=8.0)
    calls = [
        asyncio.create_task(caller.call("/stream/1", budget_ms=9000))
        for _ in range(SLOTS)
    ]
    await until(lambda: first.running == SLOTS)
    second = await deployment.add_upstream("e2", "engines", events=EVENTS)
    responses = await asyncio.gather(*calls)
    assert {item.body for item in responses} == {STREAM}
    assert all(item.is_complete for item in responses)
    assert first.runs.total() == SLOTS
    assert second.runs.total() == 4


async def test_queued_replacement_is_withdrawn_when_the_upstream_goes_on(
    deployment: Deployment,
) -> None:
    """Guards against a second run and a retry of a stream that went on."""
    (second,) = await add_engines(deployment, 1)
    # Allows one retry.
    caller = await deployment.add_router(retry_ratio=0.0, retry_allowance=2.0)
    second.faults.mute = True
    blockers = [
        asyncio.create_task(caller.call("/write/", budget_ms=9000))
        for _ in range(SLOTS)
    ]
    await until(lambda: second.running == SLOTS)
    first = await deployment.add_upstream("e2", "engines", events=EVENTS)
    await until(lambda: knows(deployment, "e2"))
    first.faults.pause_after_events = 3
    first.faults.pause_seconds = 1.6
    with structlog.testing.capture_logs() as lines:
        call = caller.call("/stream/1", budget_ms=9000, x_attempt_id="one")
        response = await call
        for blocker in blockers:
            blocker.cancel()
        await until(lambda: not second.running)
        await asyncio.sleep(0.2)
    assert (response.body, response.is_complete) == (STREAM, True)
    assert len(events(lines, "upstream went on")) == 1
    admitted = events(lines, "request admitted")
    assert [line["request_id"] for line in admitted] == ["one"]
    assert second.runs["one"] == 0
    # The budget still allows its retry.
    second.faults.mute = False
    for upstream in (first, second):
        upstream.faults.pause_after_events = 0
        upstream.faults.pause_seconds = 60.0
    again = asyncio.create_task(caller.call("/read/", budget_ms=9000))
    await until(lambda: bool(first.running or second.running))
    (first if second.running else second).faults.pause_after_events = -1
    assert (await again).status == 200


@pytest.mark.parametrize(
    ("budget_ms", "outcome"),
    [(900, RunOutcome.FAILED), (300, RunOutcome.CANCELLED)],
)
async def test_upstream_that_is_silent_at_the_deadline_counts_as_failed(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    budget_ms: int,
    outcome: RunOutcome,
) -> None:
    """Guards against a dead upstream whose circuit breaker stays closed."""
    (upstream,) = await add_engines(deployment, 1)
    upstream.faults.mute = True
    caller = await deployment.add_router()
    admission = deployment.apps[0].get(ADMISSION)
    ends: list[RunOutcome] = []
    original = admission.end

    def record_end(grant: Any, outcome: RunOutcome, **options: Any) -> None:
        ends.append(outcome)
        original(grant, outcome, **options)

    monkeypatch.setattr(admission, "end", record_end)
    response = await caller.call("/read/", budget_ms=budget_ms)
    assert response.status == 504
    assert ends == [outcome]


async def test_silent_upstream_is_kept_if_the_other_one_is_unreachable(
    deployment: Deployment,
) -> None:
    """Guards against a stream that is cut for an upstream that has died."""
    (first,) = await add_engines(deployment, 1)
    first.faults.pause_after_events = 3
    first.faults.pause_seconds = 1.6
    caller = await deployment.add_router()
    await caller.call("/write/")
    second = await deployment.add_upstream("e2", "engines")
    await second.async_stop()
    call = asyncio.create_task(caller.call("/stream/1", budget_ms=9000))
    response = await call
    assert (response.body, response.is_complete) == (STREAM, True)
    assert first.runs.total() == 2


@pytest.mark.parametrize("refuse_after_seconds", [0.0, 0.4])
async def test_stream_is_whole_if_its_replacement_refuses(
    deployment: Deployment, refuse_after_seconds: float
) -> None:
    """Guards against a sound upstream that is left for one that refuses."""
    engines = await add_engines(deployment, 2)
    for engine in engines:
        engine.faults.pause_after_events = 3
        engine.faults.pause_seconds = 1.6
    caller = await deployment.add_router()
    call, _, other = await async_start_call(caller, "/stream/1", engines)
    other.faults.refuse = True
    other.faults.refuse_after_seconds = refuse_after_seconds
    response = await call
    assert (response.body, response.is_complete) == (STREAM, True)


@pytest.mark.parametrize(
    ("path", "after"), [("/stream/1", 0), ("/stream/1", 3), ("/read/", 0)]
)
@pytest.mark.parametrize("obstacle", ["none", "budget", "pool"])
async def test_silent_upstream_is_kept_if_its_replacement_refuses(
    deployment: Deployment, path: str, after: int, obstacle: str
) -> None:
    """Guards against a run that is given up and may not be started again."""
    engines = await add_engines(deployment, 2)
    for engine in engines:
        engine.faults.pause_after_events = after
        engine.faults.pause_seconds = 1.6
    # The budget allows one retry.
    settings = {"retry_ratio": 0.0, "retry_allowance": 2.0}
    caller = await deployment.add_router(
        **settings if obstacle == "budget" else {}
    )
    call, _, other = await async_start_call(caller, path, engines)
    other.faults.refuse = True
    other.faults.refuse_after_seconds = 0.05
    await until(lambda: bool(other.received))
    if obstacle == "pool":
        decline_all(deployment)
    response = await call
    assert (response.status, response.is_complete) == (200, True)
    if "stream" in path:
        assert response.body == STREAM
    assert sum(engine.runs.total() for engine in engines) == 1
    assert sum(len(engine.received) for engine in engines) == 2


@pytest.mark.parametrize("path", ["/stream/1", "/read/"])
async def test_two_upstreams_hardly_work_on_one_request(
    deployment: Deployment, path: str
) -> None:
    """Guards against a run that goes on beside the one that replaces it."""
    engines = await add_engines(deployment, 2)
    for engine in engines:
        engine.faults.mute = True
    caller = await deployment.add_router()
    call = asyncio.create_task(caller.call(path, budget_ms=3000))
    await until(lambda: all(engine.received for engine in engines))
    first, second = sorted(
        (engine.received[0] for engine in engines), key=lambda item: item.at
    )
    await until(lambda: first.ended_at < float("inf"))
    assert first.ended_at - second.at < MAX_OVERLAP_SECONDS
    await call
    await until(lambda: sum(item.cancelled for item in engines) == 2)


@pytest.mark.parametrize("path", ["/stream/1", "/read/"])
async def test_upstream_that_goes_on_beside_its_replacement_is_kept(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against events of two runs, and a second run beside the first."""
    monkeypatch.setattr(const, "REPLACEMENT_RESPONSE_SECONDS", 5.0)
    engines = await add_engines(deployment, 2)
    for engine in engines:
        engine.faults.mute = True
    caller = await deployment.add_router()
    call, first, other = await async_start_call(caller, path, engines)
    await until(lambda: bool(other.running))
    first.unmute()
    response = await call
    assert (response.status, response.is_complete) == (200, True)
    await until(lambda: not other.running)
    assert (first.cancelled, other.cancelled) == (0, 1)


@pytest.mark.parametrize("path", ["/stream/1", "/read/"])
async def test_upstream_that_breaks_beside_its_replacement_costs_no_retry(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against a second send beside the one that was paid for."""
    monkeypatch.setattr(const, "REPLACEMENT_RESPONSE_SECONDS", 5.0)
    engines = await add_engines(deployment, 2)
    for engine in engines:
        engine.faults.mute = True
    # Allows one retry.
    caller = await deployment.add_router(retry_ratio=0.0, retry_allowance=2.0)
    call, first, other = await async_start_call(caller, path, engines)
    await until(lambda: bool(other.running))
    for connection in list(first.open_connections):
        connection.reset()
    other.unmute()
    response = await call
    assert (response.status, response.is_complete) == (200, True)
    assert (first.runs.total(), other.runs.total()) == (1, 1)
