"""Stand-in for the platform's log service."""

import asyncio
import time
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from lacewingspar_core.platform import (
    AppendReply,
    AppendRequest,
    ReadReply,
    StoredRecord,
)
from lacewingspar_standins.asgi import Request, decode_json
from lacewingspar_standins.faults import Faults, StandIn

DEFAULT_APPENDS_PER_SECOND = 300.0
DEFAULT_RETENTION_SECONDS = 3600.0
DEFAULT_READ_LIMIT = 1000
MAX_READ_LIMIT = 10_000
MAX_WAIT_MS = 60_000


class LogFaults(Faults):
    """Faults of the log service.

    Attributes:
        outage: Respond 503 at once.
        refuse: Close connections without a response.
        lose_replies: Number of next appends that take effect but whose
            connection is closed without a reply.
        delay_ms: Delay before an append or read takes effect.
        reply_delay_ms: Delay between the effect and the reply.
        read_delay_ms: Additional delay of the reply to a read, so that a
            writer receives the reply to its append before it reads the
            appended record.
    """

    outage: bool = False
    refuse: bool = False
    lose_replies: int = 0
    delay_ms: float = 0
    reply_delay_ms: float = 0
    read_delay_ms: float = 0


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Options of the log service.

    Attributes:
        appends_per_second: Rate limit over all streams; appends beyond it get
            429.
        retention_seconds: Retention time of records.
    """

    appends_per_second: float = DEFAULT_APPENDS_PER_SECOND
    retention_seconds: float = DEFAULT_RETENTION_SECONDS


class LogStream:
    """Records of one stream.

    Args:
        retention_ms: Retention time of records in milliseconds.
        clock_ms: Wall clock in milliseconds.
    """

    def __init__(self, retention_ms: int, clock_ms: Callable[[], int]) -> None:
        self._retention_ms = retention_ms
        self._clock_ms = clock_ms
        self._records: list[StoredRecord] = []
        self._last_time_ms = 0
        self.next_offset = 0
        self.changed = asyncio.Event()

    def append(self, records: tuple[bytes, ...]) -> int:
        """Append records and return the offset of the first."""
        # Record times must not decrease, even if the wall clock steps back.
        self._last_time_ms = max(self._last_time_ms, self._clock_ms())
        first = self.next_offset
        for data in records:
            self._records.append(
                StoredRecord(self.next_offset, self._last_time_ms, data)
            )
            self.next_offset += 1
        self._trim()
        self.wake()
        return first

    def read(self, from_offset: int, limit: int) -> ReadReply:
        """Return at most `limit` retained records from an offset on."""
        self._trim()
        first_retained = self.next_offset - len(self._records)
        start = max(0, from_offset - first_retained)
        return ReadReply(
            first_retained=first_retained,
            next_offset=self.next_offset,
            retention_ms=self._retention_ms,
            records=tuple(self._records[start : start + limit]),
        )

    def wake(self) -> None:
        """Wake all waiting readers."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _trim(self) -> None:
        oldest_ms = self._clock_ms() - self._retention_ms
        if self._records and self._records[0].time_ms < oldest_ms:
            expired = bisect_left(
                self._records, oldest_ms, key=lambda record: record.time_ms
            )
            del self._records[:expired]


class AppendLimit:
    """Token bucket whose capacity is the appends of one second."""

    def __init__(self, rate: float, clock: Callable[[], float]) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._updated_at = clock()

    def try_acquire(self) -> bool:
        """Take a token if one is available and return whether it was."""
        now = self._clock()
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._rate, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000


class LogService(StandIn[LogFaults]):
    """HTTP interface of the log service."""

    def __init__(
        self,
        options: LogOptions,
        faults: LogFaults,
        clock_ms: Callable[[], int] = _wall_clock_ms,
    ) -> None:
        super().__init__(faults)
        retention_ms = int(options.retention_seconds * 1000)
        self._limit = AppendLimit(options.appends_per_second, time.monotonic)
        self._stream_by_name: defaultdict[str, LogStream] = defaultdict(
            lambda: LogStream(retention_ms, clock_ms)
        )

    def faults_changed(self) -> None:
        """Wake waiting readers, so that an outage ends their reads."""
        for stream in self._stream_by_name.values():
            stream.wake()

    async def handle(self, request: Request) -> None:
        """Respond to an append or a read."""
        if await self._respond_with_fault(request):
            return
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["streams", name, "records"]:
                await self._append(request, name)
            case "GET", ["streams", name, "records"]:
                await self._read(request, name)
            case _:
                await request.reply(404, {"error": "no such resource"})

    async def _append(self, request: Request, name: str) -> None:
        body = decode_json(await request.body(), AppendRequest)
        if not self._limit.try_acquire():
            await request.reply(
                429, {"error": "too many appends"}, (("retry-after", "1"),)
            )
            return
        await asyncio.sleep(self.faults.delay_ms / 1000)
        first = self._stream_by_name[name].append(body.records)
        await asyncio.sleep(self.faults.reply_delay_ms / 1000)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await request.abort()
            return
        await request.reply(200, AppendReply(first))

    async def _read(self, request: Request, name: str) -> None:
        from_offset = request.query_int("from", 0)
        limit = min(
            request.query_int("limit", DEFAULT_READ_LIMIT), MAX_READ_LIMIT
        )
        wait_ms = min(request.query_int("wait_ms", 0), MAX_WAIT_MS)
        await request.body()
        await asyncio.sleep(self.faults.delay_ms / 1000)
        stream = self._stream_by_name[name]
        await self._wait_for_record(stream, from_offset, wait_ms / 1000)
        if await self._respond_with_fault(request):
            return
        delay_ms = self.faults.reply_delay_ms + self.faults.read_delay_ms
        await asyncio.sleep(delay_ms / 1000)
        await request.reply(200, stream.read(from_offset, limit))

    async def _wait_for_record(
        self, stream: LogStream, from_offset: int, wait_seconds: float
    ) -> None:
        deadline = time.monotonic() + wait_seconds
        while stream.next_offset <= from_offset:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or self.faults.outage or self.faults.refuse:
                return
            try:
                await asyncio.wait_for(stream.changed.wait(), remaining)
            except TimeoutError:
                return

    async def _respond_with_fault(self, request: Request) -> bool:
        """Apply an active fault; return whether the call is finished."""
        if self.faults.refuse:
            await request.abort()
            return True
        if self.faults.outage:
            await request.reply(503, {"error": "log service is down"})
            return True
        return False
