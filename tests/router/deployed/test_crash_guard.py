"""Requests that crash every upstream that runs them."""

import asyncio

from tests.router.deployed.conftest import Deployment, manifest, until

from lacewingspar_router.components.peers.models import PEERS

POISON = b"poison"


async def poisoned(deployment: Deployment, upstreams: int) -> None:
    deployment.publish(manifest())
    for number in range(upstreams):
        upstream = await deployment.add_upstream(f"p{number}", "plain")
        upstream.faults.crash_marker = POISON.decode()


def crashes(deployment: Deployment) -> int:
    return sum(item.crashes for item in deployment.upstream_by_id.values())


async def test_poison_is_refused_after_three_crashes(
    deployment: Deployment,
) -> None:
    """Guards against one request that ends the whole pool.

    Load: a request comes again and again, one innocent beside it each time.
    """
    await poisoned(deployment, 8)
    caller = await deployment.add_router()
    statuses = []
    for _ in range(12):
        answer = await caller.call("/write/", body=POISON)
        statuses.append(answer.status)
        await asyncio.sleep(0.1)
        assert (await caller.call("/write/", body=b"fine")).status == 200
    assert crashes(deployment) <= 3
    assert statuses[-1] == 503


async def test_crash_records_reach_the_other_routers(
    deployment: Deployment,
) -> None:
    """Guards against a poison that crashes three upstreams for each router."""
    await poisoned(deployment, 8)
    callers = [await deployment.add_router(name) for name in ("r1", "r2")]
    await until(lambda: all(caller for caller in callers))
    await asyncio.sleep(1.5)
    for number in range(12):
        await callers[number % 2].call("/write/", body=POISON)
        await asyncio.sleep(0.15)
    assert crashes(deployment) <= 3


async def test_reset_without_a_crash_is_no_crash(served: Deployment) -> None:
    """Guards against a quarantine for answers that were lost on the way."""
    caller = await served.add_router()
    for upstream in served.upstream_by_id.values():
        upstream.faults.unframed = True
        upstream.faults.reset_unframed = True
    for _ in range(6):
        assert (await caller.call("/write/", body=POISON)).status == 502
        await asyncio.sleep(0.05)
    for upstream in served.upstream_by_id.values():
        upstream.faults.reset_unframed = False
    assert (await caller.call("/write/", body=POISON)).status == 200


async def test_router_that_has_started_knows_the_crashes(
    deployment: Deployment,
) -> None:
    """Guards against a restart that lets a request crash upstreams again."""
    await poisoned(deployment, 8)
    first = await deployment.add_router("r1")
    for _ in range(6):
        await first.call("/write/", body=POISON)
        await asyncio.sleep(0.15)
    assert crashes(deployment) == 2
    seed = deployment.apps[0].settings.peer_address
    second = await deployment.add_router("r2", seed_hosts=[seed])
    await until(
        lambda: len(deployment.apps[1].get(PEERS).alive_by_router_id) == 2
    )
    await asyncio.sleep(1.5)
    assert (await second.call("/write/", body=POISON)).status == 503
    assert crashes(deployment) == 2
