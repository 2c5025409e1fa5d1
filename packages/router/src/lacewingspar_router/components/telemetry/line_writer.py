"""Writes log lines without ever waiting for a reader."""

import os
import time
from collections.abc import Callable

import msgspec

# A busy router writes some two lines for each request, which is below 100 a
# second on a VM; an outage may make each of them fail several times.
LINES_PER_SECOND = 400.0
BURST_LINES = 1000.0
# Lines of the burst that lines about single requests leave to those about the
# router itself, which are few and explain all requests of their time.
RESERVED_LINES = 100.0
# Rest of a line that the pipe did not take at once.
LARGEST_REST_BYTES = 64 * 1024


class LineWriter:
    """Writes lines to a file descriptor, and drops those beyond a rate.

    Lines are dropped and counted when there are too many, or when the reader
    does not keep up. The next line that gets through is preceded by the number
    of those dropped.

    Args:
        descriptor: Where the lines go; it is set to non-blocking.
        router_id: Name of this router, for the line about dropped lines.
        clock: Clock in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        router_id: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._router_id = router_id
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._rest = b""
        self.dropped = 0

    def takes_lines(self, *, is_about_request: bool) -> bool:
        """Return whether the rate leaves room for a line now.

        Args:
            is_about_request: Whether the line is about a single request.
        """
        self._refill()
        reserve = RESERVED_LINES if is_about_request else 0.0
        return self._tokens >= 1 + reserve

    def write(self, text: str) -> None:
        """Write a line, with or without its end, or drop it."""
        line = text.rstrip("\n").encode("utf-8", "replace") + b"\n"
        if line == b"\n":
            return
        if not self._take() or not self._flush_rest():
            self.dropped += 1
            return
        if self.dropped:
            line = self._dropped_line() + line
        written = self._write(line)
        if written == 0:
            self.dropped += 1
            return
        self.dropped = 0
        self._rest = line[written:][:LARGEST_REST_BYTES]

    def flush(self) -> None:
        """Write what is left of the last line, if the reader takes it."""
        self._flush_rest()

    def _refill(self) -> None:
        now = self._clock()
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now

    def _take(self) -> bool:
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush_rest(self) -> bool:
        if self._rest:
            self._rest = self._rest[self._write(self._rest) :]
        return not self._rest

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # Nobody can be told that the reader of the log is gone.
            return 0

    def _dropped_line(self) -> bytes:
        value = {
            "event": "log lines dropped",
            "count": self.dropped,
            "router": self._router_id,
            "level": "warning",
        }
        return msgspec.json.encode(value) + b"\n"
