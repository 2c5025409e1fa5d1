"""Forwarding of an upstream's response to the caller."""

from collections.abc import Callable

from lacewingspar_core.documents import ServiceKind
from lacewingspar_router.components.caller_api.const import (
    MAX_RECORDED_RESPONSE_BYTES,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.caller_api.response_body import (
    CompleteEventBuffer,
    ResponseTail,
)
from lacewingspar_router.components.claims.models import ClaimAnswered
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
)
from lacewingspar_router.components.upstreams.models import UpstreamResponse
from lacewingspar_router.errors import RunState
from lacewingspar_router.http_headers import RawHeaders

_EVENT_STREAM = "text/event-stream"
# The router sets these headers itself.
_REPLACED_HEADERS = frozenset({"x-request-id", "traceparent", "date"})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ResponseTransfer:
    """Forwards one response and checks that it is complete.

    Args:
        request: The request.
        exchange: HTTP exchange with the caller.
        response: Response of the upstream.
        on_start: Called before the response head is sent to the caller.
    """

    def __init__(
        self,
        request: CallerRequest,
        exchange: Exchange,
        response: UpstreamResponse,
        on_start: Callable[[], None],
    ) -> None:
        self._on_start = on_start
        self._exchange = exchange
        self._response = response
        self._content_type = dict(response.headers).get("content-type", "")
        self._is_model = request.document.kind is ServiceKind.MODEL
        self._is_event_stream = (
            self._is_model
            and response.status == 200
            and self._content_type.startswith(_EVENT_STREAM)
        )
        self._must_record = request.idempotency_key is not None
        self._recorded_chunks: list[bytes] | None = []
        self._recorded_bytes = 0
        self._tail = ResponseTail()
        self._event_buffer = CompleteEventBuffer()

    @property
    def tokens(self) -> int:
        """Return the token count that the upstream reported, or 0."""
        return self._tail.tokens if self._is_model else 0

    async def async_run(self) -> None:
        """Forward the body without finishing the response.

        Raises:
            UpstreamError: The body is incomplete.
        """
        async for chunk in self._response.body():
            if self._is_model:
                self._tail.add(chunk)
            if self._must_record:
                self._record(chunk)
            ready = (
                self._event_buffer.push(chunk)
                if self._is_event_stream
                else chunk
            )
            if ready:
                await self._async_send(ready)
        if not self._is_event_stream:
            return
        if not self._tail.has_end_marker:
            raise UpstreamBrokenError(
                "the stream ended without its end marker", run=RunState.UNKNOWN
            )
        rest = self._event_buffer.flush()
        if rest:
            await self._async_send(rest)

    async def async_finish(self) -> None:
        """Finish the response."""
        await self._async_send_response_head()
        await self._exchange.async_finish()

    def recorded_response(self) -> ClaimAnswered:
        """Return the response to record for later attempts of the call."""
        body = (
            None
            if self._recorded_chunks is None
            else b"".join(self._recorded_chunks)
        )
        return ClaimAnswered(self._response.status, self._content_type, body)

    async def _async_send(self, data: bytes) -> None:
        await self._async_send_response_head()
        await self._exchange.async_send_chunk(data)

    async def _async_send_response_head(self) -> None:
        if self._exchange.is_started:
            return
        self._on_start()
        self._exchange.is_event_stream = self._is_event_stream
        await self._exchange.async_send_response_head(
            self._response.status, self._response_headers()
        )

    def _response_headers(self) -> RawHeaders:
        removed = _REPLACED_HEADERS
        if (
            # An error event may follow and exceed the content length.
            self._is_event_stream
            # No body is sent, so the length would be wrong.
            or self._response.status in _STATUSES_WITHOUT_BODY
        ):
            removed = removed | {"content-length"}
        return [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self._response.headers
            if name not in removed
        ]

    def _record(self, chunk: bytes) -> None:
        self._recorded_bytes += len(chunk)
        if self._recorded_bytes > MAX_RECORDED_RESPONSE_BYTES:
            self._recorded_chunks = None
        if self._recorded_chunks is not None:
            self._recorded_chunks.append(chunk)
