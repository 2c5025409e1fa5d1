"""Configuration, upstreams and routers shared through the log service."""

import asyncio

import msgspec
import pytest
from tests.router.deployed.conftest import (
    Deployment,
    manifest,
    route,
    until,
)

from lacewingspar_core.messages import RouterState
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.routing.state import RoutingState


def is_serving(app: Application) -> bool:
    """Return whether a router sees all live routers as serving."""
    alive = app.get(PEERS).alive_by_router_id.values()
    return all(record.state is RouterState.SERVING for record in alive)


def version_of(deployment: Deployment, position: int = 0) -> int:
    configuration = deployment.apps[position].get(ROUTING).configuration
    return -1 if configuration is None else configuration.version


async def test_new_version_is_activated(served: Deployment) -> None:
    caller = await served.add_router()
    assert (await caller.call("/new/", "GET")).status == 404
    served.publish(manifest(7, routes=[route("/new/", "idempotent", "plain")]))
    await until(lambda: version_of(served) == 7, 1.0)
    assert (await caller.call("/new/", "GET")).status == 200
    assert (await caller.call("/read/", "GET")).status == 404


async def test_older_and_unreadable_versions_are_ignored(
    served: Deployment,
) -> None:
    """Guards against a configuration that reverts or crashes the process."""
    caller = await served.add_router()
    served.publish(manifest(5))
    await until(lambda: version_of(served) == 5)
    served.publish(manifest(4, routes=[]))
    served.store.topic("keyed.op").append("config", b"{]")
    served.store.topic("keyed.op").append("other", b"x")
    served.publish(manifest(6))
    await until(lambda: version_of(served) == 6)
    assert (await caller.call("/read/", "GET")).status == 200


async def test_revoked_key_is_refused(served: Deployment) -> None:
    caller = await served.add_router()
    assert (await caller.call("/read/", "GET")).status == 200
    served.publish(manifest(2, tenants=[]))
    await until(lambda: version_of(served) == 2, 1.0)
    assert (await caller.call("/read/", "GET")).status == 401


async def test_draining_upstream_gets_no_new_request(
    served: Deployment,
) -> None:
    caller = await served.add_router()
    served.register("p1", "plain", "draining")
    directory = served.apps[0].get(ROUTING).directory
    await until(lambda: "p1" not in directory.ready_upstreams("plain"), 1.5)
    before = served.upstream_by_id["p1"].runs.total()
    for _ in range(5):
        assert (await caller.call("/write/")).status == 200
    assert served.upstream_by_id["p1"].runs.total() == before


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b'{"service": "plain"}',
        b'{"service": "plain", "address": "host:1", "zone": "z", "slots": 1,'
        b' "version": "v1", "coldRemainingMs": 0,'
        b' "state": "ready", "sequence": 1, "born": 1}',
        b'{"service": "plain", "address": "10.0.0.1:1", "zone": "z",'
        b' "version": "v1", "coldRemainingMs": 0,'
        b' "slots": "many", "state": "ready", "sequence": 1, "born": 1}',
        b'{"service": "plain", "address": "10.0.0.1:1", "zone": "z",'
        b' "version": "v1", "coldRemainingMs": 0,'
        b' "slots": 1, "state": "odd", "sequence": 1, "born": 1}',
        b'{"service": "plain", "address": "10.0.0.1:1", "zone": "z",'
        b' "version": "v1", "coldRemainingMs": 0,'
        b' "slots": 1, "state": "ready", "sequence": 1, "born": 1.5}',
    ],
)
async def test_invalid_upstream_entries_are_ignored(
    served: Deployment, value: bytes
) -> None:
    """Guards against invalid entries from other writers of the topic."""
    await served.add_router()
    topic = served.store.topic("keyed.servers")
    topic.append("forged", value)
    directory = served.apps[0].get(ROUTING).directory
    await served.add_upstream("p3", "plain")
    await until(lambda: "p3" in directory.entry_by_id)
    assert "forged" not in directory.entry_by_id


async def test_dropped_history_loses_no_changes(served: Deployment) -> None:
    caller = await served.add_router()
    served.publish(manifest(3))
    for topic in served.store.topic_by_name.values():
        topic.compact()
    await until(lambda: version_of(served) == 3)
    topic = served.store.topic("keyed.servers")
    topic.append("p1", b"")
    topic.compact()
    directory = served.apps[0].get(ROUTING).directory
    await until(lambda: "p1" not in directory.entry_by_id)
    assert (await caller.call("/read/", "GET")).status == 200


@pytest.mark.parametrize("fault", ["outage", "busy", "silent"])
async def test_requests_succeed_while_the_log_is_unavailable(
    served: Deployment, fault: str
) -> None:
    caller = await served.add_router()
    setattr(served.store.faults, fault, True)
    served.store.faults_changed()
    for _ in range(3):
        assert (await caller.call("/write/")).status == 200
        await asyncio.sleep(0.1)
    setattr(served.store.faults, fault, False)
    served.publish(manifest(9))
    await until(lambda: version_of(served) == 9)


async def test_router_that_cannot_read_the_log_asks_peers(
    served: Deployment,
) -> None:
    """Guards against an outdated configuration during a log outage."""
    await served.add_router("r1")
    other = served.apps[0].settings.peer_address
    await served.add_router("r2", seed_hosts=[other])
    # Neither can read the log; only the first router gets the newer version.
    served.store.faults.outage = True
    served.store.faults_changed()
    await asyncio.sleep(0.5)
    first = served.apps[0].get(ROUTING)
    assert isinstance(first, RoutingState)
    first.apply_configuration(msgspec.json.encode(manifest(11)), "test")
    await until(lambda: version_of(served, 1) == 11, 3.0)


async def test_routers_find_each_other_and_share_the_slots(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against routers that each use all slots of an upstream.

    Load: two routers get 20 calls each for one upstream with 8 slots.
    """
    # On a busy test machine the slot owner may answer later than in production.
    monkeypatch.setattr(const, "OWNER_RESPONSE_TIMEOUT_SECONDS", 30.0)
    deployment.publish(manifest())
    upstream = await deployment.add_upstream(
        "p1", "plain", response_delay_seconds=0.2
    )
    callers = [await deployment.add_router(name) for name in ("r1", "r2")]
    await until(
        lambda: all(
            len(app.get(PEERS).alive_by_router_id) == 2
            for app in deployment.apps
        )
    )
    await until(lambda: all(is_serving(app) for app in deployment.apps))
    calls = [
        asyncio.create_task(caller.call("/read/", "GET"))
        for caller in callers
        for _ in range(20)
    ]
    most = 0
    while not all(call.done() for call in calls):
        most = max(most, upstream.running)
        await asyncio.sleep(0.005)
    assert most == 8


async def test_lost_reply_of_the_registration_is_harmless(
    served: Deployment,
) -> None:
    served.store.faults.lose_replies = 2
    caller = await served.add_router()
    assert (await caller.call("/read/", "GET")).status == 200
    await until(
        lambda: (
            "r1"
            in served.store.topic("keyed.lacewingspar-routers").newest_by_key
        )
    )


async def test_upstream_unknown_to_one_router_stays_in_use(
    served: Deployment,
) -> None:
    """Guards against a new upstream that a router with old records blocks."""
    added = await served.add_upstream("p3", "plain")
    owner = await served.add_router("r1")
    # Too small to own a pool.
    outdated = await served.add_router("r2", processor_share=0.1)
    await until(
        lambda: all(
            len(app.get(PEERS).alive_by_router_id) == 2 and is_serving(app)
            for app in served.apps
        )
    )
    directory = served.apps[1].get(ROUTING).directory
    directory.remove("p3", 0.0, grace_seconds=0.0)
    for name in ("p1", "p2", "p3"):
        served.upstream_by_id[name].response_delay_seconds = 0.2
    for caller in (outdated, owner):
        responses = await asyncio.gather(
            *(caller.call("/write/x") for _ in range(12))
        )
        assert {response.status for response in responses} == {200}
    assert added.runs
