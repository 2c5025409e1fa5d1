"""Tests of upstreams that fall silent during a response."""

from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import (
    Deployment,
    manifest,
    route,
)

from lacewingspar_standins.deployed.upstream import Upstream

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
]
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
        await deployment.add_upstream(f"e{number}", "engines", events=10)
        for number in range(1, count + 1)
    ]


def events(lines: list[Any], event: str) -> list[Any]:
    return [line for line in lines if line["event"] == event]


@pytest.mark.parametrize(
    ("engines", "changes", "settings", "decision", "reason"),
    [
        (2, {}, {}, "replaced", ""),
        (1, {}, {}, "no replacement", "no_upstream"),
        (2, {}, NO_BUDGET, "no replacement", "retry_budget"),
    ],
)
async def test_log_names_the_decision_about_a_silent_upstream(
    deployment: Deployment,
    engines: int,
    changes: dict[str, Any],
    settings: dict[str, Any],
    decision: str,
    reason: str,
) -> None:
    """Guards against a cut stream whose log does not name the reason."""
    for upstream in await add_engines(deployment, engines, **changes):
        upstream.faults.pause_after_events = 3
        upstream.faults.pause_seconds = 1.6
    caller = await deployment.add_router(**settings)
    with structlog.testing.capture_logs() as lines:
        await caller.call("/stream/1", budget_ms=9000)
    silences = events(lines, "upstream silent")
    assert {line["decision"] for line in silences} == {decision}
    first = silences[0]
    assert (first["reason"], first["last_event_id"]) == (reason, 3)
    assert first["silent_ms"] >= 1000
