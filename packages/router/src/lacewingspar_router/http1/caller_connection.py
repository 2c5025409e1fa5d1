"""Server side of a caller's connection."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

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
# Unsent response data above which the handler waits for a slow caller.
WRITE_BUFFER_HIGH_WATER_BYTES = 256 * 1024

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
    """

    request: HttpRequest
    closes: bool
    early_response: Response | None


class CallerConnection(asyncio.Protocol):
    """Connection of a caller; requests are handled in order.

    Whatever follows a request on the connection does not affect its response.
    The connection ends only in `end`, which responds to what is unanswered.
    """

    def __init__(self, server: "Http1Server") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: CallerTransport | None = None
        self._reader = RequestReader(
            self, lambda: server.limits, server.body_memory
        )
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
        self._transport.set_write_limit(WRITE_BUFFER_HIGH_WATER_BYTES)
        self._server.add(self)
        self._schedule_timeout_check()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        reader = self._reader
        if reader.is_ended:
            return
        was_reading = reader.is_reading
        if not was_reading:
            self._received_at = self._server.now()
        if not was_reading or reader.is_head_complete:
            self._last_active_at = self._loop.time()
        try:
            reader.feed(data)
        except InputRejectedError as error:
            if self._end_reason is None:
                self._reject_input(error.status)
            else:
                _LOGGER.debug("input ignored after the end", error=str(error))
            return
        if self._task is None:
            self._start_next_request()
        if self._end_reason is not None or self._transport is None:
            return
        if len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        if reader.is_reading and not was_reading:
            self._schedule_timeout_check()

    def eof_received(self) -> None:
        """Let the transport close, because the caller disconnected.

        A caller that only ends its side of the connection looks the same.
        """
        self._record_caller_left(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self._record_caller_left(exc)
        self._server.connections.discard(self)
        for queued in self._queued_requests:
            self._release_body(queued.request)
        self._queued_requests.clear()
        self._can_write.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.release()
        if self._task is not None:
            self._task.cancel()
        self._reader.close()

    def pause_writing(self) -> None:
        """Make handlers wait until the write buffer has room."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let handlers continue to write."""
        self._can_write.set()

    # RequestReceiver

    def receive_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Queue a request.

        It is handled once the received input was parsed, as what follows it
        decides whether its response announces the end.
        """
        closes = self._reader.is_ended
        request = HttpRequest(method, target, headers, body, self._received_at)
        self._received_at = self._server.now()
        if self._end_reason is not None:
            self._release_body(request)
            self._server.observer.record_crossing(request, self._end_reason)
            return
        is_next = self._task is None and (
            not self._queued_requests
            or self._queued_requests[-1].early_response is not None
        )
        early_response = self._early_response(request) if is_next else None
        self._queued_requests.append(
            _QueuedRequest(request, closes, early_response)
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
            or (
                self._transport is not None and self._transport.unread_bytes > 0
            )
        )

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
        if self._transport is not None and not self._reader.is_ended:
            unread_bytes = self._transport.unread_bytes
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
            queued = self._queued_requests.popleft()
            self._closes_after_response = queued.closes
            exchange = ServerExchange(self, queued.request)
            early = queued.early_response
            if early is None:
                self._start_handler(exchange)
                return
            self._release_body(queued.request)
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

    def _start_handler(self, exchange: ServerExchange) -> None:
        if (
            len(self._queued_requests) < MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._transport.resume_reading()
        self._exchange = exchange
        self._task = self._loop.create_task(
            self._async_handle_request(exchange)
        )
        # A task that is cancelled before its first step runs nothing else.
        self._task.add_done_callback(
            lambda _: self._release_body(exchange.request)
        )

    def _release_body(self, request: HttpRequest) -> None:
        """Release the memory of a request that has ended."""
        self._server.body_memory.release(len(request.body))

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
        if self._transport is not None and self._transport.unread_bytes:
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
            if self._transport is not None and self._transport.unread_bytes:
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
