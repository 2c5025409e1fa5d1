"""Stand-ins of upstreams that are started again after a crash."""

import socket

import pytest
from tests.router.deployed.conftest import Deployment, manifest


async def test_port_of_a_crashed_upstream_is_kept_for_its_successor(
    deployment: Deployment,
) -> None:
    """Guards against tests that fail as another socket has got the port."""
    deployment.publish(manifest())
    crashed = await deployment.add_upstream("p1", "plain")
    crashed.crash()
    host, _, port = crashed.address.rpartition(":")
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind((host, int(port)))
    await deployment.restart_crashed("plain")
    assert deployment.upstream_by_id["p1+"].address == crashed.address
