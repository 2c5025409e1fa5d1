"""HTTP messages and their encoding."""

from dataclasses import dataclass
from functools import cached_property
from http import HTTPStatus

from lacewingspar_router.http_headers import RawHeaders, header_value


@dataclass(frozen=True)
class HttpRequest:
    """Request that was received completely.

    Attributes:
        method: Method in upper case.
        target: Path and query as received.
        headers: Names in lower case, and values.
        body: The whole body.
        received_at: Time of the first byte, on the server's clock in seconds.
    """

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    received_at: float

    @cached_property
    def value_by_header(self) -> dict[bytes, bytes]:
        """Return the first value of each header."""
        values: dict[bytes, bytes] = {}
        for name, value in self.headers:
            values.setdefault(name, value)
        return values

    @property
    def is_head(self) -> bool:
        """Return whether its response has a head only."""
        return self.method == "HEAD"

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: Status code.
        headers: Names in lower case, and values.
    """

    status: int
    headers: RawHeaders

    @property
    def ends_with_connection(self) -> bool:
        """Return whether a body would have neither a length nor chunks."""
        names = {name for name, _ in self.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """End of a response."""


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response.

    Attributes:
        status: Status code.
        headers: Names in lower case, and values.
        body: The whole body.
    """

    status: int
    headers: RawHeaders
    body: bytes

    @property
    def announced_bytes(self) -> int | None:
        """Return the length of the body by the headers, or None."""
        length = header_value(self.headers, b"content-length")
        return None if length is None else int(length)


def encode_head(first_line: str, headers: RawHeaders) -> bytes:
    """Encode the first line and the headers of a message."""
    lines = [first_line.encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int) -> str:
    """Return the status line of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}"
