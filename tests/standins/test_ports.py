"""Tests of port reservation."""

import socket

from lacewingspar_standins.ports import PortReservations
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
    others = [bind("127.0.0.1", 0) for _ in range(200)]
    assert len({*addresses, *map(address_of, others)}) == 400
    for other in others:
        other.close()
    reservations.close()
