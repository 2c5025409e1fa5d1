"""Server-sent events of a stream that may be resumed at another upstream."""

import re
from dataclasses import dataclass, field

from lacewingspar_core.errors import CoreError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_EVENT_END_BYTES = 4
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18})(?=[\r\n])")
# Limits the buffered part of an event, and also the data that a stream delivers
# without a new event, such as events that were already forwarded.
MAX_EVENT_BYTES = 1024 * 1024


class EventSizeError(CoreError):
    """A stream delivered too much data without a new event."""


@dataclass(slots=True)
class EventSequence:
    """Forwards complete events, each once and in order.

    Attributes:
        last_id: Id of the last forwarded event, or None before the first event
            with an id.
        forwarded: Number of forwarded events.
    """

    last_id: int | None = None
    forwarded: int = 0
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
    def has_partial_event(self) -> bool:
        """Return whether the stream stopped in the middle of an event."""
        return bool(self._buffer)

    def drop_partial_event(self) -> None:
        """Discard a partial event before the stream resumes elsewhere."""
        self._buffer.clear()
        self._bytes_without_new_event = 0

    def _is_new(self, event: bytes) -> bool:
        """Return whether an event is new, and record its id."""
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True
