"""Routers that are killed and started again at their addresses."""

import asyncio
from typing import Any
from unittest import mock

import msgspec
import pytest
import structlog
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    knows_as_serving,
    manifest,
    until,
)

from lacewingspar_core.admission_messages import AdmissionQueued
from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.models import ROUTING, KeyedRecord
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_standins.deployed.documents import upstream_entry

SLOTS = 2
WAITING_REQUESTS = 3
# Room for the requests that occupy the upstreams and for those that wait.
LIMIT_MS = 20_000
# Offset of records that the other routers have not read.
NEW_OFFSET = 1000


async def async_kill(app: Application) -> None:
    """End a router without a word to the others."""
    silent = mock.Mock(return_value=0)
    with mock.patch.multiple(
        app.get(PEERS), send=silent, send_to_instance=silent
    ):
        await app.async_stop()


def send_calls(
    caller: Caller, path: str, count: int
) -> list[asyncio.Task[Any]]:
    """Send calls that wait for an upstream."""
    return [
        asyncio.create_task(
            Caller(caller.address).call(path, budget_ms=LIMIT_MS)
        )
        for _ in range(count)
    ]


async def async_fill(
    deployment: Deployment, caller: Caller, path: str, upstream_id: str
) -> list[asyncio.Task[Any]]:
    """Occupy all slots of an upstream until it is unmuted."""
    upstream = deployment.upstream_by_id[upstream_id]
    upstream.faults.mute = True
    calls = send_calls(caller, path, SLOTS)
    await until(lambda: len(upstream.received) == SLOTS)
    return calls


@pytest.fixture
async def small(deployment: Deployment) -> Deployment:
    """Provide one upstream of each service, with long targets and few slots."""
    value = manifest()
    for item in value["routes"]:
        item |= {"targetLatencyMs": LIMIT_MS, "timeoutMs": LIMIT_MS}
    value["services"][0]["engine"]["slots"] = SLOTS
    deployment.publish(value)
    for upstream_id, service in (("e1", "engines"), ("p1", "plain")):
        await deployment.add_upstream(upstream_id, service)
        deployment.register(upstream_id, service, slots=SLOTS)
    return deployment


def record_queued(app: Application) -> list[ReceivedMessage]:
    """Return a list that gets the router's messages about queued requests."""
    received: list[ReceivedMessage] = []
    app.get(PEERS).subscribe(AdmissionQueued, received.append)
    return received


async def test_grant_for_a_killed_router_is_not_used_by_its_successor(
    small: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that run at an upstream of another service.

    A new process at the address of a killed one numbers its requests from 1
    too, and the owner of the pools does not know yet that the other one ended.
    """
    monkeypatch.setattr(const, "OWNER_RESPONSE_TIMEOUT_SECONDS", LIMIT_MS)
    monkeypatch.setattr(
        PoolAdmission, "remove_ingress_router", mock.Mock(return_value=[])
    )
    owner_caller = await small.add_router("r2", processor_share=4.0)
    caller = await small.add_router("r1")
    owner, killed = small.apps
    await until(lambda: knows_as_serving(owner, "r1"))
    await until(lambda: knows_as_serving(killed, "r2"))
    occupying = await async_fill(small, owner_caller, "/stream-once/", "e1")
    occupying += await async_fill(small, owner_caller, "/read/", "p1")
    queued = record_queued(killed)
    lost = send_calls(caller, "/stream-once/", WAITING_REQUESTS)
    await until(lambda: len(queued) == WAITING_REQUESTS)
    await async_kill(killed)
    successor = await small.restart_router(killed)
    await until(lambda: knows_as_serving(successor, "r2"))
    queued = record_queued(successor)
    calls = send_calls(caller, "/write/", WAITING_REQUESTS)
    await until(lambda: len(queued) >= WAITING_REQUESTS)
    engine, plain = (small.upstream_by_id[name] for name in ("e1", "p1"))
    with structlog.testing.capture_logs() as lines:
        engine.unmute()
        await until(
            lambda: any(
                line["event"] == "peer message for another process dropped"
                or line["event"].startswith("grant given back")
                for line in lines
            )
        )
        plain.unmute()
        responses = await asyncio.gather(*calls)
    await asyncio.gather(*occupying, *lost)
    assert [response.status for response in responses] == [200] * len(calls)
    assert {item.target for item in engine.received} == {"/stream-once/"}
    # The check of the service before the send would hide the mix-up.
    assert not any("given back" in line["event"] for line in lines)


async def test_grant_of_an_owner_with_an_old_list_is_not_used(
    served: Deployment,
) -> None:
    """Guards against a request at an upstream that has changed its service.

    The owner of the pool has not read the new entries.
    """
    await served.add_router("r2", processor_share=4.0)
    caller = await served.add_router("r1")
    asking = served.apps[1]
    await until(lambda: knows_as_serving(asking, "r2"))
    state = asking.get(ROUTING)
    assert isinstance(state, RoutingState)
    upstreams = [served.upstream_by_id[name] for name in ("e1", "e2")]
    records = [
        KeyedRecord(
            upstream.upstream_id,
            msgspec.json.encode(
                upstream_entry("plain", upstream.address, NEW_OFFSET)
            ),
            NEW_OFFSET + number,
        )
        for number, upstream in enumerate(upstreams)
    ]
    state.apply_upstream_records(records, NEW_OFFSET + 2, "log")
    response = await caller.call("/stream-once/", budget_ms=1000)
    assert response.status == 503
    assert not any(upstream.received for upstream in upstreams)
