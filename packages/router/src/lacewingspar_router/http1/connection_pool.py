"""Connection pool for one address."""

from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import ConnectionEndedEarlyError


class ConnectionPool:
    """Pool of idle connections to one address.

    Args:
        address: `host:port`.
        max_idle_connections: Maximum number of idle connections, or None for no
            limit.
    """

    def __init__(
        self, address: str, max_idle_connections: int | None = None
    ) -> None:
        self.address = address
        self._max_idle_connections = max_idle_connections
        self._idle: list[ClientConnection] = []

    async def async_acquire(
        self, idle_seconds: float | None = None
    ) -> ClientConnection:
        """Return an idle connection or a new one.

        Args:
            idle_seconds: Maximum idle time of a reused connection, in addition
                to the idle timeout of the peer.

        Raises:
            ConnectionEndedEarlyError: The peer closed the new connection.
            ConnectionFailedError: No connection could be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.is_reusable(idle_seconds)
                and not connection.has_ended
            ):
                return connection
            connection.abort()
        connection = await async_connect(self.address)
        if connection.has_ended:
            connection.abort()
            raise ConnectionEndedEarlyError(
                f"{self.address}: closed before a request was sent"
            )
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not connection.complete_exchange():
            return
        if (
            self._max_idle_connections is not None
            and len(self._idle) >= self._max_idle_connections
        ):
            connection.abort()
            return
        self._idle.append(connection)

    @property
    def is_empty(self) -> bool:
        """Return whether the pool has no idle connections."""
        return not self._idle

    def close_expired(self) -> None:
        """Close the idle connections that can no longer be reused."""
        expired = [item for item in self._idle if not item.is_reusable(None)]
        for connection in expired:
            self._idle.remove(connection)
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()
