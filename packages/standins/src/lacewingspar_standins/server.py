"""ASGI server on uvicorn that exposes the transport for fault injection."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any, cast

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lacewingspar_standins.asgi import EXTENSION_TRANSPORT, AsgiApp

# Longer than the idle timeout of routers, so that a stand-in never closes a
# connection that a router is about to reuse.
KEEP_ALIVE_SECONDS = 75
GRACEFUL_SHUTDOWN_SECONDS = 1
BACKLOG = 2048
# SO_LINGER with a timeout of 0 makes close() send a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)


class TransportProtocol(HttpToolsProtocol):
    """Exposes the transport to the application, which may close it."""

    def on_headers_complete(self) -> None:
        """Add the transport to the ASGI scope."""
        scope = cast(dict[str, Any], self.scope)
        scope["extensions"] = {EXTENSION_TRANSPORT: self.transport}
        super().on_headers_complete()


class StandInServer(uvicorn.Server):
    """A uvicorn server with a callback that runs once it is listening.

    Args:
        app: ASGI application.
        on_listen: Called once the server is listening.
        signals: Whether to install the signal handlers of uvicorn.
    """

    def __init__(
        self, app: AsgiApp, on_listen: Callable[[], None], *, signals: bool
    ) -> None:
        super().__init__(
            uvicorn.Config(
                cast(Any, app),
                http=TransportProtocol,
                lifespan="off",
                log_level="warning",
                access_log=False,
                backlog=BACKLOG,
                server_header=False,
                timeout_keep_alive=KEEP_ALIVE_SECONDS,
                timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_SECONDS,
            )
        )
        self._on_listen = on_listen
        self._signals = signals

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening."""
        await super().startup(sockets=sockets)
        self._on_listen()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Handle signals only if the server was created to do so."""
        if not self._signals:
            yield
            return
        with super().capture_signals():
            yield


def bind(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; port 0 selects a free port."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound


def address_of(bound: socket.socket) -> str:
    """Return a socket's address as `host:port`."""
    host, port = bound.getsockname()[:2]
    return f"{host}:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a TCP reset."""
    connected: socket.socket = transport.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()


def announce(**addresses: str) -> None:
    """Print the addresses of this process as one JSON line."""
    print(msgspec.json.encode(addresses).decode(), flush=True)


async def serve(
    app: AsgiApp,
    host: str,
    port: int,
    announce_as: str = "address",
    **other_addresses: str,
) -> None:
    """Serve until a signal arrives.

    Announce the addresses once the server is listening.
    """
    bound = bind(host, port)
    own_address = {announce_as: address_of(bound)}
    server = StandInServer(
        app, lambda: announce(**other_addresses, **own_address), signals=True
    )
    await server.serve(sockets=[bound])


@contextlib.asynccontextmanager
async def running(app: AsgiApp, host: str = "127.0.0.1") -> AsyncIterator[str]:
    """Serve in the current event loop on a free port.

    Yields:
        The address as `host:port`.
    """
    bound = bind(host, 0)
    listening = asyncio.Event()
    server = StandInServer(app, listening.set, signals=False)
    task = asyncio.create_task(server.serve(sockets=[bound]))
    await listening.wait()
    try:
        yield address_of(bound)
    finally:
        server.should_exit = True
        server.force_exit = True
        await task
