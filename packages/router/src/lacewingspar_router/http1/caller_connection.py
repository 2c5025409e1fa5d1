"""One connection of a caller."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools
import structlog

from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import (
    HttpRequest,
    Response,
    encode_head,
    status_line,
)
from lacewingspar_router.http_headers import RawHeaders

if TYPE_CHECKING:
    from lacewingspar_router.http1.server import Http1Server

_LOGGER = structlog.get_logger(__name__)

# Requests that a caller may send before it has read an answer.
PIPELINED_REQUESTS = 8
# Answers that a slow caller has not read; the sender waits beyond it.
WRITE_BUFFER_BYTES = 256 * 1024
# A connection that is ended in the middle of a request stays open this long,
# so that the caller reads the answer before it sees the reset.
LINGER_SECONDS = 0.5

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _BadRequestError(Exception):
    """A request breaks a limit; the status tells which."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests are answered in order."""

    def __init__(self, server: "Http1Server") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[HttpRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_reading = False
        self._is_head_complete = False
        self._is_ended = False
        self._must_close = False
        self._since = self._loop.time()
        self._received_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def must_close(self) -> bool:
        """Return whether the connection ends with the present answer."""
        return self._must_close or self._server.is_closing_connections

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._task is None and not self._is_reading

    @property
    def active_at(self) -> float:
        """Return when the last request began or ended, on the loop's clock."""
        return self._since

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        # The transports of uvloop do not inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.add(self)
        self._arm_timer()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_ended:
            return
        if not self._is_reading:
            self._received_at = self._server.now()
            self._head_bytes = 0
        if not self._is_reading or self._is_head_complete:
            self._since = self._loop.time()
        was_reading = self._is_reading
        try:
            self._feed(data)
            if self._is_reading and not was_reading:
                self._arm_timer()
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            status = cause.status if isinstance(cause, _BadRequestError) else 0
            self._reject(status or 400)
        except httptools.HttpParserError:
            self._reject(400)

    def eof_received(self) -> None:
        """Let the transport close; the caller has left."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request under way."""
        del exc
        self._is_ended = True
        self._server.connections.discard(self)
        self._waiting.clear()
        self._can_write.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        # The parser refers to this connection; without it both are freed now,
        # and not at a later collection.
        del self._parser

    def pause_writing(self) -> None:
        """Hold answers back until the caller has read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Go on with answers."""
        self._can_write.set()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._is_reading = True
        self._is_head_complete = False
        self._url = b""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check the announced length of the body."""
        self._is_head_complete = True
        values = dict(self._headers)
        length = values.get(b"content-length", b"0")
        if int(length) > self._server.limits.body_bytes:
            raise _BadRequestError(413)
        if values.get(b"expect", b"").lower() == b"100-continue":
            self.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            raise _BadRequestError(413)

    def on_message_complete(self) -> None:
        """Answer the request, or queue it behind the one under way."""
        self._is_reading = False
        if not self._parser.should_keep_alive():
            self._must_close = True
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body),
            received_at=self._received_at,
        )
        # An idle connection keeps nothing of its last request.
        self._headers = []
        self._body = []
        self._received_at = self._server.now()
        if self._task is None:
            refusal = self._server.screen(request)
            if refusal is not None:
                self._refuse(request, refusal)
                return
        if len(self._waiting) >= PIPELINED_REQUESTS:
            raise _BadRequestError(429)
        self._waiting.append(request)
        if self._task is None:
            self._answer_next()

    # For exchanges

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    @property
    def can_write(self) -> bool:
        """Return whether the caller has read enough."""
        return self._can_write.is_set()

    async def async_drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._can_write.wait()

    def close(self) -> None:
        """Close the connection after what was written."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.close()

    def _feed(self, data: bytes) -> None:
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # The upgrade is not taken; the connection goes on as it is.
                data = data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                if data:
                    continue
            break
        if self._is_reading and not self._is_head_complete:
            self._head_bytes += len(data)
            if self._head_bytes > self._server.limits.header_bytes:
                self._reject(431)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            raise _BadRequestError(431)

    def _refuse(self, request: HttpRequest, refusal: Response) -> None:
        """Answer a request without a task of its own."""
        ServerExchange(self, request).answer(
            refusal.status, refusal.headers, refusal.body
        )
        if self.must_close:
            self.close()

    def _answer_next(self) -> None:
        if self._is_ended or not self._waiting:
            return
        exchange = ServerExchange(self, self._waiting.popleft())
        self._task = self._loop.create_task(self._async_answer(exchange))

    async def _async_answer(self, exchange: ServerExchange) -> None:
        try:
            await self._server.handler(exchange)
        except asyncio.CancelledError:
            if not self._is_ended:
                self._abort()
            raise
        except Exception:
            _LOGGER.exception("request handler failed")
            if not exchange.is_started:
                exchange.answer(500, [], b"")
        finally:
            self._task = None
        if self._is_ended:
            return
        if not exchange.is_finished:
            self._abort()
        elif self.must_close:
            self.close()
        else:
            self._since = self._loop.time()
            self._answer_next()

    def _abort(self) -> None:
        """Reset the connection, so that the answer does not look complete."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Answer what cannot be read as a request, and stop reading."""
        _LOGGER.info("unreadable request", status=status)
        self._is_ended = True
        if self._task is None:
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            self.write(encode_head(status_line(status), headers))
        self._loop.call_later(LINGER_SECONDS, self.close)

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        limit = self._time_limit()
        due = self._since + limit
        self._timer = self._loop.call_at(due, self._check_time)

    def _time_limit(self) -> float:
        limits = self._server.limits
        if self._is_reading and not self._is_head_complete:
            return limits.header_timeout_seconds
        return limits.idle_timeout_seconds

    def _check_time(self) -> None:
        if self._is_ended:
            return
        if self._task is not None:
            self._since = self._loop.time()
        elif self._loop.time() >= self._since + self._time_limit():
            if self._is_reading:
                self._reject(408)
            else:
                self.close()
            return
        self._arm_timer()
