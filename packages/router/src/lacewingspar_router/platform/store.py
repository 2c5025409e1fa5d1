"""Client of the platform's store."""

import asyncio
import base64
import binascii
import struct
from urllib.parse import urlencode

import msgspec

from lacewingspar_router.components.routing.errors import (
    TopicTruncatedError,
    TopicUnavailableError,
)
from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    TopicListing,
    TopicRecords,
)
from lacewingspar_router.http1.client import async_exchange
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ConnectionFailedError,
    InvalidAnswerError,
)
from lacewingspar_router.http1.messages import Response, encode_head
from lacewingspar_router.platform import names

# The store answers within milliseconds; one that takes longer than this on top
# of the time that a read may wait is treated as out of reach.
CALL_TIMEOUT_SECONDS = 0.8
LARGEST_ANSWER_BYTES = 16 * 1024 * 1024
# Idle time after which a connection may have gone silent unnoticed.
IDLE_SECONDS = 3.0
_READ_KILOBYTES = 1024
_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_STATUS_OK = 200
_STATUS_GONE = 410


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64.
    value: str
    offset: int


class _Page(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    # Whether more keys follow the last one.
    truncated: bool
    end: int


_PAGE_DECODER = msgspec.json.Decoder(_Page)


class PlatformStore:
    """Calls to the store.

    Args:
        address: `host:port` of the store.
    """

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address)

    async def async_call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b"",
        wait_seconds: float = 0.0,
    ) -> Response:
        """Make one call.

        Raises:
            TopicUnavailableError: There was no answer; the call may have been
                executed, and may still be.
        """
        target = f"{path}?{urlencode(query)}"
        headers = [
            (b"host", self._pool.address.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        data = encode_head(f"{method} {target} HTTP/1.1", headers) + body
        try:
            connection = await self._pool.async_take(IDLE_SECONDS)
        except ConnectionFailedError as error:
            raise TopicUnavailableError(str(error)) from error
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS + wait_seconds):
                response = await async_exchange(
                    connection, data, LARGEST_ANSWER_BYTES
                )
        except (
            TimeoutError,
            ConnectionBrokenError,
            InvalidAnswerError,
        ) as error:
            connection.abort()
            reason = str(error) or "no answer in time"
            raise TopicUnavailableError(f"{path}: {reason}") from error
        except BaseException:
            connection.abort()
            raise
        self._pool.give_back(connection)
        return response

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


class StoreTopic:
    """A keyed topic with one partition.

    Attributes:
        name: Name of the topic.

    Args:
        store: Calls to the store.
        name: Name of the topic.
    """

    def __init__(self, store: PlatformStore, name: str) -> None:
        self.name = name
        self._store = store
        self._query: dict[str, str | int] = {"topic": name, "part": 0}

    async def async_newest(self) -> TopicListing:
        """Return the newest record of each key.

        Raises:
            TopicUnavailableError: The log cannot be read now.
        """
        records: dict[str, KeyedRecord] = {}
        # Records that arrive between two pages are read from the first end on.
        end: int | None = None
        query = dict(self._query)
        while True:
            page = await self._async_page(query)
            end = page.end if end is None else end
            records |= {item.key: _record(item) for item in page.items}
            if not page.truncated or not page.items:
                return TopicListing(records, end)
            query["after"] = page.items[-1].key

    async def async_read(
        self, from_offset: int, wait_seconds: float
    ) -> TopicRecords:
        """Return the records from an offset on, waiting for the first.

        Raises:
            TopicUnavailableError: The log cannot be read now.
            TopicTruncatedError: Records after the offset were dropped.
        """
        query = self._query | {
            "from": from_offset,
            "maxKb": _READ_KILOBYTES,
            "waitMs": round(wait_seconds * 1000),
        }
        response = await self._store.async_call(
            "GET", names.CALL_READ, query, wait_seconds=wait_seconds
        )
        if response.status == _STATUS_GONE:
            raise TopicTruncatedError(f"offset {from_offset} was dropped")
        _check(names.CALL_READ, response)
        return _decode_records(response.body, from_offset)

    async def async_append(self, key: str, value: bytes) -> None:
        """Append a record; the write is repeatable.

        Raises:
            TopicUnavailableError: The record may or may not be appended.
        """
        encoded = key.encode()
        content = bytes([len(encoded)]) + encoded + value
        response = await self._store.async_call(
            "POST",
            names.CALL_APPEND,
            self._query,
            _LENGTH.pack(len(content)) + content,
        )
        _check(names.CALL_APPEND, response)

    async def _async_page(self, query: dict[str, str | int]) -> _Page:
        response = await self._store.async_call("GET", names.CALL_NEWEST, query)
        _check(names.CALL_NEWEST, response)
        try:
            return _PAGE_DECODER.decode(response.body)
        except msgspec.MsgspecError as error:
            raise TopicUnavailableError(f"unreadable page: {error}") from error


def _check(call: str, response: Response) -> None:
    if response.status != _STATUS_OK:
        raise TopicUnavailableError(f"{call}: status {response.status}")


def _record(item: _Item) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise TopicUnavailableError(f"unreadable value: {error}") from error
    return KeyedRecord(item.key, value, item.offset)


def _decode_records(data: bytes, from_offset: int) -> TopicRecords:
    """Decode records behind the end and the first retained offset."""
    if len(data) < _HEAD.size:
        raise TopicUnavailableError("unreadable records: no offsets")
    records: list[KeyedRecord] = []
    position, offset = _HEAD.size, from_offset
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise TopicUnavailableError("unreadable records: cut length")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        if len(content) < length or not content:
            raise TopicUnavailableError("unreadable records: cut content")
        position += length
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "replace")
        records.append(KeyedRecord(key, content[key_end:], offset))
        offset += 1
    return TopicRecords(records, offset)
