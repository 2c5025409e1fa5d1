"""Options, state and unread data of TCP sockets."""

import asyncio
import errno
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Iterator
from dataclasses import dataclass

import structlog

# TCP keepalive detects a peer that lost power or was disconnected. Probing
# starts after a second without data, and two unacknowledged probes end the
# connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# The connection ends if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2500
# First byte of TCP_INFO (`tcpi_state`) of a connection that was reset. One that
# only the peer has closed is in CLOSE_WAIT.
_STATE_CLOSED = 7
_READ_BYTES = 64 * 1024

_LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State of a connection whose peer has closed its side.

    Attributes:
        is_reset: Whether the connection has failed since.
        unsent_bytes: Sent bytes that the peer has not acknowledged.
    """

    is_reset: bool
    unsent_bytes: int


def connection_state(transport: asyncio.Transport) -> ConnectionState:
    """Return the state of a connection whose peer has closed its side."""
    buffered_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return ConnectionState(is_reset=False, unsent_bytes=buffered_bytes)
    # Read before the state, so that data counts as acknowledged only if it was.
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return ConnectionState(
        is_reset=is_reset(sock),
        unsent_bytes=buffered_bytes + struct.unpack("i", queued)[0],
    )


def is_reset(sock: socket.socket) -> bool:
    """Return whether a connection that the peer has closed has failed."""
    # A failed write clears SO_ERROR, but not the state.
    has_error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    tcp_state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return has_error or tcp_state == _STATE_CLOSED


def unread_data(descriptor: int, max_bytes: int) -> Iterator[bytes]:
    """Yield data that a failed connection has received and nobody has read.

    Args:
        descriptor: Descriptor of its socket.
        max_bytes: Size after which no more is read.
    """
    read_bytes = 0
    while read_bytes < max_bytes:
        try:
            data = os.read(descriptor, _READ_BYTES)
        except OSError as error:
            if error.errno not in _EXPECTED_READ_ERRORS:
                _LOGGER.info("unread data is lost", error=str(error))
            return
        if not data:
            return
        read_bytes += len(data)
        yield data


# No data, the failure of the connection, and a socket that is closed already.
_EXPECTED_READ_ERRORS = frozenset(
    {
        errno.EAGAIN,
        errno.EBADF,
        errno.ECONNRESET,
        errno.EPIPE,
        errno.ETIMEDOUT,
        errno.ENOTCONN,
    }
)


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and enable TCP keepalive."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)
