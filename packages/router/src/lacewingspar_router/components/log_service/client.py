"""HTTP client of the platform's log service."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import httpx
import msgspec

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.messages import LogRecord
from lacewingspar_core.platform import AppendReply, AppendRequest, ReadReply
from lacewingspar_router.application import Application
from lacewingspar_router.components.log_service.const import (
    APPEND_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    METRIC_APPENDED_RECORDS,
    METRIC_APPENDS,
    METRIC_READ_FAILURES,
    NOT_WRITTEN_STATUSES,
    READ_LIMIT_RECORDS,
    READ_TIMEOUT_MARGIN_SECONDS,
)
from lacewingspar_router.components.log_service.errors import (
    LogAppendUnknownError,
    LogServiceError,
    LogUnavailableError,
)
from lacewingspar_router.components.log_service.models import LogPage
from lacewingspar_router.components.telemetry.models import TELEMETRY

# Errors that occur before the request is sent.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


@dataclass(slots=True)
class _WaitingAppend:
    """An append that is queued or awaits its reply."""

    records: tuple[bytes, ...]
    first_offset: asyncio.Future[int]


@dataclass(slots=True)
class _Stream:
    """Queue of appends to one stream, with one batch in flight."""

    waiting: list[_WaitingAppend] = field(default_factory=list)
    is_in_flight: bool = False


class HttpLogService:
    """Client of the log service that sends appends in batches.

    Args:
        app: Application that owns the tasks.
        client: HTTP client with the base URL of the log service.
    """

    def __init__(self, app: Application, client: httpx.AsyncClient) -> None:
        self._app = app
        self._telemetry = app.get(TELEMETRY)
        self._client = client
        self._stream_by_name: dict[str, _Stream] = {}

    async def async_append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records together and return the offset of the first.

        Raises:
            LogUnavailableError: The records were not appended.
            LogAppendUnknownError: The records may have been appended.
        """
        state = self._stream_by_name.setdefault(stream, _Stream())
        waiting = _WaitingAppend(
            tuple(records), asyncio.get_running_loop().create_future()
        )
        state.waiting.append(waiting)
        if not state.is_in_flight:
            state.is_in_flight = True
            self._app.create_task(
                self._async_send_waiting(stream, state), f"append to {stream}"
            )
        return await waiting.first_offset

    async def async_read(
        self, stream: str, from_offset: int, *, wait_seconds: float
    ) -> LogPage:
        """Read records, or wait for the next one if there is none.

        Raises:
            LogUnavailableError: The log service did not respond correctly.
        """
        parameters = {
            "from": from_offset,
            "limit": READ_LIMIT_RECORDS,
            "wait_ms": int(wait_seconds * 1000),
        }
        try:
            response = await self._client.get(
                f"/streams/{stream}/records",
                params=parameters,
                timeout=httpx.Timeout(
                    wait_seconds + READ_TIMEOUT_MARGIN_SECONDS,
                    connect=CONNECT_TIMEOUT_SECONDS,
                ),
            )
            response.raise_for_status()
            reply = msgspec.json.decode(response.content, type=ReadReply)
        except (httpx.HTTPError, *DECODE_ERRORS) as error:
            self._telemetry.count(METRIC_READ_FAILURES, stream=stream)
            raise LogUnavailableError(f"reading {stream}: {error!r}") from error
        return LogPage(
            first_retained=reply.first_retained,
            next_offset=reply.next_offset,
            retention_seconds=reply.retention_ms / 1000,
            records=tuple(
                LogRecord(record.offset, record.time_ms, record.data)
                for record in reply.records
            ),
        )

    async def _async_send_waiting(self, stream: str, state: _Stream) -> None:
        """Send batches until no append is waiting."""
        batch: list[_WaitingAppend] = []
        try:
            while state.waiting:
                batch, state.waiting = state.waiting, []
                await self._async_send_batch(stream, batch)
        finally:
            state.is_in_flight = False
            stopped = LogAppendUnknownError(
                "the router stopped before the reply"
            )
            for waiting in batch + state.waiting:
                _set_error(waiting, stopped)
            state.waiting = []

    async def _async_send_batch(
        self, stream: str, batch: list[_WaitingAppend]
    ) -> None:
        records = tuple(r for waiting in batch for r in waiting.records)
        try:
            offset = await self._async_post(stream, records)
        except LogServiceError as error:
            self._telemetry.count(
                METRIC_APPENDS, stream=stream, result=type(error).__name__
            )
            for waiting in batch:
                _set_error(waiting, error)
            return
        self._telemetry.count(METRIC_APPENDS, stream=stream, result="ok")
        self._telemetry.count(
            METRIC_APPENDED_RECORDS, len(records), stream=stream
        )
        for waiting in batch:
            if not waiting.first_offset.done():
                waiting.first_offset.set_result(offset)
            offset += len(waiting.records)

    async def _async_post(self, stream: str, records: tuple[bytes, ...]) -> int:
        body = msgspec.json.encode(AppendRequest(records))
        try:
            response = await self._client.post(
                f"/streams/{stream}/records",
                content=body,
                headers={"Content-Type": "application/json"},
                timeout=httpx.Timeout(
                    APPEND_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
                ),
            )
        except _NOT_SENT_ERRORS as error:
            raise LogUnavailableError(f"append failed: {error!r}") from error
        except httpx.HTTPError as error:
            raise LogAppendUnknownError(f"append failed: {error!r}") from error
        if response.status_code in NOT_WRITTEN_STATUSES:
            raise LogUnavailableError(
                f"append failed: HTTP {response.status_code}"
            )
        try:
            response.raise_for_status()
            reply = msgspec.json.decode(response.content, type=AppendReply)
        except (httpx.HTTPError, *DECODE_ERRORS) as error:
            raise LogAppendUnknownError(f"append failed: {error!r}") from error
        return reply.first_offset


def _set_error(waiting: _WaitingAppend, error: LogServiceError) -> None:
    if not waiting.first_offset.done():
        waiting.first_offset.set_exception(type(error)(str(error)))
