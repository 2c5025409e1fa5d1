"""Connection pool for one address."""

from unittest import mock

from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool


def used_connection() -> tuple[ClientConnection, mock.Mock]:
    """Return a connection after its exchange, and its transport."""
    connection, transport = ClientConnection(), mock.Mock()
    transport.get_write_buffer_size.return_value = 0
    connection.connection_made(transport)
    connection.send(b"request")
    return connection, transport


async def test_idle_connections_beyond_the_limit_are_closed() -> None:
    """Guards against idle connections that use up the file descriptors."""
    pool = ConnectionPool("10.0.0.1:80", max_idle_connections=1)
    kept, kept_transport = used_connection()
    closed, closed_transport = used_connection()
    pool.release(kept)
    pool.release(closed)
    kept_transport.abort.assert_not_called()
    closed_transport.abort.assert_called_once()
    assert await pool.async_acquire() is kept
    assert pool.is_empty
