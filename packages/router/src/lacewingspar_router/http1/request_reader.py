"""Parsing of the requests on a caller's connection."""

from collections.abc import Callable
from typing import Protocol

import httptools

from lacewingspar_router.http1.body_memory import CallerAccount
from lacewingspar_router.http1.exchange import ConnectionLimits
from lacewingspar_router.http1.ignored_upgrade import (
    has_body,
    head_without_upgrade,
)
from lacewingspar_router.http_headers import RawHeaders

# Status of a request whose body finds no room.
STATUS_NO_BODY_MEMORY = 503
# Memory of a header beside the bytes of its name and value: two objects and
# their pair. 100 connections with 3,000 short headers each took 34.4 MiB, 120
# bytes for each header; rounded up.
HEADER_OBJECT_BYTES = 128
# Headers of a request that need no room in the budget. Common clients send 5 to
# 30.
FREE_HEADERS = 64
# Smaller parts of a body are joined as they arrive, into buffers of up to the
# second size. Each object takes 33 bytes and a reference more than its part.
MIN_PART_BYTES = 4 * 1024
MAX_JOINED_BYTES = 64 * 1024
# Bytes of chunk sizes, extensions and trailers that a body may have in addition
# to those in proportion to its size. A chunk of one byte takes five bytes of
# framing, so a body within the limits passes in chunks of any size.
MAX_FRAMING_BYTES = 512 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8


class InputRejectedError(Exception):
    """The received bytes are not a request, or it exceeds a limit.

    Attributes:
        status: Status code of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestReceiver(Protocol):
    """Receives the requests of a connection."""

    def receive_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Handle a request, and release the memory of its body at its end."""

    def send_continue(self) -> None:
        """Tell the caller to send the body of its request when possible."""


class RequestReader:
    """Parses the requests of one connection.

    Attributes:
        is_reading: Whether a request has begun and is not complete.
        is_head_complete: Whether the headers of that request are complete.
        is_continue_due: Whether the caller waits for 100 Continue.
        is_ended: Whether further bytes are ignored, after the last request or
            a rejection.
        held_bytes: Bytes that are held for the request that has begun.
        pieces: Number of parts that the parser has returned so far, which
            its processor time depends on.

    Args:
        receiver: Receives each request.
        limits: Returns the limits that apply now.
        account: Bounds what all connections hold.
    """

    def __init__(
        self,
        receiver: RequestReceiver,
        limits: Callable[[], ConnectionLimits],
        account: CallerAccount,
    ) -> None:
        self.is_reading = False
        self.is_head_complete = False
        self.is_continue_due = False
        self.is_ended = False
        self._receiver = receiver
        self._limits = limits
        self._account = account
        self.held_bytes = 0
        self.pieces = 0
        self._announced_bytes = 0
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        self._unheld_bytes = 0
        self._framing_bytes = 0
        self._requests = 0
        self._is_behind_another = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            InputRejectedError: The bytes cannot be accepted.
        """
        self._is_behind_another = False
        if not self.is_reading:
            self._received_head_bytes = 0
        is_in_body = self.is_reading and self.is_head_complete
        request, body_bytes = self._requests, self._body_bytes
        try:
            self._feed_parser(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            status = (
                cause.status if isinstance(cause, InputRejectedError) else 0
            )
            self._reject(status or 400)
        except httptools.HttpParserError:
            # The parser also rejects bytes after the last request.
            if not self.is_ended:
                self._reject(400)
        if self._unheld_bytes and not self._try_hold_body():
            self._reject(STATUS_NO_BODY_MEMORY)
        if is_in_body and self.is_reading and request == self._requests:
            framing_bytes = len(data) - (self._body_bytes - body_bytes)
            self._count_framing_bytes(framing_bytes)

    @property
    def missing_bytes(self) -> int:
        """Return how many bytes of an announced body are not received."""
        if not self.is_reading or not self.is_head_complete:
            return 0
        return max(self._announced_bytes - self._body_bytes, 0)

    def take_held_bytes(self) -> int:
        """Return the bytes held for a whole request, which now holds them."""
        taken, self.held_bytes = self.held_bytes, 0
        return taken

    def end(self) -> None:
        """Ignore the bytes that follow."""
        self.is_ended = True
        self.is_reading = self.is_continue_due = False
        self._release_body()

    def close(self) -> None:
        """Release the parser.

        It forms a reference cycle with this reader. Breaking it frees both now
        instead of at the next garbage collection.
        """
        self._release_body()
        del self._parser, self._receiver, self._limits

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._release_body()
        self.is_reading = True
        self.is_head_complete = False
        self._url = b""
        self._headers: RawHeaders = []
        self._body_bytes = 0
        self._announced_bytes = 0
        self._framing_bytes = 0
        self._requests += 1
        self._parsed_head_bytes = 0
        self._max_head_bytes = self._limits().header_bytes

    def on_url(self, url: bytes) -> None:
        """Append received data to the target."""
        self.pieces += 1
        self._url += url
        self._parsed_head_bytes += len(url)
        if self._parsed_head_bytes > self._max_head_bytes:
            raise InputRejectedError(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        headers = self._headers
        headers.append((name.lower(), value))
        size = len(name) + len(value) + 4
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._max_head_bytes:
            raise InputRejectedError(431)
        if len(headers) > FREE_HEADERS:
            self._hold(size + HEADER_OBJECT_BYTES)

    def on_headers_complete(self) -> None:
        """Check the announced body length; send 100 Continue if expected."""
        self.is_head_complete = True
        self.pieces += len(self._headers)
        values = dict(self._headers)
        length = values.get(b"content-length", b"0")
        if int(length) > self._limits().body_bytes:
            raise InputRejectedError(413)
        self._announced_bytes = int(length)
        if self._announced_bytes:
            self._hold(self._announced_bytes)
        self.is_continue_due = (
            values.get(b"expect", b"").lower() == b"100-continue"
            and self._parser.get_http_version() != "1.0"
        )
        if self.is_continue_due:
            self._receiver.send_continue()

    def on_body(self, body: bytes) -> None:
        """Append received data to the body."""
        self.pieces += 1
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().body_bytes:
            raise InputRejectedError(413)
        if not self._announced_bytes:
            # Held at the end of the piece of input, not for every small chunk.
            self._unheld_bytes += len(body)
        parts = self._body
        if len(body) >= MIN_PART_BYTES or not parts:
            parts.append(body)
            return
        last = parts[-1]
        if isinstance(last, bytearray) and len(last) < MAX_JOINED_BYTES:
            last += body
        else:
            parts.append(bytearray(body))

    def on_message_complete(self) -> None:
        """Hand over the request."""
        if self._parser.should_upgrade() and has_body(self._headers):
            # The parser has skipped the body; another one reads it.
            if self._parser.get_method() == b"CONNECT":
                raise InputRejectedError(400)
            return
        if self._unheld_bytes and not self._try_hold_body():
            raise InputRejectedError(STATUS_NO_BODY_MEMORY)
        self.is_reading = self.is_continue_due = False
        self._is_behind_another = True
        self._received_head_bytes = 0
        self.is_ended = not self._parser.should_keep_alive()
        headers, body = self._headers, self._take_body()
        # An idle connection must not keep its last request in memory.
        self._headers = []
        self._receiver.receive_request(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            headers,
            body,
        )

    def _feed_parser(self, data: bytes) -> None:
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                if self.is_reading:
                    data = (
                        head_without_upgrade(
                            self._parser, self._url, self._headers
                        )
                        + data
                    )
                self._parser = httptools.HttpRequestParser(self)
                if data and not self.is_ended:
                    continue
            break
        # Data with the end of another request says nothing of this one's size.
        if (
            self.is_reading
            and not self.is_head_complete
            and not self._is_behind_another
        ):
            self._received_head_bytes += len(data)
            if self._received_head_bytes > self._limits().header_bytes:
                self._reject(431)

    def _hold(self, size: int) -> None:
        """Hold memory for the request that has begun."""
        if not self._account.try_hold(size, self.held_bytes):
            raise InputRejectedError(STATUS_NO_BODY_MEMORY)
        self.held_bytes += size

    def _take_body(self) -> bytes:
        parts, self._body = self._body, []
        if len(parts) == 1 and isinstance(parts[0], bytes):
            return parts[0]
        return b"".join(parts)

    def _try_hold_body(self) -> bool:
        """Hold memory for the chunks that were received."""
        size, self._unheld_bytes = self._unheld_bytes, 0
        is_held = self._account.try_hold(size, self.held_bytes)
        self.held_bytes += size * is_held
        return is_held

    def _release_body(self) -> None:
        """Release the memory of a request that is not received completely."""
        self._account.release(self.held_bytes)
        self.held_bytes = 0
        self._unheld_bytes = 0
        self._headers = []
        self._body = []

    def _count_framing_bytes(self, size: int) -> None:
        self._framing_bytes += size
        if self._framing_bytes > (
            MAX_FRAMING_BYTES + self._body_bytes * FRAMING_BYTES_PER_BODY_BYTE
        ):
            self._reject(400)

    def _reject(self, status: int) -> None:
        self.end()
        raise InputRejectedError(status)
