"""Server for the connections of callers."""

import heapq
from collections.abc import Awaitable, Callable

import structlog

from lacewingspar_router.http1.caller_connection import CallerConnection
from lacewingspar_router.http1.exchange import ConnectionLimits, ServerExchange
from lacewingspar_router.http1.listener import Listener, bind_address
from lacewingspar_router.http1.messages import HttpRequest, Response

_LOGGER = structlog.get_logger(__name__)

# Connections that may wait to be accepted. A busy router accepts some 500 a
# second, and callers give a connection up after a second; those that would wait
# longer are better off with another router.
LISTEN_BACKLOG = 128
# Connections before a limit is set.
NO_CONNECTION_LIMIT = 1_000_000
# Idle connections that are closed at once, since the search for those that
# have been idle longest reads all of them.
CLOSED_AT_ONCE = 64


Handler = Callable[[ServerExchange], Awaitable[None]]
Screen = Callable[[HttpRequest], Response | None]


def _let_pass(_request: HttpRequest) -> Response | None:
    """Refuse nothing."""
    return None


class Http1Server:
    """Server on one address.

    Attributes:
        handler: Answers each request.
        screen: Returns the answer to a request that is refused at once.
        limits: Limits on connections; may be replaced at any time.
        connections: Open connections.
        is_closing_connections: Whether answers end their connections.
        most_connections: Open connections beyond which idle ones are closed.

    Args:
        handler: Answers each request.
        now: Clock for the arrival of requests, in seconds.
        screen: Returns the answer to a request that is refused at once.
    """

    def __init__(
        self,
        handler: Handler,
        now: Callable[[], float],
        screen: Screen = _let_pass,
    ) -> None:
        self.handler = handler
        self.screen = screen
        self.now = now
        self.limits = ConnectionLimits()
        self.connections: set[CallerConnection] = set()
        self.is_closing_connections = False
        self.most_connections = NO_CONNECTION_LIMIT
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
    def accepted_connections(self) -> int:
        """Return the number of connections accepted since the start."""
        return 0 if self._listener is None else self._listener.accepted

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request under way."""
        return sum(not item.is_idle for item in self.connections)

    def add(self, connection: CallerConnection) -> None:
        """Take over a new connection, in place of idle ones if need be."""
        self.connections.add(connection)
        if len(self.connections) > self.most_connections:
            self._close_longest_idle()

    def _close_longest_idle(self) -> None:
        idle = [item for item in self.connections if item.is_idle]
        longest_idle = heapq.nsmallest(
            CLOSED_AT_ONCE, idle, key=lambda item: item.active_at
        )
        if not longest_idle:
            return
        for connection in longest_idle:
            # The transport tells only in a later turn that it is closed.
            self.connections.discard(connection)
            connection.close()
        _LOGGER.info(
            "idle connections closed for new ones",
            closed=len(longest_idle),
            idle=len(idle),
            connections=len(self.connections),
            most_connections=self.most_connections,
        )

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close the connections without a request under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
