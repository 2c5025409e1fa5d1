"""Reservation of addresses for processes that start later."""

import errno
import random
import socket

from lacewingspar_standins.server import address_of, bind

# Nothing listens on it: a socket bound to it claims its loopback address. The
# operating system does not assign it, as it is above the range of such ports.
CLAIM_PORT = 65_535
_CLAIM_ATTEMPTS = 100


class PortReservations:
    """Reserves free ports of a loopback address that nothing else uses.

    A socket stays bound to each port. The sockets do not listen. The operating
    system does not assign their ports to other sockets, but a process that sets
    SO_REUSEADDR, as this one does, can bind and listen on such a port, also
    after a restart. Between two processes on a port, or after the release of a
    port, no other deployment listens there, as each has its own address.

    Attributes:
        host: The loopback address.

    Raises:
        OSError: No loopback address could be claimed.
    """

    def __init__(self) -> None:
        self._claim = _claim_host()
        self.host: str = self._claim.getsockname()[0]
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Reserve a free port and return its address as `host:port`."""
        reserved = bind(self.host, 0)
        self._sockets.append(reserved)
        return address_of(reserved)

    def close(self) -> None:
        """Release all ports and the loopback address."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()
        self._claim.close()


def _claim_host() -> socket.socket:
    """Return a socket that claims a loopback address until it is closed."""
    # The addresses must differ between processes with the same seed.
    generator = random.SystemRandom()
    for _ in range(_CLAIM_ATTEMPTS):
        octets = (generator.randint(1, 254) for _ in range(3))
        host = "127." + ".".join(str(octet) for octet in octets)
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((host, CLAIM_PORT))
        except OSError as error:
            claim.close()
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return claim
    raise OSError(errno.EADDRINUSE, "no free loopback address found")
