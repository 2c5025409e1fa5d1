"""One attempt at a request, at one upstream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewingspar_core.attempt_rules import AttemptResult
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.event_stream import EventSequence, EventSizeError
from lacewingspar_core.routing import RouteKind
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.models import (
    AnswerFacts,
    Call,
    WireFormat,
)
from lacewingspar_router.http1.client import async_read_body, async_read_head
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ConnectionFailedError,
    InvalidAnswerError,
)
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import Response, ResponseHead

_FIRST_FAILURE_STATUS = 500
# These promise that a request has not run. Without the upstream's word for it
# they are not passed on for requests that must not run twice.
_PROMISES_OF_NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Attributes:
        result: The result.
        reason: Reason for the log.
        response: The whole answer, if it was read and not passed on yet.
    """

    result: AttemptResult
    reason: str = ""
    response: Response | None = None


@dataclass(slots=True)
class Relay:
    """The caller's side of a request over all its attempts.

    Attributes:
        exchange: Exchange with the caller.
        events: Events of a stream that were passed on.
        first_part_at: Time of the first part passed on, or None.
    """

    exchange: ServerExchange
    events: EventSequence = field(default_factory=EventSequence)
    first_part_at: float | None = None


class Attempt:
    """Sends a request to one upstream and passes the answer on.

    Args:
        call: The request.
        upstream: The upstream.
        pool: Connections to it.
        wire: Wire format.
        relay: The caller's side.
        now: Clock in seconds.
        on_first_part: Called when the first part of an answer has come.
        may_give_up: Whether a silent upstream may be left for another one.
    """

    def __init__(
        self,
        call: Call,
        upstream: UpstreamEntry,
        pool: ConnectionPool,
        wire: WireFormat,
        relay: Relay,
        now: Callable[[], float],
        on_first_part: Callable[[], None],
        *,
        may_give_up: bool,
    ) -> None:
        self._call = call
        self._upstream = upstream
        self._pool = pool
        self._wire = wire
        self._relay = relay
        self._now = now
        self._on_first_part = on_first_part
        self._may_give_up = may_give_up

    async def async_run(self, fetch_from: str) -> AttemptEnd:
        """Run the attempt; cancelling it cancels the upstream's work.

        Args:
            fetch_from: `host:port` to copy parts of the prompt from, or "".
        """
        route = self._call.route
        idle = None if route.may_run_again else const.SINGLE_RUN_IDLE_SECONDS
        try:
            connection = await self._pool.async_take(idle)
        except ConnectionFailedError as error:
            return AttemptEnd(AttemptResult.UNREACHABLE, str(error))
        is_complete = False
        try:
            connection.send(self._request(fetch_from))
            end = await self._async_answer(connection)
            is_complete = end.result not in _BROKEN_RESULTS
            return end
        finally:
            if is_complete:
                self._pool.give_back(connection)
            else:
                connection.abort()

    def _request(self, fetch_from: str) -> bytes:
        resume_after = self._relay.events.last_id
        return self._wire.upstream_request(
            self._call,
            self._upstream,
            self._call.deadline_at - self._now(),
            resume_after,
            fetch_from,
        )

    async def _async_answer(self, connection: ClientConnection) -> AttemptEnd:
        try:
            async with asyncio.timeout(self._silent_limit()):
                head, facts = await self._async_head(connection)
            if self._is_stream(head, facts):
                return await self._async_stream(connection, head)
            async with asyncio.timeout(self._silent_limit()):
                response = await async_read_body(
                    connection, head, const.LARGEST_ANSWER_BYTES
                )
        except TimeoutError:
            return AttemptEnd(AttemptResult.SILENT, "no answer in time")
        except ConnectionBrokenError as error:
            return AttemptEnd(AttemptResult.BROKEN, str(error))
        except (InvalidAnswerError, EventSizeError) as error:
            return AttemptEnd(AttemptResult.INVALID, str(error))
        return self._judge(response, facts)

    async def _async_head(
        self, connection: ClientConnection
    ) -> tuple[ResponseHead, AnswerFacts]:
        """Return the head of the answer to this request.

        Answers to earlier requests, which came late, are skipped.
        """
        for _ in range(const.MOST_STRAY_ANSWERS + 1):
            head = await async_read_head(connection)
            facts = self._wire.read_answer(self._call, self._upstream, head)
            if facts.is_own:
                return head, facts
            await async_read_body(connection, head, const.LARGEST_ANSWER_BYTES)
        raise InvalidAnswerError("answers to other requests only")

    async def _async_stream(
        self, connection: ClientConnection, head: ResponseHead
    ) -> AttemptEnd:
        """Pass events on as they arrive."""
        relay = self._relay
        sink = _EventSink(self, head)
        await connection.async_pass_body(
            sink, self._silent_limit(), self._pause_limit()
        )
        if relay.events.has_partial_event:
            return AttemptEnd(AttemptResult.BROKEN, "the last event is cut")
        self._start(head)
        relay.exchange.finish()
        return AttemptEnd(AttemptResult.ANSWERED)

    def pass_part(self, head: ResponseHead, part: bytes) -> bool:
        """Pass the events on that a part of a stream completes.

        Returns:
            Whether the caller keeps up.
        """
        ready = self._relay.events.push(part)
        if not ready:
            return True
        self._start(head)
        return self._relay.exchange.write(ready)

    def note_first_part(self) -> None:
        """Tell that the first part of the answer has come."""
        self._on_first_part()

    async def async_drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._relay.exchange.async_drain()

    def _start(self, head: ResponseHead) -> None:
        """Send the head of the answer, that of the first upstream."""
        relay = self._relay
        if relay.exchange.is_started:
            return
        relay.first_part_at = self._now()
        headers = self._wire.answer_headers(head.headers)
        relay.exchange.start(head.status, headers, length=None)

    def _judge(self, response: Response, facts: AnswerFacts) -> AttemptEnd:
        """Tell what a whole answer means."""
        status = response.status
        if facts.is_wrong_upstream:
            return AttemptEnd(AttemptResult.WRONG_UPSTREAM, "address reused")
        if facts.is_not_run:
            return AttemptEnd(AttemptResult.NOT_RUN, f"status {status}")
        if facts.is_encoded or not facts.is_genuine:
            return AttemptEnd(AttemptResult.INVALID, "not the upstream's body")
        if status in _PROMISES_OF_NOT_RUN:
            return AttemptEnd(
                AttemptResult.INVALID, f"status {status} without a promise"
            )
        if status >= _FIRST_FAILURE_STATUS:
            return AttemptEnd(
                AttemptResult.UPSTREAM_FAILURE, f"status {status}", response
            )
        self._on_first_part()
        return AttemptEnd(AttemptResult.ANSWERED, "", response)

    def _is_stream(self, head: ResponseHead, facts: AnswerFacts) -> bool:
        return (
            self._call.route.kind is RouteKind.STREAM
            and facts.is_event_stream
            and facts.is_genuine
            and not facts.is_encoded
            and head.status < 300
        )

    def _silent_limit(self) -> float | None:
        """Return how long the upstream may take to begin its answer."""
        if not self._may_give_up:
            return None
        return max(
            const.SILENT_LEAST_SECONDS,
            const.SILENT_AIM_FACTOR * self._call.route.aim_seconds,
        )

    def _pause_limit(self) -> float | None:
        """Return how long the upstream may pause within its answer."""
        if not self._may_give_up:
            return None
        return max(
            const.PAUSE_LEAST_SECONDS,
            const.PAUSE_FACTOR * self._call.route.pause_aim_seconds,
        )


class _EventSink:
    """Takes the body of a stream."""

    def __init__(self, attempt: Attempt, head: ResponseHead) -> None:
        self._attempt = attempt
        self._head = head
        self._is_first = True

    def write(self, data: bytes) -> bool:
        """Take a part; return whether more may come at once."""
        if self._is_first:
            self._is_first = False
            self._attempt.note_first_part()
        return self._attempt.pass_part(self._head, data)

    async def async_drain(self) -> None:
        """Wait until more may come."""
        await self._attempt.async_drain()


_BROKEN_RESULTS = frozenset(
    {AttemptResult.BROKEN, AttemptResult.INVALID, AttemptResult.SILENT}
)
