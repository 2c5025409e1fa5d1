"""Requests that ask for a protocol upgrade, which servers may ignore.

The parser stops behind the headers of such a request and skips its body.
"""

import httptools

from lacewingspar_router.http1.messages import encode_head
from lacewingspar_router.http_headers import RawHeaders

_REMOVED_HEADERS = frozenset({b"upgrade", b"expect"})


def has_body(headers: RawHeaders) -> bool:
    """Return whether a body follows the headers of a request."""
    return any(
        name == b"transfer-encoding"
        or (name == b"content-length" and int(value) > 0)
        for name, value in headers
    )


def head_without_upgrade(
    parser: httptools.HttpRequestParser, target: bytes, headers: RawHeaders
) -> bytes:
    """Return the head of a request for a parser that reads its body."""
    method = parser.get_method().decode("latin-1")
    version = parser.get_http_version()
    return encode_head(
        f"{method} {target.decode('latin-1')} HTTP/{version}",
        [item for item in headers if item[0] not in _REMOVED_HEADERS],
    )
