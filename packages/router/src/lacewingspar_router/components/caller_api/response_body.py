"""Inspection and buffering of response bodies."""

import re

from lacewingspar_router.components.caller_api.const import (
    END_MARKER,
    MAX_BUFFERED_EVENT_BYTES,
    RESPONSE_TAIL_BYTES,
)

# Quotes within a JSON string are escaped, so generated text cannot match.
_TOTAL_TOKENS = re.compile(rb'"total_tokens"\s*:\s*(\d{1,12})')
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


class ResponseTail:
    """Keeps the end of a response body."""

    def __init__(self) -> None:
        self._tail = bytearray()

    def add(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._tail += chunk
        if len(self._tail) > 2 * RESPONSE_TAIL_BYTES:
            del self._tail[:-RESPONSE_TAIL_BYTES]

    @property
    def has_end_marker(self) -> bool:
        """Return whether the last line is the end marker of an event stream."""
        lines = bytes(self._tail).rstrip(b"\r\n").splitlines()
        return bool(lines) and lines[-1] == END_MARKER

    @property
    def tokens(self) -> int:
        """Return the token count that the upstream reported, or 0."""
        found = _TOTAL_TOKENS.findall(self._tail)
        return int(found[-1]) if found else 0


class CompleteEventBuffer:
    """Buffers an event stream and releases only complete events.

    If the stream breaks, an error event follows. It would merge with an event
    that was sent only in part.
    """

    def __init__(self) -> None:
        self._buffer = b""

    def push(self, chunk: bytes) -> bytes:
        """Append a chunk of the stream and return the complete events."""
        # Fast path: inference engines usually send complete events.
        if not self._buffer and chunk.endswith(_EVENT_ENDS):
            return chunk
        data = self._buffer + chunk if self._buffer else chunk
        end = max(
            (
                data.rfind(end_marker) + len(end_marker)
                if end_marker in data
                else 0
            )
            for end_marker in _EVENT_ENDS
        )
        if end == 0 and len(data) > MAX_BUFFERED_EVENT_BYTES:
            end = len(data)
        self._buffer = data[end:]
        return data[:end]

    def flush(self) -> bytes:
        """Return the buffered rest and clear the buffer."""
        rest, self._buffer = self._buffer, b""
        return rest
