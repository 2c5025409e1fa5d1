"""One request of a caller and its answer."""

from dataclasses import dataclass
from typing import Protocol

from lacewingspar_router.http1.messages import (
    HttpRequest,
    encode_head,
    status_line,
)
from lacewingspar_router.http_headers import RawHeaders


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on one connection.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        header_timeout_seconds: Longest time to send a head.
        idle_timeout_seconds: Longest time without a byte.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class AnswerSink(Protocol):
    """Connection on which an answer is sent."""

    @property
    def must_close(self) -> bool:
        """Return whether the connection ends with the present answer."""

    @property
    def can_write(self) -> bool:
        """Return whether the caller has read enough."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    async def async_drain(self) -> None:
        """Wait until the caller has read enough."""


class ServerExchange:
    """One request and its answer.

    Attributes:
        request: The request.
        is_started: Whether the head of the answer was sent.
        is_finished: Whether the answer is complete.
    """

    def __init__(self, connection: AnswerSink, request: HttpRequest) -> None:
        self.request = request
        self.is_started = False
        self.is_finished = False
        self._connection = connection
        self._is_chunked = False

    def start(
        self, status: int, headers: RawHeaders, *, length: int | None
    ) -> None:
        """Send the head of an answer; without a length it is chunked."""
        self.is_started = True
        self._is_chunked = length is None
        self._connection.write(self._head(status, headers, length))

    def write(self, data: bytes) -> bool:
        """Send a part of the body; return whether more may follow at once."""
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)
        return self._connection.can_write

    async def async_drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._connection.async_drain()

    def finish(self) -> None:
        """Send the end of the answer."""
        self.is_finished = True
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")

    def answer(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole answer."""
        self.is_started = self.is_finished = True
        self._connection.write(self._head(status, headers, len(body)) + body)

    def _head(
        self, status: int, headers: RawHeaders, length: int | None
    ) -> bytes:
        framed = list(headers)
        if length is None:
            framed.append((b"transfer-encoding", b"chunked"))
        else:
            framed.append((b"content-length", b"%d" % length))
        if self._connection.must_close:
            framed.append((b"connection", b"close"))
        return encode_head(status_line(status), framed)
