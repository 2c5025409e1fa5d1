"""Bodies of answers on their way to the caller."""

import re

from lacewingspar_router.components.caller_api.const import (
    END_MARKER,
    MAX_HELD_EVENT_BYTES,
    TAIL_BYTES,
)

# Quotes inside text of a JSON value are escaped, so generated text cannot
# match.
_TOTAL_TOKENS = re.compile(rb'"total_tokens"\s*:\s*(\d{1,12})')
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


class AnswerTail:
    """Keeps the end of an answer."""

    def __init__(self) -> None:
        self._tail = bytearray()

    def add(self, part: bytes) -> None:
        """Add the next part of the body."""
        self._tail += part
        if len(self._tail) > 2 * TAIL_BYTES:
            del self._tail[:-TAIL_BYTES]

    @property
    def has_end_marker(self) -> bool:
        """Return whether the last line is the end marker of event streams."""
        lines = bytes(self._tail).rstrip(b"\r\n").splitlines()
        return bool(lines) and lines[-1] == END_MARKER

    @property
    def tokens(self) -> int:
        """Return the number of tokens that the upstream reported, or 0."""
        found = _TOTAL_TOKENS.findall(self._tail)
        return int(found[-1]) if found else 0


class EventGate:
    """Lets only whole events pass.

    An event that is cut in the middle would run into the error event that
    follows it.
    """

    def __init__(self) -> None:
        self._held = b""

    def push(self, part: bytes) -> bytes:
        """Add a part of the stream and return what may be sent now."""
        # Engines send whole events as a rule.
        if not self._held and part.endswith(_EVENT_ENDS):
            return part
        data = self._held + part if self._held else part
        end = max(
            (data.rfind(mark) + len(mark) if mark in data else 0)
            for mark in _EVENT_ENDS
        )
        if end == 0 and len(data) > MAX_HELD_EVENT_BYTES:
            end = len(data)
        self._held = data[end:]
        return data[:end]

    def flush(self) -> bytes:
        """Return what is held."""
        held, self._held = self._held, b""
        return held
