"""HTTP/1.1 client of the load generator.

A general client costs more per streamed event than a router does, so that the
generator would limit the measurement.
"""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import cast

import httptools

# Shorter than the time after which routers close idle connections, so that a
# request is not sent on a connection that is being closed.
MAX_IDLE_SECONDS = 2.0


class ClientError(Exception):
    """The exchange failed.

    Attributes:
        outcome: Name under which the failure is counted.
    """

    def __init__(self, outcome: str, message: str) -> None:
        super().__init__(message)
        self.outcome = outcome


class Connection(asyncio.Protocol):
    """One connection, with at most one exchange at a time."""

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
        """Return whether another request may be sent now."""
        is_fresh = time.monotonic() - self.idle_since < MAX_IDLE_SECONDS
        return self._is_complete and not self._is_lost and is_fresh

    async def exchange(self, data: bytes) -> None:
        """Send a request and wait for the head of the answer.

        Raises:
            ClientError: The connection ended before.
        """
        self._parser = httptools.HttpResponseParser(self)
        self.headers = {}
        # Parts of the last answer may be unread if it was found to be wrong.
        self._parts.clear()
        self._has_head = self._is_complete = False
        if self._transport is not None:
            self._transport.write(data)
        while not self._has_head:
            await self._wait("no_answer")

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            ClientError: The connection ended before the body did.
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
            raise ClientError(outcome, "connection closed by the other side")
        await self._changed.wait()
        self._changed.clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Wake the exchange."""
        self._is_lost = True
        self._changed.set()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
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
        """Complete the head."""
        self.status = self._parser.get_status_code()
        self._has_head = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the body."""
        self._is_complete = True
        self.idle_since = time.monotonic()
        if not self._parser.should_keep_alive():
            self._is_lost = True
            self.close()


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self) -> None:
        self._idle_by_address: dict[str, list[Connection]] = {}

    async def take(self, address: str) -> Connection:
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

    def give_back(self, address: str, connection: Connection) -> None:
        """Keep a connection for reuse, or close it if that is not possible."""
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
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
