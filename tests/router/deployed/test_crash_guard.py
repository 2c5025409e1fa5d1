"""Tests of the quarantine of requests that crash every upstream."""

import asyncio

import structlog
from tests.router.deployed.conftest import Deployment, manifest, until

from lacewingspar_router.components.peers.models import PEERS

CRASHING_BODY = b"poison"


async def add_crashing_upstreams(
    deployment: Deployment, upstreams: int
) -> None:
    deployment.publish(manifest())
    for number in range(upstreams):
        upstream = await deployment.add_upstream(f"p{number}", "plain")
        upstream.faults.crash_marker = CRASHING_BODY.decode()


def total_crashes(deployment: Deployment) -> int:
    return sum(item.crashes for item in deployment.upstream_by_id.values())


async def test_crashing_request_is_refused_after_three_crashes(
    deployment: Deployment,
) -> None:
    """Guards against a repeated request that crashes a whole pool.

    Each crashing request is followed by a harmless one, which must succeed.
    """
    await add_crashing_upstreams(deployment, 8)
    caller = await deployment.add_router()
    statuses = []
    for _ in range(12):
        response = await caller.call("/write/", body=CRASHING_BODY)
        statuses.append(response.status)
        await asyncio.sleep(0.1)
        assert (await caller.call("/write/", body=b"fine")).status == 200
    assert total_crashes(deployment) <= 3
    assert statuses[-1] == 503


async def test_crash_records_reach_the_other_routers(
    deployment: Deployment,
) -> None:
    """Guards against crash records that each router keeps for itself.

    The crashing request would then crash three upstreams per router.
    """
    await add_crashing_upstreams(deployment, 8)
    callers = [await deployment.add_router(name) for name in ("r1", "r2")]
    await until(lambda: all(caller for caller in callers))
    await asyncio.sleep(1.5)
    for number in range(12):
        await callers[number % 2].call("/write/", body=CRASHING_BODY)
        await asyncio.sleep(0.15)
    assert total_crashes(deployment) <= 3


async def test_crash_is_logged_with_the_requests_that_had_not_begun(
    deployment: Deployment,
) -> None:
    """Guards against crashes whose cause cannot be found in the logs."""
    await add_crashing_upstreams(deployment, 2)
    caller = await deployment.add_router()
    with structlog.testing.capture_logs() as logs:
        await caller.call(
            "/write/",
            body=CRASHING_BODY,
            x_attempt_id="culprit",
            x_prompt_prefix="0a1:10,b2:20,c3:30",
        )
        await until(
            lambda: any(line["event"] == "upstream crashed" for line in logs)
        )
    (crash,) = [line for line in logs if line["event"] == "upstream crashed"]
    assert crash["without_output"] == ["culprit"]
    assert crash["their_prompt_parts"] == ["a1", "b2"]


async def test_reset_without_a_crash_is_no_crash(served: Deployment) -> None:
    """Guards against the quarantine of requests whose response was lost."""
    caller = await served.add_router()
    for upstream in served.upstream_by_id.values():
        upstream.faults.unframed = True
        upstream.faults.reset_unframed = True
    for _ in range(6):
        assert (await caller.call("/write/", body=CRASHING_BODY)).status == 502
        await asyncio.sleep(0.05)
    for upstream in served.upstream_by_id.values():
        upstream.faults.reset_unframed = False
    assert (await caller.call("/write/", body=CRASHING_BODY)).status == 200


async def test_new_router_receives_the_crash_records(
    deployment: Deployment,
) -> None:
    """Guards against a new router that forwards a known crashing request."""
    await add_crashing_upstreams(deployment, 8)
    first = await deployment.add_router("r1")
    for _ in range(6):
        await first.call("/write/", body=CRASHING_BODY)
        await asyncio.sleep(0.15)
    assert total_crashes(deployment) == 2
    seed = deployment.apps[0].settings.peer_address
    second = await deployment.add_router("r2", seed_hosts=[seed])
    await until(
        lambda: len(deployment.apps[1].get(PEERS).alive_by_router_id) == 2
    )
    await asyncio.sleep(1.5)
    assert (await second.call("/write/", body=CRASHING_BODY)).status == 503
    assert total_crashes(deployment) == 2
