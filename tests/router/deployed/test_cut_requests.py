"""Tests of requests that are in flight when a graceful shutdown ends early."""

import asyncio
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
import structlog
from pydantic import TypeAdapter
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    ReceivedResponse,
    receive,
    until,
)

from lacewingspar_router import main
from lacewingspar_router.components.admission.models import ADMISSION
from lacewingspar_router.http1 import server as http1_server
from lacewingspar_router.settings import Settings
from lacewingspar_router.shutdown import Shutdown
from lacewingspar_standins.deployed.documents import request_bytes

Condition = Callable[[], bool]


def hold_in_admission(deployment: Deployment, _: Caller) -> Condition:
    """Let requests to the first router wait for admission without end."""
    waiting: list[Any] = []

    async def async_acquire(requirements: Any, _: Any) -> None:
        waiting.append(requirements)
        await asyncio.Event().wait()

    admission: Any = deployment.apps[0].get(ADMISSION)
    admission.async_acquire = async_acquire
    return lambda: bool(waiting)


def hold_at_upstreams(deployment: Deployment, _: Caller) -> Condition:
    upstreams = deployment.upstream_by_id.values()
    for upstream in upstreams:
        upstream.faults.mute = True
    return lambda: any(upstream.running for upstream in upstreams)


def hold_after_two_events(deployment: Deployment, caller: Caller) -> Condition:
    for upstream in deployment.upstream_by_id.values():
        upstream.faults.pause_after_events = 2
        upstream.faults.pause_seconds = 60.0
    return lambda: caller.response.body.count(b"\n\n") == 2


async def stop(deployment: Deployment, *, is_immediate: bool) -> None:
    """Stop the first router like a signal, or like two signals."""
    shutdown = Shutdown()
    shutdown.handle_signal()
    if is_immediate:
        shutdown.handle_signal()
    app = deployment.apps[0]
    assert not await main._async_drain(app, shutdown)
    await app.async_stop()


@dataclass(frozen=True, slots=True)
class CutCase:
    """A request that is in flight when a stop ends early.

    Attributes:
        path: Path of the request.
        hold: Keeps the request in the state.
        state: State in which the request is cut.
        status: Status of the response.
        events: Number of events that the caller has received.
    """

    path: str
    hold: Callable[[Deployment, Caller], Condition]
    state: str
    status: int
    events: int = 0


CUT_CASE_BY_NAME = {
    "waiting": CutCase("/write/", hold_in_admission, "waiting", 503),
    "waiting stream": CutCase(
        "/stream-once/", hold_in_admission, "waiting", 503
    ),
    "sent, repeatable": CutCase("/read/", hold_at_upstreams, "sent", 502),
    "sent, not repeatable": CutCase("/write/", hold_at_upstreams, "sent", 502),
    "sent stream": CutCase("/stream/", hold_at_upstreams, "sent", 502),
    "started stream": CutCase(
        "/stream/", hold_after_two_events, "responding", 200, 2
    ),
}
cut_cases = pytest.mark.parametrize(
    "case", CUT_CASE_BY_NAME.values(), ids=CUT_CASE_BY_NAME
)


async def hold_request(
    deployment: Deployment, caller: Caller, case: CutCase
) -> "asyncio.Task[ReceivedResponse]":
    """Send a request and wait until it is in the state."""
    is_held = case.hold(deployment, caller)
    call = asyncio.create_task(caller.call(case.path, x_attempt_id="held"))
    await until(is_held)
    return call


@cut_cases
async def test_cut_request_is_told_from_one_whose_caller_left(
    served: Deployment, case: CutCase
) -> None:
    """Guards against a log that does not tell which requests a stop cut."""
    caller = await served.add_router()
    call = await hold_request(served, caller, case)
    with structlog.testing.capture_logs() as lines:
        await stop(served, is_immediate=True)
        await call
    line_by_event = {line["event"]: line for line in lines}
    assert line_by_event["request ended"]["outcome"] == "cut_by_shutdown"
    line = line_by_event["request cut by shutdown"]
    assert line["request_id"] == "held"
    assert (line["state"], line["events"]) == (case.state, case.events)
    assert 0 <= line["since_signal_ms"] <= line["age_ms"]
    assert line_by_event["drain ended early"]["cut_requests"] == 1


@cut_cases
async def test_request_whose_caller_left_is_not_cut(
    served: Deployment, case: CutCase
) -> None:
    caller = await served.add_router()
    call = await hold_request(served, caller, case)
    with structlog.testing.capture_logs() as lines:
        call.cancel()
        await until(lambda: "request ended" in str(lines))
        await stop(served, is_immediate=True)
    assert "request cut by shutdown" not in str(lines)
    (end,) = [line for line in lines if line["event"] == "request ended"]
    assert end["outcome"] == "cancelled"


async def test_cut_request_that_was_handed_over_is_recorded(
    served: Deployment, overloaded_caller: Caller
) -> None:
    call = await hold_request(
        served, overloaded_caller, CUT_CASE_BY_NAME["sent, repeatable"]
    )
    with structlog.testing.capture_logs() as lines:
        await stop(served, is_immediate=True)
        await call
    line_by_event = {line["event"]: line for line in lines}
    assert line_by_event["request handed over"]["outcome"] == "cut_by_shutdown"
    line = line_by_event["request cut by shutdown"]
    assert (line["state"], line["events"]) == ("handed_over", None)


async def pass_iterations() -> None:
    """Let the event loop handle what has arrived on the connections."""
    for _ in range(10):
        await asyncio.sleep(0.001)


def is_refusal(response: ReceivedResponse) -> bool:
    """Return whether a response tells that the request did not run."""
    return (
        response.status == 503
        and response.is_complete
        and response.body.startswith(b"stopping:")
        and float(response.headers["retry-after"]) > 0
        and response.headers["connection"] == "close"
    )


@pytest.mark.parametrize("is_immediate", [True, False])
@cut_cases
async def test_request_that_is_cut_gets_an_answer(
    served: Deployment, case: CutCase, *, is_immediate: bool
) -> None:
    """Guards against connections that a stop closes without a response."""
    caller = await served.add_router(stop_grace_seconds=1.0)
    call = await hold_request(served, caller, case)
    await stop(served, is_immediate=is_immediate)
    response = await call
    upstreams = served.upstream_by_id.values()
    assert response.status == case.status
    assert response.is_complete == (case.state != "responding")
    assert is_refusal(response) == (case.status == 503)
    assert any(item.received for item in upstreams) == (case.status != 503)
    # The work at the upstream ends with the request.
    await until(lambda: not any(item.running for item in upstreams), 1.0)


async def test_request_is_cut_once(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that fails at a request that ends slowly."""
    monkeypatch.setattr(http1_server, "CLOSE_RECEIVE_SECONDS", 0.0)
    monkeypatch.setattr(http1_server, "CLOSE_SEND_SECONDS", 0.0)
    caller = await served.add_router()
    may_end = asyncio.Event()
    is_waiting = asyncio.Event()

    async def async_acquire(*_: Any) -> None:
        try:
            is_waiting.set()
            await asyncio.Event().wait()
        finally:
            await may_end.wait()

    admission: Any = served.apps[0].get(ADMISSION)
    admission.async_acquire = async_acquire
    call = asyncio.create_task(caller.call("/write/"))
    await is_waiting.wait()
    with structlog.testing.capture_logs() as lines:
        await stop(served, is_immediate=True)
        may_end.set()
        await call
    events = [line["event"] for line in lines]
    assert events.count("request cut by shutdown") == 1
    assert "component unload failed" not in events


async def test_request_that_is_cut_at_a_neighbour_gets_an_answer(
    served: Deployment, overloaded_caller: Caller
) -> None:
    case = CUT_CASE_BY_NAME["sent, not repeatable"]
    call = await hold_request(served, overloaded_caller, case)
    await stop(served, is_immediate=True)
    response = await call
    assert (response.status, response.is_complete) == (502, True)


async def test_request_that_a_stopping_neighbour_refuses_is_served(
    served: Deployment, overloaded_caller: Caller
) -> None:
    """Guards against a refusal that the router of the caller passes on."""
    served.apps.reverse()
    is_waiting = hold_in_admission(served, overloaded_caller)
    call = asyncio.create_task(overloaded_caller.call("/write/"))
    await until(is_waiting)
    await stop(served, is_immediate=True)
    assert (await call).status == 200


@pytest.mark.parametrize("name", ["waiting", "sent, not repeatable"])
async def test_queued_request_is_refused_behind_one_that_is_cut(
    served: Deployment, name: str
) -> None:
    """Guards against queued requests that a stop drops without a response."""
    caller = await served.add_router()
    case = CUT_CASE_BY_NAME[name]
    is_held = case.hold(served, caller)
    connection = await async_open_connection(caller.address)
    connection.send(
        request_bytes(case.path, "first", 3000)
        + request_bytes(case.path, "second", 3000)
    )
    await until(is_held)
    stopping = asyncio.create_task(stop(served, is_immediate=True))
    first = await receive(connection, ReceivedResponse())
    second = await receive(connection, ReceivedResponse())
    connection.abort()
    await stopping
    assert (first.status, first.is_complete) == (case.status, True)
    assert is_refusal(second)
    assert second.headers["x-attempt-id"] == "second"
    assert "second" not in served.received_ids()


@pytest.mark.parametrize("sent_bytes", [1, 60, -1])
@pytest.mark.parametrize("is_completed", [True, False])
async def test_request_that_is_being_received_is_refused(
    served: Deployment, sent_bytes: int, *, is_completed: bool
) -> None:
    """Guards against a close while a caller sends its request."""
    caller = await served.add_router()
    data = request_bytes("/write/", "half", 3000, b"order")
    connection = await async_open_connection(caller.address)
    connection.send(data[:sent_bytes])
    await pass_iterations()
    stopping = asyncio.create_task(stop(served, is_immediate=True))
    await pass_iterations()
    if is_completed:
        connection.send(data[sent_bytes:])
    response = await receive(connection, ReceivedResponse())
    connection.abort()
    await stopping
    assert is_refusal(response)
    assert not any(item.received for item in served.upstream_by_id.values())


async def test_request_on_an_idle_connection_is_refused(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http1_server, "CLOSE_RECEIVE_SECONDS", 5.0)
    caller = await served.add_router()
    connection = await async_open_connection(caller.address)
    await pass_iterations()
    stopping = asyncio.create_task(stop(served, is_immediate=True))
    await pass_iterations()
    connection.send(request_bytes("/write/", "late", 3000))
    response = await receive(connection, ReceivedResponse())
    connection.abort()
    await stopping
    assert is_refusal(response)


async def test_process_that_is_stopped_answers_before_it_ends(
    served: Deployment, tmp_path: Path
) -> None:
    """Guards against responses that are lost with the process."""
    hold_at_upstreams(served, Caller(""))
    settings = served.settings("r1")
    file = tmp_path / "settings.json"
    file.write_bytes(TypeAdapter(Settings).dump_json(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lacewingspar_router",
        "run",
        str(file),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(30.0):
            while b"router started" not in await process.stdout.readline():
                pass
            caller = Caller(settings.caller_address)
            call = asyncio.create_task(caller.call("/write/"))
            while b"request admitted" not in await process.stdout.readline():
                pass
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
            response = await call
            assert (response.status, response.is_complete) == (502, True)
            assert await process.wait() == main.EXIT_FAILED
    finally:
        if process.returncode is None:
            process.kill()
