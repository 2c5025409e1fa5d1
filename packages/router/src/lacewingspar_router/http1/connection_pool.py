"""Idle connections to one address."""

from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection


class ConnectionPool:
    """Connections to one address.

    Args:
        address: `host:port`.
        most_idle: Idle connections beyond which none is kept, or None.
    """

    def __init__(self, address: str, most_idle: int | None = None) -> None:
        self.address = address
        self._most_idle = most_idle
        self._idle: list[ClientConnection] = []

    async def async_take(
        self, idle_seconds: float | None = None
    ) -> ClientConnection:
        """Return an idle connection or a new one.

        Args:
            idle_seconds: Longest idle time of a connection that is reused,
                or None for what the peer allows.

        Raises:
            ConnectionFailedError: No connection could be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_fresh(idle_seconds):
                return connection
            connection.abort()
        return await async_connect(self.address)

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection whose exchange is over, if it can be reused."""
        if not connection.finish():
            return
        if self._most_idle is not None and len(self._idle) >= self._most_idle:
            connection.abort()
            return
        self._idle.append(connection)

    @property
    def is_empty(self) -> bool:
        """Return whether no idle connection is kept."""
        return not self._idle

    def drop_stale(self) -> None:
        """Close the idle connections that cannot be reused."""
        stale = [item for item in self._idle if not item.is_fresh(None)]
        for connection in stale:
            self._idle.remove(connection)
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()
