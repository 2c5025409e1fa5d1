"""End of a caller's connection and the requests that are unanswered then."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import structlog

from lacewingspar_router.http1.messages import HttpRequest

_LOGGER = structlog.get_logger(__name__)


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
            after a delay.
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
