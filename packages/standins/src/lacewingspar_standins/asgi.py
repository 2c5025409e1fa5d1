"""Minimal ASGI request object that can also close the connection.

Stand-ins use ASGI directly because faults need the transport, which frameworks
hide, and because a streamed event then costs only one `send`.
"""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = tuple[tuple[str, str], ...]

T = TypeVar("T")

EXTENSION_TRANSPORT = "lacewingspar.transport"


class BadRequestError(Exception):
    """The request is malformed; the message says how."""


class Request:
    """An HTTP request and its response."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query_string: str = scope["query_string"].decode("latin-1")
        self.headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.started = False
        self._scope = scope
        self._receive = receive
        self._send = send

    def query_int(self, name: str, default: int) -> int:
        """Return an integer parameter of the query string.

        Raises:
            BadRequestError: The value is not a non-negative integer.
        """
        query = parse_qs(self.query_string)
        text = query.get(name, [str(default)])[-1]
        if not text.isascii() or not text.isdigit():
            raise BadRequestError(f"{name} must be a non-negative integer")
        return int(text)

    async def body(self) -> bytes:
        """Return the whole request body.

        Raises:
            ConnectionAbortedError: The client closed the connection first.
        """
        parts: list[bytes] = []
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ConnectionAbortedError
            parts.append(message.get("body", b""))
            if not message.get("more_body", False):
                return b"".join(parts)

    async def wait_closed(self) -> None:
        """Wait until the client disconnects or the response is complete.

        Call it only after the request body was read.
        """
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: Headers) -> None:
        """Send the response head."""
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
            }
        )

    async def start_events(self, headers: Headers = ()) -> None:
        """Send the response head of a stream of server-sent events."""
        head: Headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
        )
        await self.start(200, head + headers)

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a part of the response body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def reply(
        self, status: int, value: Any, headers: Headers = ()
    ) -> None:
        """Send a complete JSON response."""
        data = msgspec.json.encode(value)
        head: Headers = (
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
        )
        await self.start(status, head + headers)
        await self.write(data, more=False)

    async def abort(self) -> None:
        """Close the connection without completing the response."""
        transport: asyncio.Transport = self._scope["extensions"][
            EXTENSION_TRANSPORT
        ]
        transport.close()
        await self.wait_closed()


def decode_json(data: bytes, expected_type: type[T]) -> T:
    """Decode a JSON body.

    Raises:
        BadRequestError: The body does not match the type.
    """
    try:
        return msgspec.json.decode(data, type=expected_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise BadRequestError(str(error)) from error
