"""Requests of two data centres whose services have pools of their own."""

import asyncio
import time
from collections import Counter
from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import Caller, Deployment, manifest, until

from lacewingspar_core import pools
from lacewingspar_core.messages import RouterState
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.ingress import FleetAdmission
from lacewingspar_router.components.admission.models import ADMISSION
from lacewingspar_router.components.admission.pool_owners import PoolOwners
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING

CALLS = 12


def knows_all(deployment: Deployment) -> bool:
    def is_complete(app: Application) -> bool:
        alive = app.get(PEERS).alive_by_router_id.values()
        serving = [item for item in alive if item.state is RouterState.SERVING]
        directory = app.get(ROUTING).directory
        return (
            len(serving) == len(deployment.apps)
            and len(directory.ready_upstreams("plain")) == 2
        )

    return all(is_complete(app) for app in deployment.apps)


@pytest.fixture
async def caller(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> Caller:
    """Return a caller of `dc-a`; each data centre has one plain upstream."""
    monkeypatch.setattr(pools, "UPSTREAMS_PER_SHARD", 1)
    deployment.publish(manifest())
    await deployment.add_upstream("e1", "engines")
    await deployment.add_upstream("near", "plain", "dc-a")
    await deployment.add_upstream("far", "plain", "dc-b")
    caller = await deployment.add_router("r1", "dc-a")
    seeds = [deployment.apps[0].settings.peer_address]
    for name in ("r2", "r3"):
        await deployment.add_router(name, "dc-b", seed_hosts=seeds)
    await until(lambda: knows_all(deployment))
    return caller


def set_leaving_share(deployment: Deployment, share: float) -> None:
    admission = deployment.apps[0].get(ADMISSION)
    assert isinstance(admission, FleetAdmission)
    admission.shares("plain").leaving_share = share


def runs(deployment: Deployment) -> Counter[str]:
    return Counter(
        {
            upstream_id: upstream.runs.total()
            for upstream_id, upstream in deployment.upstream_by_id.items()
        }
    )


async def test_requests_stay_in_their_data_centre(
    deployment: Deployment, caller: Caller
) -> None:
    for _ in range(CALLS):
        assert (await caller.call("/write/")).status == 200
    assert runs(deployment)["near"] == CALLS


async def test_leaving_requests_are_served_elsewhere(
    deployment: Deployment, caller: Caller
) -> None:
    set_leaving_share(deployment, 1.0)
    assert (await caller.call("/write/")).status == 200
    assert runs(deployment) == Counter(far=1)


async def test_own_data_centre_serves_when_the_other_one_is_lost(
    deployment: Deployment, caller: Caller
) -> None:
    """Guards against requests that try each router of a lost data centre."""
    for app in deployment.apps[1:]:
        await app.async_stop()
    set_leaving_share(deployment, 1.0)
    started_at = asyncio.get_running_loop().time()
    assert (await caller.call("/write/")).status == 200
    # One owner that does not respond takes 0.12 s.
    assert asyncio.get_running_loop().time() - started_at < 0.3
    assert runs(deployment) == Counter(near=1)


async def test_owner_that_responded_during_a_late_iteration_is_kept(
    deployment: Deployment, caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an overloaded router that finds all owners silent."""
    submit = PoolOwners.submit
    loop = asyncio.get_running_loop()

    def submit_before_late_iteration(
        self: PoolOwners, owner: str, *args: Any
    ) -> None:
        submit(self, owner, *args)
        loop.call_soon(time.sleep, 3 * const.OWNER_RESPONSE_TIMEOUT_SECONDS)

    monkeypatch.setattr(PoolOwners, "submit", submit_before_late_iteration)
    set_leaving_share(deployment, 1.0)
    with structlog.testing.capture_logs() as lines:
        assert (await caller.call("/write/")).status == 200
    assert "pool owner did not respond; asking the next one" not in [
        line["event"] for line in lines
    ]
    assert runs(deployment) == Counter(far=1)


async def test_upstreams_serve_without_routers_in_their_data_centre(
    deployment: Deployment, caller: Caller
) -> None:
    """Guards against upstreams that idle because no router owns their pool."""
    for app in deployment.apps[1:]:
        await app.async_drain()
        await app.async_stop()
    deployment.register("near", "plain", "draining")
    directory = deployment.apps[0].get(ROUTING).directory
    await until(lambda: "near" not in directory.ready_upstreams("plain"))
    assert (await caller.call("/write/", budget_ms=8000)).status == 200
    assert runs(deployment) == Counter(far=1)


async def test_request_leaves_when_no_upstream_is_left_nearby(
    deployment: Deployment, caller: Caller
) -> None:
    """Guards against refusals while another data centre could serve."""
    deployment.upstream_by_id["near"].faults.refuse = True
    with structlog.testing.capture_logs() as lines:
        assert (await caller.call("/read/", "GET")).status == 200
    assert runs(deployment)["far"] == 1
    (moved,) = (
        line
        for line in lines
        if line["event"] == "request declined; asking another data centre"
    )
    assert moved["pool_data_centre"] == "dc-a"
    assert moved["next_data_centre"] == "dc-b"
