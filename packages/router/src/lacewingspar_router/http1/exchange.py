"""A caller's request and the response to it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from lacewingspar_router.http1.errors import ResponseOrderError
from lacewingspar_router.http1.messages import (
    HttpRequest,
    encode_head,
    status_line,
)
from lacewingspar_router.http_headers import RawHeaders

# Body above which head and body are written separately. A small one is copied
# behind its head, as one write takes less processor time than two.
MAX_COPIED_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        header_bytes: Maximum size of the request headers.
        body_bytes: Maximum size of the request body.
        header_timeout_seconds: Maximum time to send the request headers.
        idle_timeout_seconds: Maximum time between requests, or in which a body
            makes no progress.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class ResponseConnection(Protocol):
    """Connection on which a response is sent."""

    def decide_close(self) -> bool:
        """Decide whether the connection closes after the current response."""

    @property
    def can_write(self) -> bool:
        """Return whether the write buffer has room."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    async def async_drain(self) -> None:
        """Wait until the write buffer has room."""


class _State(StrEnum):
    """How much of a response was sent."""

    PENDING = "nothing"
    STARTED = "its head"
    FINISHED = "its end"


class _Step(StrEnum):
    """A step of sending a response."""

    START = "head"
    WRITE = "body data"
    FINISH = "end"
    SEND_WHOLE = "whole response"


# The steps that a response may take; any other would send bytes that belong to
# no response.
_NEXT_STATE = {
    (_State.PENDING, _Step.START): _State.STARTED,
    (_State.STARTED, _Step.WRITE): _State.STARTED,
    (_State.STARTED, _Step.FINISH): _State.FINISHED,
    (_State.PENDING, _Step.SEND_WHOLE): _State.FINISHED,
}


class ServerExchange:
    """Request and the one response that is sent to it.

    All methods that send raise `ResponseOrderError`, and send nothing, if the
    response cannot take that step any more.

    Attributes:
        request: The request.
    """

    def __init__(
        self, connection: ResponseConnection, request: HttpRequest
    ) -> None:
        self.request = request
        self._state = _State.PENDING
        self._connection = connection
        self._is_chunked = False

    @property
    def is_started(self) -> bool:
        """Return whether the response head was sent."""
        return self._state is not _State.PENDING

    @property
    def is_finished(self) -> bool:
        """Return whether the response is complete."""
        return self._state is _State.FINISHED

    def start(
        self, status: int, headers: RawHeaders, *, length: int | None
    ) -> None:
        """Send the response head; without a length the body is chunked."""
        self._advance(_Step.START)
        self._is_chunked = length is None
        self._connection.write(self._encode_head(status, headers, length))

    def write(self, data: bytes) -> bool:
        """Send body data; return whether the write buffer has room."""
        self._advance(_Step.WRITE)
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)
        return self._connection.can_write

    async def async_drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._connection.async_drain()

    def finish(self) -> None:
        """Send the end of the response."""
        self._advance(_Step.FINISH)
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")

    def send_response(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a whole response, to HEAD without its body."""
        self._advance(_Step.SEND_WHOLE)
        head = self._encode_head(status, headers, len(body))
        if self.request.is_head:
            self._connection.write(head)
        elif len(body) <= MAX_COPIED_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(body)

    def send_head(
        self, status: int, headers: RawHeaders, length: int | None
    ) -> None:
        """Send a whole response to HEAD.

        Args:
            status: Status code.
            headers: Headers, without those of the framing.
            length: Length of the body that GET would get, or None if it is not
                known.
        """
        self._advance(_Step.SEND_WHOLE)
        self._connection.write(self._encode_head(status, headers, length))

    def _advance(self, step: _Step) -> None:
        next_state = _NEXT_STATE.get((self._state, step))
        if next_state is None:
            raise ResponseOrderError(
                f"{step} of a response that has sent {self._state}"
            )
        self._state = next_state

    def _encode_head(
        self, status: int, headers: RawHeaders, length: int | None
    ) -> bytes:
        framed = list(headers)
        if length is not None:
            framed.append((b"content-length", b"%d" % length))
        elif self._is_chunked:
            framed.append((b"transfer-encoding", b"chunked"))
        if self._connection.decide_close():
            framed.append((b"connection", b"close"))
        return encode_head(status_line(status), framed)
