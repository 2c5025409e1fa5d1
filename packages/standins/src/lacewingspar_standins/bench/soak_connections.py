"""Connections of the fault soak's callers, which see how each one ends."""

import asyncio
import socket

from lacewingspar_router.http1.caller_transport import count_unread_bytes
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_standins.server import split_address

CONNECT_TIMEOUT_SECONDS = 1.0
# Time for which the end of a connection may travel over loopback.
LOOPBACK_SECONDS = 0.0002
LOOP_DELAY_INTERVAL_SECONDS = 0.01
# Delays of the event loop from which on they are recorded.
MIN_LOOP_DELAY_SECONDS = 0.02
# State of an open connection in the first byte of `tcp_info` of Linux.
_TCP_ESTABLISHED = 1


class ObservedConnection(ClientConnection):
    """Connection that records when requests were sent and when it ended.

    The state of the socket is read, because the event loop reports the end of
    a connection only in a later iteration.

    Attributes:
        sent_at: Time at which the last request had been written, in seconds of
            the event loop.
        settled_at: Time of the last check whether the request crossed the end
            of the connection.
        closed_at: Time at which the end, or a response in front of it that no
            request has asked for, was first seen, or infinity.
        end_reason: Description of the end, or "".
    """

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self.sent_at = 0.0
        self.settled_at = 0.0
        self.closed_at = float("inf")
        self.end_reason = ""

    def send(self, data: bytes, *, is_head: bool = False) -> None:
        """Send encoded requests at once."""
        self._check_end(includes_input=True)
        super().send(data, is_head=is_head)
        self.sent_at = self._loop.time()
        self._check_end()
        self.settled_at = self.sent_at

    def settle(self) -> None:
        """Wait until an end that the request crossed has arrived.

        This blocks the event loop, whose delay would hide when the end came.
        """
        while self._loop.time() < self.sent_at + LOOPBACK_SECONDS:
            self._check_end()
        self._check_end()
        self.settled_at = self._loop.time()

    @property
    def is_end_reported(self) -> bool:
        """Return whether the event loop has reported the end."""
        return self.end_reason != ""

    def eof_received(self) -> bool:
        """Record the end that the server sent."""
        stays_open = super().eof_received()
        self._record_end("end of stream")
        return stays_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection."""
        super().connection_lost(exc)
        self._record_end(str(exc or "closed"))

    def _record_end(self, reason: str) -> None:
        self.closed_at = min(self.closed_at, self._loop.time())
        self.end_reason = self.end_reason or reason

    def _check_end(self, *, includes_input: bool = False) -> None:
        if self.closed_at < float("inf") or self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        if state != _TCP_ESTABLISHED or (
            includes_input and count_unread_bytes(self._transport)
        ):
            self.closed_at = self._loop.time()


class LoopDelay:
    """Measures the delay of the event loop.

    Attributes:
        periods: Start and end of each period for which the loop was late.
    """

    def __init__(self) -> None:
        self.periods: list[tuple[float, float]] = []

    @property
    def max_seconds(self) -> float:
        """Return the longest delay so far."""
        return max((end - start for start, end in self.periods), default=0.0)

    async def async_measure(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LOOP_DELAY_INTERVAL_SECONDS
            await asyncio.sleep(LOOP_DELAY_INTERVAL_SECONDS)
            now = loop.time()
            if now > due_at + MIN_LOOP_DELAY_SECONDS:
                self.periods.append((due_at, now))


async def async_connect_observed(address: str) -> ObservedConnection | None:
    """Open a connection to `host:port`, or return None if it fails."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                ObservedConnection, *split_address(address)
            )
    except (OSError, TimeoutError):
        return None
    return connection
