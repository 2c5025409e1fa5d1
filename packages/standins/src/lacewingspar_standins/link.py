"""Stand-in for a network link: a TCP relay with faults."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from lacewingspar_standins.asgi import Request
from lacewingspar_standins.faults import Faults, StandIn
from lacewingspar_standins.server import address_of, bind, reset, split_address

READ_BYTES = 64 * 1024
# Bounds the memory of a link with a long delay.
MAX_CHUNKS_IN_FLIGHT = 256


class LinkFaults(Faults):
    """Faults of the link.

    Attributes:
        cut: Reset all existing and new connections.
        silent: Setting it to true makes the existing connections discard the
            bytes of both directions without closing. Later connections
            work, so it always reads as false.
        mute: Discard the bytes from the targets and relay those to them.
        delay_ms: Delay in each direction.
    """

    cut: bool = False
    silent: bool = False
    mute: bool = False
    delay_ms: float = 0


class _Connection:
    """A relayed connection."""

    def __init__(
        self, caller: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.is_silent = False
        self._writers = (caller, target)

    def abort(self) -> None:
        """Close both sides at once."""
        for writer in self._writers:
            writer.transport.abort()

    def reset(self) -> None:
        """Reset both sides, unless they are closed."""
        for writer in self._writers:
            if not writer.transport.is_closing():
                reset(writer.transport)


class LinkGroup(StandIn[LinkFaults]):
    """Relays to several targets that share one fault set.

    A group simulates the network between two data centres.

    Args:
        targets: Targets as `host:port`.
        faults: Faults from the start.
    """

    def __init__(self, targets: list[str], faults: LinkFaults) -> None:
        super().__init__(faults)
        self._link_by_target = {
            target: Link(target, faults) for target in targets
        }

    @contextlib.asynccontextmanager
    async def listening(self, host: str) -> AsyncIterator[dict[str, str]]:
        """Accept connections on one address for each target.

        Yields:
            The addresses of the relays by target.
        """
        async with contextlib.AsyncExitStack() as stack:
            yield {
                target: await stack.enter_async_context(link.listening(host, 0))
                for target, link in self._link_by_target.items()
            }

    def faults_changed(self) -> None:
        """Apply the faults to every relay."""
        for link in self._link_by_target.values():
            link.faults = self.faults
            link.apply_faults()
        self.faults.silent = False

    async def handle(self, request: Request) -> None:
        """Respond 404; the control address serves only `/faults`."""
        await request.reply(404, {"error": "no such resource"})


class Link(StandIn[LinkFaults]):
    """Relays TCP connections to a target.

    Args:
        target: Host and port of the target.
        faults: Faults from the start.
    """

    def __init__(self, target: str, faults: LinkFaults) -> None:
        super().__init__(faults)
        self._target = split_address(target)
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    @contextlib.asynccontextmanager
    async def listening(self, host: str, port: int) -> AsyncIterator[str]:
        """Accept connections.

        Yields:
            The address as `host:port`.
        """
        address = await self.async_listen(host, port)
        try:
            yield address
        finally:
            self.stop_listening()
            self._abort_all()

    async def async_listen(self, host: str, port: int) -> str:
        """Accept connections and return the address as `host:port`."""
        bound = bind(host, port)
        self._server = await asyncio.start_server(self._relay, sock=bound)
        return address_of(bound)

    def stop_listening(self) -> None:
        """Refuse new connections, as the address of a crashed target does."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def faults_changed(self) -> None:
        """Apply the faults to the existing connections."""
        self.apply_faults()
        self.faults.silent = False

    def apply_faults(self) -> None:
        """Silence or reset the existing connections as the faults require."""
        if self.faults.silent:
            for connection in self._connections:
                connection.is_silent = True
        if self.faults.cut:
            self._abort_all()

    async def handle(self, request: Request) -> None:
        """Respond 404; the control address serves only `/faults`."""
        await request.reply(404, {"error": "no such resource"})

    def _abort_all(self) -> None:
        for connection in list(self._connections):
            connection.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        _disable_nagle(writer)
        _disable_nagle(target_writer)
        connection = _Connection(writer, target_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, target_writer),
                self._pump(
                    connection, target_reader, writer, is_from_target=True
                ),
            )
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_from_target: bool = False,
    ) -> None:
        """Relay one direction until the sender closes it."""
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_CHUNKS_IN_FLIGHT
        )
        delivery = asyncio.create_task(_deliver(connection, chunks, writer))
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await reader.read(READ_BYTES)
                due_at = loop.time() + self.faults.delay_ms / 1000
                is_discarded = is_from_target and self.faults.mute
                if not connection.is_silent and not (is_discarded and data):
                    await chunks.put((due_at, data))
                if not data:
                    break
            await delivery
        except OSError:
            if connection.is_silent:
                await delivery
            # A body that ends with its connection is broken off by a reset.
            connection.reset()
        finally:
            delivery.cancel()


async def _deliver(
    connection: _Connection,
    chunks: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
) -> None:
    """Write chunks when they are due; an empty chunk is the end of the stream.

    It never returns on a silent connection, because the receiver must not
    notice that the sender has closed.
    """
    loop = asyncio.get_running_loop()
    while True:
        due_at, data = await chunks.get()
        await asyncio.sleep(max(0.0, due_at - loop.time()))
        if connection.is_silent:
            continue
        if not data:
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.write(data)
        with contextlib.suppress(OSError):
            await writer.drain()


def _disable_nagle(writer: asyncio.StreamWriter) -> None:
    connected: socket.socket = writer.get_extra_info("socket")
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
