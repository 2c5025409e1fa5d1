"""Times that the engine of a benchmark puts into its answers.

Client and engine run on one machine and share its monotonic clock. The times
separate the way through a router from the time in the engine, whose steps
would hide it.
"""

import re
import time
from typing import Any

from lacewingspar_standins.asgi import AsgiApp, Message, Receive, Scope, Send

HEADER_ARRIVED = "x-arrived-ns"
HEADER_SENT = "x-sent-ns"
_EVENT_STAMP = re.compile(rb"^: (\d+)$", re.MULTILINE)


class StampedApp:
    """Adds times to the answers of an ASGI application.

    A whole answer carries them as headers. Each part of an event stream begins
    with a comment line that has the time at which it was sent.

    Args:
        app: The application.
    """

    def __init__(self, app: AsgiApp) -> None:
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer a request."""
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
    """Return the times in a part of an event stream."""
    return [int(text) for text in _EVENT_STAMP.findall(part)]


def _header(name: str, value: int) -> tuple[bytes, bytes]:
    return name.encode(), b"%d" % value
