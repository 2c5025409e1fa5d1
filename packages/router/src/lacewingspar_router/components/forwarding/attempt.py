"""A single attempt to serve a request at one upstream."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from lacewingspar_core.attempt_rules import AttemptResult
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.event_stream import (
    AfterEvent,
    EventSequence,
    EventSizeError,
    NoResumePoint,
    NoResumePointError,
    ResumePoint,
    StreamStart,
)
from lacewingspar_core.memory_budget import MemoryBudget
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_core.routing import RouteKind
from lacewingspar_core.upstream_notices import UpstreamNotice
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.models import (
    Call,
    ResponseInfo,
    WireFormat,
)
from lacewingspar_router.http1.client import async_read_body, async_read_head
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ConnectionEndedEarlyError,
    ConnectionFailedError,
    ExchangeInterruptedError,
    InvalidResponseError,
)
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import Response, ResponseHead

_MIN_SERVER_ERROR_STATUS = 500
# Callers take these statuses to mean that the request did not run. They are not
# relayed unless the upstream also declares that it did not run the request.
_UNCONFIRMED_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of an attempt.

    Attributes:
        result: Result of the attempt.
        reason: Explanation for the log.
        response: The complete response, if it was read but not relayed yet.
    """

    result: AttemptResult
    reason: str = ""
    response: Response | None = None


@dataclass(slots=True)
class CallerResponse:
    """Response to the caller, shared by all attempts at a request.

    Attributes:
        exchange: HTTP exchange with the caller.
        events: Stream events that were relayed.
        first_chunk_at: Time at which the first chunk was relayed, or None.
    """

    exchange: ServerExchange
    events: EventSequence = field(default_factory=EventSequence)
    first_chunk_at: float | None = None

    @property
    def can_continue(self) -> bool:
        """Return whether another upstream can be told where to go on."""
        return not isinstance(self.events.resume_point, NoResumePoint)

    def validated(self, end: AttemptEnd) -> AttemptEnd:
        """Return the end of an attempt as it counts for the caller.

        A whole response cannot continue a response that has started. That is
        known only when it is used: another attempt may have started it since.
        """
        if (
            end.result is not AttemptResult.RESPONDED
            or end.response is None
            or not self.exchange.is_started
        ):
            return end
        return AttemptEnd(
            AttemptResult.UPSTREAM_FAILURE,
            f"status {end.response.status} in place of the rest of a stream",
        )


@dataclass(frozen=True, slots=True)
class AttemptHooks:
    """Functions that an attempt calls on its way.

    Attributes:
        may_send: Returns whether the upstream still accepts the request.
        on_sent: Called with the connection when the request is sent. If it
            interrupts the exchange, the attempt ends as timed out.
        on_notice: Called with each notice of the upstream.
        on_load: Called with the load that the upstream reports.
        on_first_chunk: Called when the first chunk of the response arrives.
        on_surplus_data: Called if data follows the response at once.
        async_before_relay: Waits until a stream may be relayed.
        async_has_crashed: Returns whether the upstream has just crashed.
    """

    may_send: Callable[[], bool]
    on_sent: Callable[[ClientConnection], None]
    on_notice: Callable[[UpstreamNotice], None]
    on_load: Callable[[LoadReport], None]
    on_first_chunk: Callable[[], None]
    on_surplus_data: Callable[[], None]
    async_before_relay: Callable[[], Awaitable[None]]
    async_has_crashed: Callable[[], Awaitable[bool]]


class Attempt:
    """Sends a request to one upstream and relays the response.

    Args:
        call: The request.
        upstream: Upstream to send it to.
        pool: Connections to the upstream.
        wire_format: Wire format of requests and responses.
        caller_response: Response to the caller.
        now: Clock in seconds.
        hooks: Functions to call on the way.
        response_memory: Bounds the bodies that all attempts read.
    """

    def __init__(
        self,
        call: Call,
        upstream: UpstreamEntry,
        pool: ConnectionPool,
        wire_format: WireFormat,
        caller_response: CallerResponse,
        now: Callable[[], float],
        hooks: AttemptHooks,
        response_memory: MemoryBudget,
    ) -> None:
        self._call = call
        self._upstream = upstream
        self._connection_pool = pool
        self._wire_format = wire_format
        self._caller_response = caller_response
        self._now = now
        self._hooks = hooks
        self._response_memory = response_memory
        self._resume_point: ResumePoint = StreamStart()

    async def async_run(self, fetch_from: str) -> AttemptEnd:
        """Run the attempt; cancelling it aborts the connection to the upstream.

        Args:
            fetch_from: `host:port` of the upstream from which to copy the
                shared parts of the prompt, or "".
        """
        route = self._call.route
        max_idle_seconds = (
            None
            if route.may_run_again
            else const.NON_REPEATABLE_MAX_IDLE_SECONDS
        )
        try:
            connection = await self._connection_pool.async_acquire(
                max_idle_seconds
            )
        except ConnectionEndedEarlyError as error:
            return AttemptEnd(AttemptResult.UNSENT, str(error))
        except ConnectionFailedError as error:
            return AttemptEnd(AttemptResult.UNREACHABLE, str(error))
        if not self._hooks.may_send():
            connection.abort()
            return AttemptEnd(
                AttemptResult.WITHHELD, "the upstream wants no requests"
            )
        is_reusable = False
        try:
            connection.send(
                self._request(fetch_from), is_head=self._call.request.is_head
            )
            self._hooks.on_sent(connection)
            end = await self._async_receive_response(connection)
            is_reusable = end.result not in _UNUSABLE_CONNECTION_RESULTS
            if is_reusable and connection.has_surplus_data:
                self._hooks.on_surplus_data()
            return end
        except NoResumePointError as error:
            return AttemptEnd(AttemptResult.WITHHELD, str(error))
        finally:
            if is_reusable:
                self._connection_pool.release(connection)
            else:
                connection.abort()

    def _request(self, fetch_from: str) -> bytes:
        self._resume_point = self._caller_response.events.resume_point
        return self._wire_format.encode_upstream_request(
            self._call,
            self._upstream,
            self._call.deadline_at - self._now(),
            _last_event_id(self._resume_point),
            fetch_from,
        )

    async def _async_receive_response(
        self, connection: ClientConnection
    ) -> AttemptEnd:
        try:
            head, info = await self._async_read_matching_head(connection)
            if self._is_stream(head, info):
                await self._hooks.async_before_relay()
                return await self._async_relay_stream(connection, head)
            _check_is_usable(info)
            response = await self._async_read_body(connection, head)
            if head.ends_with_connection and await self._async_has_crashed(
                response
            ):
                return AttemptEnd(
                    AttemptResult.BROKEN, "response ended in a crash"
                )
        except ExchangeInterruptedError:
            return AttemptEnd(
                AttemptResult.TIMED_OUT, "another upstream takes over"
            )
        except ConnectionBrokenError as error:
            return AttemptEnd(AttemptResult.BROKEN, str(error))
        except NoResumePointError as error:
            return AttemptEnd(AttemptResult.WITHDRAWN, str(error))
        except (InvalidResponseError, EventSizeError) as error:
            return AttemptEnd(AttemptResult.INVALID, str(error))
        return self._classify_response(response, info)

    async def _async_read_matching_head(
        self, connection: ClientConnection
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Return the response head for this request.

        Late responses to earlier requests on the connection are skipped. One
        that names no request cannot be told from them if it comes again, so no
        request follows it on the connection.
        """
        for _ in range(const.MAX_STALE_RESPONSES + 1):
            head = await async_read_head(connection)
            info = self._wire_format.parse_response_head(
                self._call, self._upstream, head
            )
            if info.notice is not None:
                self._hooks.on_notice(info.notice)
            if info.is_for_request:
                if info.load is not None:
                    self._hooks.on_load(info.load)
                if not info.names_request:
                    connection.end_reuse()
                return head, info
            await self._async_read_body(connection, head)
        raise InvalidResponseError("received only responses to other requests")

    async def _async_read_body(
        self, connection: ClientConnection, head: ResponseHead
    ) -> Response:
        return await async_read_body(
            connection,
            head,
            const.MAX_BUFFERED_RESPONSE_BYTES,
            self._response_memory,
            self._upstream.address,
        )

    async def _async_relay_stream(
        self, connection: ClientConnection, head: ResponseHead
    ) -> AttemptEnd:
        """Relay events as they arrive."""
        caller_response = self._caller_response
        events = caller_response.events
        events.begin_run(
            self._resume_point, is_framed=not head.ends_with_connection
        )
        events_before = events.forwarded
        sink = _EventSink(self, head, connection)
        await connection.async_stream_body(sink)
        if events.early_end:
            return AttemptEnd(AttemptResult.BROKEN, events.early_end)
        if head.ends_with_connection:
            # The end of the stream looks like the death of the upstream.
            if events.forwarded == events_before:
                return AttemptEnd(
                    AttemptResult.BROKEN, "stream ended without an event"
                )
            if await self._hooks.async_has_crashed():
                return AttemptEnd(
                    AttemptResult.BROKEN, "stream ended in a crash"
                )
        self._start_response(head)
        caller_response.exchange.finish()
        return AttemptEnd(AttemptResult.RESPONDED)

    async def _async_has_crashed(self, response: Response) -> bool:
        """Return whether a body without a length ended in a crash."""
        # Without a body, the end of the connection does not matter.
        return bool(response.body) and await self._hooks.async_has_crashed()

    def relay_chunk(self, head: ResponseHead, chunk: bytes) -> bool:
        """Relay the events that a chunk of a stream completes.

        Returns:
            Whether the caller can take more data at once.
        """
        ready = self._caller_response.events.push(chunk)
        if not ready:
            return True
        self._start_response(head)
        return self._caller_response.exchange.write(ready)

    @property
    def is_body_over(self) -> bool:
        """Return whether the rest of the body belongs to another response."""
        return self._caller_response.events.is_run_over

    def record_first_chunk(self) -> None:
        """Report that the first chunk of the response arrived."""
        self._hooks.on_first_chunk()

    async def async_drain(self) -> None:
        """Wait until the caller can take more data."""
        await self._caller_response.exchange.async_drain()

    def _start_response(self, head: ResponseHead) -> None:
        """Send the response head, unless an earlier attempt has sent one."""
        caller_response = self._caller_response
        if caller_response.exchange.is_started:
            return
        caller_response.first_chunk_at = self._now()
        headers = self._wire_format.response_headers(head.headers)
        caller_response.exchange.start(head.status, headers, length=None)

    def _classify_response(
        self, response: Response, info: ResponseInfo
    ) -> AttemptEnd:
        """Map a complete response to the end of the attempt."""
        status = response.status
        if info.is_wrong_upstream:
            return AttemptEnd(
                AttemptResult.WRONG_UPSTREAM,
                "address belongs to another upstream",
            )
        if info.is_declared_not_run:
            return AttemptEnd(AttemptResult.NOT_RUN, f"status {status}")
        if self._holds_other_response(response):
            return AttemptEnd(
                AttemptResult.INVALID, "another response follows in the body"
            )
        if status in _UNCONFIRMED_NOT_RUN_STATUSES:
            return AttemptEnd(
                AttemptResult.INVALID,
                f"status {status} not declared as not run",
            )
        if status >= _MIN_SERVER_ERROR_STATUS:
            return AttemptEnd(
                AttemptResult.UPSTREAM_FAILURE, f"status {status}", response
            )
        end = self._caller_response.validated(
            AttemptEnd(AttemptResult.RESPONDED, "", response)
        )
        if end.result is AttemptResult.RESPONDED:
            self._hooks.on_first_chunk()
        return end

    def _holds_other_response(self, response: Response) -> bool:
        """Return whether more than the response was read until its end."""
        head = ResponseHead(response.status, response.headers)
        return (
            head.ends_with_connection
            and self._wire_format.holds_other_response(response.body)
        )

    def _is_stream(self, head: ResponseHead, info: ResponseInfo) -> bool:
        return (
            self._call.route.kind is RouteKind.STREAM
            and info.is_event_stream
            and not self._call.request.is_head
            and info.is_sealed
            and not info.is_encoded
            and head.status < 300
        )


class _EventSink:
    """Receives the body of a streamed response."""

    def __init__(
        self,
        attempt: Attempt,
        head: ResponseHead,
        connection: ClientConnection,
    ) -> None:
        self._attempt = attempt
        self._head = head
        self._connection = connection
        self._is_first = True

    def write(self, data: bytes) -> bool:
        """Relay a chunk; return whether the caller can take more at once."""
        if self._is_first:
            self._is_first = False
            self._attempt.record_first_chunk()
        takes_more = self._attempt.relay_chunk(self._head, data)
        if self._attempt.is_body_over:
            self._connection.end_body()
        return takes_more

    async def async_drain(self) -> None:
        """Wait until the caller can take more data."""
        await self._attempt.async_drain()


def _check_is_usable(info: ResponseInfo) -> None:
    """Check that the body of a response may be of use.

    The body of a response of a faulty upstream may have no end.

    Raises:
        InvalidResponseError: It is not.
    """
    if info.is_wrong_upstream or info.is_declared_not_run:
        return
    if info.is_encoded or not info.is_sealed:
        raise InvalidResponseError("response is encoded or not sealed")


def _last_event_id(resume_point: ResumePoint) -> bytes | None:
    """Return the id after which an upstream begins, or None at the start.

    Raises:
        NoResumePointError: No id tells where the stream would go on.
    """
    match resume_point:
        case StreamStart():
            return None
        case AfterEvent(event_id):
            return event_id
        case NoResumePoint():
            raise NoResumePointError


_UNUSABLE_CONNECTION_RESULTS = frozenset(
    {
        AttemptResult.BROKEN,
        AttemptResult.INVALID,
        AttemptResult.TIMED_OUT,
        AttemptResult.WITHDRAWN,
    }
)
