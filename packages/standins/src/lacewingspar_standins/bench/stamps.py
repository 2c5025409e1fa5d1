"""Timestamps that a benchmark's engine adds to its responses.

Client and engine share the machine's monotonic clock. The timestamps separate
the transit time through a router from the much longer time in the engine.
"""

import re
import time
from typing import Any

from lacewingspar_standins.asgi import AsgiApp, Message, Receive, Scope, Send

HEADER_ARRIVED = "x-arrived-ns"
HEADER_SENT = "x-sent-ns"
_EVENT_STAMP = re.compile(rb"^: (\d+)$", re.MULTILINE)


class StampedApp:
    """Adds timestamps to the responses of an ASGI application.

    They are sent as headers. In event streams, each chunk also begins with a
    comment line that contains its send time.

    Args:
        app: The application.
    """

    def __init__(self, app: AsgiApp) -> None:
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle a request and stamp its response."""
        arrived_ns = time.monotonic_ns()
        is_event_stream = False

        async def send_stamped(message: Message) -> None:
            nonlocal is_event_stream
            if message["type"] == "http.response.start":
                headers: list[Any] = message["headers"]
                is_event_stream = (b"content-type", b"text/event-stream") in (
                    headers
                )
                headers += [
                    _header(HEADER_ARRIVED, arrived_ns),
                    _header(HEADER_SENT, time.monotonic_ns()),
                ]
            elif is_event_stream and message.get("body"):
                stamp = b": %d\n" % time.monotonic_ns()
                message["body"] = stamp + message["body"]
            await send(message)

        await self._app(scope, receive, send_stamped)


def event_stamps(part: bytes) -> list[int]:
    """Return the timestamps in a chunk of an event stream."""
    return [int(text) for text in _EVENT_STAMP.findall(part)]


def _header(name: str, value: int) -> tuple[bytes, bytes]:
    return name.encode(), b"%d" % value
