"""Transport of a caller's connection."""

import asyncio
import fcntl
import os
import socket
import sys
import termios
from collections import deque
from typing import cast

import structlog

_LOGGER = structlog.get_logger(__name__)

# Time for which a connection is still read after its end was sent, so that
# unread input does not reset it before the caller has read the last response.
LINGER_SECONDS = 0.5
# Output of an ended connection is dropped if its caller has taken nothing for
# this many lingers, 15 s, the usual idle timeout.
MAX_OUTPUT_LINGERS = 30
# Data above this size is passed to the event loop in pieces as its caller takes
# them, because the loop keeps all objects of a write until its last byte.
MAX_WRITE_BYTES = 256 * 1024
WRITE_PIECE_BYTES = 64 * 1024


class CallerTransport:
    """Transport of a caller's connection; nothing else closes it.

    The connection ends in three steps: the end is sent behind all output, then
    input is read until the caller ends its side too or `LINGER_SECONDS` pass,
    then the socket is closed.

    Args:
        transport: Transport of the event loop.
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._loop = asyncio.get_running_loop()
        self._is_ended = False
        self._is_paused = False
        self._write_limit = MAX_WRITE_BYTES
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._ends_after_waiting = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return the size of the write buffer."""
        return self._transport.get_write_buffer_size() + self._waiting_bytes

    @property
    def unread_bytes(self) -> int:
        """Return the size of the input that waits in the socket.

        A late event loop has not read it yet.
        """
        return count_unread_bytes(self._transport)

    @property
    def peer_host(self) -> str:
        """Return the host of the other side, or "" if it is not known."""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def set_write_limit(self, high: int) -> None:
        """Set the size in bytes above which writing pauses."""
        self._write_limit = high
        self._transport.set_write_buffer_limits(high=high)

    def write(self, data: bytes) -> None:
        """Send data, unless the connection has ended."""
        if self._is_ended or self._transport.is_closing():
            return
        if len(data) <= MAX_WRITE_BYTES and not self._waiting:
            self._transport.write(data)
            return
        self._wait_to_write(data)
        self.write_waiting()

    def write_waiting(self) -> None:
        """Write data that waits, as far as the write buffer has room."""
        transport = self._transport
        while (
            self._waiting
            and not transport.is_closing()
            and transport.get_write_buffer_size() <= self._write_limit
        ):
            data = self._waiting.popleft()
            self._waiting_bytes -= len(data)
            transport.write(data)
        if self._ends_after_waiting and not self._waiting:
            self._ends_after_waiting = False
            transport.write_eof()

    def _wait_to_write(self, data: bytes) -> None:
        self._waiting_bytes += len(data)
        self._waiting.extend(
            data[start : start + WRITE_PIECE_BYTES]
            for start in range(0, len(data), WRITE_PIECE_BYTES)
        )

    def pause_reading(self) -> None:
        """Stop reading input."""
        if not self._is_paused:
            self._transport.pause_reading()
            self._is_paused = True

    def resume_reading(self) -> None:
        """Read input again."""
        if self._is_paused:
            self._transport.resume_reading()
            self._is_paused = False

    def end(self, data: bytes, *, drops_output: bool) -> None:
        """Send the last data and the end behind all output, then close.

        Args:
            data: Last data, or b"".
            drops_output: Whether output that the caller does not take is
                dropped after `LINGER_SECONDS`.
        """
        if self._is_ended or self._transport.is_closing():
            return
        self._is_ended = True
        self.resume_reading()
        if self._waiting:
            self._wait_to_write(data)
            self._ends_after_waiting = True
            self._schedule_close(drops_output=drops_output)
            return
        try:
            rest = data if self.unsent_bytes else self._send_at_once(data)
            if rest is not None:
                self._transport.write(rest)
                self._transport.write_eof()
        except OSError as error:
            _LOGGER.debug("caller reset its connection", reason=str(error))
            self._transport.abort()
            return
        self._schedule_close(drops_output=drops_output)

    def release(self) -> None:
        """Release the timer of a connection that was closed."""
        self._is_ended = True
        if self._timer is not None:
            self._timer.cancel()

    def _send_at_once(self, data: bytes) -> bytes | None:
        """Send the last data and the end in front of the event loop.

        uvloop sends at the end of its iteration. A request that arrives until
        then would meet a closing response that was decided without it.

        Returns:
            Data that the event loop has to send with the end, or None if the
            end was sent.

        Raises:
            OSError: The caller has reset the connection.
        """
        file_descriptor = self._transport.get_extra_info("socket").fileno()
        try:
            duplicate = os.dup(file_descriptor)
        except OSError as error:
            _LOGGER.debug("no descriptor to end with", reason=str(error))
            return data
        with socket.socket(fileno=duplicate) as connection:
            try:
                sent = connection.send(data) if data else 0
            except BlockingIOError:
                return data
            if sent < len(data):
                return data[sent:]
            connection.shutdown(socket.SHUT_WR)
        return None

    def abort(self) -> None:
        """Close the connection now, without its output."""
        self._is_ended = True
        self._transport.abort()

    def _schedule_close(
        self, *, drops_output: bool, unsent_bytes: int = 0, lingers: int = 0
    ) -> None:
        """Close the connection once its output is sent, or is not taken.

        Args:
            drops_output: Whether it is dropped after one linger.
            unsent_bytes: Size of the output before.
            lingers: Number of lingers in which it was not taken.
        """

        def close() -> None:
            unsent = self.unsent_bytes
            if not unsent:
                self._transport.close()
            elif drops_output or lingers >= MAX_OUTPUT_LINGERS:
                self._transport.abort()
            else:
                self._schedule_close(
                    drops_output=False,
                    unsent_bytes=unsent,
                    lingers=lingers + 1 if unsent == unsent_bytes else 0,
                )

        self._timer = self._loop.call_later(LINGER_SECONDS, close)


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the size of the input that waits in the socket of a transport."""
    file_descriptor = transport.get_extra_info("socket").fileno()
    if file_descriptor < 0:
        return 0
    size = fcntl.ioctl(file_descriptor, termios.FIONREAD, bytes(4))
    return int.from_bytes(size, sys.byteorder)
