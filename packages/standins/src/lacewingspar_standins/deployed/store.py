"""Stand-in for the platform's store of compacted topics."""

import asyncio
import base64
import struct
from typing import Any
from urllib.parse import parse_qs

from lacewingspar_standins.asgi import Request
from lacewingspar_standins.faults import Faults, StandIn

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_MAX_WAIT_MS = 30_000
PAGE_ITEMS = 500
_HEADER_ERA = "store-era"


class StoreFaults(Faults):
    """Faults of the store.

    Attributes:
        outage: Respond to every call with 503.
        busy: Respond to every call with 429.
        silent: Accept calls and never respond.
        lose_replies: Number of next appends that take effect but whose
            connection is closed without a reply.
        delay_ms: Delay of each response.
    """

    outage: bool = False
    busy: bool = False
    silent: bool = False
    lose_replies: int = 0
    delay_ms: float = 0


class Topic:
    """Records of a topic and the newest record of each key.

    Attributes:
        first: Offset of the first retained record.
        records: Keys and values of the retained records.
        newest_by_key: Offset and value of the newest record by key.
        changed: Set, and replaced by a new event, to wake waiting readers.
    """

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[str, bytes]] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record; an empty value removes the key.

        Returns:
            The offset of the record.
        """
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest_by_key[key] = (offset, value)
        else:
            self.newest_by_key.pop(key, None)
        self.wake()
        return offset

    def compact(self) -> None:
        """Remove all records except the newest of each key."""
        self.first = self.end
        self.records = []
        self.wake()

    def copied(self) -> "Topic":
        """Return a copy without the waiting readers."""
        topic = Topic()
        topic.first = self.first
        topic.records = list(self.records)
        topic.newest_by_key = dict(self.newest_by_key)
        return topic

    def wake(self) -> None:
        """Wake all waiting readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class PlatformStore(StandIn[StoreFaults]):
    """HTTP interface of the store.

    Attributes:
        topic_by_name: Topics by name, created on first use.
        calls: Number of calls by path.
        era: Number of times at which the store was restored; each response
            states it unless it is None.
    """

    def __init__(self, faults: StoreFaults) -> None:
        super().__init__(faults)
        self.topic_by_name: dict[str, Topic] = {}
        self.calls: dict[str, int] = {}
        self.era: int | None = 0

    def copied_topics(self) -> dict[str, Topic]:
        """Return a copy from which the store can be restored."""
        return {
            name: topic.copied() for name, topic in self.topic_by_name.items()
        }

    def restore(self, topic_by_name: dict[str, Topic]) -> None:
        """Return to an older state; all records since then are lost."""
        replaced = self.topic_by_name
        self.topic_by_name = {
            name: topic.copied() for name, topic in topic_by_name.items()
        }
        self.era = (self.era or 0) + 1
        for topic in replaced.values():
            topic.wake()

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topic_by_name.setdefault(name, Topic())

    def faults_changed(self) -> None:
        """Wake waiting readers, so that an outage ends their reads."""
        for topic in self.topic_by_name.values():
            topic.wake()

    async def handle(self, request: Request) -> None:
        """Respond to a call."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        query = {
            name: values[-1]
            for name, values in parse_qs(request.query_string).items()
        }
        body = await request.body()
        if await self._respond_with_fault(request):
            return
        await asyncio.sleep(self.faults.delay_ms / 1000)
        topic = self.topic(query.get("topic", ""))
        match request.method, request.path:
            case "POST", "/log-append":
                await self._append(request, topic, body)
            case "GET", "/log-read":
                await self._read(request, topic, query)
            case "GET", "/log-newest":
                await self._newest(request, topic, query)
            case _:
                await request.reply(404, {"error": "no such call"})

    async def _append(
        self, request: Request, topic: Topic, body: bytes
    ) -> None:
        position, first = 0, topic.end
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            start = position + _LENGTH.size
            content = body[start : start + length]
            key_end = 1 + content[0]
            topic.append(content[1:key_end].decode(), content[key_end:])
            position = start + length
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await request.abort()
            return
        await self._reply(request, 200, {"offset": first, "end": topic.end})

    async def _read(
        self, request: Request, topic: Topic, query: dict[str, str]
    ) -> None:
        offset = int(query["from"])
        wait_ms = min(int(query.get("waitMs", "0")), _MAX_WAIT_MS)
        if offset >= topic.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if await self._respond_with_fault(request):
            return
        # The store may have been restored during the wait.
        topic = self.topic(query.get("topic", ""))
        if not topic.first <= offset <= topic.end:
            await self._reply(request, 410, {"first": topic.first})
            return
        data = bytearray(_READ_HEADER.pack(topic.end, topic.first))
        for key, value in topic.records[offset - topic.first :]:
            encoded = key.encode()
            content = bytes([len(encoded)]) + encoded + value
            data += _LENGTH.pack(len(content)) + content
        await request.start(
            200, (("content-length", str(len(data))), *self._era_headers())
        )
        await request.write(bytes(data), more=False)

    async def _newest(
        self, request: Request, topic: Topic, query: dict[str, str]
    ) -> None:
        keys = sorted(
            key for key in topic.newest_by_key if key > query.get("after", "")
        )
        items = []
        for key in keys[:PAGE_ITEMS]:
            offset, value = topic.newest_by_key[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        is_truncated = len(keys) > PAGE_ITEMS
        await self._reply(
            request,
            200,
            {"items": items, "truncated": is_truncated, "end": topic.end},
        )

    async def _respond_with_fault(self, request: Request) -> bool:
        """Apply an active fault; return whether the call is finished."""
        if self.faults.silent:
            await request.wait_closed()
            return True
        if self.faults.outage or self.faults.busy:
            status = 503 if self.faults.outage else 429
            await self._reply(request, status, {"error": "fault"})
            return True
        return False

    async def _reply(self, request: Request, status: int, value: Any) -> None:
        await request.reply(status, value, self._era_headers())

    def _era_headers(self) -> tuple[tuple[str, str], ...]:
        return () if self.era is None else ((_HEADER_ERA, str(self.era)),)
