"""Upstream responses with checks of identity and completeness."""

import re
from collections.abc import AsyncIterator, Awaitable, Callable

import httpx

from lacewingspar_router.components.upstreams.const import (
    HEADER_NOT_RUN,
    STATUS_UNAVAILABLE,
)
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamError,
    UpstreamMismatchError,
    UpstreamRefusedError,
)
from lacewingspar_router.components.upstreams.models import UpstreamCall
from lacewingspar_router.errors import RunState
from lacewingspar_router.http_headers import (
    REQUEST_ID_HEADER,
    end_to_end_headers,
    header_value,
)

EVENT_STREAM = "text/event-stream"
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Others are no final statuses of HTTP.
_FINAL_STATUSES = range(200, 600)
# Last event of a stream of a model.
_LAST_EVENT = re.compile(rb"(?<![^\n])data: \[DONE\]\r?\n\r?\n")
# Longest part of the last event that a chunk may end with.
_MAX_PART_BYTES = len(b"\ndata: [DONE]\r\n\r\n")

OnEnd = Callable[[UpstreamError | None], None]
OnClose = Callable[[], Awaitable[None]]


class HttpUpstreamResponse:
    """A response whose head was received and checked.

    Args:
        response: The response; its body is not read yet.
        expected_bytes: Content length, or None if it is not known.
        on_end: Called once with the error, or with None after a complete body.
        on_close: Called when the connection may be reused.
    """

    def __init__(
        self,
        response: httpx.Response,
        expected_bytes: int | None,
        on_end: OnEnd,
        on_close: OnClose,
    ) -> None:
        self.status = response.status_code
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in end_to_end_headers(response.headers.raw)
        )
        self._response = response
        self._expected_bytes = expected_bytes
        self._on_end = on_end
        self._on_close = on_close
        self._is_closed = False
        self._is_unframed_stream = (
            expected_bytes is None
            and header_value(response.headers.raw, b"transfer-encoding") is None
        )

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises:
            UpstreamError: The body ended early or timed out.
        """
        received = 0
        end = _StreamEnd() if self._is_unframed_stream else None
        try:
            async for chunk in self._response.aiter_raw():
                received += len(chunk)
                if end is None:
                    yield chunk
                    continue
                yield end.cut(chunk)
                if end.is_reached:
                    break
        except httpx.HTTPError as error:
            raise self._failed(
                f"response broke off: {describe(error)}"
            ) from error
        expected = self._expected_bytes
        if expected is not None and received != expected:
            raise self._failed(
                f"response has {received} bytes instead of {expected}"
            )
        self._on_end(None)

    async def async_close(self) -> None:
        """Close the response and cancel the call if it is still running."""
        if self._is_closed:
            return
        self._is_closed = True
        try:
            await self._response.aclose()
        finally:
            await self._on_close()

    def _failed(self, message: str) -> UpstreamBrokenError:
        error = UpstreamBrokenError(message, run=RunState.UNKNOWN)
        self._on_end(error)
        return error


class _StreamEnd:
    """Finds the end of an event stream that ends with its connection.

    What follows the last event belongs to another response.
    """

    def __init__(self) -> None:
        self.is_reached = False
        self._last = b""

    def cut(self, chunk: bytes) -> bytes:
        """Return the part of a chunk that belongs to the stream."""
        data = self._last + chunk
        found = _LAST_EVENT.search(data)
        if found is not None:
            self.is_reached = True
            return data[len(self._last) : found.end()]
        self._last = data[-_MAX_PART_BYTES:]
        return chunk


def check_response_head(
    call: UpstreamCall, response: httpx.Response
) -> int | None:
    """Check the identity and the framing of a response.

    Returns:
        The content length, or None if it is not known.

    Raises:
        UpstreamMismatchError: The response belongs to another request.
        UpstreamRefusedError: The upstream did not start the call.
        UpstreamBrokenError: The status is invalid, or the framing does not
            mark the end of the body.
    """
    headers = response.headers.raw
    if response.status_code not in _FINAL_STATUSES:
        raise UpstreamBrokenError(
            f"invalid status {response.status_code}", run=RunState.UNKNOWN
        )
    response_request_id = header_value(headers, REQUEST_ID_HEADER)
    if response_request_id != call.request_id:
        raise UpstreamMismatchError(
            f"response has request id {response_request_id!r}",
            run=RunState.UNKNOWN,
        )
    if (
        response.status_code == STATUS_UNAVAILABLE
        and header_value(headers, HEADER_NOT_RUN) == "1"
    ):
        raise UpstreamRefusedError(
            "upstream refused the call before running it", run=RunState.NOT_RUN
        )
    if call.method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return None
    return _expected_bytes(response)


def describe(error: Exception) -> str:
    """Return the class name and the message of an error."""
    return f"{type(error).__name__} {error}".strip()


def _expected_bytes(response: httpx.Response) -> int | None:
    headers = response.headers.raw
    length = header_value(headers, b"content-length")
    if length is not None and length.isascii() and length.isdigit():
        return int(length)
    is_chunked = header_value(headers, b"transfer-encoding") is not None
    content_type = header_value(headers, b"content-type") or ""
    # Event streams have an end marker. Any other body that ends with the
    # connection would look complete after a broken connection.
    if is_chunked or content_type.startswith(EVENT_STREAM):
        return None
    raise UpstreamBrokenError(
        "response has neither a content length nor chunked encoding",
        run=RunState.UNKNOWN,
    )
