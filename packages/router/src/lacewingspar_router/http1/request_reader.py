"""Parsing of the requests on a caller's connection."""

from collections.abc import Callable
from typing import Protocol

import httptools

from lacewingspar_router.http1.body_memory import BodyMemory
from lacewingspar_router.http1.exchange import ConnectionLimits
from lacewingspar_router.http1.ignored_upgrade import (
    has_body,
    head_without_upgrade,
)
from lacewingspar_router.http_headers import RawHeaders

# Status of a request whose body finds no room.
STATUS_NO_BODY_MEMORY = 503


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

    Args:
        receiver: Receives each request.
        limits: Returns the limits that apply now.
        body_memory: Bounds the bodies of all connections.
    """

    def __init__(
        self,
        receiver: RequestReceiver,
        limits: Callable[[], ConnectionLimits],
        body_memory: BodyMemory,
    ) -> None:
        self.is_reading = False
        self.is_head_complete = False
        self.is_continue_due = False
        self.is_ended = False
        self._receiver = receiver
        self._limits = limits
        self._body_memory = body_memory
        self._held_bytes = 0
        self._body: list[bytes] = []
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
        self._parsed_head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append received data to the target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value))
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check the announced body length; send 100 Continue if expected."""
        self.is_head_complete = True
        values = dict(self._headers)
        length = values.get(b"content-length", b"0")
        if int(length) > self._limits().body_bytes:
            raise InputRejectedError(413)
        self._hold_body(int(length))
        self.is_continue_due = (
            values.get(b"expect", b"").lower() == b"100-continue"
            and self._parser.get_http_version() != "1.0"
        )
        if self.is_continue_due:
            self._receiver.send_continue()

    def on_body(self, body: bytes) -> None:
        """Append received data to the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().body_bytes:
            raise InputRejectedError(413)
        self._hold_body(self._body_bytes)

    def on_message_complete(self) -> None:
        """Hand over the request."""
        if self._parser.should_upgrade() and has_body(self._headers):
            # The parser has skipped the body; another one reads it.
            if self._parser.get_method() == b"CONNECT":
                raise InputRejectedError(400)
            return
        self.is_reading = self.is_continue_due = False
        self._is_behind_another = True
        self._received_head_bytes = 0
        self.is_ended = not self._parser.should_keep_alive()
        headers, body = self._headers, b"".join(self._body)
        # An idle connection must not keep its last request in memory.
        self._headers = []
        self._body = []
        # The request holds its bytes from now on.
        self._held_bytes = 0
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

    def _hold_body(self, size: int) -> None:
        """Hold memory for a body of this size, at least."""
        missing = size - self._held_bytes
        if missing <= 0:
            return
        if not self._body_memory.try_hold(missing, self._held_bytes):
            raise InputRejectedError(STATUS_NO_BODY_MEMORY)
        self._held_bytes += missing

    def _release_body(self) -> None:
        """Release the memory of a body that is not received completely."""
        self._body_memory.release(self._held_bytes)
        self._held_bytes = 0
        self._body = []

    def _count_head_bytes(self, size: int) -> None:
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._limits().header_bytes:
            raise InputRejectedError(431)

    def _reject(self, status: int) -> None:
        self.end()
        raise InputRejectedError(status)
