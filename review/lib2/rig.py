"""Small deployment for the cases: a store, runners, routers and callers.

Only the standard library is used. Everything listens on loopback addresses.
The routers are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import resource
import signal
import socket
import struct
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-alpha"
HEARTBEAT_S = 1.2
HOST = "calls.example"
IP = "127.0.0.1"
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")


def with_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str = IP) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def own_hosts(count: int) -> list[str]:
    """Return loopback addresses, one for each machine of this run."""
    middle = os.getpid()
    return [
        f"127.{64 + middle // 250 % 128}.{1 + middle % 250}.{number}"
        for number in range(1, count + 1)
    ]


def require_descriptors(count: int) -> None:
    """Check that a process may open as many descriptors.

    Raises:
        RuntimeError: It may not, so the case cannot run.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        raise RuntimeError(f"{soft} descriptors are too few")


class Record:
    """Writes what happens to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line with the time since the start."""
        passed = time.monotonic() - self._started_at
        self._file.write(f"{passed:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


# Messages


@dataclass
class Message:
    """Head and body of an HTTP message."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split()[1])


async def async_read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    return parse_head(await reader.readuntil(b"\r\n\r\n"))


def parse_head(data: bytes) -> Message:
    """Parse the head of a message."""
    lines = data.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    return Message(lines[0], headers)


async def async_read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def async_read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length or in chunks."""
    message = await async_read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await async_read_chunks(reader)
    else:
        size = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(size)
    return message


def response(status: int, headers: Iterable[str], body: bytes) -> bytes:
    """Encode a response with a length."""
    lines = [
        f"HTTP/1.1 {status} Status",
        *headers,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# Store


@dataclass
class Topic:
    """A topic with one partition."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> int:
        """Append a record of a key; no value drops the key."""
        encoded = key.encode()
        self.records.append(bytes([len(encoded)]) + encoded + value)
        offset = len(self.records) - 1
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.wake()
        return offset

    def wake(self) -> None:
        """Wake the calls that wait for records."""
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store, as far as the routers use it."""

    def __init__(self) -> None:
        self.topic_by_name: dict[str, Topic] = {}
        self.era = 0
        self.is_away = False
        self.address = ""
        self._server: asyncio.Server | None = None

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topic_by_name.setdefault(name, Topic())

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, IP, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{IP}:{port}"

    def copy(self) -> dict[str, Topic]:
        """Return a copy from which the store can come back."""
        return {
            name: Topic(list(topic.records), dict(topic.newest))
            for name, topic in self.topic_by_name.items()
        }

    def go_away(self) -> None:
        """Turn all calls away, also those that wait."""
        self.is_away = True
        for topic in self.topic_by_name.values():
            topic.wake()

    def come_back(self, copy: dict[str, Topic]) -> None:
        """Come back from an older copy; the header `Store-Era` rises."""
        replaced, self.topic_by_name = self.topic_by_name, copy
        self.era += 1
        self.is_away = False
        for topic in replaced.values():
            topic.wake()

    def publish(self, manifest: dict[str, Any]) -> None:
        """Write a manifest."""
        self.topic("keyed.op").append("config", json.dumps(manifest).encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                request = await async_read_message(reader)
                writer.write(await self._async_answer(request))
                await writer.drain()
        writer.close()

    async def _async_answer(self, request: Message) -> bytes:
        if self.is_away:
            return self._response(503, b"{}")
        target = request.first_line.split()[1]
        path, _, text = target.partition("?")
        query = {name: values[-1] for name, values in parse_qs(text).items()}
        topic = self.topic(query.get("topic", ""))
        await asyncio.sleep(0.004)
        if path == "/log-append":
            first, position = len(topic.records), 0
            while position < len(request.body):
                (length,) = _LENGTH.unpack_from(request.body, position)
                position += _LENGTH.size
                content = request.body[position : position + length]
                position += length
                end = 1 + content[0]
                topic.append(content[1:end].decode(), content[end:])
            value = {"offset": first, "end": len(topic.records)}
            return self._response(200, json.dumps(value).encode())
        if path == "/log-read":
            offset = int(query["from"])
            if offset >= len(topic.records):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        int(query.get("waitMs", "0")) / 1000
                    ):
                        await topic.changed.wait()
            if self.is_away:
                return self._response(503, b"{}")
            # The store may have come back from a copy during the wait.
            topic = self.topic(query.get("topic", ""))
            if offset > len(topic.records):
                return self._response(410, b'{"first": 0}')
            data = _HEADER.pack(len(topic.records), 0)
            for record in topic.records[offset:]:
                data += _LENGTH.pack(len(record)) + record
            return self._response(200, data)
        if path == "/log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(topic.newest.items())
            ]
            value = {
                "items": items,
                "truncated": False,
                "end": len(topic.records),
            }
            return self._response(200, json.dumps(value).encode())
        return self._response(404, b"{}")

    def _response(self, status: int, body: bytes) -> bytes:
        return response(status, (f"Store-Era: {self.era}",), body)


# Manifest

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
    "tokensPerS": 190000,
}


def route(prefix: str, kind: str, service: str, **changes: Any) -> Any:
    """Return a route of a manifest."""
    return {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "gapAimMs": 300,
    } | changes


def manifest(
    version: int, routes: list[Any], services: list[Any], **changes: Any
) -> dict[str, Any]:
    """Return a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "alpha", "apiKeys": [KEY], "priority": 1}],
    } | changes


def engine_service(name: str, slots: int = 64) -> dict[str, Any]:
    """Return a service of model runners, as in the pages' example."""
    return {
        "name": name,
        "healthCheckPath": "/healthz",
        "maxConnections": 370,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": slots,
            "kvTokens": 510209,
            "kvBytes": 18432,
            "linkMbps": 130000.0,
            "models": [{"name": "m"}],
        },
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a service without models."""
    return {"name": name, "healthCheckPath": "/healthz", "maxConnections": 110}


# Runners

Behaviour = Callable[
    ["Runner", Message, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Runner:
    """A runner; `behave` answers each request and says if it may go on."""

    def __init__(
        self, name: str, service: str, behave: Behaviour, record: Record
    ) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.behave = behave
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[str] = []
        self.slots = 64
        self.zone = "hal-a"
        self.port = 0
        self.number = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return its address."""
        return f"{IP}:{self.port}"

    async def async_listen(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._serve, IP, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def register(self, store: Store, *, is_new: bool = True) -> None:
        """Write its entry, or the last one again."""
        self.sequence += is_new
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "sequence": self.sequence,
            "born": self.born,
            "coldRemainingMs": 0,
        }
        store.topic("keyed.servers").append(
            self.name, json.dumps(entry).encode()
        )

    def leave(self, store: Store) -> None:
        """Let its entry go."""
        store.topic("keyed.servers").append(self.name, b"")

    def keep_registered(self, store: Store) -> None:
        """Write its entry every `heartbeatMs`."""

        async def run() -> None:
            while True:
                # A call to a store that is away does nothing.
                if not store.is_away:
                    self.register(store)
                await asyncio.sleep(HEARTBEAT_S)

        self._heartbeat = asyncio.create_task(run())

    def crash(self) -> None:
        """Stop listening and reset all channels."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await async_read_message(reader)
                if not await self.behave(self, request, reader, writer):
                    break
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def note_run(self, request: Message) -> str:
        """Record that a request began to run."""
        attempt = request.headers.get("x-attempt-id", "")
        self.runs.append(attempt)
        self.record(f"{self.name} runs {attempt} {request.first_line}")
        return attempt

    def head(self, request: Message) -> list[str]:
        """Return the header lines of an answer of its own."""
        attempt = request.headers.get("x-attempt-id", "")
        return [
            f"X-Attempt-Id: {attempt}",
            f"X-Server-Seal: s.{self.name}.{attempt}",
        ]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Encode a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# Routers

_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def _value(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the template of a process's settings."""

    def section(match: re.Match[str]) -> str:
        return match[2] if _value(fields, match[1]) else ""

    def placeholder(match: re.Match[str]) -> str:
        value = _value(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _PLACEHOLDER.sub(placeholder, _SECTION.sub(section, template))


class Router:
    """A process of the system."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store: Store,
        folder: Path,
        *,
        memory_mb: int = 150,
        max_fds: int = 4100,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        self.name = name
        self.folder = folder
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.memory_mb = memory_mb
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["router"]
        fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen": {"front": self.front, "ready": self.ready},
            "internalPorts": [7400, 7415],
            "seedNodes": [],
            "platform": {"address": store.address},
            "limits": {
                "maxFds": max_fds,
                "memoryMb": memory_mb,
                "cpuShare": 0.537,
                "cores": 2,
            },
            "bounds": {
                "graceS": 8,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 56,
            }
            | (bounds or {}),
        }
        template = (ROOT / self._role["template"]).read_text()
        self.settings = folder / f"{name}.yaml"
        text = render(template, fields)
        # The metrics port of the template is fixed; each router has its own ip.
        self.settings.write_text(text)
        self.process: asyncio.subprocess.Process | None = None

    async def async_start(self) -> None:
        """Start the process with the command of the deploy file."""
        words = self._role["run"].split()
        command = [
            str(self.settings) if "boot.yaml" in word else word
            for word in words
        ]
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "LACEWINGSPAR_BOOT": str(self.settings),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def async_wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until it says that it is ready."""
        async with asyncio.timeout(seconds):
            while not await self.async_is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def async_is_ready(self) -> bool:
        """Return whether it answers the readiness question with 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            answer = await async_call(
                self.ready, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            return answer.status == 200
        return False

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def memory_mib(self) -> float:
        """Return its resident memory."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def async_stop(self) -> None:
        """End the process."""
        if self.is_running:
            assert self.process is not None
            self.process.kill()
            await self.process.wait()


# Callers


async def async_call(address: str, data: bytes) -> Message:
    """Send a request on a new channel and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await async_read_message(reader)
    finally:
        writer.close()


def request(
    path: str,
    attempt: str,
    budget_ms: int,
    body: bytes = b"",
    *,
    method: str = "POST",
    **headers: str,
) -> bytes:
    """Encode a request of a caller."""
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


def main(run: Callable[[Record, Path], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its result; 2 if it could not run."""
    import tempfile

    record = Record(folder)
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(
                asyncio.wait_for(run(record, Path(temporary)), 115)
            )
        except Exception as error:
            record.say(f"the case could not run: {error!r}")
    sys.exit(code)
