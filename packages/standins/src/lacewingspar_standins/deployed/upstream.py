"""Stand-in for an upstream of the platform: engine or plain service."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from lacewingspar_standins.deployed.response_forms import (
    FORM_BY_NAME,
    ConnectionEnd,
    ResponseForm,
)
from lacewingspar_standins.faults import Faults
from lacewingspar_standins.server import reset

SEAL = "seal"
_CHUNKED_HEAD = (
    f"X-Server-Seal: {SEAL}\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
# Responses with a part that never ends, by the name of the part: the bytes that
# follow the status line and the request id, and the bytes that are repeated
# until the router closes the connection.
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
    "sealed body": (
        b"X-Server-Seal: " + SEAL.encode() + b"\r\n" + _CHUNKED_HEAD,
        b"3e8\r\n" + b"x" * 1000 + b"\r\n",
    ),
    "event": (_CHUNKED_HEAD, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
    "repeated events": (
        _CHUNKED_HEAD + b"f\r\nid: 9\ndata: x\n\n\r\n",
        b"f\r\nid: 9\ndata: x\n\n\r\n" * 50,
    ),
}
# Responses that belong to no request, by their kind: `ID` stands for the id of
# the last request, and `STREAM` for the events of a whole stream.
SURPLUS_RESPONSES: dict[str, bytes] = {
    "stream to the same request": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
        + _CHUNKED_HEAD
        + b"STREAM0\r\n\r\n"
    ),
    "stream to another request": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
        + _CHUNKED_HEAD
        + b"STREAM0\r\n\r\n"
    ),
    "stream that does not end": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n" + _CHUNKED_HEAD + b"STREAM"
    ),
    "whole response": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
        b"X-Server-Seal: %b\r\nContent-Length: 12\r\n\r\nid: 1\ndata:\n\n"
        % SEAL.encode()
    ),
    "head of a response": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n",
    "part of a head": b"HTTP/1.1 200 OK\r\nX-Att",
    "no response": b"\0\0id: 1\n\n",
}
# Status of the endless responses that do not start with 200 OK.
_STATUS_BY_ENDLESS_PART = {
    "informational answers": "103 Early Hints",
}
# Limit of the write buffer while an endless part is sent.
MAX_UNSENT_BYTES = 256 * 1024
# Ends an endless part, so that a router that reads all of it fails the test
# instead of exhausting the memory of the machine.
MAX_ENDLESS_BYTES = 48 * 1024 * 1024
# Time from the head of a response until a prompt part crashes the upstream.
PART_CRASH_DELAY_SECONDS = 0.03
_METHOD_HEAD = "HEAD"
_STATUS_UNAVAILABLE = 503
# Time from a refusal that does not name its request to its repetition.
MIN_REPEAT_SECONDS = 0.002
MAX_REPEAT_SECONDS = 0.012
_STATUS_NO_CONTENT = 204


class UpstreamFaults(Faults):
    """Faults of the upstream.

    Attributes:
        refuse: Respond 503 and state that the request did not run.
        refuse_after_seconds: Delay of a response of `refuse`.
        unnamed_refusals: Fraction of the requests that it refuses without
            naming them, each refusal being sent twice. They do not run.
        unnamed_status: Status of these refusals.
        refuse_silently: Respond 503 without stating whether it ran.
        status: Status of the responses to plain calls.
        stream_status: Status of a whole response to a streamed request, in
            place of the stream; or 0 for the stream.
        is_other_upstream: Respond 421, like a different upstream that has
            taken over this address.
        break_after_events: Number of events after which to reset the
            connection, or -1 for no reset.
        cut_event: Send half of the next event before the reset.
        mute: Run requests and do not respond until `Upstream.unmute`.
        extra_answer: Send a second response after each complete one.
        surplus: What follows the end of each complete response at once, a key
            of `SURPLUS_RESPONSES`, or "" for nothing.
        repeat_after_events: Number of events of a run after which it sends the
            last `repeated_events` again and then goes on, or -1 for never.
        repeated_events: Number of events that it sends again.
        stray_id: Send a response with the id of another request first.
        unframed: Send responses that end with the connection, without a
            length or chunks, also streams.
        unframed_stays_open: Leave the connection of an unframed stream open
            behind what follows its end.
        reset_unframed: Reset the connection of an unframed response instead
            of closing it.
        encoding: Value of `Content-Encoding`, or "" for none.
        no_seal: Omit `X-Server-Seal`, which proves that the response comes
            from the upstream.
        endless: Part of the response that never ends, a key of
            `ENDLESS_PARTS`, or "" for none.
        crash_marker: Text in a request body that makes the upstream stop
            listening and reset all its connections.
        crash_part: Part of a prompt, other than the last, that makes the
            upstream stop listening and end all its connections when it begins
            to write a streamed response; or "" for none.
        crash_cleanly: Close the connections at the crash, instead of
            resetting them.
        pause_after_events: Number of events of a run after which it pauses
            once and then goes on; 0 pauses before the response head, also of
            plain calls, and -1 never.
        pause_seconds: Length of the pause.
        leaving: Announce in every response that the upstream is leaving.
        instance_load: Value of `X-Instance-Load`, or "" for none.
        retry_after: Value of `Retry-After` in responses with status 503, or ""
            for none.
        ignore_last_event_id: Begin each stream at its first event.
        crash_after_response: Crash when a plain response has been sent. An
            unframed one then ends like one that is complete.
        form: Form of each response, a key of `FORM_BY_NAME`, or "" for the
            usual one.
    """

    refuse: bool = False
    refuse_after_seconds: float = 0.0
    unnamed_refusals: float = 0.0
    unnamed_status: int = _STATUS_UNAVAILABLE
    refuse_silently: bool = False
    status: int = 200
    stream_status: int = 0
    is_other_upstream: bool = False
    break_after_events: int = -1
    cut_event: bool = False
    mute: bool = False
    extra_answer: bool = False
    surplus: str = ""
    repeat_after_events: int = -1
    repeated_events: int = 1
    stray_id: bool = False
    unframed: bool = False
    unframed_stays_open: bool = False
    reset_unframed: bool = False
    encoding: str = ""
    no_seal: bool = False
    endless: str = ""
    crash_marker: str = ""
    crash_part: str = ""
    crash_cleanly: bool = False
    pause_after_events: int = -1
    pause_seconds: float = 0.0
    leaving: bool = False
    instance_load: str = ""
    retry_after: str = ""
    ignore_last_event_id: bool = False
    crash_after_response: bool = False
    form: str = ""


@dataclass(slots=True)
class ReceivedRequest:
    """A request that the upstream received.

    Attributes:
        method: Method.
        target: Path and query.
        value_by_header: Values by header name in lower case.
        body: Whole body.
        at: Time of arrival on the clock of the event loop, in seconds.
        ended_at: Time at which the upstream stopped working on it.
        retry_after: `Retry-After` of the response that refused it, or "".
    """

    at: float = 0.0
    ended_at: float = float("inf")
    retry_after: str = ""
    method: str = ""
    target: str = ""
    value_by_header: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def shared_prompt_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts of its prompt, without the last."""
        items = self.value_by_header.get("x-prompt-prefix", "").split(",")
        return tuple(item.partition(":")[0].strip() for item in items[:-1])


class Upstream:
    """An upstream that streams events on paths that contain `stream`.

    Attributes:
        faults: Active faults.
        received: All requests that arrived.
        runs: Number of runs by request id.
        running: Number of requests that run now.
        endless_bytes: Bytes written of endless parts of responses.
        unmuted: Set once the fault `mute` has ended.
        random: Decides which requests it refuses without naming them.
        unnamed_refusals: Number of these refusals.
        cancelled: Number of requests whose connection closed before they
            ended.
        request_crashes: Prompt parts and bodies that have crashed it,
            and when.
        may_go_on: Ends all pauses, instead of `pause_seconds`, or None.
        on_crash: Called at each crash with whether a request caused it, or
            None.
        id_of_event: Returns the id of the event with a number, from 1, or None
            for an event without an id.

    Args:
        upstream_id: Id of the upstream.
        events: Number of events of a stream.
        response_delay_seconds: Delay before a response starts and after each
            event of a stream.
    """

    def __init__(
        self,
        upstream_id: str,
        events: int = 5,
        response_delay_seconds: float = 0.002,
    ) -> None:
        self.upstream_id = upstream_id
        self.events = events
        self.response_delay_seconds = response_delay_seconds
        self.faults = UpstreamFaults()
        self.received: list[ReceivedRequest] = []
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.cancelled = 0
        self.connections = 0
        self.crashes = 0
        self.request_crashes: list[tuple[str, float]] = []
        self.may_go_on: asyncio.Event | None = None
        self.on_crash: Callable[[bool], None] | None = None
        self.id_of_event: Callable[[int], str | None] = str
        self.endless_bytes = 0
        self.unmuted = asyncio.Event()
        self.open_connections: set[_Connection] = set()
        self.random = random.Random(upstream_id)
        self.unnamed_refusals = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def async_start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port
        )
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def event(self, number: int) -> bytes:
        """Return the event with a number, from 1."""
        event_id = self.id_of_event(number)
        id_line = "" if event_id is None else f"id: {event_id}\n"
        return f"{id_line}data: event {number}\n\n".encode()

    def first_event(self, request: ReceivedRequest) -> int:
        """Return the number of the first event of a response.

        A stream begins anew after an id that names no event.
        """
        last_id = request.value_by_header.get("last-event-id")
        if not last_id or self.faults.ignore_last_event_id:
            return 1
        number_by_id = {
            self.id_of_event(number): number
            for number in range(1, self.events + 1)
        }
        return number_by_id.get(last_id, 0) + 1

    def unmute(self) -> None:
        """Go on with all requests, also those that wait for a response."""
        self.faults.mute = False
        self.unmuted.set()

    def crash(self, *, by_part: bool = False, by_body: bool = False) -> None:
        """Stop listening and end all connections.

        Args:
            by_part: Whether a prompt part is the cause. Another request with it
                has no effect on an upstream that has crashed.
            by_body: Whether a request body is the cause.
        """
        if by_part and self._server is None:
            return
        self.crashes += 1
        by_request = by_part or (by_body and self._server is not None)
        if by_request:
            now = asyncio.get_running_loop().time()
            faults = self.faults
            cause = faults.crash_part if by_part else faults.crash_marker
            self.request_crashes.append((cause, now))
        if self._server is not None:
            self._server.close()
            self._server = None
        if self.on_crash is not None:
            self.on_crash(by_request)
        for connection in list(self.open_connections):
            if self.faults.crash_cleanly:
                connection.close()
            else:
                connection.reset()

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None


class _Connection(asyncio.Protocol):
    """A connection from a router."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._request = ReceivedRequest()
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
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

    def eof_received(self) -> None:
        """Close the connection, also if its sending side is closed."""
        self._transport.close()

    def on_message_begin(self) -> None:
        self._is_answered = False
        self._request = ReceivedRequest(at=asyncio.get_running_loop().time())

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        text = value.decode("utf-8", "surrogateescape")
        self._request.value_by_header[name.decode().lower()] = text

    def on_headers_complete(self) -> None:
        form = FORM_BY_NAME.get(self._upstream.faults.form)
        if form is None or not form.is_early:
            return
        self._is_answered = True
        self._upstream.received.append(self._request)
        self._count_run(self._request)
        self._transport.pause_reading()
        asyncio.get_running_loop().call_later(
            self._upstream.response_delay_seconds,
            self._respond_in_form,
            self._request,
            form,
        )

    def on_body(self, body: bytes) -> None:
        self._request.body += body

    def on_message_complete(self) -> None:
        if self._is_answered:
            return
        self._request.method = self._parser.get_method().decode()
        self._upstream.received.append(self._request)
        self._task = asyncio.get_running_loop().create_task(
            self._async_respond(self._request)
        )

    async def _async_respond(self, request: ReceivedRequest) -> None:
        faults = self._upstream.faults
        if faults.endless:
            await self._async_respond_endlessly(request)
            return
        if faults.refuse:
            if faults.refuse_after_seconds:
                await asyncio.sleep(faults.refuse_after_seconds)
            request.ended_at = asyncio.get_running_loop().time()
            request.retry_after = faults.retry_after
            self._write_response(request, 503, b"full", ["X-Not-Executed: 1"])
            return
        if self._upstream.random.random() < faults.unnamed_refusals:
            self._refuse_unnamed()
            return
        if faults.refuse_silently:
            self._write_response(request, 503, b"busy", [])
            return
        if faults.is_other_upstream:
            self._write_response(request, 421, b"", ["X-Not-Executed: 1"])
            return
        self._count_run(request)
        self._upstream.running += 1
        try:
            await asyncio.sleep(self._upstream.response_delay_seconds)
            marker = faults.crash_marker.encode()
            if marker and marker in request.body:
                self._upstream.crash(by_body=True)
                return
            if faults.mute:
                await self._upstream.unmuted.wait()
            await self._async_pause_after(0)
            await self._async_write_response(request)
        finally:
            request.ended_at = asyncio.get_running_loop().time()
            self._upstream.running -= 1

    async def _async_write_response(self, request: ReceivedRequest) -> None:
        form = FORM_BY_NAME.get(self._upstream.faults.form)
        if form is not None:
            self._respond_in_form(request, form)
        elif "stream" in request.target:
            await self._async_respond_stream(request)
        else:
            self._respond_plain(request)

    def _count_run(self, request: ReceivedRequest) -> None:
        self._upstream.runs[request.value_by_header["x-attempt-id"]] += 1

    def _respond_in_form(
        self, request: ReceivedRequest, form: ResponseForm
    ) -> None:
        """Send a response of a form and end the connection as it says."""
        if self._transport.is_closing():
            return
        request.ended_at = asyncio.get_running_loop().time()
        upstream = self._upstream
        headers = f"X-Server-Seal: {SEAL}\r\n".encode()
        body = b"answer of " + upstream.upstream_id.encode()
        if "stream" in request.target:
            headers += b"Content-Type: text/event-stream\r\n"
            first = upstream.first_event(request)
            numbers = range(first, upstream.events + 1)
            body = b"".join(upstream.event(number) for number in numbers)
        request_id = request.value_by_header["x-attempt-id"]
        self._transport.write(form.encode(request_id, headers, body))
        match form.end:
            case ConnectionEnd.RESET:
                self.reset()
            case ConnectionEnd.CLOSE:
                self._transport.close()
            case ConnectionEnd.FIN_RESET:
                self._transport.write_eof()
                self.reset()
            case ConnectionEnd.FIN:
                self._transport.write_eof()
                self._transport.resume_reading()
            case ConnectionEnd.OPEN:
                self._transport.resume_reading()

    def _refuse_unnamed(self) -> None:
        """Refuse a request without its id, at once and again later."""
        upstream = self._upstream
        upstream.unnamed_refusals += 1
        refusal = (
            f"HTTP/1.1 {upstream.faults.unnamed_status} Status\r\n"
            "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
        ).encode()
        self._transport.write(refusal)
        delay_seconds = upstream.random.uniform(
            MIN_REPEAT_SECONDS, MAX_REPEAT_SECONDS
        )
        asyncio.get_running_loop().call_later(
            delay_seconds, self._write_if_open, refusal
        )

    def _write_if_open(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    async def _async_respond_endlessly(self, request: ReceivedRequest) -> None:
        kind = self._upstream.faults.endless
        before, repeated = ENDLESS_PARTS[kind]
        request_id = request.value_by_header["x-attempt-id"]
        if kind == "answers to other requests":
            request_id = "other"
        status = _STATUS_BY_ENDLESS_PART.get(kind, "200 OK")
        head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n"
        self._transport.write(head.encode() + before)
        while (
            not self._transport.is_closing()
            and self._upstream.endless_bytes < MAX_ENDLESS_BYTES
        ):
            if self._transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                self._transport.write(repeated * 50)
                self._upstream.endless_bytes += 50 * len(repeated)
            await asyncio.sleep(0)
        self._transport.abort()

    def _respond_plain(self, request: ReceivedRequest) -> None:
        faults = self._upstream.faults
        if faults.stray_id:
            stray = ReceivedRequest(value_by_header={"x-attempt-id": "stray"})
            self._write_response(
                stray, 200, b"not yours", [f"X-Server-Seal: {SEAL}"]
            )
        body = b"answer of " + self._upstream.upstream_id.encode()
        headers = [] if faults.no_seal else [f"X-Server-Seal: {SEAL}"]
        if faults.encoding:
            headers.append(f"Content-Encoding: {faults.encoding}")
        if faults.unframed:
            self._write_head(request, faults.status, headers)
            if request.method != _METHOD_HEAD:
                self._transport.write(body + self._surplus(request))
            if faults.crash_after_response:
                self._upstream.faults.crash_cleanly = True
                self._upstream.crash()
            elif faults.reset_unframed:
                self.reset()
            else:
                self._transport.close()
            return
        self._write_response(
            request, faults.status, body, headers, self._surplus(request)
        )
        if faults.extra_answer:
            self._write_response(request, 200, b"extra", headers)

    async def _async_respond_stream(self, request: ReceivedRequest) -> None:
        faults = self._upstream.faults
        if faults.stream_status:
            self._write_response(
                request,
                faults.stream_status,
                b"" if faults.stream_status == _STATUS_NO_CONTENT else b"bad",
                [f"X-Server-Seal: {SEAL}"],
            )
            return
        headers = [f"X-Server-Seal: {SEAL}", "Content-Type: text/event-stream"]
        if not faults.unframed:
            headers.append("Transfer-Encoding: chunked")
        self._write_head(request, 200, headers)
        if request.method != _METHOD_HEAD:
            await self._async_write_events(request)

    async def _async_write_events(self, request: ReceivedRequest) -> None:
        faults = self._upstream.faults
        first = self._upstream.first_event(request)
        if faults.crash_part in request.shared_prompt_parts:
            await asyncio.sleep(PART_CRASH_DELAY_SECONDS)
            if faults.crash_part:
                self._upstream.crash(by_part=True)
                return
        for sent, number in enumerate(range(first, self._upstream.events + 1)):
            data = self._upstream.event(number)
            if sent == faults.break_after_events:
                if faults.cut_event:
                    self._write_chunk(data[: len(data) // 2])
                    await asyncio.sleep(0.01)
                self.reset()
                return
            self._write_chunk(data)
            if sent + 1 == faults.repeat_after_events:
                self._repeat_events(number)
            await asyncio.sleep(self._upstream.response_delay_seconds)
            await self._async_pause_after(sent + 1)
        surplus = self._surplus(request)
        if faults.unframed:
            self._transport.write(surplus)
            if not faults.unframed_stays_open:
                self._transport.close()
        else:
            self._transport.write(b"0\r\n\r\n" + surplus)

    def _repeat_events(self, last: int) -> None:
        """Send the last events of a run again."""
        first = max(1, last - self._upstream.faults.repeated_events + 1)
        for number in range(first, last + 1):
            self._write_chunk(self._upstream.event(number))

    def _surplus(self, request: ReceivedRequest) -> bytes:
        """Return what follows the end of the response to a request."""
        kind = self._upstream.faults.surplus
        if not kind:
            return b""
        request_id = request.value_by_header["x-attempt-id"].encode()
        stream = b"".join(
            _chunk(self._upstream.event(number))
            for number in range(1, self._upstream.events + 1)
        )
        surplus = SURPLUS_RESPONSES[kind]
        return surplus.replace(b"ID", request_id).replace(b"STREAM", stream)

    async def _async_pause_after(self, events: int) -> None:
        """Pause if the run pauses after this number of events."""
        faults = self._upstream.faults
        if events != faults.pause_after_events:
            return
        if self._upstream.may_go_on is None:
            await asyncio.sleep(faults.pause_seconds)
        else:
            await self._upstream.may_go_on.wait()

    def close(self) -> None:
        """Close the connection after what has been written."""
        self._transport.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        reset(self._transport)

    def _write_chunk(self, data: bytes) -> None:
        if self._upstream.faults.unframed:
            self._transport.write(data)
        else:
            self._transport.write(_chunk(data))

    def _write_response(
        self,
        request: ReceivedRequest,
        status: int,
        body: bytes,
        headers: list[str],
        surplus: bytes = b"",
    ) -> None:
        self._write_head(
            request, status, [*headers, f"Content-Length: {len(body)}"]
        )
        if request.method == _METHOD_HEAD:
            body = b""
        self._transport.write(body + surplus)

    def _write_head(
        self, request: ReceivedRequest, status: int, headers: list[str]
    ) -> None:
        faults = self._upstream.faults
        request_id = request.value_by_header.get("x-attempt-id", "")
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Attempt-Id: {request_id}",
            *headers,
        ]
        if faults.leaving:
            lines.append("Server-Leaving: 1")
        if faults.instance_load:
            lines.append(f"X-Instance-Load: {faults.instance_load}")
        if faults.retry_after and status == _STATUS_UNAVAILABLE:
            lines.append(f"Retry-After: {faults.retry_after}")
        head = "\r\n".join(lines).encode("utf-8", "surrogateescape")
        self._transport.write(head + b"\r\n\r\n")


def _chunk(data: bytes) -> bytes:
    """Encode data as a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
