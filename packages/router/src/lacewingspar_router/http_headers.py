"""HTTP header rules of a proxy."""

from collections.abc import Iterable

RawHeaders = list[tuple[bytes, bytes]]

REQUEST_ID_HEADER = b"x-request-id"
TRACE_PARENT_HEADER = b"traceparent"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]],
    also_removed: frozenset[bytes] = frozenset(),
) -> RawHeaders:
    """Return the headers that a proxy forwards, with lower-case names.

    Args:
        headers: Names and values as received.
        also_removed: Further names to remove, in lower case.
    """
    lowered = [(name.lower(), value) for name, value in headers]
    removed = HOP_BY_HOP | also_removed
    for name, value in lowered:
        if name == b"connection":
            removed |= {part.strip().lower() for part in value.split(b",")}
    return [item for item in lowered if item[0] not in removed]


def header_value(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> str | None:
    """Return the first value of a header with a lower-case name."""
    for other, value in headers:
        if other.lower() == name:
            return value.decode("latin-1")
    return None
