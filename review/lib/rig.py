"""Stand-ins and processes for the scripts of this review.

Only the standard library is used. The store, the runners and the requesters
follow the users' pages; the routers are the project's own program, started as
separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

HOST = "calls.example"
KEY = "key-of-alpha"
TENANT = "alpha"
HEARTBEAT_SECONDS = 1.2
ZONES = ("dc-a", "dc-b")

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to `record.txt`.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file: TextIO = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()
        print(f"{seconds:8.3f} {text}", flush=True)


@dataclass(eq=False)
class Topic:
    """Topic of the store with one partition."""

    first: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record; without a value the key is dropped."""
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


@dataclass
class Request:
    """Request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Return the id of the requester's attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request with a length.

    Raises:
        EOFError: The connection ended.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError from error
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError from error
    return Request(method, target, headers, body)


def response(
    status: int, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """Encode a response; without a body only its head."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def free_address(host: str) -> str:
    """Return a free port on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def loopback_host() -> str:
    """Return a random loopback address."""
    generator = random.SystemRandom()
    return ".".join(["127", *(str(generator.randint(2, 250)) for _ in "abc")])


class Server:
    """A stand-in that serves HTTP/1.1 on a loopback address."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_start(self) -> None:
        """Listen."""
        self.address = free_address(loopback_host())
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._async_serve, host, int(port), backlog=256
        )

    async def async_stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while await self.handle(await read_request(reader), writer):
                await writer.drain()
        except (EOFError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, Topic] = {}

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())

    def publish(self, manifest: dict[str, Any]) -> None:
        """Write a manifest, as the operator does."""
        self.topic("keyed.op").append("config", json.dumps(manifest).encode())

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call."""
        url = urlsplit(request.target)
        query = {name: item[-1] for name, item in parse_qs(url.query).items()}
        topic = self.topic(query.get("topic", ""))
        json_head = {"Content-Type": "application/json"}
        match request.method, url.path:
            case "POST", "/log-append":
                first = topic.end
                position = 0
                while position < len(request.body):
                    (length,) = _LENGTH.unpack_from(request.body, position)
                    start = position + _LENGTH.size
                    content = request.body[start : start + length]
                    end = 1 + content[0]
                    topic.append(content[1:end].decode(), content[end:])
                    position = start + length
                body = json.dumps({"offset": first, "end": topic.end})
                writer.write(response(200, json_head, body.encode()))
            case "GET", "/log-read":
                writer.write(await self._async_read(topic, query))
            case "GET", "/log-newest":
                keys = sorted(
                    key for key in topic.newest if key > query.get("after", "")
                )
                items = [
                    {
                        "key": key,
                        "value": base64.b64encode(
                            topic.newest[key][1]
                        ).decode(),
                        "offset": topic.newest[key][0],
                    }
                    for key in keys[:500]
                ]
                page = {
                    "items": items,
                    "truncated": len(keys) > 500,
                    "end": topic.end,
                }
                writer.write(
                    response(200, json_head, json.dumps(page).encode())
                )
            case _:
                writer.write(response(404, json_head, b"{}"))
        return True

    async def _async_read(self, topic: Topic, query: dict[str, str]) -> bytes:
        offset = int(query["from"])
        wait = min(int(query.get("waitMs", "0")), 30_000) / 1000
        if offset >= topic.end and wait:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await topic.changed.wait()
        if offset < topic.first:
            return response(
                410, {}, json.dumps({"first": topic.first}).encode()
            )
        data = bytearray(_READ_HEADER.pack(topic.end, topic.first))
        for key, value in topic.records[offset - topic.first :]:
            content = bytes([len(key.encode())]) + key.encode() + value
            data += _LENGTH.pack(len(content)) + content
        return response(200, {}, bytes(data))


Answer = Callable[
    ["Runner", Request, asyncio.StreamWriter], Awaitable[bool | None]
]


class Runner(Server):
    """A runner that registers itself in the store.

    Attributes:
        runs: Requests that it has run.
        answer: Answers a request in place of the usual answer; returns whether
            the connection stays open, or None for the usual answer.

    Args:
        store: The store.
        name: Its id.
        service: Its service.
        zone: Its zone.
        record: Where its runs are recorded.
    """

    def __init__(
        self, store: Store, name: str, service: str, zone: str, record: Record
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.slots = 8
        self.work_seconds = 0.02
        self.events = 20
        self.event_seconds = 0.05
        self.runs: list[Request] = []
        self.arrivals: list[tuple[float, Request]] = []
        self.answer: Answer | None = None
        self.is_leaving = False
        self._store = store
        self._record = record
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._beat: asyncio.Task[None] | None = None

    async def async_begin(self) -> None:
        """Start and register."""
        await self.async_start()
        self.register()
        self._beat = asyncio.create_task(self._async_beat())

    async def async_end(self, *, removed: bool = True) -> None:
        """Exit, and let the entry be removed."""
        if self._beat is not None:
            self._beat.cancel()
        await self.async_stop()
        if removed:
            self._store.topic("keyed.servers").append(self.name, b"")

    def register(self) -> None:
        """Write the entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.topic("keyed.servers").append(
            self.name, json.dumps(entry).encode()
        )

    async def _async_beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    def head(self, request: Request, **more: str) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        headers = {
            "X-Attempt-Id": request.attempt,
            "X-Server-Seal": f"1.2.{self.name}",
            "X-Instance-Load": f"1,0,{self.slots}",
        }
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers | {n.replace("_", "-"): v for n, v in more.items()}

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request."""
        if request.target == "/healthz":
            writer.write(response(200, {"X-Instance-Id": self.name}, b""))
            return True
        self.arrivals.append((time.monotonic(), request))
        if request.headers.get("x-expect-instance") != self.name:
            writer.write(response(421, self.head(request), b""))
            return True
        if self.answer is not None:
            answered = await self.answer(self, request, writer)
            if answered is not None:
                return answered
        self.record_run(request)
        if request.target.startswith(("/stream", "/chat")):
            await self.async_stream(request, writer)
            return True
        await asyncio.sleep(self.work_seconds)
        body = f"{self.name} answers {request.attempt}".encode()
        writer.write(response(200, self.head(request), body))
        return True

    def record_run(self, request: Request) -> None:
        """Record that this runner runs a request."""
        self.runs.append(request)
        last = request.headers.get("last-event-id")
        self._record.write(
            f"runner {self.name} runs {request.attempt} {request.target}"
            + (f" from event {last}" if last else "")
        )

    async def async_stream(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        first: int | None = None,
        first_id: int = 0,
        silence: tuple[int, float] | None = None,
    ) -> None:
        """Send a stream from the piece that is due.

        Args:
            request: The request.
            writer: Channel to answer on.
            first: First piece to send, or None for the one behind the last
                event that the request names.
            first_id: Added to the number of a piece to get its event id.
            silence: Piece after which to fall silent, and for how many
                seconds; or None.
        """
        if first is None:
            first = int(request.headers.get("last-event-id", "0")) + 1
        head = self.head(
            request,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
        )
        writer.write(response(200, head))
        for number in range(first, self.events + 1):
            event = (
                f"id: {first_id + number}\ndata: piece {number}\n\n".encode()
            )
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
            if silence is not None and number == silence[0]:
                await asyncio.sleep(silence[1])
        writer.write(b"0\r\n\r\n")


@dataclass
class Result:
    """What a requester got.

    Attributes:
        status: Status, or 0 without an answer.
        body: Body as far as it came.
        is_complete: Whether the answer is complete.
        problem: What was wrong with it, or "".
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    problem: str = ""

    def __str__(self) -> str:
        """Return a short form for the record."""
        parts = [str(self.status or "no answer"), f"{len(self.body)} bytes"]
        parts.append("complete" if self.is_complete else "incomplete")
        if self.problem:
            parts.append(self.problem)
        return ", ".join(parts)


NO_ANSWER_BYTES = "bytes that are no answer"


class Channel:
    """A requester's channel to a router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Open a channel."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()

    def send(self, data: bytes) -> None:
        """Send a request."""
        self._writer.write(data)

    async def async_receive(self, seconds: float) -> Result:
        """Receive an answer for at most a time."""
        result = Result()
        try:
            async with asyncio.timeout(seconds):
                await self._async_receive(result)
        except TimeoutError:
            result.problem = "deadline"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            result.problem = f"channel ended ({type(error).__name__})"
        return result

    async def _async_receive(self, result: Result) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            result.problem = f"{NO_ANSWER_BYTES}: {head[:60]!r}"
            return
        result.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                result.headers[name.strip().lower()] = value.strip()
        if result.headers.get("transfer-encoding") != "chunked":
            length = int(result.headers.get("content-length", "0"))
            result.body = await self._reader.readexactly(length)
            result.is_complete = True
            return
        while True:
            line = await self._reader.readuntil(b"\n")
            try:
                size = int(line.strip(), 16)
            except ValueError:
                rest = await self._reader.read(200)
                result.problem = f"{NO_ANSWER_BYTES}: {line + rest!r}"
                return
            chunk = await self._reader.readexactly(size + 2)
            result.body += chunk[:-2]
            if size == 0:
                result.is_complete = True
                return


def request_bytes(
    path: str,
    attempt: str,
    budget_ms: int,
    method: str = "POST",
    body: bytes = b"",
    **headers: str,
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Time-Budget-Ms: {budget_ms}",
        f"Authorization: Token {KEY}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 10_000,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "gapAimMs": 300,
    } | changes


def manifest(version: int = 1) -> dict[str, Any]:
    """Return a manifest with a model service and a plain one."""
    engine = {
        "slots": 8,
        "kvTokens": 500_000,
        "kvBytes": 1000.0,
        "linkMbps": 1000.0,
    }
    return {
        "version": version,
        "routes": [
            route("stream", "streaming", "models", resumable=True),
            route("chat", "streaming", "models"),
            route("read", "idempotent", "plain"),
            route("write", "non_idempotent", "plain", maxAttempts=1),
        ],
        "services": [
            {"name": "models", "maxConnections": 100, "engine": engine},
            {"name": "plain", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 150_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def _settings(fields: dict[str, Any]) -> str:
    """Fill in the template of the deploy file."""

    def lookup(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(found: re.Match[str]) -> str:
        try:
            value = lookup(found.group(1))
        except (LookupError, TypeError):
            value = None
        return found.group(2) if value else ""

    def fill(found: re.Match[str]) -> str:
        value = lookup(found.group(1))
        return json.dumps(value) if found.group(2) else str(value)

    template = (ROOT / "deploy" / "settings.json").read_text()
    return _PLACEHOLDER.sub(fill, _SECTION.sub(section, template))


class Router:
    """A router process.

    Attributes:
        front: Address for requesters.
        ready: Address of the readiness check.

    Args:
        name: Its name.
        zone: Its zone.
        store: The store.
        folder: Folder for its settings and log.
        port: Port for messages between routers.
        settings: Settings besides those of the template.
        host: Its loopback address, or "" for a random one.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: Store,
        folder: Path,
        port: int,
        settings: dict[str, Any] | None = None,
        host: str = "",
    ) -> None:
        self.name = name
        self.zone = zone
        host = host or loopback_host()
        self.front = free_address(host)
        self.ready = free_address(host)
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        text = _settings(
            {
                "node": name,
                "zone": zone,
                "ip": host,
                "listen": {"front": self.front, "ready": self.ready},
                "internalPorts": [port, port + 15],
                "seedNodes": [],
                "platform": {"address": store.address},
                "bounds": {
                    "graceS": 8,
                    "retryBudgetRatio": 0.2,
                    "budgetWindowS": 10,
                    "budgetSlack": 54,
                },
                "limits": {
                    "maxFds": 4100,
                    "memoryMb": 300,
                    "cpuShare": 0.537,
                    "cores": 2,
                },
            }
        )
        more = "".join(
            f",\n  {json.dumps(field)}: {json.dumps(value)}"
            for field, value in (settings or {}).items()
        )
        self._settings.write_text(text.rstrip().removesuffix("}") + more + "}")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "deploy/lacewingspar.py",
                    "run",
                    str(self._settings),
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def async_is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            channel = await Channel.open(self.ready)
        except (OSError, TimeoutError):
            return False
        channel.send(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        result = await channel.async_receive(1.0)
        channel.close()
        return result.status == 200

    async def async_wait_ready(
        self, seconds: float = 20.0, interval_seconds: float = 0.1
    ) -> None:
        """Wait until the readiness check succeeds.

        Args:
            seconds: Longest time to wait.
            interval_seconds: Time between two checks.

        Raises:
            CaseError: It does not.
        """
        ends_at = time.monotonic() + seconds
        while not await self.async_is_ready():
            if time.monotonic() > ends_at:
                raise CaseError(f"router {self.name} does not get ready")
            await asyncio.sleep(interval_seconds)


class Site:
    """A small deployment: the store, runners and routers.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.runners: dict[str, Runner] = {}
        self.routers: dict[str, Router] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._port = int(free_address("127.0.0.1").rpartition(":")[2])
        self._number = 0

    async def async_start(
        self, routers: int, runners: dict[str, int], zones: int = 2
    ) -> None:
        """Start everything and wait until the routers are ready."""
        await self.store.async_start()
        self.store.publish(manifest())
        for service, count in runners.items():
            for number in range(count):
                zone = ZONES[number % zones]
                await self.async_add_runner(
                    f"{service}-{number}", service, zone
                )
        for number in range(routers):
            self.add_router(f"front-{number}", ZONES[number % zones])
        for router in self.routers.values():
            await router.async_wait_ready()
        # Heartbeats between the routers spread within seconds.
        await asyncio.sleep(4.0)

    async def async_add_runner(
        self, name: str, service: str, zone: str
    ) -> Runner:
        """Start a runner."""
        runner = Runner(self.store, name, service, zone, self.record)
        await runner.async_begin()
        self.runners[name] = runner
        self.record.write(f"runner {name} of {service} starts")
        return runner

    def peer_address(self, host: str) -> str:
        """Return the address of a router on a host for other routers."""
        return f"{host}:{self._port}"

    def add_router(
        self,
        name: str,
        zone: str,
        settings: dict[str, Any] | None = None,
        host: str = "",
    ) -> Router:
        """Start a router."""
        router = Router(
            name, zone, self.store, self._folder, self._port, settings, host
        )
        self.routers[name] = router
        router.start()
        self.record.write(f"router {name} starts at {router.front}")
        return router

    async def async_call(
        self,
        router: Router,
        path: str,
        budget_ms: int = 3000,
        method: str = "POST",
        body: bytes = b"",
        **headers: str,
    ) -> tuple[str, Result]:
        """Send a request on a new channel; return its id and its result."""
        self._number += 1
        attempt = f"a{self._number:05d}"
        self.record.write(f"requester sends {attempt} {path} to {router.name}")
        try:
            channel = await Channel.open(router.front)
        except (OSError, TimeoutError) as error:
            result = Result(problem=f"no channel ({type(error).__name__})")
        else:
            channel.send(
                request_bytes(path, attempt, budget_ms, method, body, **headers)
            )
            result = await channel.async_receive(budget_ms / 1000 + 0.2)
            channel.close()
        self.record.write(f"requester gets for {attempt}: {result}")
        return attempt, result

    async def async_stop(self) -> None:
        """End everything."""
        for router in self.routers.values():
            router.kill()
        for runner in self.runners.values():
            await runner.async_end()
        await self.store.async_stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    def log_tail(self, lines: int = 5) -> None:
        """Copy the last errors of the routers to the record."""
        for router in self.routers.values():
            found = [
                line
                for line in router.log_path.read_text().splitlines()
                if '"error"' in line or "Traceback" in line
            ]
            for line in found[-lines:]:
                self.record.write(f"log of {router.name}: {line[:300]}")


class Link:
    """Proxy between two processes, whose open channels can fall silent.

    Attributes:
        address: Address to connect to.

    Args:
        target: Address that it connects to.
    """

    def __init__(self, target: str) -> None:
        self.address = free_address(loopback_host())
        self._target = target
        self._server: asyncio.Server | None = None
        self._gates: list[asyncio.Event] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._async_serve, host, int(port)
        )

    def silence(self) -> int:
        """Let the open channels carry nothing any more; new ones work.

        Returns:
            Number of channels.
        """
        gates, self._gates = self._gates, []
        for gate in gates:
            gate.clear()
        return len(gates)

    async def async_stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        gate = asyncio.Event()
        gate.set()
        self._gates.append(gate)
        for source, sink in ((reader, there[1]), (there[0], writer)):
            task = asyncio.create_task(self._async_copy(source, sink, gate))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        try:
            while True:
                data = await reader.read(65_536)
                await gate.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


Case = Callable[[Site], Awaitable[str]]


def run_case(folder: Path, case: Case, seconds: float = 110.0) -> None:
    """Run a case and exit.

    Args:
        folder: Folder of the case.
        case: Returns how the rule was broken, or "".
        seconds: Longest time of the case.
    """

    async def async_run() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        site = Site(folder)
        site.record.write(f"trouble: {'yes' if HAS_TROUBLE else 'no'}")
        try:
            async with asyncio.timeout(seconds):
                broken = await case(site)
        except (Exception, asyncio.CancelledError) as error:
            site.record.write(f"could not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            await site.async_stop()
        site.record.write(f"broken: {broken}" if broken else "the rule held")
        return EXIT_BROKEN if broken else EXIT_HELD

    sys.exit(asyncio.run(async_run()))
