"""Tests of loops of a router in which a part raises an exception."""

from collections.abc import Callable
from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    manifest,
    route,
    until,
)

from lacewingspar_core.admission_messages import RunEnded
from lacewingspar_core.messages import Heartbeat
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import ADMISSION
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY

UNKNOWN_OUTCOME = 99


def explode(*_: Any) -> None:
    raise RuntimeError("exploded")


def fail_once(owner: Any, name: str) -> None:
    """Let a method of an object raise an exception at its next call."""

    def fail(*_: Any, **__: Any) -> None:
        delattr(owner, name)
        explode()

    setattr(owner, name, fail)


def error_count(app: Application) -> float:
    _, page = app.get(TELEMETRY).render()
    return sum(
        float(line.rsplit(b" ", 1)[1])
        for line in page.splitlines()
        if line.startswith(b"lacewingspar_loop_errors_total")
    )


async def add_two_routers(deployment: Deployment) -> list[Application]:
    for name in ("r1", "r2"):
        await deployment.add_router(name)
    first, second = deployment.apps
    await until(lambda: "r1" in second.get(PEERS).alive_by_router_id)
    return [first, second]


async def test_router_receives_messages_after_a_handler_failed(
    served: Deployment,
) -> None:
    """Guards against a router that no longer hears the others."""
    first, _ = await add_two_routers(served)
    received: list[ReceivedMessage] = []
    first.get(PEERS).subscribe(Heartbeat, explode)
    first.get(PEERS).subscribe(Heartbeat, received.append)
    await until(lambda: len(received) > 2)
    assert error_count(first) > 2


async def test_router_receives_messages_after_one_that_it_does_not_know(
    served: Deployment,
) -> None:
    """Guards against a router that no longer hears routers of a newer version.

    The value of a field may be one that only newer versions know.
    """
    first, second = await add_two_routers(served)
    message = RunEnded("plain", "", 0, 1, UNKNOWN_OUTCOME, "")
    received: list[ReceivedMessage] = []
    second.get(PEERS).send("r1", message)
    await until(lambda: error_count(first) > 0)
    first.get(PEERS).subscribe(Heartbeat, received.append)
    await until(lambda: len(received) > 2)


async def test_router_sends_heartbeats_after_a_listener_failed(
    served: Deployment,
) -> None:
    """Guards against a router that others take for dead."""
    first, second = await add_two_routers(served)
    first.get(PEERS).add_listener(explode)
    received: list[ReceivedMessage] = []
    await served.add_router("r3")
    await until(lambda: error_count(first) > 0)

    def record(message: ReceivedMessage) -> None:
        if message.sender.router_id == "r1":
            received.append(message)

    second.get(PEERS).subscribe(Heartbeat, record)
    await until(lambda: len(received) > 2)


def fail_listeners(app: Application) -> None:
    app.get(ROUTING).add_listener(explode)


def fail_configuration_once(app: Application) -> None:
    fail_once(app.get(ROUTING), "apply_configuration")


def fail_upstream_records_once(app: Application) -> None:
    fail_once(app.get(ROUTING), "apply_upstream_records")


def fail_expiry_once(app: Application) -> None:
    fail_once(app.get(ROUTING), "expire")


def fail_tick_once(app: Application) -> None:
    fail_once(app.get(ADMISSION), "tick")


def fail_run_report_once(app: Application) -> None:
    fail_once(app.get(ADMISSION), "report_runs")


FAILURES = (
    fail_listeners,
    fail_configuration_once,
    fail_upstream_records_once,
    fail_expiry_once,
    fail_tick_once,
    fail_run_report_once,
)


@pytest.mark.parametrize("fail", FAILURES, ids=lambda fail: fail.__name__)
async def test_router_applies_changes_after_a_failure(
    served: Deployment, fail: Callable[[Application], None]
) -> None:
    """Guards against a router that keeps an old configuration or directory."""
    caller: Caller = await served.add_router()
    (app,) = served.apps
    with structlog.testing.capture_logs() as lines:
        fail(app)
        newer = manifest(2)
        newer["routes"].append(route("/added/", "idempotent", "added"))
        newer["services"].append({"name": "added", "maxConnections": 100})
        served.publish(newer)
        await served.add_upstream("a1", "added")
        routing = app.get(ROUTING)
        await until(lambda: error_count(app) > 0)
        await until(lambda: routing.configuration.version == 2)
        await until(lambda: "a1" in routing.directory.entry_by_id)
    assert (await caller.call("/added/")).status == 200
    events = {line["event"] for line in lines}
    assert "error in a loop" in events
    assert "task failed" not in events
