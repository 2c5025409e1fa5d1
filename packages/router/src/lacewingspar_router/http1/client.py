"""Requests to servers: connecting, sending and whole answers."""

import asyncio

from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import (
    ConnectionFailedError,
    InvalidAnswerError,
)
from lacewingspar_router.http1.messages import (
    Response,
    ResponseEnd,
    ResponseHead,
)

# The networks between VMs have round trips of a few milliseconds; a peer that
# does not accept within this time is taken to be down.
CONNECT_TIMEOUT_SECONDS = 0.35


async def async_connect(address: str) -> ClientConnection:
    """Open a connection.

    Raises:
        ConnectionFailedError: It could not be opened.
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
    connection: ClientConnection, data: bytes, limit_bytes: int
) -> Response:
    """Send a request and return its whole answer.

    Args:
        connection: An idle connection.
        data: The request.
        limit_bytes: Largest body.

    Raises:
        ConnectionBrokenError: The connection ended before the answer did.
        InvalidAnswerError: The answer is too large or not HTTP.
    """
    connection.send(data)
    head = await async_read_head(connection)
    return await async_read_body(connection, head, limit_bytes)


async def async_read_head(connection: ClientConnection) -> ResponseHead:
    """Return the head of the next answer.

    Raises:
        ConnectionBrokenError: The connection ended before it.
        InvalidAnswerError: What comes is no head.
    """
    head = await connection.next_event()
    if not isinstance(head, ResponseHead):
        raise InvalidAnswerError("an answer has no head")
    return head


async def async_read_body(
    connection: ClientConnection, head: ResponseHead, limit_bytes: int
) -> Response:
    """Return the whole answer to a head that was read.

    Raises:
        ConnectionBrokenError: The connection ended before the answer did.
        InvalidAnswerError: The body is too large, or another answer follows
            before its end.
    """
    body = bytearray()
    while True:
        event = await connection.next_event()
        if isinstance(event, ResponseEnd):
            return Response(head.status, head.headers, bytes(body))
        if isinstance(event, ResponseHead):
            raise InvalidAnswerError("an answer follows before the end")
        body += event
        if len(body) > limit_bytes:
            raise InvalidAnswerError("the answer is too large")
