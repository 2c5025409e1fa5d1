"""Tests of port reservation."""

import random
import socket
from unittest import mock

import pytest

from lacewingspar_standins.ports import CLAIM_PORT, PortReservations
from lacewingspar_standins.server import address_of, bind


def test_reserved_port_can_be_listened_on_repeatedly() -> None:
    """Guards against a router that cannot restart on its ports."""
    reservations = PortReservations()
    host, _, port = reservations.reserve().rpartition(":")
    for _ in range(2):
        listener = bind(host, int(port))
        listener.listen()
        socket.create_connection((host, int(port))).close()
        listener.close()
    reservations.close()


def test_reserved_ports_are_assigned_once() -> None:
    reservations = PortReservations()
    addresses = [reservations.reserve() for _ in range(200)]
    others = [bind(reservations.host, 0) for _ in range(200)]
    assert len({*addresses, *map(address_of, others)}) == 400
    for other in others:
        other.close()
    reservations.close()


def test_reservations_have_loopback_addresses_of_their_own() -> None:
    """Guards against requests that reach another deployment under test.

    Its stand-in has the port of one of this deployment that has ended.
    """
    first, second = PortReservations(), PortReservations()
    hosts = {first.host, second.host}
    assert len(hosts - {"127.0.0.1"}) == 2
    assert {first.reserve().rpartition(":")[0]} == {first.host}
    first.close()
    second.close()


@pytest.mark.parametrize("is_released", [False, True])
def test_loopback_address_is_claimed_until_the_release(
    is_released: bool,
) -> None:
    """Guards against an address that two deployments choose."""
    octets = [7, 8, 9]
    with socket.socket() as probe:
        probe.bind(("127.7.8.9", CLAIM_PORT))
        if is_released:
            probe.close()
        choices = mock.Mock(side_effect=[*octets, 10, 11, 12])
        with mock.patch.object(random.SystemRandom, "randint", choices):
            reservations = PortReservations()
    expected = "127.7.8.9" if is_released else "127.10.11.12"
    assert reservations.host == expected
    reservations.close()
