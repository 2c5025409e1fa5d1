"""HTTP exchange with a caller: one request and its response."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from lacewingspar_core.memory_budget import Progress
from lacewingspar_router.components.caller_api.const import (
    BODY_READ_TIMEOUT_SECONDS,
    RETRY_AFTER_FAILURE_SECONDS,
)
from lacewingspar_router.components.caller_api.errors import CallerGoneError
from lacewingspar_router.components.caller_api.refusals import no_body_memory
from lacewingspar_router.errors import RequestRefusedError, RunState
from lacewingspar_router.http1.body_memory import BodyMemory, CallerAccount
from lacewingspar_router.http_headers import (
    REQUEST_ID_HEADER,
    TRACE_PARENT_HEADER,
    RawHeaders,
    header_value,
)

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

_JSON = b"application/json"


class Exchange:
    """Reads the request and writes the response of one exchange.

    Attributes:
        request_id: Identity of the request.
        trace_parent: `traceparent` header of the response.
        is_started: Whether the response head was sent.
        is_finished: Whether the whole response was sent.
        is_event_stream: Whether the response is an event stream.
        must_close: Whether the connection is closed after the response.
    """

    def __init__(
        self,
        scope: Any,
        receive: Receive,
        send: Send,
        request_id: str,
        memory: BodyMemory,
    ) -> None:
        self.scope = scope
        self.headers: RawHeaders = list(scope["headers"])
        self.request_id = request_id
        self.trace_parent = ""
        self.is_started = False
        self.is_finished = False
        self.is_event_stream = False
        # Until the whole body is read, the server would parse the rest of it
        # as the next request.
        self.must_close = True
        self._receive = receive
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._account = CallerAccount(memory, self, self._loop.time)
        self._account.address = (scope.get("client") or ("",))[0]
        self._held_bytes = 0
        self._is_evicted = False
        self._receive_limit: asyncio.Timeout | None = None

    @property
    def progress(self) -> Progress:
        """Return the progress of the caller with its body."""
        return self._account.progress

    def evict(self) -> bool:
        """Refuse a body that does not arrive; return whether it is refused."""
        if self._receive_limit is None or self._is_evicted:
            return False
        self._is_evicted = True
        self._receive_limit.reschedule(self._loop.time())
        self._release_body()
        return True

    def close(self) -> None:
        """Release the memory of the body."""
        self._release_body()
        self._account.close()

    def _release_body(self) -> None:
        self._account.release(self._held_bytes)
        self._held_bytes = 0

    def _hold_body(self, size: int) -> None:
        """Hold memory for a body of this size, at least."""
        missing = size - self._held_bytes
        if missing <= 0:
            return
        if not self._account.try_hold(missing, self._held_bytes):
            raise no_body_memory()
        self._held_bytes += missing

    async def async_read_body(self, limit_bytes: int) -> bytes:
        """Return the request body.

        Raises:
            RequestRefusedError: The body is too large or does not arrive.
            CallerGoneError: The caller closed the connection.
        """
        announced = header_value(self.headers, b"content-length")
        if announced and announced.isdigit():
            if int(announced) > limit_bytes:
                raise _too_large(limit_bytes)
            self._hold_body(int(announced))
        self._account.set_evictable(is_evictable=True)
        try:
            return await self._async_read_parts(limit_bytes)
        finally:
            self._account.set_evictable(is_evictable=False)

    async def _async_read_parts(self, limit_bytes: int) -> bytes:
        body: bytes | bytearray = b""
        while True:
            message = await self._async_receive()
            part = message.get("body", b"")
            if len(body) + len(part) > limit_bytes:
                raise _too_large(limit_bytes)
            self._hold_body(len(body) + len(part))
            self.progress.record(len(part), self._loop.time())
            more = message.get("more_body", False)
            if not body:
                body = part
            else:
                # One growing buffer, as small parts take more as objects.
                if isinstance(body, bytes):
                    body = bytearray(body)
                body += part
            if not more:
                self.must_close = False
                return bytes(body)

    async def async_wait_disconnected(self) -> None:
        """Wait until the caller closes the connection."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def async_send_response_head(
        self, status: int, headers: RawHeaders
    ) -> None:
        """Send the status and the headers of the response."""
        self.is_started = True
        added = [
            (REQUEST_ID_HEADER, self.request_id.encode()),
            (TRACE_PARENT_HEADER, self.trace_parent.encode()),
        ]
        if self.must_close:
            added.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *added],
            }
        )

    async def async_send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def async_finish(self, data: bytes = b"") -> None:
        """Send the last chunk of the body."""
        self.is_finished = True
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": False}
        )

    async def async_send_response(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete response."""
        length = (b"content-length", b"%d" % len(body))
        await self.async_send_response_head(status, [*headers, length])
        await self.async_finish(body)

    async def async_send_json(self, status: int, value: Any) -> None:
        """Send a complete response with a JSON body."""
        await self.async_send_response(
            status, [(b"content-type", _JSON)], msgspec.json.encode(value)
        )

    async def async_refuse(self, error: RequestRefusedError) -> None:
        """Send a refusal."""
        headers = [(b"content-type", _JSON)]
        if error.status == 401:
            headers.append((b"www-authenticate", b"Bearer"))
        if error.retry_after_seconds is not None:
            seconds = max(1, math.ceil(error.retry_after_seconds))
            headers.append((b"retry-after", b"%d" % seconds))
        body = msgspec.json.encode(refusal_value(error, self.request_id))
        await self.async_send_response(error.status, headers, body)

    async def async_interrupt(self, message: str) -> None:
        """Abort a response whose head was already sent.

        The caller of an event stream gets an error event. The body is not
        finished, so the server closes the connection.
        """
        if not self.is_event_stream:
            return
        error = RequestRefusedError(
            502,
            "stream_interrupted",
            message,
            run=RunState.UNKNOWN,
            retry_after_seconds=RETRY_AFTER_FAILURE_SECONDS,
        )
        value = msgspec.json.encode(refusal_value(error, self.request_id))
        await self.async_send_chunk(b"data: " + value + b"\n\n")

    async def _async_receive(self) -> Any:
        try:
            async with asyncio.timeout(BODY_READ_TIMEOUT_SECONDS) as limit:
                self._receive_limit = limit
                message = await self._receive()
        except TimeoutError as error:
            if self._is_evicted:
                raise no_body_memory() from error
            raise RequestRefusedError(
                408,
                "body_timeout",
                f"no body data arrived for {BODY_READ_TIMEOUT_SECONDS:g} s",
            ) from error
        finally:
            self._receive_limit = None
        if message["type"] == "http.disconnect":
            raise CallerGoneError("the caller closed the connection")
        return message


def refusal_value(error: RequestRefusedError, request_id: str) -> Any:
    """Return the JSON body of a refusal."""
    return {
        "error": {
            "code": error.code,
            "message": error.message,
            "run": error.run.value,
            "retry_after_seconds": error.retry_after_seconds,
            "request_id": request_id,
        }
    }


def _too_large(limit_bytes: int) -> RequestRefusedError:
    return RequestRefusedError(
        413,
        "body_too_large",
        f"the body is larger than {limit_bytes} bytes",
        run=RunState.NOT_RUN,
    )
