"""HTTP client functions: connecting, and reading whole responses."""

import asyncio

from lacewingspar_core.memory_budget import MemoryBudget
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import (
    ConnectionFailedError,
    InvalidResponseError,
)
from lacewingspar_router.http1.messages import (
    Response,
    ResponseEnd,
    ResponseHead,
)

# Round trips between VMs take a few milliseconds. A peer that does not accept
# within this time is considered down.
CONNECT_TIMEOUT_SECONDS = 0.35
# Part of each response body that is not counted in the memory of all.
FREE_BODY_BYTES = 64 * 1024


async def async_connect(address: str) -> ClientConnection:
    """Open a connection.

    Raises:
        ConnectionFailedError: The connection could not be opened.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                ClientConnection, host, int(port)
            )
    except (OSError, TimeoutError, OverflowError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise ConnectionFailedError(f"{address}: {reason}") from error
    return connection


async def async_exchange(
    connection: ClientConnection, data: bytes, max_body_bytes: int
) -> Response:
    """Send a request and return the whole response.

    Args:
        connection: An idle connection.
        data: The encoded request.
        max_body_bytes: Maximum size of the response body.

    Raises:
        ConnectionBrokenError: The connection ended before the response did.
        InvalidResponseError: The response is too large or not HTTP.
    """
    connection.send(data)
    head = await async_read_head(connection)
    return await async_read_body(connection, head, max_body_bytes)


async def async_read_head(connection: ClientConnection) -> ResponseHead:
    """Return the head of the next response.

    Raises:
        ConnectionBrokenError: The connection ended before the head.
        InvalidResponseError: The received data is not a response head.
    """
    head = await connection.async_next_event()
    if not isinstance(head, ResponseHead):
        raise InvalidResponseError("response does not start with a head")
    return head


async def async_read_body(
    connection: ClientConnection,
    head: ResponseHead,
    max_body_bytes: int,
    memory: MemoryBudget | None = None,
    address: str = "",
) -> Response:
    """Read the body of a response and return the whole response.

    Args:
        connection: Connection on which the head was received.
        head: Head of the response.
        max_body_bytes: Maximum size of the body.
        memory: Bounds the bodies of all responses that are being read, without
            the first `FREE_BODY_BYTES` of each; None for no bound.
        address: Address of the sender, which cannot take all of that memory.

    Raises:
        ConnectionBrokenError: The connection ended before the response did.
        InvalidResponseError: The body is too large, by itself or beside the
            others, or another response starts before its end.
    """
    body = bytearray()
    held_bytes = 0
    try:
        while True:
            event = await connection.async_next_event()
            if isinstance(event, ResponseEnd):
                return Response(head.status, head.headers, bytes(body))
            if isinstance(event, ResponseHead):
                raise InvalidResponseError(
                    "another response started before the end"
                )
            body += event
            if len(body) > max_body_bytes:
                raise InvalidResponseError("response body is too large")
            size = max(0, len(body) - FREE_BODY_BYTES) - held_bytes
            if memory is None or size <= 0:
                continue
            if not memory.try_hold(size, held_bytes, address):
                raise InvalidResponseError(
                    "no memory for the response body beside others"
                )
            held_bytes += size
    finally:
        if memory is not None:
            memory.release(held_bytes, address)
