"""Event loops whose new connections end before anything is sent."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest
import uvloop

# SO_LINGER with a time of zero: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NOTICE_SECONDS = 5.0

End = Callable[[socket.socket, asyncio.Transport], Awaitable[None]]


async def async_end(peer: socket.socket, transport: asyncio.Transport) -> None:
    """Close a connection."""
    del transport
    peer.close()


async def async_reset(
    peer: socket.socket, transport: asyncio.Transport
) -> None:
    """Reset a connection and wait until the loop has noticed it."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    peer.close()
    async with asyncio.timeout(_NOTICE_SECONDS):
        while not transport.is_closing():  # noqa: ASYNC110
            await asyncio.sleep(0)


def ending_loop(
    base: type[asyncio.BaseEventLoop], listener: socket.socket, end: End
) -> asyncio.AbstractEventLoop:
    """Return a loop whose connections end before it hands them over."""

    class EndingLoop(base):  # type: ignore[misc, valid-type]
        async def create_connection(self, *args: Any, **options: Any) -> Any:
            opened = await super().create_connection(*args, **options)
            await end(listener.accept()[0], opened[0])
            return opened

    loop: asyncio.AbstractEventLoop = EndingLoop()
    return loop


def run_on_ending_loop(
    base: type[asyncio.BaseEventLoop],
    end: End,
    async_run: Callable[[int], Coroutine[Any, Any, None]],
) -> None:
    """Run a coroutine whose new connections to a port end at once.

    Args:
        base: Class of the event loop.
        end: Ends a connection.
        async_run: Receives the port.
    """
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        asyncio.Runner(
            loop_factory=lambda: ending_loop(base, listener, end)
        ) as runner,
    ):
        runner.run(async_run(listener.getsockname()[1]))


ENDING_LOOPS = pytest.mark.parametrize(
    ("base", "end"),
    [
        pytest.param(asyncio.SelectorEventLoop, async_end, id="asyncio-end"),
        pytest.param(
            asyncio.SelectorEventLoop, async_reset, id="asyncio-reset"
        ),
        pytest.param(uvloop.Loop, async_end, id="uvloop-end"),
        pytest.param(uvloop.Loop, async_reset, id="uvloop-reset"),
    ],
)
