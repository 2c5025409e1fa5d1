"""HTTP/1.1 client of the load generator.

A general-purpose client needs more processor time per streamed event than a
router, so the load generator would limit the measurement.
"""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import cast

import httptools

# Shorter than the idle timeout of routers, so that no request is sent on a
# connection that the router is closing.
MAX_IDLE_SECONDS = 2.0


class ClientError(Exception):
    """A request failed.

    Attributes:
        outcome: Outcome under which the load generator counts the failure.
    """

    def __init__(self, outcome: str, message: str) -> None:
        super().__init__(message)
        self.outcome = outcome


class Connection(asyncio.Protocol):
    """A connection with at most one request in flight."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._has_head = False
        self._is_complete = False
        self._is_lost = False

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        is_fresh = time.monotonic() - self.idle_since < MAX_IDLE_SECONDS
        return self._is_complete and not self._is_lost and is_fresh

    async def exchange(self, data: bytes) -> None:
        """Send a request and wait for the response head.

        Raises:
            ClientError: The connection closed before the head arrived.
        """
        self._parser = httptools.HttpResponseParser(self)
        self.headers = {}
        # Parts of the previous response stay unread if its check failed.
        self._parts.clear()
        self._has_head = self._is_complete = False
        if self._transport is not None:
            self._transport.write(data)
        while not self._has_head:
            await self._wait("no_answer")

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            ClientError: The connection closed before the body was complete.
        """
        while True:
            while self._parts:
                yield self._parts.popleft()
            if self._is_complete:
                return
            await self._wait("broken")

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self, outcome: str) -> None:
        if self._is_lost:
            raise ClientError(outcome, "connection closed by the server")
        await self._changed.wait()
        self._changed.clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Mark the connection as lost and wake the exchange."""
        self._is_lost = True
        self._changed.set()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_lost = True
            self.close()
        self._changed.set()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status and mark the head as complete."""
        self.status = self._parser.get_status_code()
        self._has_head = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self._is_complete = True
        self.idle_since = time.monotonic()
        if not self._parser.should_keep_alive():
            self._is_lost = True
            self.close()


class ConnectionPool:
    """Pool of idle connections by address."""

    def __init__(self) -> None:
        self._idle_by_address: dict[str, list[Connection]] = {}

    async def acquire(self, address: str) -> Connection:
        """Return an idle or new connection.

        Raises:
            ClientError: The connection cannot be opened.
        """
        idle = self._idle_by_address.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            _, opened = await loop.create_connection(
                Connection, host, int(port)
            )
        except OSError as error:
            raise ClientError("connect_failed", str(error)) from error
        return opened

    def release(self, address: str, connection: Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.is_reusable:
            self._idle_by_address[address].append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
