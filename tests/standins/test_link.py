"""Stand-in for a network link."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpx
import pytest

from lacewingspar_standins.link import Link, LinkFaults
from lacewingspar_standins.server import running

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def linked_echo(faults: LinkFaults) -> AsyncIterator[tuple[str, str]]:
    """Yield the addresses of a link to an echo server and of its control."""

    async def echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = Link(f"{host}:{port}", faults)
    async with (
        link.listening("127.0.0.1", 0) as address,
        running(link) as control,
    ):
        yield address, control
    server.close()


async def connect(address: str) -> Streams:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_and_receive(streams: Streams, data: bytes) -> bytes:
    streams[1].write(data)
    return await streams[0].readexactly(len(data))


@pytest.mark.parametrize("delay_ms", [0, 20])
async def test_bytes_and_ends_pass_in_order(delay_ms: float) -> None:
    async with linked_echo(LinkFaults(delay_ms=delay_ms)) as (address, _):
        reader, writer = await connect(address)
        for number in range(100):
            writer.write(b"%d," % number)
            await asyncio.sleep(0)
        writer.write_eof()
        received = await reader.read(-1)
        writer.close()
    assert received == b"".join(b"%d," % number for number in range(100))


async def test_shorter_delay_does_not_reorder(http: httpx.AsyncClient) -> None:
    """Guards against bytes that overtake earlier ones."""
    faults = LinkFaults(delay_ms=200)
    async with linked_echo(faults) as (address, control):
        streams = await connect(address)
        streams[1].write(b"first ")
        await streams[1].drain()
        await asyncio.sleep(0.02)
        await http.post(f"http://{control}/faults", json={"delay_ms": 0})
        assert await send_and_receive(streams, b"second") == b"first "
        streams[1].close()


async def test_cut_resets_old_and_new_connections(
    http: httpx.AsyncClient,
) -> None:
    async with linked_echo(LinkFaults()) as (address, control):
        old = await connect(address)
        await send_and_receive(old, b"x")
        await http.post(f"http://{control}/faults", json={"cut": True})
        new = await connect(address)
        for reader, writer in (old, new):
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
            writer.close()
        await http.post(f"http://{control}/faults", json={"cut": False})
        assert await send_and_receive(await connect(address), b"y") == b"y"


async def test_silence_swallows_bytes_of_old_connections_only(
    http: httpx.AsyncClient, stays_pending: Any
) -> None:
    """Guards against a silent connection that the other side sees close."""
    async with linked_echo(LinkFaults()) as (address, control):
        old = await connect(address)
        await send_and_receive(old, b"x")
        await http.post(f"http://{control}/faults", json={"silent": True})
        old[1].write(b"lost")
        old[1].write_eof()
        new = await connect(address)
        assert await send_and_receive(new, b"y") == b"y"
        await stays_pending(asyncio.create_task(old[0].read(1)))
        for _, writer in (old, new):
            writer.close()
