"""Server side of a caller's connection."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from lacewingspar_core.memory_budget import Progress
from lacewingspar_router.http1.body_memory import CallerAccount
from lacewingspar_router.http1.caller_transport import (
    LINGER_SECONDS,
    CallerTransport,
)
from lacewingspar_router.http1.connection_end import (
    RULE_BY_REASON,
    ConnectionEnded,
    EndReason,
    ResponseState,
    Unanswered,
)
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import (
    HttpRequest,
    Response,
    encode_head,
    status_line,
)
from lacewingspar_router.http1.request_reader import (
    STATUS_NO_BODY_MEMORY,
    InputRejectedError,
    RequestReader,
)
from lacewingspar_router.http_headers import RawHeaders

if TYPE_CHECKING:
    from lacewingspar_router.http1.server import Http1Server

_LOGGER = structlog.get_logger(__name__)

# Queued requests above which reading from the connection pauses. The requests
# of one read are queued together, so the queue may become longer.
MAX_PIPELINED_REQUESTS = 8
# Memory of a queued request beside its body and a large head, estimated from
# its objects and not measured. Those beyond `MAX_PIPELINED_REQUESTS` need room
# in the budget for it.
QUEUED_REQUEST_BYTES = 1280
# Input that is parsed at once. The shortest requests take 18 bytes and the
# shortest chunks 6, so this takes a few ms at most.
PARSE_BYTES = 16 * 1024
# Input that is parsed at once behind input with few parts.
MAX_PARSE_BYTES = 64 * 1024
SPARSE_PIECES = 2
# Parts of requests after which a connection leaves the event loop to others.
# The time of one was estimated as 1 us and not measured alone.
PIECES_PER_TURN = 1000

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Response to requests that no handler has begun when their connection ends, and
# to one that is on its way. It has no body, as the method may be unknown.
_CLOSING_RESPONSE = Response(408, [], b"")
# Response to a request that its handler has left without one.
_FAILURE_RESPONSE = Response(
    500,
    [(b"content-type", b"text/plain")],
    b"internal_error: the request was not handled to its end\n",
)


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    """A request that waits for the response to the one before it.

    Attributes:
        request: The request.
        closes: Whether the caller asks to close the connection afterwards.
        early_response: Response that needs no handler, or None.
        held_bytes: Memory that is held for it.
    """

    request: HttpRequest
    closes: bool
    early_response: Response | None
    held_bytes: int


class CallerConnection(asyncio.Protocol):
    """Connection of a caller; requests are handled in order.

    Whatever follows a request on the connection does not affect its response.
    The connection ends only in `end`, which responds to what is unanswered.
    """

    def __init__(self, server: "Http1Server") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: CallerTransport | None = None
        self._account = CallerAccount(server.body_memory, self, self._loop.time)
        self._reader = RequestReader(self, lambda: server.limits, self._account)
        self._unparsed = b""
        self._is_evictable = False
        self._unsent_bytes = 0
        self._held_output_bytes = 0
        self._queued_requests: deque[_QueuedRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._exchange: ServerExchange | None = None
        self._end_reason: EndReason | None = None
        self._error_status_at_end: int | None = None
        self._closes_after_response = False
        self._last_active_at = self._loop.time()
        self._received_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is open and unused."""
        return (
            self._end_reason is None
            and self._task is None
            and not self._reader.is_reading
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight.

        It is in flight until its response was sent completely.
        """
        if self._transport is not None and self._transport.unsent_bytes > 0:
            return True
        return self._end_reason is None and not self.is_idle

    @property
    def is_open(self) -> bool:
        """Return whether the connection takes requests or sends responses."""
        return self._end_reason is None or self.is_busy

    @property
    def last_active_at(self) -> float:
        """Return the loop time at which a request last made progress."""
        return self._last_active_at

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timeout."""
        self._transport = CallerTransport(transport)
        self._transport.set_write_limit(self._server.write_limit_bytes)
        self._account.address = self._transport.peer_host
        self._server.add(self)
        self._schedule_timeout_check()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, in pieces if they take long."""
        if self._reader.is_ended:
            return
        if self._unparsed:
            # A transport may have read before reading was paused.
            if self._account.try_hold(len(data)):
                self._unparsed += data
            else:
                self._reject_input(STATUS_NO_BODY_MEMORY)
        elif len(data) <= PARSE_BYTES:
            self._parse(data)
        else:
            self._parse_in_pieces(data)

    def _parse_in_pieces(self, data: bytes) -> None:
        """Parse input until it has taken its part of this turn."""
        reader = self._reader
        last_piece = reader.pieces + PIECES_PER_TURN
        start, max_size = 0, PARSE_BYTES
        while start < len(data) and not reader.is_ended:
            is_queue_full = len(self._queued_requests) >= MAX_PIPELINED_REQUESTS
            if is_queue_full or reader.pieces >= last_piece:
                self._defer(data[start:], is_queue_full=is_queue_full)
                return
            size = max(reader.missing_bytes, max_size)
            pieces = reader.pieces
            self._parse(data[start : start + size])
            start += size
            # Large chunks are parsed in larger pieces.
            is_sparse = reader.pieces - pieces <= SPARSE_PIECES
            max_size = (
                min(2 * max_size, MAX_PARSE_BYTES)
                if is_sparse
                else (PARSE_BYTES)
            )

    def _defer(self, data: bytes, *, is_queue_full: bool) -> None:
        """Parse input later.

        Args:
            data: The input.
            is_queue_full: Whether a response comes first.
        """
        if self._transport is None:
            return
        if not self._account.try_hold(len(data)):
            self._reject_input(STATUS_NO_BODY_MEMORY)
            return
        self._unparsed = data
        self._transport.pause_reading()
        if not is_queue_full:
            self._loop.call_soon(self._continue_input)

    def _continue_input(self) -> None:
        """Parse input that was deferred, and read again."""
        if len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
            return
        data = self._take_unparsed()
        if data and not self._reader.is_ended:
            self._parse_in_pieces(data)
        if (
            not self._unparsed
            and self._transport is not None
            and self._end_reason is None
            and len(self._queued_requests) < MAX_PIPELINED_REQUESTS
        ):
            self._transport.resume_reading()

    def _take_unparsed(self) -> bytes:
        data, self._unparsed = self._unparsed, b""
        self._account.release(len(data))
        return data

    def _parse(self, data: bytes) -> None:
        reader = self._reader
        was_reading = reader.is_reading
        if not was_reading:
            self._received_at = self._server.now()
        if not was_reading or reader.is_head_complete:
            self._last_active_at = self._loop.time()
        if not self._feed(data):
            return
        if reader.is_reading:
            self._record_progress(len(data), is_new=not was_reading)
        elif self._is_evictable:
            self._set_evictable()
        if self._task is None:
            self._start_next_request()
        if self._end_reason is not None or self._transport is None:
            return
        if len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        if reader.is_reading and not was_reading:
            self._schedule_timeout_check()

    def _feed(self, data: bytes) -> bool:
        """Parse input; return whether it was accepted."""
        try:
            self._reader.feed(data)
        except InputRejectedError as error:
            self._set_evictable()
            if self._end_reason is None:
                self._reject_input(error.status)
            else:
                _LOGGER.debug("input ignored after the end", error=str(error))
            return False
        return True

    def _record_progress(self, size: int, *, is_new: bool) -> None:
        """Record input of a request that is not complete."""
        if is_new:
            self._account.progress.restart(self._loop.time())
        else:
            self._account.progress.record(size, self._loop.time())
        self._set_evictable()

    def _set_evictable(self) -> None:
        """Tell the memory whether this connection can release some of it."""
        is_evictable = bool(self._reader.held_bytes or self._held_output_bytes)
        if is_evictable != self._is_evictable:
            self._is_evictable = is_evictable
            self._account.set_evictable(is_evictable=is_evictable)

    @property
    def progress(self) -> Progress:
        """Return the progress of the caller."""
        return self._account.progress

    def evict(self) -> bool:
        """Refuse a request that does not arrive, or drop unread output.

        Returns:
            Whether memory was released.
        """
        if self._held_output_bytes and self._transport is not None:
            unsent_bytes = self._transport.unsent_bytes
            if unsent_bytes < self._unsent_bytes:
                self._unsent_bytes = unsent_bytes
                self.progress.restart(self._loop.time())
                return False
            self._drop_output()
            return True
        if self._unread_bytes:
            # The event loop is late, not the caller.
            self.progress.restart(self._loop.time())
            return False
        if self._reader.is_reading and self._end_reason is None:
            self._reject_input(STATUS_NO_BODY_MEMORY)
            self._set_evictable()
            return True
        return False

    def is_stalled(self, now: float) -> bool:
        """Return whether a request does not arrive, and none is in flight."""
        return (
            self._end_reason is None
            and self._task is None
            and self._reader.is_reading
            and self.progress.is_stalled(now)
            and not self._unread_bytes
        )

    def refuse(self, refusal: Response) -> bool:
        """Refuse what has not arrived, and end the connection."""
        self._refuse_input(refusal)
        return True

    def abort(self) -> None:
        """Close the connection now, without a response."""
        if self._transport is not None:
            self._transport.abort()

    def _drop_output(self) -> None:
        """End the connection of a caller that does not read a response."""
        if self._transport is None:
            return
        _LOGGER.info(
            "response dropped, as its caller does not read it",
            unsent_bytes=self._transport.unsent_bytes,
        )
        self._release_output()
        if self._end_reason is None:
            self._end_reason = EndReason.ROOM
            self._record_end(
                ConnectionEnded(EndReason.ROOM, self._unanswered())
            )
        self._transport.abort()

    def _hold_output(self) -> None:
        """Hold memory for the output that the caller has not taken."""
        if (
            self.can_write
            or self._held_output_bytes
            or self._task is not None
            or self._transport is None
        ):
            return
        size = self._transport.unsent_bytes
        if not self._account.try_hold(size):
            self._drop_output()
            return
        self._held_output_bytes += size
        self._unsent_bytes = size
        self.progress.restart(self._loop.time())
        self._set_evictable()

    def _release_output(self) -> None:
        self._account.release(self._held_output_bytes)
        self._held_output_bytes = 0
        self._set_evictable()

    def eof_received(self) -> None:
        """Let the transport close, because the caller disconnected.

        A caller that only ends its side of the connection looks the same.
        """
        self._record_caller_left(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self._record_caller_left(exc)
        self._server.remove(self)
        for queued in self._queued_requests:
            self._account.release(queued.held_bytes)
        self._queued_requests.clear()
        self._take_unparsed()
        self._release_output()
        self._can_write.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.release()
        if self._task is not None:
            self._task.cancel()
        self._reader.close()
        self._account.close()

    def pause_writing(self) -> None:
        """Make handlers wait until the write buffer has room."""
        self._can_write.clear()
        if self._task is None:
            # A response is written after its handler has ended.
            self._loop.call_soon(self._hold_output)

    def resume_writing(self) -> None:
        """Let handlers continue to write, and start the next request."""
        self._can_write.set()
        if self._transport is not None:
            self._transport.write_waiting()
        if not self.can_write:
            # What waited has filled the write buffer again.
            return
        if self._held_output_bytes:
            self._release_output()
        if self._task is None and self._end_reason is None:
            self._start_next_request()

    # RequestReceiver

    def receive_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Queue a request.

        It is handled once the received input was parsed, as what follows it
        decides whether its response announces the end.
        """
        closes = self._reader.is_ended
        held_bytes = self._reader.take_held_bytes()
        request = HttpRequest(method, target, headers, body, self._received_at)
        self._received_at = self._server.now()
        if self._end_reason is not None:
            self._account.release(held_bytes)
            self._server.observer.record_crossing(request, self._end_reason)
            return
        if len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
            if not self._account.try_hold(QUEUED_REQUEST_BYTES):
                self._account.release(held_bytes)
                raise InputRejectedError(STATUS_NO_BODY_MEMORY)
            held_bytes += QUEUED_REQUEST_BYTES
        is_next = self._task is None and (
            not self._queued_requests
            or self._queued_requests[-1].early_response is not None
        )
        early_response = self._early_response(request) if is_next else None
        self._queued_requests.append(
            _QueuedRequest(request, closes, early_response, held_bytes)
        )

    def send_continue(self) -> None:
        """Tell the caller to send a body, unless a response is due before."""
        if (
            self._task is None
            and not self._queued_requests
            and self._reader.is_continue_due
        ):
            self._reader.is_continue_due = False
            self.write(_CONTINUE)

    # ResponseConnection

    def decide_close(self) -> bool:
        """Decide whether the connection closes after the current response.

        A server that closes its connections first responds to the requests
        that it has already received.
        """
        self._closes_after_response = self._closes_after_response or (
            self._server.is_closing_connections and not self._has_more_input
        )
        return self._closes_after_response

    @property
    def _has_more_input(self) -> bool:
        """Return whether requests follow the current one."""
        return (
            bool(self._queued_requests)
            or self._reader.is_reading
            or self._error_status_at_end is not None
            or self._unread_bytes > 0
        )

    @property
    def _unread_bytes(self) -> int:
        """Return the size of the input that waits to be parsed."""
        if self._transport is None:
            return 0
        return len(self._unparsed) + self._transport.unread_bytes

    def write(self, data: bytes) -> None:
        """Send data, unless the connection has ended."""
        if self._transport is not None:
            self._transport.write(data)

    @property
    def can_write(self) -> bool:
        """Return whether the write buffer has room."""
        return self._can_write.is_set()

    async def async_drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._can_write.wait()

    # End of the connection

    def end(self, reason: EndReason, refusal: Response | None = None) -> bool:
        """End the connection, after responses to what is unanswered.

        Args:
            reason: Reason of the end.
            refusal: Response to the input that was received in part, or None
                for the closing response.

        Returns:
            Whether it has ended. One with unread input may have to stay open.
        """
        if self._end_reason is not None or self._transport is None:
            return True
        rule = RULE_BY_REASON[reason]
        unanswered = self._unanswered()
        if rule.waits_for_input and unanswered.unread_bytes:
            return False
        responses = [_CLOSING_RESPONSE] * unanswered.closing_responses(rule)
        if refusal is not None:
            responses = [refusal]
        refused = len(responses)
        if unanswered.response is ResponseState.PENDING:
            responses.insert(0, _FAILURE_RESPONSE)
        data = b"".join(
            _encode_response(response, closes=number == len(responses))
            for number, response in enumerate(responses, 1)
        )
        self._end_reason = reason
        if self._unparsed:
            # Requests among it are recorded, as they cross the end.
            self._loop.call_soon(self._continue_input)
        self._transport.end(data, drops_output=rule.drops_output)
        self._record_end(ConnectionEnded(reason, unanswered, refused))
        return True

    def end_if_idle(self, reason: EndReason) -> bool:
        """End the connection unless it is in use; return whether it ended."""
        return self.is_idle and self.end(reason)

    def _record_caller_left(self, error: Exception | None) -> None:
        if self._end_reason is not None:
            return
        self._end_reason = EndReason.CALLER_LEFT
        self._record_end(
            ConnectionEnded(
                self._end_reason,
                self._unanswered(),
                error="" if error is None else str(error),
            )
        )

    def _record_end(self, ended: ConnectionEnded) -> None:
        try:
            self._server.observer.record_end(ended)
        except Exception:
            _LOGGER.exception("end of a connection not recorded")

    def _unanswered(self) -> Unanswered:
        response = ResponseState.NONE
        if self._exchange is not None and not self._exchange.is_finished:
            response = (
                ResponseState.BEGUN
                if self._exchange.is_started
                else ResponseState.PENDING
            )
        unread_bytes = 0
        if not self._reader.is_ended:
            unread_bytes = self._unread_bytes
        return Unanswered(
            response,
            len(self._queued_requests),
            self._reader.is_reading,
            unread_bytes,
        )

    def _early_response(self, request: HttpRequest) -> Response | None:
        try:
            return self._server.early_responder(request)
        except Exception:
            _LOGGER.exception(
                "early responder failed",
                method=request.method,
                path=request.path,
            )
            return None

    def _start_next_request(self) -> None:
        """Send early responses, and start the next request with a handler."""
        if self._end_reason is not None:
            return
        while self._queued_requests:
            if not self.can_write:
                # Until the caller has read the responses before.
                return
            queued = self._queued_requests.popleft()
            self._closes_after_response = queued.closes
            exchange = ServerExchange(self, queued.request)
            early = queued.early_response
            if early is None:
                self._start_handler(exchange, queued.held_bytes)
                return
            self._account.release(queued.held_bytes)
            exchange.send_response(early.status, early.headers, early.body)
            if self._closes_after_response:
                self.end(EndReason.ANNOUNCED)
                return
        if self._error_status_at_end is not None:
            self._refuse_input(
                self._server.refuse_body()
                if self._error_status_at_end == STATUS_NO_BODY_MEMORY
                else Response(self._error_status_at_end, [], b"")
            )
        self.send_continue()
        self._read_on()

    def _read_on(self) -> None:
        """Read and parse again, if the queue has room."""
        if len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
            return
        if self._unparsed:
            self._loop.call_soon(self._continue_input)
        elif self._transport is not None:
            self._transport.resume_reading()

    def _start_handler(self, exchange: ServerExchange, held_bytes: int) -> None:
        self._read_on()
        self._exchange = exchange
        self._task = self._loop.create_task(
            self._async_handle_request(exchange)
        )
        # A task that is cancelled before its first step runs nothing else.
        self._task.add_done_callback(
            lambda _: self._account.release(held_bytes)
        )

    async def _async_handle_request(self, exchange: ServerExchange) -> None:
        try:
            await self._server.handler(exchange)
        except asyncio.CancelledError:
            self._end_cancelled(exchange)
            raise
        except Exception:
            _LOGGER.exception(
                "request handler failed",
                method=exchange.request.method,
                path=exchange.request.path,
            )
            if not exchange.is_started:
                failure = _FAILURE_RESPONSE
                exchange.send_response(
                    failure.status, failure.headers, failure.body
                )
        finally:
            self._task = self._exchange = None
        self._hold_output()
        if self._end_reason is not None:
            return
        if not exchange.is_finished:
            self._exchange = exchange
            self.end(EndReason.BROKEN_OFF)
        elif self._closes_after_response:
            self.end(EndReason.ANNOUNCED)
        else:
            self._last_active_at = self._loop.time()
            if self._server.is_closing_connections:
                # The response started before and announced no close, so that
                # the caller may already be sending its next request.
                self._loop.call_later(
                    LINGER_SECONDS, self.end_if_idle, EndReason.DRAIN
                )
            self._start_next_request()

    def refuse_partial_request(self, refusal: Response) -> bool:
        """Refuse a request that is not received completely.

        The connection stays open, so that the caller reads the refusal before
        it sees the end of the connection.

        Returns:
            Whether there was such a request.
        """
        if (
            self._end_reason is not None
            or self._task is not None
            or not self._reader.is_reading
        ):
            return False
        if self._unread_bytes:
            # The rest of the request may be there.
            return False
        self._refuse_input(refusal)
        return True

    def _end_cancelled(self, exchange: ServerExchange) -> None:
        """End the response of a cancelled handler."""
        self.end(
            EndReason.ANNOUNCED
            if exchange.is_finished
            else EndReason.BROKEN_OFF
        )

    def _reject_input(self, status: int) -> None:
        """Respond with an error after the responses to earlier requests."""
        _LOGGER.info(
            "request rejected; connection will be closed",
            status=status,
            earlier_requests=len(self._queued_requests)
            + (self._task is not None),
        )
        self._reader.end()
        self._error_status_at_end = status
        if self._task is None:
            self._start_next_request()

    def _refuse_input(self, response: Response) -> None:
        """Respond to input that will not be handled, and end the connection."""
        self.end(EndReason.REJECTED, response)
        self._reader.end()

    def _schedule_timeout_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        limit = self._timeout_seconds()
        due_at = self._last_active_at + limit
        self._timer = self._loop.call_at(due_at, self._check_timeout)

    def _timeout_seconds(self) -> float:
        limits = self._server.limits
        if self._reader.is_reading and not self._reader.is_head_complete:
            return limits.header_timeout_seconds
        return limits.idle_timeout_seconds

    def _check_timeout(self) -> None:
        if self._end_reason is not None:
            return
        if self._task is not None:
            self._last_active_at = self._loop.time()
        elif (
            self._loop.time() >= self._last_active_at + self._timeout_seconds()
        ):
            if self._unread_bytes:
                # A loop that is late has timers run before it reads.
                self._timer = self._loop.call_later(0, self._check_timeout)
            elif self._reader.is_reading:
                self._reject_input(408)
            else:
                self.end(EndReason.IDLE_TIMEOUT)
            return
        self._schedule_timeout_check()


def _encode_response(response: Response, *, closes: bool) -> bytes:
    headers = [
        *response.headers,
        (b"content-length", b"%d" % len(response.body)),
    ]
    if closes:
        headers.append((b"connection", b"close"))
    return encode_head(status_line(response.status), headers) + response.body
