"""Tests of the network link stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from lacewingspar_standins.link import Link, LinkFaults, LinkGroup
from lacewingspar_standins.server import address_of, reset

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
BYTES = b"".join(b"%d," % number for number in range(1000))


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


@pytest.fixture
async def echo_link(serve: Any) -> AsyncIterator[tuple[str, Any]]:
    """Yield the address of a link to an echo server and a control client."""

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = Link(f"{host}:{port}", LinkFaults())
    async with link.listening("127.0.0.1", 0) as relay, serve(link) as control:
        yield relay, control
    server.close()


async def connect(address: str) -> Streams:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_and_receive(streams: Streams, data: bytes) -> bytes:
    streams[1].write(data)
    return await streams[0].readexactly(len(data))


@pytest.mark.parametrize("delay_ms", [0, 20])
async def test_order_and_end_are_kept(echo_link: Any, delay_ms: int) -> None:
    address, control = echo_link
    await control.inject(delay_ms=delay_ms)
    reader, writer = await connect(address)
    for start in range(0, len(BYTES), 50):
        writer.write(BYTES[start : start + 50])
        await asyncio.sleep(0)
    writer.write_eof()
    assert await reader.read(-1) == BYTES
    writer.close()


async def test_shorter_delay_does_not_reorder(echo_link: Any) -> None:
    """Guards against reordered bytes when the delay is reduced."""
    address, control = echo_link
    await control.inject(delay_ms=200)
    streams = await connect(address)
    streams[1].write(b"first ")
    await asyncio.sleep(0.02)
    await control.inject(delay_ms=0)
    assert await send_and_receive(streams, b"second") == b"first "
    streams[1].close()


async def test_cut_resets_old_and_new_connections(echo_link: Any) -> None:
    address, control = echo_link
    old = await connect(address)
    await send_and_receive(old, b"x")
    await control.inject(cut=True)
    for reader, writer in (old, await connect(address)):
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
    await control.inject(cut=False)
    assert await send_and_receive(await connect(address), b"y") == b"y"


@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "closed"])
async def test_end_of_the_target_is_passed_on(is_reset: bool) -> None:
    """Guards against a body that looks whole after its upstream was reset.

    Found by soak seed 65103: the link closed the connection in order.
    """

    async def end(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"half")
        await reader.readexactly(1)
        if is_reset:
            reset(writer.transport)
        else:
            writer.close()

    server = await asyncio.start_server(end, "127.0.0.1", 0)
    link = Link(address_of(server.sockets[0]), LinkFaults())
    async with link.listening("127.0.0.1", 0) as address:
        reader, writer = await connect(address)
        assert await reader.readexactly(4) == b"half"
        writer.write(b"x")
        expected = pytest.raises(ConnectionResetError)
        with expected if is_reset else contextlib.nullcontext():
            assert await reader.read() == b""
        writer.close()
    server.close()


async def test_group_shares_its_faults(echo_link: Any, serve: Any) -> None:
    """Guards against a simulated partition that leaves a connection open."""
    targets = [echo_link[0], echo_link[1].address]
    group = LinkGroup(targets, LinkFaults())
    async with group.listening("127.0.0.1") as relays, serve(group) as control:
        old = [await connect(relays[target]) for target in targets]
        await send_and_receive(old[0], b"x")
        await control.inject(cut=True)
        for reader, writer in old:
            with contextlib.suppress(ConnectionError):
                assert await reader.read(1) == b""
            writer.close()
        await control.inject(cut=False)
        new = await connect(relays[targets[0]])
        assert await send_and_receive(new, b"y") == b"y"


async def test_silence(echo_link: Any, stays_pending: Any) -> None:
    """Guards against a silent connection whose peer sees it close."""
    address, control = echo_link
    old = await connect(address)
    await send_and_receive(old, b"x")
    await control.inject(silent=True)
    old[1].write(b"lost")
    old[1].write_eof()
    assert await send_and_receive(await connect(address), b"y") == b"y"
    await stays_pending(asyncio.create_task(old[0].read(1)))
    old[1].close()
