"""Connections of callers in tests."""

import asyncio

from lacewingspar_router.http1.client_connection import ClientConnection


async def async_open_connection(address: str) -> ClientConnection:
    """Open a connection without the router's connect timeout.

    A busy machine may suspend the test process for longer than that timeout,
    which applies to routers, not to callers.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        ClientConnection, host, int(port)
    )
    return connection
