"""Transfer of an upstream's answer to the caller."""

from lacewingspar_core.documents import ServiceKind
from lacewingspar_core.messages import SlotOutcome
from lacewingspar_router.components.caller_api.answer_body import (
    AnswerTail,
    EventGate,
    error_event,
)
from lacewingspar_router.components.caller_api.const import (
    MAX_KEPT_ANSWER_BYTES,
    RETRY_AFTER_FAILURE_SECONDS,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.requests import CallerRequest
from lacewingspar_router.components.caller_api.slot_use import SlotUse
from lacewingspar_router.components.claims.models import ClaimAnswered
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamError,
)
from lacewingspar_router.components.upstreams.models import UpstreamAnswer
from lacewingspar_router.errors import RequestRefusedError, RunState
from lacewingspar_router.http_headers import RawHeaders

_EVENT_STREAM = "text/event-stream"
# The router writes these itself.
_REPLACED_HEADERS = frozenset({"x-request-id", "traceparent", "date"})


class AnswerTransfer:
    """Passes one answer on and checks that it is complete.

    Args:
        request: The request.
        exchange: Exchange with the caller.
        answer: Answer of the upstream.
    """

    def __init__(
        self,
        request: CallerRequest,
        exchange: Exchange,
        answer: UpstreamAnswer,
    ) -> None:
        self._exchange = exchange
        self._answer = answer
        self._content_type = dict(answer.headers).get("content-type", "")
        self._is_model = request.document.kind is ServiceKind.MODEL
        self.is_event_stream = (
            self._is_model
            and answer.status == 200
            and self._content_type.startswith(_EVENT_STREAM)
        )
        self._keeps = request.idempotency_key is not None
        self._kept: list[bytes] | None = []
        self._kept_bytes = 0
        self._tail = AnswerTail()
        self._gate = EventGate()

    @property
    def tokens(self) -> int:
        """Return the number of tokens that the upstream reported, or 0."""
        return self._tail.tokens if self._is_model else 0

    async def async_run(self) -> None:
        """Pass on the whole body, but not its end.

        Raises:
            UpstreamError: The body is incomplete.
        """
        async for part in self._answer.body():
            if self._is_model:
                self._tail.add(part)
            if self._keeps:
                self._keep(part)
            ready = self._gate.push(part) if self.is_event_stream else part
            if ready:
                await self._async_send(ready)
        if not self.is_event_stream:
            return
        if not self._tail.has_end_marker:
            raise UpstreamBrokenError(
                "the stream ended without its end marker", run=RunState.UNKNOWN
            )
        rest = self._gate.flush()
        if rest:
            await self._async_send(rest)

    async def async_finish(self) -> None:
        """Send the end of the body."""
        if not self._exchange.is_started:
            await self._exchange.async_send_head(
                self._answer.status, self._head()
            )
        await self._exchange.async_finish()

    def kept_answer(self) -> ClaimAnswered:
        """Return the answer for later attempts of the same call."""
        body = None if self._kept is None else b"".join(self._kept)
        return ClaimAnswered(self._answer.status, self._content_type, body)

    async def _async_send(self, data: bytes) -> None:
        exchange = self._exchange
        if not exchange.is_started:
            await exchange.async_send_head(self._answer.status, self._head())
        await exchange.async_send_part(data)

    def _head(self) -> RawHeaders:
        removed = _REPLACED_HEADERS
        if self.is_event_stream:
            # An error event may follow, which would exceed the length.
            removed = removed | {"content-length"}
        return [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self._answer.headers
            if name not in removed
        ]

    def _keep(self, part: bytes) -> None:
        self._kept_bytes += len(part)
        if self._kept_bytes > MAX_KEPT_ANSWER_BYTES:
            self._kept = None
        if self._kept is not None:
            self._kept.append(part)


async def async_stream_answer(
    request: CallerRequest,
    exchange: Exchange,
    answer: UpstreamAnswer,
    use: SlotUse,
) -> tuple[str, ClaimAnswered | None]:
    """Pass an answer on and give the slot back at its end.

    Returns:
        How the request ended, and the answer if it was complete.

    Raises:
        UpstreamError: The answer broke before any of it was sent.
    """
    transfer = AnswerTransfer(request, exchange, answer)
    try:
        await transfer.async_run()
    except UpstreamError as error:
        if not exchange.is_started:
            raise
        use.release(SlotOutcome.UPSTREAM_FAILED, transfer.tokens)
        if transfer.is_event_stream:
            await _async_interrupt(exchange, str(error))
        # The missing end makes the server close the connection.
        return "interrupted", None
    use.release(SlotOutcome.COMPLETED, transfer.tokens)
    await transfer.async_finish()
    return "completed", transfer.kept_answer()


async def _async_interrupt(exchange: Exchange, message: str) -> None:
    error = RequestRefusedError(
        502,
        "stream_interrupted",
        message,
        run=RunState.UNKNOWN,
        retry_after_seconds=RETRY_AFTER_FAILURE_SECONDS,
    )
    await exchange.async_send_part(error_event(error, exchange.request_id))
