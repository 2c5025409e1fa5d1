"""The `traceparent` header of W3C Trace Context."""

import random
import re
from dataclasses import dataclass

_TRACE_PARENT = re.compile(
    r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?"
)
_CURRENT_VERSION = "00"
_FORBIDDEN_VERSION = "ff"
_NO_TRACE = "0" * 32
_NO_SPAN = "0" * 16
# Trace ids need to be unique but not secret.
_RANDOM = random.Random()


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Identity of a span.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits.
        is_sampled: Whether the trace is recorded.
    """

    trace_id: str
    span_id: str
    is_sampled: bool

    def header(self) -> str:
        """Return the value of the `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{self.is_sampled:02x}"


def parse_trace_parent(value: str | None) -> TraceContext | None:
    """Parse a `traceparent` header; return None if it is invalid."""
    match = _TRACE_PARENT.fullmatch(value) if value else None
    if match is None:
        return None
    version, trace_id, span_id, flags, further = match.groups()
    if trace_id == _NO_TRACE or span_id == _NO_SPAN:
        return None
    # Only later versions may append further fields.
    if version == _FORBIDDEN_VERSION or (
        version == _CURRENT_VERSION and further
    ):
        return None
    return TraceContext(trace_id, span_id, bool(int(flags, 16) & 1))


def new_context() -> TraceContext:
    """Return the context of a new trace that is not recorded."""
    trace_id = f"{_RANDOM.getrandbits(128) or 1:032x}"
    span_id = f"{_RANDOM.getrandbits(64) or 1:016x}"
    return TraceContext(trace_id, span_id, is_sampled=False)
