"""End of a caller's connection and the requests that are unanswered then."""

import asyncio
import fcntl
import sys
import termios
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, cast

import structlog

from lacewingspar_router.http1.messages import HttpRequest

_LOGGER = structlog.get_logger(__name__)

# Time for which a connection is still read after its end was sent, so that
# unread input does not reset it before the caller has read the last response.
LINGER_SECONDS = 0.5


class EndReason(StrEnum):
    """Reason for which a connection ends.

    Attributes:
        ANNOUNCED: The last response, or the caller, announced the end.
        BROKEN_OFF: A response that had begun cannot be completed.
        CALLER_LEFT: The caller closed the connection, or it failed.
        DRAIN: It is idle while its router shuts down.
        IDLE_TIMEOUT: It was idle for the idle timeout.
        REJECTED: Its input cannot be accepted, or can no longer be.
        ROOM: It is idle, and there are too many connections.
        STOP: The server closes.
    """

    ANNOUNCED = "announced"
    BROKEN_OFF = "broken_off"
    CALLER_LEFT = "caller_left"
    DRAIN = "drain"
    IDLE_TIMEOUT = "idle_timeout"
    REJECTED = "rejected"
    ROOM = "room"
    STOP = "stop"


class ResponseState(StrEnum):
    """State of the response to the request in flight.

    Attributes:
        NONE: There is no request in flight.
        PENDING: Nothing of the response was sent.
        BEGUN: A part of the response was sent.
    """

    NONE = "none"
    PENDING = "pending"
    BEGUN = "begun"


@dataclass(frozen=True, slots=True)
class EndRule:
    """How connections end for one reason.

    Attributes:
        waits_for_input: Whether a connection with unread input stays open until
            that was read and answered.
        is_notified: Whether the caller gets a closing response although it may
            have sent no request. It answers a request that crosses the end.
        drops_output: Whether output that the caller does not take is dropped
            after `LINGER_SECONDS`.
    """

    waits_for_input: bool = False
    is_notified: bool = False
    drops_output: bool = False


_IDLE = EndRule(waits_for_input=True, is_notified=True)
RULE_BY_REASON = {
    EndReason.ANNOUNCED: EndRule(),
    EndReason.BROKEN_OFF: EndRule(drops_output=True),
    EndReason.DRAIN: _IDLE,
    EndReason.IDLE_TIMEOUT: _IDLE,
    EndReason.REJECTED: EndRule(),
    EndReason.ROOM: _IDLE,
    EndReason.STOP: EndRule(is_notified=True),
}


@dataclass(frozen=True, slots=True)
class Unanswered:
    """What the caller of a connection has sent and got no response to.

    Attributes:
        response: State of the response to the request in flight.
        queued: Number of whole requests behind it.
        is_partial: Whether a request was received in part.
        unread_bytes: Input that waits in the socket.
    """

    response: ResponseState = ResponseState.NONE
    queued: int = 0
    is_partial: bool = False
    unread_bytes: int = 0

    @property
    def not_begun(self) -> int:
        """Return the number of requests that no handler has begun.

        Unread input counts as one request.
        """
        return self.queued + (self.is_partial or self.unread_bytes > 0)

    @property
    def is_empty(self) -> bool:
        """Return whether every request has its response."""
        return self.response is ResponseState.NONE and self.not_begun == 0

    def closing_responses(self, rule: EndRule) -> int:
        """Return how many closing responses the caller gets.

        Nothing can follow a response that has begun and will not be completed.
        """
        if self.response is ResponseState.BEGUN:
            return 0
        return max(self.not_begun, int(rule.is_notified))


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """End of a connection.

    Attributes:
        reason: Reason of the end.
        unanswered: What was unanswered when it began.
        refused: Number of closing responses that were sent.
        error: Failure of the connection, or "".
    """

    reason: EndReason
    unanswered: Unanswered
    refused: int = 0
    error: str = ""


class EndObserver(Protocol):
    """Records the ends of connections."""

    def record_end(self, ended: ConnectionEnded) -> None:
        """Record an end."""

    def record_crossing(self, request: HttpRequest, reason: EndReason) -> None:
        """Record a request that arrived after its connection had ended."""


class EndLog:
    """Logs the ends of connections with unanswered requests."""

    def record_end(self, ended: ConnectionEnded) -> None:
        """Log an end, unless every request had its response."""
        unanswered = ended.unanswered
        if unanswered.is_empty:
            return
        # The handler of the request in flight logs that one itself.
        is_expected = (
            ended.reason is EndReason.CALLER_LEFT or not unanswered.not_begun
        )
        write = _LOGGER.debug if is_expected else _LOGGER.warning
        write(
            "connection ended with unanswered requests",
            reason=ended.reason,
            response=unanswered.response,
            queued=unanswered.queued,
            is_partial=unanswered.is_partial,
            unread_bytes=unanswered.unread_bytes,
            refused=ended.refused,
            error=ended.error,
        )

    def record_crossing(self, request: HttpRequest, reason: EndReason) -> None:
        """Log a request that arrived after its connection had ended."""
        _LOGGER.info(
            "request crossed the end of its connection",
            reason=reason,
            target=request.target,
        )


class CallerTransport:
    """Transport of a caller's connection; nothing else closes it.

    The connection ends in three steps: the end is sent behind all output, then
    input is read until the caller ends its side too or `LINGER_SECONDS` pass,
    then the socket is closed.

    Args:
        transport: Transport of the event loop.
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._loop = asyncio.get_running_loop()
        self._is_ended = False
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return the size of the write buffer."""
        return self._transport.get_write_buffer_size()

    @property
    def unread_bytes(self) -> int:
        """Return the size of the input that waits in the socket.

        A late event loop has not read it yet.
        """
        file_descriptor = self._transport.get_extra_info("socket").fileno()
        if file_descriptor < 0:
            return 0
        size = fcntl.ioctl(file_descriptor, termios.FIONREAD, bytes(4))
        return int.from_bytes(size, sys.byteorder)

    def set_write_limit(self, high: int) -> None:
        """Set the size in bytes above which writing pauses."""
        self._transport.set_write_buffer_limits(high=high)

    def write(self, data: bytes) -> None:
        """Send data, unless the connection has ended."""
        if not self._is_ended and not self._transport.is_closing():
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading input."""
        if not self._is_paused:
            self._transport.pause_reading()
            self._is_paused = True

    def resume_reading(self) -> None:
        """Read input again."""
        if self._is_paused:
            self._transport.resume_reading()
            self._is_paused = False

    def end(self, *, drops_output: bool) -> None:
        """Send the end behind all output, then close.

        Args:
            drops_output: Whether output that the caller does not take is
                dropped after `LINGER_SECONDS`.
        """
        if self._is_ended or self._transport.is_closing():
            return
        self._is_ended = True
        self.resume_reading()
        try:
            self._transport.write_eof()
        except OSError as error:
            _LOGGER.debug("caller reset its connection", reason=str(error))
            self._transport.abort()
            return
        self._schedule_close(drops_output=drops_output)

    def release(self) -> None:
        """Release the timer of a connection that was closed."""
        self._is_ended = True
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_close(self, *, drops_output: bool) -> None:
        def close() -> None:
            if not self.unsent_bytes:
                self._transport.close()
            elif drops_output:
                self._transport.abort()
            else:
                self._schedule_close(drops_output=False)

        self._timer = self._loop.call_later(LINGER_SECONDS, close)
