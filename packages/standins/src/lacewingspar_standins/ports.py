"""Ports that stay reserved for processes that are started later."""

import socket

from lacewingspar_standins.server import address_of, bind


class PortReservations:
    """Keeps ports bound, so that nobody else gets them.

    Each port stays bound without listening. With SO_REUSEADDR on both sockets
    another process may bind and listen on it, also after a restart, but the
    operating system does not hand it out.
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
