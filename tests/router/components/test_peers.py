"""Tests the sockets between routers."""

import random
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

import pytest

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.membership import Membership, Seed
from lacewingspar_core.messages import Heartbeat, MemberRecord, RouterState
from lacewingspar_router.application import LifeCycle
from lacewingspar_router.components.peers import const
from lacewingspar_router.components.peers.network import ZmqPeerNetwork

REMOVED_AT = 60.0


def _record(name: str, address: str) -> MemberRecord:
    instance = RouterInstance(name, 1)
    return MemberRecord(instance, "d", address, RouterState.SERVING, 1, 0)


@pytest.fixture
async def app() -> Any:
    app: Any = mock.MagicMock(
        instance=RouterInstance("a", 1), life_cycle=LifeCycle.SERVING
    )
    app.settings.data_centre = "d"
    app.settings.address_map = {}
    app.now.return_value = 0.0
    return app


@pytest.fixture
async def membership() -> Membership:
    seed = Seed("seed", "d", "tcp://127.0.0.1:1")
    own = _record("a", "tcp://127.0.0.1:2")
    return Membership(own, [seed], random.Random(1))


@pytest.fixture
async def network(
    app: Any, membership: Membership
) -> AsyncIterator[ZmqPeerNetwork]:
    network = ZmqPeerNetwork(app, membership)
    yield network
    await network.async_unload()


async def test_sockets_of_removed_routers_are_closed(
    app: Any, membership: Membership, network: ZmqPeerNetwork
) -> None:
    """Guards against sockets that leak when routers are replaced."""
    sockets: list[int] = []

    def gauge(name: str, value: int, **_: str) -> None:
        if name == const.METRIC_SOCKETS:
            sockets.append(value)

    app.get.return_value.gauge = gauge
    other = _record("b", "tcp://127.0.0.1:3")
    membership.merge(Heartbeat((other,)), 0.0)
    for now in (0.0, REMOVED_AT):
        app.now.return_value = now
        network.send_heartbeat()
    assert sockets == [2, 1]


async def test_traffic_is_counted_by_distance(
    app: Any, membership: Membership, network: ZmqPeerNetwork
) -> None:
    """Guards against costs between data centres that nobody can see."""
    remote = MemberRecord(
        RouterInstance("far", 1),
        "other",
        "tcp://127.0.0.1:3",
        RouterState.SERVING,
        1,
        0,
    )
    near = _record("near", "tcp://127.0.0.1:4")
    membership.merge(Heartbeat((near, remote)), 0.0)
    network.send_heartbeat()
    message = Heartbeat((near,))
    near_bytes = network.send("near", message)
    far_bytes = network.send("far", message)
    gauges: dict[tuple[str, str], float] = {}

    def gauge(name: str, value: float, **labels: str) -> None:
        if name == const.METRIC_SENT_BYTES:
            gauges[labels["type"], labels["scope"]] = value

    app.get.return_value.gauge = gauge
    network.send_heartbeat()
    assert near_bytes > 0
    assert gauges["Heartbeat", "near"] >= near_bytes
    assert gauges["Heartbeat", "far"] >= far_bytes
