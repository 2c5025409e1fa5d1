"""Refusals of upstreams that do not name the request that they refuse."""

import asyncio
import os

import pytest
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    manifest,
    until,
)

from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_standins.deployed import upstream as upstream_module
from lacewingspar_standins.deployed.upstream import Upstream

# Requests of the random test; some thousand show how often a fault occurs.
CALLS = int(os.environ.get("UNNAMED_REFUSAL_CALLS", "600"))
CALLERS = 16
REFUSED_FRACTION = 0.15
# Statuses by which a caller learns that its request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def plain_upstreams(served: Deployment) -> list[Upstream]:
    """Return the upstreams that serve plain calls."""
    return [served.upstream_by_id[name] for name in ("p1", "p2")]


def connections(upstreams: list[Upstream]) -> int:
    """Return how many connections some upstreams have accepted."""
    return sum(upstream.connections for upstream in upstreams)


async def async_call_often(caller: Caller, path: str) -> dict[str, int]:
    """Send many requests, some at a time; return their status by id."""
    status_by_id: dict[str, int] = {}
    ids = iter([f"n{number}" for number in range(CALLS)])

    async def async_call_in_turn() -> None:
        own = Caller(caller.address)
        for request_id in ids:
            response = await own.call(path, x_attempt_id=request_id)
            status_by_id[request_id] = response.status

    await asyncio.gather(*(async_call_in_turn() for _ in range(CALLERS)))
    return status_by_id


async def test_no_request_that_ran_is_refused(served: Deployment) -> None:
    """Guards against a refusal that is taken for that of the next request."""
    caller = await served.add_router()
    upstreams = plain_upstreams(served)
    for upstream in upstreams:
        upstream.faults.unnamed_refusals = REFUSED_FRACTION
    status_by_id = await async_call_often(caller, "/write/")
    runs = upstreams[0].runs + upstreams[1].runs
    refusals = sum(upstream.unnamed_refusals for upstream in upstreams)
    refused = [
        request_id
        for request_id, status in status_by_id.items()
        if status in NOT_RUN_STATUSES
    ]
    denied = [request_id for request_id in refused if runs[request_id]]
    served_ids = [key for key, status in status_by_id.items() if status == 200]
    print(
        f"{CALLS} requests, {len(runs)} ran, {len(served_ids)} answered, "
        f"{len(refused)} refused, {len(denied)} of them ran, "
        f"{refusals} refusals, {connections(upstreams)} connections"
    )
    assert len(status_by_id) == CALLS
    assert refusals
    assert not denied
    assert set(served_ids) == set(runs)
    assert max(runs.values()) == 1


async def test_connections_are_kept_while_responses_name_their_request(
    served: Deployment,
) -> None:
    """Guards against a new connection for each request."""
    caller = await served.add_router()
    status_by_id = await async_call_often(caller, "/write/")
    assert set(status_by_id.values()) == {200}
    assert connections(plain_upstreams(served)) <= CALLERS


@pytest.mark.parametrize("path", ["/read/", "/write/"])
@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES | {400}))
async def test_repeated_refusal_is_not_that_of_the_next_request(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    status: int,
    path: str,
) -> None:
    """Guards against a refusal of a request that runs."""
    monkeypatch.setattr(upstream_module, "MIN_REPEAT_SECONDS", 0.1)
    monkeypatch.setattr(upstream_module, "MAX_REPEAT_SECONDS", 0.1)
    deployment.publish(manifest())
    upstream = await deployment.add_upstream(
        "p1", "plain", response_delay_seconds=0.3
    )
    upstream.faults.unnamed_status = status
    caller = await deployment.add_router()
    directory = deployment.apps[0].get(ROUTING).directory
    await until(lambda: len(directory.ready_upstreams("plain")) == 1)
    assert (await caller.call(path)).status == 200
    upstream.faults.unnamed_refusals = 1.0
    assert (await caller.call(path)).status == 503
    upstream.faults.unnamed_refusals = 0.0
    response = await caller.call(path, x_attempt_id="next")
    assert (response.status, response.body) == (200, b"answer of p1")
    assert upstream.runs["next"] == 1
