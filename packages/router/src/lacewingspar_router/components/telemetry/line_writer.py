"""Writes log lines without blocking."""

import os
import time
from collections.abc import Callable

import msgspec

# A busy router writes about two lines per request, which is below 100 lines per
# second on a VM. In an outage each request may fail several times.
LINES_PER_SECOND = 400.0
BURST_LINES = 1000.0
# Part of the burst that is reserved for lines about the router itself. They are
# few and help to explain all requests of the same period.
RESERVED_LINES = 100.0
# Maximum size of a partly written line that is kept for the next write.
MAX_UNWRITTEN_BYTES = 64 * 1024


class LineWriter:
    """Writes lines to a file descriptor and drops those above a rate limit.

    Lines are also dropped while the reader does not keep up. The next line that
    is written is preceded by a line with the number of dropped lines.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking.
        router_id: Name of this router, logged with the number of dropped lines.
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
        self._unwritten = b""
        self.dropped = 0

    def has_capacity(self, *, is_about_request: bool) -> bool:
        """Return whether the rate limit allows a line now.

        Args:
            is_about_request: Whether the line is about a single request.
        """
        self._refill_tokens()
        reserve = RESERVED_LINES if is_about_request else 0.0
        return self._tokens >= 1 + reserve

    def write(self, text: str) -> None:
        """Write or drop a line; the newline at its end is optional."""
        line = text.rstrip("\n").encode("utf-8", "replace") + b"\n"
        if line == b"\n":
            return
        if not self._try_take_token() or not self._flush_unwritten():
            self.dropped += 1
            return
        if self.dropped:
            line = self._dropped_line() + line
        written = self._write(line)
        if written == 0:
            self.dropped += 1
            return
        self.dropped = 0
        self._unwritten = line[written:][:MAX_UNWRITTEN_BYTES]

    def flush(self) -> None:
        """Write the rest of a partly written line, as far as possible."""
        self._flush_unwritten()

    def _refill_tokens(self) -> None:
        now = self._clock()
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now

    def _try_take_token(self) -> bool:
        self._refill_tokens()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush_unwritten(self) -> bool:
        if self._unwritten:
            self._unwritten = self._unwritten[self._write(self._unwritten) :]
        return not self._unwritten

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed the log, so the error cannot be logged.
            return 0

    def _dropped_line(self) -> bytes:
        value = {
            "event": "log lines dropped",
            "count": self.dropped,
            "router": self._router_id,
            "level": "warning",
        }
        return msgspec.json.encode(value) + b"\n"
