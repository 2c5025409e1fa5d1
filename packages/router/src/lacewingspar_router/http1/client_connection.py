"""Client side of a connection to an upstream or another server."""

import asyncio
import select
import time
from collections import deque
from typing import Protocol, cast

import httptools
import structlog

from lacewingspar_core.event_stream import EventSizeError
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ExchangeInterruptedError,
    InvalidResponseError,
)
from lacewingspar_router.http1.messages import ResponseEnd, ResponseHead
from lacewingspar_router.http1.tcp_socket import (
    connection_state,
    set_socket_options,
    unread_data,
)
from lacewingspar_router.http_headers import RawHeaders

# Interval at which the end of a body without a length is checked while a part
# of the request is still on its way; about the round trip time between VMs.
END_CHECK_SECONDS = 0.005
# Buffered body data above which reading from the socket pauses.
MAX_BUFFERED_BYTES = 256 * 1024
# Buffered events (heads, body chunks and ends) above which reading pauses.
MAX_BUFFERED_EVENTS = 1024
# Maximum data received without a complete event: a head, informational
# responses, chunk framing or trailers. Common servers send heads of at most
# 8 to 16 KB.
MAX_HEAD_BYTES = 64 * 1024
# Assumed idle timeout of peers that announce none. Common servers close idle
# connections after 5 s or later.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Fraction of the idle timeout during which a connection is reused. Later the
# peer may already be closing it.
USABLE_IDLE_FRACTION = 0.5
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200
# Other numbers are no HTTP statuses, and no request asks for another protocol.
_VALID_STATUSES = frozenset(range(100, 600)) - {101}

_LOGGER = structlog.get_logger(__name__)

_Event = ResponseHead | bytes | ResponseEnd


class BodySink(Protocol):
    """Receives a response body as it arrives."""

    def write(self, data: bytes) -> bool:
        """Accept a chunk; return whether the sink accepts more at once."""

    async def async_drain(self) -> None:
        """Wait until the sink accepts more."""


class ClientConnection(asyncio.Protocol):
    """Connection that carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._events: deque[_Event] = deque()
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._buffered_bytes = 0
        self._bytes_since_event = 0
        self._has_progressed = False
        self._sink: BodySink | None = None
        self._is_watched = False
        self._last_progress_at = 0.0
        self._is_paused = False
        self._is_busy = False
        self._is_closing = False
        self._idle_since = 0.0
        self._idle_timeout_seconds = DEFAULT_IDLE_TIMEOUT_SECONDS
        self._headers: RawHeaders = []
        self._is_close_delimited = False
        self._is_in_response = False
        self._is_head_only = False
        self._is_lost = False
        self._end_check: asyncio.TimerHandle | None = None
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
            # Data without a request in flight belongs to no request.
            _LOGGER.info(
                "connection closed: data without a request",
                peer=self._peer_address,
                received_bytes=len(data),
            )
            self.abort()
            return
        if self._error is not None:
            return
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject("peer switched protocols")
        except httptools.HttpParserError as error:
            self._reject(f"invalid HTTP response: {error}")
        self._check_framing_limit(len(data))

    def eof_received(self) -> bool:
        """End the response that the close of the connection delimits.

        Returns:
            Whether the connection stays open until the request has arrived.
        """
        self._is_closing = True
        if self._is_close_delimited:
            self._end_close_delimited()
        else:
            self._set_error(ConnectionBrokenError("connection closed"))
        return self._end_check is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in flight, unless its response has arrived."""
        self._is_closing = self._is_lost = True
        self._cancel_end_check()
        if exc is not None:
            self._receive_unread()
        reason = (
            "connection closed" if exc is None else f"connection failed: {exc}"
        )
        self._set_error(ConnectionBrokenError(reason))
        # The parser and this connection form a reference cycle. Breaking it
        # frees both now instead of at the next garbage collection.
        del self._parser

    def _end_close_delimited(self) -> None:
        """End a body without a length, once the whole request has arrived.

        A peer that closes the connection before that resets it when more of
        the request arrives. The event loop reports the end in front of the
        reset alone, or no reset at all if both arrived before it looked.
        """
        assert self._transport is not None
        self._end_check = None
        if self._error is not None:
            return
        state = connection_state(self._transport)
        if state.is_reset:
            self._set_error(
                ConnectionBrokenError("connection reset behind its end")
            )
        elif state.unsent_bytes:
            self._end_check = asyncio.get_running_loop().call_later(
                END_CHECK_SECONDS, self._end_close_delimited
            )
        else:
            self._push_event(ResponseEnd())
            self._is_close_delimited = self._is_in_response = False

    def _cancel_end_check(self) -> None:
        if self._end_check is not None:
            self._end_check.cancel()
            self._end_check = None

    def _receive_unread(self) -> None:
        """Receive what has arrived before the connection failed.

        The event loop reads no more after an error in writing, which the end
        of the connection causes while a request is still being sent. It closes
        the socket after the report of the loss.
        """
        if self._transport is None or not self._is_busy or self._error:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return
        for data in unread_data(sock.fileno(), MAX_BUFFERED_BYTES):
            self.data_received(data)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._is_in_response = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the response head."""
        status = self._parser.get_status_code()
        if status not in _VALID_STATUSES:
            self._reject(f"invalid status {status}")
            return
        if status < _FIRST_FINAL_STATUS:
            return
        head = ResponseHead(status, self._headers)
        self._is_close_delimited = (
            not self._is_head_only
            and head.ends_with_connection
            and status not in _STATUSES_WITHOUT_BODY
        )
        self._has_progressed = True
        self._last_progress_at = time.monotonic()
        self._push_event(head)
        if self._is_head_only:
            self._is_in_response = False
            self._push_event(ResponseEnd())

    def on_body(self, body: bytes) -> None:
        """Pass body data to the sink, or queue it if there is none."""
        self._has_progressed = True
        if self._is_head_only or self._error is not None:
            return
        if self._is_watched:
            self._last_progress_at = time.monotonic()
        if self._sink is None:
            self._buffered_bytes += len(body)
            self._push_event(body)
            return
        try:
            accepts_more = self._sink.write(body)
        except EventSizeError as error:
            self._set_error(error)
            return
        if not accepts_more:
            self._pause_reading()
            self._wake_waiter()

    def on_message_complete(self) -> None:
        """Queue the end of the response.

        What follows belongs to another response, so the sink gets no more.
        """
        self._is_in_response = False
        self._sink = None
        if (
            self._is_head_only
            or self._error is not None
            or self._parser.get_status_code() < _FIRST_FINAL_STATUS
        ):
            return
        if not self._parser.should_keep_alive():
            self._is_closing = True
        self._idle_timeout_seconds = _parse_idle_timeout(self._headers)
        self._is_close_delimited = False
        self._has_progressed = True
        self._last_progress_at = time.monotonic()
        self._push_event(ResponseEnd())

    # Exchange

    def send(self, data: bytes, *, is_head: bool = False) -> None:
        """Send an encoded request.

        Args:
            data: The request.
            is_head: Whether its response has a head only. As such a response
                announces a body that does not come, one that arrives late would
                take in the next response, so no request follows this one.
        """
        assert self._transport is not None
        self._is_busy = True
        self._is_head_only = is_head
        if is_head:
            self.end_reuse()
        self._is_watched = False
        self._transport.write(data)

    async def async_next_event(
        self, limit_seconds: float | None = None
    ) -> _Event:
        """Return the next event of a response.

        Args:
            limit_seconds: Maximum time to wait, or None for no limit.

        Raises:
            ConnectionBrokenError: The connection ended.
            ExchangeInterruptedError: The exchange was interrupted.
            InvalidResponseError: The received data is not a valid response.
            TimeoutError: No event arrived in time.
        """
        while True:
            event = self.pop_ready_event()
            if event is not None:
                return event
            if self._error is not None:
                raise self._error
            await self._async_wait(limit_seconds)

    async def async_stream_body(self, sink: BodySink) -> None:
        """Pass the body of a response to a sink until its end.

        The parser callback writes to the sink directly, which avoids waking
        this coroutine for each chunk.

        Args:
            sink: Receives the body.

        Raises:
            ConnectionBrokenError: The connection ended.
            EventSizeError: Raised by the sink.
            ExchangeInterruptedError: The exchange was interrupted.
            InvalidResponseError: The received data is not a valid response, or
                another response starts before the end.
        """
        while True:
            event = self.pop_ready_event()
            if isinstance(event, ResponseEnd):
                return
            if isinstance(event, ResponseHead):
                raise InvalidResponseError(
                    "another response started before the end"
                )
            if event is not None:
                if not sink.write(event):
                    await sink.async_drain()
                continue
            if self._error is not None:
                raise self._error
            self._sink = sink
            try:
                await self._async_wait(None)
            finally:
                self._sink = None
            if self._is_paused:
                await sink.async_drain()
                self._resume_reading()

    def end_body(self) -> None:
        """Take the body that is read as complete, and close the connection."""
        self._sink = None
        self._push_event(ResponseEnd())
        self.abort()

    async def _async_wait(self, limit_seconds: float | None) -> None:
        """Wait until an event arrives.

        A plain timer is much cheaper than `asyncio.timeout`, which matters
        because this runs for each event of each stream.
        """
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        if limit_seconds is None:
            await waiter
            return
        timer = loop.call_later(limit_seconds, _set_timeout_error, waiter)
        try:
            await waiter
        finally:
            timer.cancel()

    def pop_ready_event(self) -> _Event | None:
        """Remove and return the next queued event, or None.

        Adjacent body chunks are joined into one.
        """
        events = self._events
        if not events:
            return None
        event = events.popleft()
        if isinstance(event, bytes):
            if events and isinstance(events[0], bytes):
                chunks = [event]
                while events and isinstance(chunk := events[0], bytes):
                    chunks.append(chunk)
                    events.popleft()
                event = b"".join(chunks)
            self._buffered_bytes -= len(event)
        if not events:
            self._resume_reading()
        return event

    def complete_exchange(self) -> bool:
        """Complete an exchange, and abort the connection if not reusable.

        Returns:
            Whether the connection can carry another request.
        """
        transport = self._transport
        is_reusable = (
            transport is not None
            and not self._is_closing
            and self._error is None
            and not self.has_surplus_data
            # The peer may respond before it has read the whole request body.
            and transport.get_write_buffer_size() == 0
        )
        if not is_reusable:
            self.abort()
            return False
        self._is_busy = False
        self._idle_since = time.monotonic()
        self._parser = httptools.HttpResponseParser(self)
        return True

    @property
    def has_surplus_data(self) -> bool:
        """Return whether data followed the response that was read last."""
        return bool(self._events) or self._is_in_response

    def watch_progress(self) -> None:
        """Keep `last_progress_at` until the next request is sent."""
        self._is_watched = True
        self._last_progress_at = time.monotonic()

    @property
    def last_progress_at(self) -> float:
        """Return when the peer last sent a part of the response.

        The time is on the clock of `time.monotonic`. It is the present one
        while received data waits for its reader.
        """
        if self._events or self._is_paused:
            return time.monotonic()
        return self._last_progress_at

    @property
    def has_failed(self) -> bool:
        """Return whether the exchange in flight has failed."""
        return self._error is not None

    def interrupt(self) -> None:
        """Fail the exchange in flight and close the connection at once."""
        self._set_error(ExchangeInterruptedError("exchange interrupted"))
        self.abort()

    def end_reuse(self) -> None:
        """Send no request after the one in flight."""
        self._is_closing = True

    def abort(self) -> None:
        """Close the connection at once, which cancels a request in flight."""
        self._is_closing = True
        self._cancel_end_check()
        if self._transport is not None:
            self._transport.abort()

    def is_reusable(self, idle_seconds: float | None) -> bool:
        """Return whether the idle connection can be reused.

        Args:
            idle_seconds: Maximum idle time in addition to the idle timeout of
                the peer, or None.
        """
        limit = USABLE_IDLE_FRACTION * self._idle_timeout_seconds
        if idle_seconds is not None:
            limit = min(limit, idle_seconds)
        return (
            not self._is_closing
            and time.monotonic() - self._idle_since <= limit
        )

    @property
    def has_ended(self) -> bool:
        """Return whether a connection without a request can carry none.

        The socket holds an end, or data that belongs to no request, which an
        event loop that is late has not read yet.
        """
        if self._is_closing or self._transport is None:
            return True
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def _peer_address(self) -> str:
        """Return `host:port` of the peer, or "" if it is not known."""
        assert self._transport is not None
        name = self._transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else ""

    def _push_event(self, event: _Event) -> None:
        self._events.append(event)
        is_full = (
            self._buffered_bytes > MAX_BUFFERED_BYTES
            or len(self._events) > MAX_BUFFERED_EVENTS
        )
        if is_full:
            self._pause_reading()
        self._wake_waiter()

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None:
            # A transport of uvloop raises an error once it is closed.
            if not self._is_lost:
                self._transport.pause_reading()
            self._is_paused = True

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            if not self._is_lost:
                self._transport.resume_reading()
            self._is_paused = False
            self._last_progress_at = time.monotonic()

    def _check_framing_limit(self, received_bytes: int) -> None:
        """Reject a head or chunk framing of excessive size."""
        if self._has_progressed:
            self._bytes_since_event = 0
            return
        self._bytes_since_event += received_bytes
        if self._bytes_since_event > MAX_HEAD_BYTES:
            self._reject(
                f"response head too large: {self._bytes_since_event} bytes"
            )

    def _reject(self, reason: str) -> None:
        """Fail the exchange and close the connection."""
        self._set_error(InvalidResponseError(reason))
        self.abort()

    def _set_error(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _set_timeout_error(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())


def _parse_idle_timeout(headers: RawHeaders) -> float:
    """Return the idle timeout of the peer in seconds."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                return float(number)
    return DEFAULT_IDLE_TIMEOUT_SECONDS
