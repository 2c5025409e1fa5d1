"""Reservation of ports for processes that start later."""

import socket

from lacewingspar_standins.server import address_of, bind


class PortReservations:
    """Reserves free ports by keeping a bound socket on each.

    The sockets do not listen. The operating system does not assign their ports
    to other sockets, but a process that sets SO_REUSEADDR, as this one does,
    can bind and listen on such a port, also after a restart.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._host = host
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Reserve a free port and return its address as `host:port`."""
        reserved = bind(self._host, 0)
        self._sockets.append(reserved)
        return address_of(reserved)

    def close(self) -> None:
        """Release all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()
