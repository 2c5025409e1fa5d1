"""Server-sent events of a stream that may be resumed at another upstream."""

import re
from dataclasses import dataclass, field

from lacewingspar_core.errors import CoreError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_EVENT_END_BYTES = 4
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id(?:: ?([^\r\n]*))?(?=[\r\n])")
# What a header field carries unchanged: no control characters, and no space at
# either end.
_HEADER_VALUE = re.compile(
    rb"[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?"
)
# Longer ids are not sent to upstreams, which limit the size of headers.
MAX_EVENT_ID_BYTES = 8 * 1024
# Starts of lines that belong to no event: comments and times to reconnect.
_LINES_OUTSIDE_EVENTS = (b":", b"retry:")
# Limits the buffered part of an event, and also the data that a stream delivers
# without a new event, such as events that were already forwarded.
MAX_EVENT_BYTES = 1024 * 1024


class EventSizeError(CoreError):
    """A stream delivered too much data without a new event."""


@dataclass(frozen=True, slots=True)
class StreamStart:
    """The stream begins; no event of it was delivered."""


@dataclass(frozen=True, slots=True)
class AfterEvent:
    """The stream goes on after an event.

    Attributes:
        event_id: Id of the event.
    """

    event_id: bytes


@dataclass(frozen=True, slots=True)
class NoResumePoint:
    """Events were delivered, and no id tells where the stream would go on."""


ResumePoint = StreamStart | AfterEvent | NoResumePoint


@dataclass(slots=True)
class EventSequence:
    """Forwards complete events, each once and in order.

    Ids are opaque: they are compared and passed on as they were received. Only
    ids that are decimal numbers, of any length, also have an order.

    A stream can go on elsewhere only if the id of its last event tells where:
    an event without an id, or with one that no header can carry, leaves no
    resume point until the next event.

    Attributes:
        last_id: Id of the last forwarded event, or None before the first event
            with an id.
        forwarded: Number of forwarded events.
    """

    last_id: bytes | None = None
    forwarded: int = 0
    _is_resumable: bool = True
    _buffer: bytearray = field(default_factory=bytearray)
    _bytes_without_new_event: int = 0

    def push(self, data: bytes) -> bytes:
        """Add a chunk of the stream and return the events to forward.

        Raises:
            EventSizeError: No new event ends within the size limit.
        """
        # The end of an event may have started in an earlier chunk.
        searched_from = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        ready = bytearray()
        start = 0
        for end in _EVENT_END.finditer(self._buffer, searched_from):
            event = bytes(self._buffer[start : end.end()])
            start = end.end()
            if self._is_new(event):
                ready += event
                self.forwarded += 1
        del self._buffer[:start]
        self._bytes_without_new_event = (
            0 if ready else self._bytes_without_new_event + len(data)
        )
        if (
            max(len(self._buffer), self._bytes_without_new_event)
            > MAX_EVENT_BYTES
        ):
            raise EventSizeError("no new event ended within the size limit")
        return bytes(ready)

    @property
    def resume_point(self) -> ResumePoint:
        """Return where another upstream would go on."""
        if not self._is_resumable:
            return NoResumePoint()
        if self.last_id is None:
            return StreamStart()
        return AfterEvent(self.last_id)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the stream stopped in the middle of an event."""
        return bool(self._buffer)

    def drop_partial_event(self) -> None:
        """Discard a partial event before the stream resumes elsewhere."""
        self._buffer.clear()
        self._bytes_without_new_event = 0

    def _is_new(self, event: bytes) -> bool:
        """Return whether an event is new, and record its id."""
        # The last of several ids counts.
        ids = _EVENT_ID.findall(event)
        if not ids:
            if _is_event(event):
                self._is_resumable = False
            return True
        event_id = ids[-1]
        if self.last_id is not None and not _is_later(event_id, self.last_id):
            return False
        self.last_id = event_id
        self._is_resumable = _is_header_value(event_id)
        return True


def _is_event(block: bytes) -> bool:
    """Return whether a block has more than comments and reconnection times."""
    return not all(
        line.startswith(_LINES_OUTSIDE_EVENTS)
        for line in block.splitlines()
        if line
    )


def _is_header_value(event_id: bytes) -> bool:
    """Return whether an id can be sent to an upstream unchanged."""
    return (
        len(event_id) <= MAX_EVENT_ID_BYTES
        and _HEADER_VALUE.fullmatch(event_id) is not None
    )


def _is_later(event_id: bytes, other: bytes) -> bool:
    """Return whether an event may follow another one.

    Ids that are not both decimal numbers only tell whether it is the same one.
    """
    if event_id.isdigit() and other.isdigit():
        return _magnitude(event_id) > _magnitude(other)
    return event_id != other


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """Return a key that orders decimal numbers of any length."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
