"""HTTP/1.1 server for callers."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable

import structlog

from lacewingspar_router.http1.body_memory import BodyMemory
from lacewingspar_router.http1.caller_connection import CallerConnection
from lacewingspar_router.http1.connection_end import (
    EndLog,
    EndObserver,
    EndReason,
)
from lacewingspar_router.http1.exchange import ConnectionLimits, ServerExchange
from lacewingspar_router.http1.listener import Listener, bind_address
from lacewingspar_router.http1.messages import HttpRequest, Response
from lacewingspar_router.http1.request_reader import STATUS_NO_BODY_MEMORY

_LOGGER = structlog.get_logger(__name__)

# Maximum length of the listen queue. A busy router accepts about 500
# connections per second, and callers time out after a second. Callers that
# would wait longer should connect to another router instead.
LISTEN_BACKLOG = 128
# Unsent response data above which the handler waits for a slow caller.
MAX_WRITE_LIMIT_BYTES = 256 * 1024
# Size of one read of an upstream's response; less would only add waits.
MIN_WRITE_LIMIT_BYTES = 64 * 1024
# Effectively unlimited; applies until `max_connections` is set.
DEFAULT_MAX_CONNECTIONS = 1_000_000
# Unused connections closed together, because finding the longest unused ones
# scans all connections.
IDLE_CLOSE_BATCH_SIZE = 64
# Fraction of `max_connections`, and at least one batch, by which connections
# that were ended may exceed it while their callers read the last response. A
# new connection above that is closed at once. Together they are three quarters
# of the descriptors of a process.
HARD_LIMIT_FRACTION = 2 / 3
# Time for which a closing server receives requests that callers are sending, or
# send on connections that they have just opened.
CLOSE_RECEIVE_SECONDS = 0.15
# Time for callers to read their last responses after that. Both together are
# half of the time between the end of the drain and the kill of the process.
CLOSE_SEND_SECONDS = 0.15
CLOSE_POLL_SECONDS = 0.01
# Times that a closing server lets its event loop read input, however late the
# loop is. Input that waits is read in one, and its response sent in the next.
MIN_CLOSE_POLLS = 3


Handler = Callable[[ServerExchange], Awaitable[None]]
EarlyResponder = Callable[[HttpRequest], Response | None]


def _no_early_response(_request: HttpRequest) -> Response | None:
    """Let every request reach the handler."""
    return None


def _refuse_body() -> Response:
    """Return a refusal that does not say when to come back."""
    return Response(STATUS_NO_BODY_MEMORY, [], b"")


class Http1Server:
    """HTTP/1.1 server on one address.

    Attributes:
        handler: Responds to each request.
        early_responder: Returns a response to send without calling the handler,
            or None.
        limits: Limits of each connection; may be replaced at any time.
        body_memory: Bounds the bodies of requests, of all connections together.
        refuse_body: Returns the response to a request whose body finds no room.
        connections: Open connections.
        observer: Records the ends of connections.
        is_closing_connections: Whether connections close after a response.
        max_connections: Number of open connections above which idle ones are
            closed.
        write_limit_bytes: Unsent response data of a connection above which its
            handler waits.

    Args:
        handler: Responds to each request.
        now: Clock for the arrival times of requests, in seconds.
        early_responder: Returns a response to send without calling the handler,
            or None.
        observer: Records the ends of connections, or None to log them.
    """

    def __init__(
        self,
        handler: Handler,
        now: Callable[[], float],
        early_responder: EarlyResponder = _no_early_response,
        observer: EndObserver | None = None,
    ) -> None:
        self.handler = handler
        self.early_responder = early_responder
        self.now = now
        self.limits = ConnectionLimits()
        self.body_memory = BodyMemory()
        self.refuse_body: Callable[[], Response] = _refuse_body
        self.connections: set[CallerConnection] = set()
        self.observer = observer or EndLog()
        self._is_closed = False
        self.is_closing_connections = False
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self._open_count = 0
        self.write_limit_bytes = MAX_WRITE_LIMIT_BYTES
        self._listener: Listener | None = None

    async def async_start(self, address: str) -> None:
        """Listen on `host:port`.

        Raises:
            ComponentSetupError: The address is invalid or in use.
        """
        self._listener = Listener(
            bind_address(address),
            lambda: CallerConnection(self),
            LISTEN_BACKLOG,
        )

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._listener is not None
        return self._listener.port

    @property
    def accepted_connection_count(self) -> int:
        """Return the number of connections accepted since the start."""
        return 0 if self._listener is None else self._listener.accepted_count

    @property
    def busy_connection_count(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(item.is_busy for item in self.connections)

    def add(self, connection: CallerConnection) -> None:
        """Register a new connection; close others above the limit."""
        self.connections.add(connection)
        self._open_count += 1
        if len(self.connections) <= self.max_connections:
            return
        if not self._close_longest_idle(connection):
            self._refuse_stalled(connection)
        if self._open_count > self._hard_limit:
            # Those that have ended stay open for a moment.
            connection.abort()

    @property
    def _hard_limit(self) -> float:
        extra = HARD_LIMIT_FRACTION * self.max_connections
        return self.max_connections + max(extra, IDLE_CLOSE_BATCH_SIZE)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that was closed."""
        self.connections.discard(connection)
        self._open_count -= 1

    def _close_longest_idle(
        self, newest: CallerConnection | None = None
    ) -> bool:
        """Close idle connections, and return whether there were some."""
        idle = [
            item
            for item in self.connections
            if item is not newest and item.is_idle and not item.is_busy
        ]
        longest_idle = heapq.nsmallest(
            IDLE_CLOSE_BATCH_SIZE, idle, key=lambda item: item.last_active_at
        )
        ended = [
            item for item in longest_idle if item.end_if_idle(EndReason.ROOM)
        ]
        if not ended:
            return False
        # `connection_lost` is called only in a later loop iteration.
        self.connections.difference_update(ended)
        _LOGGER.info(
            "idle connections closed to make room",
            closed=len(ended),
            idle=len(idle),
            connections=len(self.connections),
            most_connections=self.max_connections,
        )
        return True

    def _refuse_stalled(self, newest: CallerConnection) -> None:
        """Refuse the longest stalled requests, else the newest connection."""
        now = asyncio.get_running_loop().time()
        stalled = [item for item in self.connections if item.is_stalled(now)]
        refused = heapq.nsmallest(
            IDLE_CLOSE_BATCH_SIZE,
            stalled,
            key=lambda item: item.progress.made_at,
        ) or [newest]
        for item in refused:
            item.refuse(self.refuse_body())
        self.connections.difference_update(refused)
        _LOGGER.info(
            "connections refused to make room",
            refused=len(refused),
            stalled=len(stalled),
            connections=len(self.connections),
            open_connections=self._open_count,
            most_connections=self.max_connections,
        )

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for connection in list(self.connections):
            connection.end_if_idle(EndReason.DRAIN)

    async def async_close(self, refusal: Response) -> None:
        """Close all connections after their last responses, once.

        Handlers must end at once from now on.

        Args:
            refusal: Response to requests that are not received completely.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self.is_closing_connections = True
        self.stop_listening()
        await self._async_wait_closed(CLOSE_RECEIVE_SECONDS)
        refused = sum(
            item.refuse_partial_request(refusal) for item in self.connections
        )
        self.close_idle()
        await self._async_wait_closed(CLOSE_SEND_SECONDS)
        unfinished = self.busy_connection_count
        if refused or unfinished:
            _LOGGER.warning(
                "connections closed early",
                partial_requests=refused,
                unfinished=unfinished,
            )
        self.close()
        await self._async_wait_closed(0)

    async def _async_wait_closed(self, seconds: float) -> None:
        """Wait until all connections have ended, at most this long."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        polls = 0
        # The first wait also registers connections that were just accepted.
        while not polls or (
            any(item.is_open for item in self.connections)
            and (loop.time() < ends_at or polls < MIN_CLOSE_POLLS)
        ):
            await asyncio.sleep(CLOSE_POLL_SECONDS)
            polls += 1

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.end(EndReason.STOP)
