"""Tests of the log lines about the load of a router."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import pytest
import structlog
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import Deployment, until

from lacewingspar_router.components.forwarding import const


async def test_line_tells_connections_descriptors_and_delay(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(const, "LOAD_LOG_INTERVAL_SECONDS", 0.2)
    caller = await served.add_router()
    # Let one interval pass, so that the next line counts only the connections
    # opened below.
    await asyncio.sleep(0.3)
    with structlog.testing.capture_logs() as lines:
        connections = [
            await async_open_connection(caller.address) for _ in range(5)
        ]
        await until(lambda: sum(line.get("accepted", 0) for line in lines) == 5)
    # An interval may end between two of the connections.
    line = [line for line in lines if line.get("accepted")][-1]
    assert line["event"] == "router load"
    assert line["connections"] == 5
    assert line["under_way"] == 0
    # Both ends of each connection use a descriptor of this process.
    assert line["descriptors"] > 10
    assert line["largest_loop_delay_ms"] >= 0
    assert line["processor_ms"] >= 0
    assert line["interval_ms"] >= 200
    for connection in connections:
        connection.abort()


async def test_lines_name_the_workspaces_that_are_refused_and_granted(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(const, "LOAD_LOG_INTERVAL_SECONDS", 0.2)
    caller = await served.add_router()
    with structlog.testing.capture_logs() as lines:
        response = await caller.call(
            "/stream/x", x_token_counts="100,20", x_length_hint="20"
        )
        assert response.status == 200
        await until(lambda: _has_line(lines, "router load", offered=1))
        await until(lambda: _has_line(lines, "pool load", granted_cost=140))
    (load,) = [line for line in lines if line.get("offered") == 1]
    assert load["offered_by_workspace"] == {"alpha": 1}
    assert load["refused"] == 0
    (pool,) = [line for line in lines if line["event"] == "pool load"]
    assert pool["granted_cost_by_workspace"] == {"alpha": 140}
    (admitted,) = [
        line for line in lines if line["event"] == "request admitted"
    ]
    assert admitted["prompt_tokens"] == 100
    assert admitted["output_tokens"] == 20


def _has_line(
    lines: Sequence[Mapping[str, Any]], event: str, **fields: int
) -> bool:
    return any(
        line["event"] == event and fields.items() <= line.items()
        for line in lines
    )
