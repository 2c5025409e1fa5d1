"""Crowds of callers that make a router hold memory and descriptors."""

import asyncio
import contextlib
import fcntl
import os
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lacewingspar_standins.bench.deployment import Shape, deployed
from lacewingspar_standins.deployed.documents import (
    LIMITS,
    manifest,
    request_bytes,
    route,
    upstream_entry,
)
from lacewingspar_standins.deployed.store import PlatformStore, StoreFaults
from lacewingspar_standins.deployed.upstream import Upstream
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import workspace_entry
from lacewingspar_standins.process import RouterProcess
from lacewingspar_standins.server import address_of, running

MEBIBYTE = 1024 * 1024
# Lowered from 32 MiB, so that a small crowd reaches it.
MAX_HELD_BYTES = 4 * MEBIBYTE
# The lowest that the settings allow.
DESCRIPTOR_LIMIT = 256
BODY_LIMIT = 4 * MEBIBYTE
LARGE_RESPONSE = b"x" * (3 * MEBIBYTE)
# Responses that the router may read at once.
LARGE_SLOTS = 2
# Keeps the system from taking the responses that the crowd does not read.
RECEIVE_BUFFER_BYTES = 4096
READY_SECONDS = 30.0
# A router that is held up this long does not respond at all.
RESPONSE_SECONDS = 60.0
# A router may stop reading from a caller.
SEND_SECONDS = 10.0
BATCH_SIZE = 40
BATCH_SECONDS = 0.1
SETTLE_STEP_SECONDS = 0.5
MAX_SETTLE_STEPS = 20
# Local address of the ordinary caller; the crowd has another one.
ORDINARY_HOST = "127.0.0.2"


@dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that send the same bytes and then keep their connections open.

    Attributes:
        name: What they do.
        connections: Number of connections.
        data: Bytes that each of them sends.
    """

    name: str
    connections: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process holds.

    Attributes:
        resident_bytes: Resident memory.
        peak_bytes: Most resident memory since the start.
        descriptors: Open descriptors.
    """

    resident_bytes: int
    peak_bytes: int
    descriptors: int


def chunks(size: int, count: int) -> bytes:
    """Return whole chunks of a body, without its end."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size) * count


def usage(pid: int) -> Usage:
    """Return what a process holds now."""
    kibibytes = {
        name: int(value.split()[0])
        for name, _, value in (
            line.partition(":")
            for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        )
        if name in ("VmRSS", "VmHWM")
    }
    return Usage(
        kibibytes["VmRSS"] * 1024,
        kibibytes["VmHWM"] * 1024,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


async def async_settle(pid: int) -> None:
    """Wait until the memory of a process no longer grows."""
    peak = -1
    for _ in range(MAX_SETTLE_STEPS):
        last, peak = peak, usage(pid).peak_bytes
        if peak == last:
            break
        await asyncio.sleep(SETTLE_STEP_SECONDS)


@contextlib.contextmanager
def one_at_a_time(folder: Path) -> Iterator[None]:
    """Let no other process of this test run play a crowd."""
    with (folder / "hostile-crowd.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.asynccontextmanager
async def crowding(crowd: Crowd, address: str) -> AsyncIterator[None]:
    """Let a crowd send its bytes, and keep its connections open."""
    async with AsyncExitStack() as stack:
        for start in range(0, crowd.connections, BATCH_SIZE):
            size = min(BATCH_SIZE, crowd.connections - start)
            await asyncio.gather(
                *(_async_send(address, crowd.data, stack) for _ in range(size))
            )
            # Connections that the router has not read yet count as idle.
            await asyncio.sleep(BATCH_SECONDS)
        yield


async def _async_send(address: str, data: bytes, stack: AsyncExitStack) -> None:
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    stack.callback(connection.close)
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    # Refusing a caller or closing its connection is allowed.
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_SECONDS):
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, data)


async def async_status(address: str, data: bytes) -> int:
    """Send an ordinary request and return the status, or 0 without one."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, TimeoutError, EOFError):
        async with asyncio.timeout(RESPONSE_SECONDS):
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=(ORDINARY_HOST, 0)
            )
            try:
                writer.write(data)
                return int((await reader.readuntil(b"\r\n")).split()[1])
            finally:
                writer.close()
    return 0


@dataclass(frozen=True, slots=True)
class RouterUnderTest:
    """A router process and its address for callers."""

    process: RouterProcess
    address: str


@contextlib.asynccontextmanager
async def own_router(folder: Path) -> AsyncIterator[RouterUnderTest]:
    """Run a router with the project's own interface."""
    shape = Shape("crowd", ("dc-1",), (1,), (0,), (1,), delay_ms=0.0)
    async with deployed(
        shape, (workspace_entry("ws"),), step_ms=5, folder=folder
    ) as deployment:
        (plan,) = deployment.plans
        process = deployment.routers[plan.router_id]
        yield RouterUnderTest(process, plan.caller_address)
        process.kill()


@contextlib.asynccontextmanager
async def platform_router(folder: Path) -> AsyncIterator[RouterUnderTest]:
    """Run a router with the interface of the users' platform."""
    async with AsyncExitStack() as stack:
        store = PlatformStore(StoreFaults())
        fleet = Fleet(folder)
        store_address = await stack.enter_async_context(
            running(store, fleet.host)
        )
        store.topic("keyed.op").append("config", _configuration())
        upstream = Upstream("p1")
        await upstream.async_start(fleet.host)
        stack.push_async_callback(upstream.async_stop)
        large = await asyncio.start_server(_async_respond_large, fleet.host)
        stack.callback(large.close)
        large_address = address_of(large.sockets[0])
        for name, service, address in (
            ("p1", "plain", upstream.address),
            ("l1", "large", large_address),
        ):
            entry = upstream_entry(service, address, 1, slots=LARGE_SLOTS)
            store.topic("keyed.servers").append(
                name, msgspec.json.encode(entry)
            )
        await stack.enter_async_context(fleet)
        plan = fleet.plan_router("r1", "dc-a")
        process = await fleet.start_router(
            plan,
            log_url=f"http://{store_address}",
            vms_url=f"http://{store_address}",
            platform={
                "metrics_address": fleet.reserve_address(),
                "max_held_body_bytes": MAX_HELD_BYTES,
                "descriptor_limit": DESCRIPTOR_LIMIT,
            },
        )
        await process.wait_ready(plan.admin_address, READY_SECONDS, "/readyz")
        yield RouterUnderTest(process, plan.caller_address)


async def _async_respond_large(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError, EOFError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = next(
                line.partition(b":")[2].strip()
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"x-attempt-id:")
            )
            writer.write(
                b"HTTP/1.1 200 OK\r\nx-server-seal: seal\r\n"
                b"x-attempt-id: %b\r\ncontent-length: %d\r\n\r\n"
                % (request_id, len(LARGE_RESPONSE))
                + LARGE_RESPONSE
            )
            await writer.drain()


def ordinary_request() -> bytes:
    """Return an ordinary request of the users' platform, with a body."""
    return request_bytes("/read/", "ordinary", 50_000, b"x" * 1000)


def _configuration() -> bytes:
    return msgspec.json.encode(
        manifest(
            routes=[
                route(f"/{name}/", "idempotent", service, timeoutMs=60_000)
                for name, service in (("read", "plain"), ("large", "large"))
            ],
            services=[
                {"name": name, "maxConnections": 100}
                for name in ("plain", "large")
            ],
            limits=LIMITS | {"maxBodyBytes": BODY_LIMIT},
        )
    )
