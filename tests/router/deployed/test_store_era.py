"""A store that is restored to an older state."""

import asyncio

import msgspec
import pytest
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    knows_as_serving,
    manifest,
    until,
)

from lacewingspar_core.directory import EXPIRY_GRACE_SECONDS
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_standins.deployed.store import Topic
from lacewingspar_standins.deployed.upstream import Upstream

TOPICS = ("keyed.op", "keyed.servers", "keyed.lacewingspar-routers")


def states(deployment: Deployment) -> list[RoutingState]:
    found = [app.get(ROUTING) for app in deployment.apps]
    return [item for item in found if isinstance(item, RoutingState)]


async def until_all(deployment: Deployment, check: object) -> None:
    """Wait until all routers fulfil a condition."""
    assert callable(check)
    await until(lambda: all(check(item) for item in states(deployment)))


def pad(deployment: Deployment) -> None:
    """Write records that the restored store will not have."""
    for name in TOPICS:
        for number in range(20):
            deployment.store.topic(name).append(f"pad{number}", b"")


@pytest.fixture
async def callers(served: Deployment) -> list[Caller]:
    """Provide callers of two routers that know each other."""
    first = await served.add_router("r1")
    seeds = [served.apps[0].settings.peer_address]
    second = await served.add_router("r2", seed_hosts=seeds)
    await until(
        lambda: all(
            knows_as_serving(app, name)
            for app in served.apps
            for name in ("r1", "r2")
        )
    )
    return [first, second]


@pytest.fixture
async def copied(served: Deployment, callers: list[Caller]) -> dict[str, Topic]:
    """Provide a copy of the store, whose offsets then go on."""
    del callers
    copied = served.store.copied_topics()
    pad(served)
    known = served.store.topic("keyed.servers").end
    await until_all(
        served, lambda state: state.directory_offset >= min(known, 20)
    )
    return copied


@pytest.mark.parametrize("is_read_offset_reused", [False, True])
async def test_records_of_a_restored_store_are_used(
    served: Deployment, copied: dict[str, Topic], is_read_offset_reused: bool
) -> None:
    """Guards against records that are ignored since their offsets are lower.

    The offset that routers read next may exist again, with other records.
    """
    served.publish(manifest(2))
    await until_all(served, lambda state: state.configuration_version == 2)
    upstream = Upstream("p3")
    await upstream.async_start(served.host)
    served.upstream_by_id["p3"] = upstream
    served.store.restore(copied)
    # Its offset is lower than those that the routers have read.
    served.register("p3", "plain")
    if is_read_offset_reused:
        pad(served)
        pad(served)
    await until_all(served, lambda state: "p3" in state.directory.entry_by_id)
    served.store.topic("keyed.servers").append("p3", b"")
    await until_all(
        served,
        lambda state: "p3" not in state.directory.ready_upstreams("plain"),
    )
    served.publish(manifest(3))
    await until_all(served, lambda state: state.configuration_version == 3)
    await upstream.async_stop()


async def test_configuration_of_a_restored_store_does_not_go_back(
    served: Deployment, copied: dict[str, Topic]
) -> None:
    served.publish(manifest(2))
    await until_all(served, lambda state: state.configuration_version == 2)
    served.store.restore(copied)
    await until_all(served, lambda state: state.era == 1)
    await served.add_upstream("p3", "plain")
    await until_all(served, lambda state: "p3" in state.directory.entry_by_id)
    assert {state.configuration_version for state in states(served)} == {2}


async def test_what_the_copy_lacks_is_kept_until_it_is_written_again(
    served: Deployment, copied: dict[str, Topic], callers: list[Caller]
) -> None:
    """Guards against refusals, and against ends that nobody requested."""
    await served.add_upstream("p3", "plain", "dc-b")
    for name in ("p1", "p2"):
        served.store.topic("keyed.servers").append(name, b"")
    served.store.topic("keyed.op").append("evacuate/dc-c", b"{}")

    def is_as_written(state: RoutingState) -> bool:
        ready = state.directory.ready_upstreams("plain").keys()
        return ready == {"p3"} and state.directory.evacuated_data_centres == {
            "dc-c"
        }

    await until_all(served, is_as_written)
    served.store.restore(copied)
    await until_all(served, lambda state: state.era == 1)
    assert all(is_as_written(state) for state in states(served))
    assert (await callers[0].call("/read/", "GET")).status == 200
    # The upstream writes its entry again, the operators do not.
    served.register("p3", "plain", data_centre="dc-b")
    await until_all(
        served, lambda state: not state.directory.evacuated_data_centres
    )
    await until_all(
        served,
        lambda state: "p3" in state.directory.ready_upstreams("plain"),
    )


async def test_record_that_is_written_again_unchanged_reaches_followers(
    served: Deployment, copied: dict[str, Topic]
) -> None:
    """Guards against a live upstream that routers drop for good (case 9).

    Its record is no change for the router that reads the log.
    """
    await served.add_upstream("p3", "plain")
    for name in ("p1", "p2"):
        served.store.topic("keyed.servers").append(name, b"")

    def is_served(state: RoutingState) -> bool:
        return state.directory.ready_upstreams("plain").keys() == {"p3"}

    await until_all(served, is_served)
    _, value = served.store.topic("keyed.servers").newest_by_key["p3"]
    served.store.restore(copied)
    await until_all(served, lambda state: state.era == 1)
    topic = served.store.topic("keyed.servers")
    for name in ("p1", "p2"):
        topic.append(name, b"")
    topic.append("p3", value)
    await asyncio.sleep(1.5 * EXPIRY_GRACE_SECONDS)
    assert all(is_served(state) for state in states(served))


async def test_routers_register_again_in_a_restored_store(
    served: Deployment, copied: dict[str, Topic]
) -> None:
    """Guards against routers that a new one does not find."""
    name = "keyed.lacewingspar-routers"
    del copied[name]
    served.store.restore(copied)
    await until(
        lambda: {"r1", "r2"} <= served.store.topic(name).newest_by_key.keys()
    )


async def test_store_without_eras_is_read_as_before(
    served: Deployment,
) -> None:
    served.store.era = None
    caller = await served.add_router()
    served.publish(manifest(2))
    await until_all(served, lambda state: state.configuration_version == 2)
    topic = served.store.topic("keyed.op")
    topic.append("config", msgspec.json.encode(manifest(3)))
    await until_all(served, lambda state: state.configuration_version == 3)
    assert (await caller.call("/read/", "GET")).status == 200
