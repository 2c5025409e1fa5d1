"""Server-sent events of a stream that may go on at another upstream."""

import re
from dataclasses import dataclass, field

from lacewingspar_core.errors import CoreError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LONGEST_END_BYTES = 4
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18})(?=[\r\n])")
# An event larger than this is no event; it bounds what is held back. A stream
# with so many bytes of events that were passed on before does not go on.
LARGEST_EVENT_BYTES = 1024 * 1024


class EventSizeError(CoreError):
    """What should be an event is too large to be one."""


@dataclass(slots=True)
class EventSequence:
    """Passes whole events on, each once and in order.

    Attributes:
        last_id: Id of the last event passed on, or None before the first one
            with an id.
    """

    last_id: int | None = None
    _held: bytearray = field(default_factory=bytearray)
    _idle_bytes: int = 0

    def push(self, data: bytes) -> bytes:
        """Add a part of the stream and return the events to pass on.

        Raises:
            EventSizeError: No new event ends within the size limit.
        """
        # The end of an event may have begun in an earlier part.
        searched_from = max(0, len(self._held) - _LONGEST_END_BYTES + 1)
        self._held += data
        ready = bytearray()
        start = 0
        for end in _EVENT_END.finditer(self._held, searched_from):
            event = bytes(self._held[start : end.end()])
            start = end.end()
            if self._is_next(event):
                ready += event
        del self._held[:start]
        self._idle_bytes = 0 if ready else self._idle_bytes + len(data)
        if max(len(self._held), self._idle_bytes) > LARGEST_EVENT_BYTES:
            raise EventSizeError("no new event within the size limit")
        return bytes(ready)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the stream stopped in the middle of an event."""
        return bool(self._held)

    def drop_partial_event(self) -> None:
        """Forget a part of an event before the stream goes on elsewhere."""
        self._held.clear()
        self._idle_bytes = 0

    def _is_next(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True
