"""One connection to an upstream or another server."""

import asyncio
import socket
import time
from collections import deque
from typing import Protocol, cast

import httptools

from lacewingspar_core.event_stream import EventSizeError
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    InvalidAnswerError,
)
from lacewingspar_router.http1.messages import ResponseEnd, ResponseHead
from lacewingspar_router.http_headers import RawHeaders

# Probes of a connection find a peer that has lost power or was cut off. The
# first is sent after a second without data, and two missing answers end the
# connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Sent data that is not acknowledged for this long ends the connection.
UNACKNOWLEDGED_LIMIT_MS = 2500
# Received data that waits to be read; reading pauses beyond it.
READ_BUFFER_BYTES = 256 * 1024
# Received heads, ends and parts of bodies that wait to be read.
READ_BUFFER_PARTS = 1024
# Bytes without a part of a body or the end of an answer: a head, informational
# answers, the framing of chunks, or trailers. Common servers send heads of at
# most 8 to 16 KB.
LARGEST_HEAD_BYTES = 64 * 1024
# Idle time of a connection after which it is not used again, where the peer
# announces none. Common servers close idle connections after 5 s or later.
DEFAULT_IDLE_SECONDS = 4.0
# A connection is not used in the last part of its announced idle time, in
# which the peer may be closing it already.
IDLE_SAFETY_FRACTION = 0.5
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_INFORMATIONAL_BELOW = 200

_NEVER = float("inf")

_Event = ResponseHead | bytes | ResponseEnd


class BodySink(Protocol):
    """Takes a body as it arrives."""

    def write(self, data: bytes) -> bool:
        """Take a part; return whether more may come at once."""

    async def async_drain(self) -> None:
        """Wait until more may come."""


class ClientConnection(asyncio.Protocol):
    """One connection that carries one request after the other."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._events: deque[_Event] = deque()
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._buffered_bytes = 0
        self._framing_bytes = 0
        self._has_progressed = False
        self._sink: BodySink | None = None
        self._pause_limit = _NEVER
        self._part_due_at = _NEVER
        self._is_paused = False
        self._is_busy = False
        self._is_closing = False
        self._idle_since = 0.0
        self._idle_limit = DEFAULT_IDLE_SECONDS
        self._headers: RawHeaders = []
        self._is_unframed = False
        self._parser = httptools.HttpResponseParser(self)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        # The transports of uvloop do not inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self._is_busy:
            # Nothing was asked, so these bytes belong to no request.
            self.abort()
            return
        if self._error is not None:
            return
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject("upstream switched protocols")
        except httptools.HttpParserError as error:
            self._reject(f"not an HTTP answer: {error}")
        self._limit_framing(len(data))

    def eof_received(self) -> None:
        """End an answer without a length, or break the exchange."""
        if self._is_unframed:
            self._push(ResponseEnd())
            self._is_unframed = False
        self._is_closing = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Break the exchange under way."""
        self._is_closing = True
        reason = "connection closed" if exc is None else f"connection: {exc}"
        self._fail(ConnectionBrokenError(reason))
        # The parser refers to this connection; without it both are freed now,
        # and not at a later collection.
        del self._parser

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand over the head."""
        status = self._parser.get_status_code()
        if status < _INFORMATIONAL_BELOW:
            return
        names = {name for name, _ in self._headers}
        self._is_unframed = (
            b"content-length" not in names
            and b"transfer-encoding" not in names
            and status not in _STATUSES_WITHOUT_BODY
        )
        self._has_progressed = True
        self._push(ResponseHead(status, self._headers))

    def on_body(self, body: bytes) -> None:
        """Hand over a part of the body."""
        self._has_progressed = True
        if self._sink is None:
            self._buffered_bytes += len(body)
            self._push(body)
            return
        if self._pause_limit < _NEVER:
            self._part_due_at = time.monotonic() + self._pause_limit
        try:
            takes_more = self._sink.write(body)
        except EventSizeError as error:
            self._fail(error)
            return
        if not takes_more:
            self._pause_reading()
            self._wake()

    def on_message_complete(self) -> None:
        """Hand over the end of the answer."""
        if self._parser.get_status_code() < _INFORMATIONAL_BELOW:
            return
        if not self._parser.should_keep_alive():
            self._is_closing = True
        self._idle_limit = _idle_limit(self._headers)
        self._is_unframed = False
        self._has_progressed = True
        self._push(ResponseEnd())

    # Exchange

    def send(self, data: bytes) -> None:
        """Send a whole request."""
        assert self._transport is not None
        self._is_busy = True
        self._transport.write(data)

    async def next_event(self, limit_seconds: float | None = None) -> _Event:
        """Return the next part of an answer.

        Args:
            limit_seconds: Longest time to wait for it, or None for no limit.

        Raises:
            ConnectionBrokenError: The connection ended.
            InvalidAnswerError: The bytes are no HTTP answer.
            TimeoutError: It has not come in time.
        """
        while True:
            event = self.ready_event()
            if event is not None:
                return event
            if self._error is not None:
                raise self._error
            await self._async_wait(limit_seconds)

    async def async_pass_body(
        self,
        sink: BodySink,
        first_limit_seconds: float | None,
        pause_limit_seconds: float | None,
    ) -> None:
        """Hand the body of an answer to a sink until its end.

        Parts go to the sink in the callback that receives them, without a turn
        of this coroutine.

        Args:
            sink: Takes the parts.
            first_limit_seconds: Longest time to the first part, or None.
            pause_limit_seconds: Longest time between two parts, or None.

        Raises:
            ConnectionBrokenError: The connection ended.
            EventSizeError: Raised by the sink.
            InvalidAnswerError: The bytes are no HTTP answer, or another answer
                follows before the end.
            TimeoutError: A part has not come in time.
        """
        self._pause_limit = _or_never(pause_limit_seconds)
        self._part_due_at = time.monotonic() + _or_never(first_limit_seconds)
        while True:
            event = self.ready_event()
            if isinstance(event, ResponseEnd):
                return
            if isinstance(event, ResponseHead):
                raise InvalidAnswerError("an answer follows before the end")
            if event is not None:
                self._part_due_at = time.monotonic() + self._pause_limit
                if not sink.write(event):
                    await sink.async_drain()
                continue
            if self._error is not None:
                raise self._error
            self._sink = sink
            try:
                await self._async_wait_for_end()
            finally:
                self._sink = None
            if self._is_paused:
                await sink.async_drain()
                self._resume_reading()

    async def _async_wait_for_end(self) -> None:
        """Wait until the sink cannot take what has arrived."""
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer: asyncio.TimerHandle | None = None

        def check() -> None:
            nonlocal timer
            left = self._part_due_at - time.monotonic()
            if left <= 0:
                _expire(waiter)
            else:
                timer = loop.call_later(left, check)

        if self._part_due_at < _NEVER:
            check()
        try:
            await waiter
        finally:
            if timer is not None:
                timer.cancel()

    async def _async_wait(self, limit_seconds: float | None) -> None:
        """Wait until something has arrived.

        A timer of its own costs a fraction of `asyncio.timeout`, which counts
        with one for each event of each stream.
        """
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        if limit_seconds is None:
            await waiter
            return
        timer = loop.call_later(limit_seconds, _expire, waiter)
        try:
            await waiter
        finally:
            timer.cancel()

    def ready_event(self) -> _Event | None:
        """Return the next part of an answer if it has arrived.

        Parts of a body that have arrived together are one.
        """
        events = self._events
        if not events:
            return None
        event = events.popleft()
        if isinstance(event, bytes):
            if events and isinstance(events[0], bytes):
                parts = [event]
                while events and isinstance(part := events[0], bytes):
                    parts.append(part)
                    events.popleft()
                event = b"".join(parts)
            self._buffered_bytes -= len(event)
        if not events:
            self._resume_reading()
        return event

    def finish(self) -> bool:
        """End an exchange whose answer was complete.

        Returns:
            Whether the connection may carry another request.
        """
        transport = self._transport
        is_reusable = (
            transport is not None
            and not self._is_closing
            and self._error is None
            and not self._events
            # The peer may still be reading a body that it has answered.
            and transport.get_write_buffer_size() == 0
        )
        if not is_reusable:
            self.abort()
            return False
        self._is_busy = False
        self._idle_since = time.monotonic()
        self._parser = httptools.HttpResponseParser(self)
        return True

    def abort(self) -> None:
        """Close the connection, which cancels a request under way."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def is_fresh(self, idle_seconds: float | None) -> bool:
        """Return whether the idle connection may be used again.

        Args:
            idle_seconds: Longest idle time, or None for what the peer allows.
        """
        limit = IDLE_SAFETY_FRACTION * self._idle_limit
        if idle_seconds is not None:
            limit = min(limit, idle_seconds)
        return (
            not self._is_closing
            and time.monotonic() - self._idle_since <= limit
        )

    def _push(self, event: _Event) -> None:
        self._events.append(event)
        is_full = (
            self._buffered_bytes > READ_BUFFER_BYTES
            or len(self._events) > READ_BUFFER_PARTS
        )
        if is_full:
            self._pause_reading()
        self._wake()

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None:
            self._transport.pause_reading()
            self._is_paused = True

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            self._transport.resume_reading()
            self._is_paused = False

    def _limit_framing(self, received_bytes: int) -> None:
        """Reject a head, or what frames a body, that does not end."""
        if self._has_progressed:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        if self._framing_bytes > LARGEST_HEAD_BYTES:
            self._reject(f"no end of a head in {self._framing_bytes} bytes")

    def _reject(self, reason: str) -> None:
        """Break the exchange, and take no more bytes of the peer."""
        self._fail(InvalidAnswerError(reason))
        self.abort()

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _or_never(seconds: float | None) -> float:
    return _NEVER if seconds is None else seconds


def _expire(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Send without delay, and notice a peer that has gone silent."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def _idle_limit(headers: RawHeaders) -> float:
    """Return how long the peer keeps the connection idle, in seconds."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                return float(number)
    return DEFAULT_IDLE_SECONDS
