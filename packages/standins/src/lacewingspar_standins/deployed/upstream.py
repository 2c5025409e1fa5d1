"""Stand-in for an upstream of the platform: engine or plain service."""

import asyncio
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field

import httptools

from lacewingspar_standins.faults import Faults

SEAL = "seal"
_CHUNKED_HEAD = (
    f"X-Server-Seal: {SEAL}\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
# What stands before an endless part, after the status and the request's id, and
# what is repeated until the router closes the connection.
ENDLESS_PARTS: dict[str, tuple[bytes, bytes]] = {
    "header lines": (b"", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
    "header line": (b"X-Filler: ", b"x" * 1000),
    "chunk extension": (_CHUNKED_HEAD + b"1;", b"x" * 1000),
    "trailer lines": (
        _CHUNKED_HEAD + b"0\r\n",
        b"X-Filler: " + b"x" * 1000 + b"\r\n",
    ),
    "trailer line": (_CHUNKED_HEAD + b"0\r\nX-Filler: ", b"x" * 1000),
    "informational answers": (
        b"\r\n",
        b"HTTP/1.1 103 Early Hints\r\nX-Filler: " + b"x" * 1000 + b"\r\n\r\n",
    ),
    "answers to other requests": (
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
        b"Content-Length: 0\r\n\r\n" * 10,
    ),
    "event": (_CHUNKED_HEAD, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
    "repeated events": (
        _CHUNKED_HEAD + b"f\r\nid: 9\ndata: x\n\n\r\n",
        b"f\r\nid: 9\ndata: x\n\n\r\n" * 50,
    ),
}
# Informational answers and answers to other requests come before the own one.
_STATUS_BEFORE_ENDLESS = {
    "informational answers": "103 Early Hints",
}
# Bytes of an endless part that wait to be sent.
LARGEST_UNSENT_BYTES = 256 * 1024
# An endless part ends after so many bytes, so that a router that reads all of
# it fails the test and not the machine.
ENDLESS_BYTES = 48 * 1024 * 1024
# Linger is on, for no time.
_NO_LINGER = struct.pack("ii", 1, 0)


class UpstreamFaults(Faults):
    """Faults of the upstream.

    Attributes:
        refuse: Answer 503 and say that the request did not run.
        refuse_silently: Answer 503 without saying whether it ran.
        status: Status of the upstream's own answers.
        is_other_upstream: Answer 421, as another upstream at this address.
        break_after_events: Reset the connection after so many events; -1
            never does.
        cut_event: Send half of the next event before the reset.
        mute: Run requests and never answer.
        extra_answer: Send another answer after each complete one.
        stray_id: Answer first with an answer to another request.
        unframed: Send answers whose end is the end of the connection.
        reset_unframed: Reset such an answer in the middle.
        encoding: Content encoding that is announced.
        no_seal: Leave out the proof that the answer is the upstream's own.
        endless: Part of the answer that never ends, a key of
            `ENDLESS_PARTS`.
        crash_marker: A request whose body contains this text ends the
            upstream, and resets all its connections.
    """

    refuse: bool = False
    refuse_silently: bool = False
    status: int = 200
    is_other_upstream: bool = False
    break_after_events: int = -1
    cut_event: bool = False
    mute: bool = False
    extra_answer: bool = False
    stray_id: bool = False
    unframed: bool = False
    reset_unframed: bool = False
    encoding: str = ""
    no_seal: bool = False
    endless: str = ""
    crash_marker: str = ""


@dataclass(slots=True)
class Received:
    """A request as the upstream has seen it.

    Attributes:
        method: Method.
        target: Path and query.
        value_by_header: Headers in lower case.
        body: Whole body.
        at: Time of arrival in seconds of the event loop.
    """

    at: float = 0.0
    method: str = ""
    target: str = ""
    value_by_header: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Upstream:
    """An upstream that answers streams on paths that contain `stream`.

    Attributes:
        faults: Faults in force.
        received: Requests that arrived.
        runs: Number of runs by request id.
        running: Requests that run now.
        endless_bytes: Bytes written of endless parts of answers.
        cancelled: Runs whose connection was closed before their end.

    Args:
        upstream_id: Identity of the upstream.
        events: Events of a stream.
        pause_seconds: Time before each event, and of a plain call.
    """

    def __init__(
        self, upstream_id: str, events: int = 5, pause_seconds: float = 0.002
    ) -> None:
        self.upstream_id = upstream_id
        self.events = events
        self.pause_seconds = pause_seconds
        self.faults = UpstreamFaults()
        self.received: list[Received] = []
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.cancelled = 0
        self.connections = 0
        self.crashes = 0
        self.endless_bytes = 0
        self.open_connections: set[_Connection] = set()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def async_start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port
        )
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def crash(self) -> None:
        """Stop to listen and reset all connections."""
        self.crashes += 1
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.open_connections):
            connection.reset()

    async def async_stop(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()
            self._server = None


class _Connection(asyncio.Protocol):
    """One connection of a router."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._request = Received()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._upstream.connections += 1
        self._upstream.open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._upstream.open_connections.discard(self)
        if self._task is not None and not self._task.done():
            self._upstream.cancelled += 1
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._request = Received(at=asyncio.get_running_loop().time())

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.value_by_header[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._request.body += body

    def on_message_complete(self) -> None:
        self._request.method = self._parser.get_method().decode()
        self._upstream.received.append(self._request)
        self._task = asyncio.get_running_loop().create_task(
            self._async_answer(self._request)
        )

    async def _async_answer(self, request: Received) -> None:
        faults = self._upstream.faults
        if faults.endless:
            await self._async_endless(request)
            return
        if faults.refuse:
            self._reply(request, 503, b"full", ["X-Not-Executed: 1"])
            return
        if faults.refuse_silently:
            self._reply(request, 503, b"busy", [])
            return
        if faults.is_other_upstream:
            self._reply(request, 421, b"", ["X-Not-Executed: 1"])
            return
        self._upstream.runs[request.value_by_header["x-attempt-id"]] += 1
        self._upstream.running += 1
        try:
            await asyncio.sleep(self._upstream.pause_seconds)
            marker = faults.crash_marker.encode()
            if marker and marker in request.body:
                self._upstream.crash()
                return
            if faults.mute:
                await asyncio.Event().wait()
            if "stream" in request.target:
                await self._async_stream(request)
            else:
                self._plain(request)
        finally:
            self._upstream.running -= 1

    async def _async_endless(self, request: Received) -> None:
        kind = self._upstream.faults.endless
        before, repeated = ENDLESS_PARTS[kind]
        request_id = request.value_by_header["x-attempt-id"]
        if kind == "answers to other requests":
            request_id = "other"
        status = _STATUS_BEFORE_ENDLESS.get(kind, "200 OK")
        head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n"
        self._transport.write(head.encode() + before)
        while (
            not self._transport.is_closing()
            and self._upstream.endless_bytes < ENDLESS_BYTES
        ):
            if self._transport.get_write_buffer_size() < LARGEST_UNSENT_BYTES:
                self._transport.write(repeated * 50)
                self._upstream.endless_bytes += 50 * len(repeated)
            await asyncio.sleep(0)
        self._transport.abort()

    def _plain(self, request: Received) -> None:
        faults = self._upstream.faults
        if faults.stray_id:
            stray = Received(value_by_header={"x-attempt-id": "stray"})
            self._reply(stray, 200, b"not yours", [f"X-Server-Seal: {SEAL}"])
        body = b"answer of " + self._upstream.upstream_id.encode()
        headers = [] if faults.no_seal else [f"X-Server-Seal: {SEAL}"]
        if faults.encoding:
            headers.append(f"Content-Encoding: {faults.encoding}")
        if faults.unframed:
            self._head(request, faults.status, headers)
            self._transport.write(body)
            if faults.reset_unframed:
                self.reset()
            else:
                self._transport.close()
            return
        self._reply(request, faults.status, body, headers)
        if faults.extra_answer:
            self._reply(request, 200, b"extra", headers)

    async def _async_stream(self, request: Received) -> None:
        faults = self._upstream.faults
        first = int(request.value_by_header.get("last-event-id", "0")) + 1
        self._head(
            request,
            200,
            [
                f"X-Server-Seal: {SEAL}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ],
        )
        for sent, number in enumerate(range(first, self._upstream.events + 1)):
            data = b"id: %d\ndata: event %d\n\n" % (number, number)
            if sent == faults.break_after_events:
                if faults.cut_event:
                    self._chunk(data[: len(data) // 2])
                    await asyncio.sleep(0.01)
                self.reset()
                return
            self._chunk(data)
            await asyncio.sleep(self._upstream.pause_seconds)
        self._transport.write(b"0\r\n\r\n")

    def reset(self) -> None:
        """Close the connection with a reset instead of an orderly end."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._transport.abort()

    def _chunk(self, data: bytes) -> None:
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _reply(
        self, request: Received, status: int, body: bytes, headers: list[str]
    ) -> None:
        self._head(request, status, [*headers, f"Content-Length: {len(body)}"])
        self._transport.write(body)

    def _head(self, request: Received, status: int, headers: list[str]) -> None:
        request_id = request.value_by_header.get("x-attempt-id", "")
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Attempt-Id: {request_id}",
            *headers,
        ]
        self._transport.write("\r\n".join(lines).encode() + b"\r\n\r\n")
