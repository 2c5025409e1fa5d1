"""Client of the platform's log service."""

import asyncio
import base64
import struct
from urllib.parse import urlencode

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.log_positions import (
    MAX_ERA,
    ResponseUse,
    era_of,
    log_position,
    offset_of,
    response_use,
)
from lacewingspar_router.components.routing.errors import (
    TopicRestoredError,
    TopicSilentError,
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
    InvalidResponseError,
)
from lacewingspar_router.http1.messages import Response, encode_head
from lacewingspar_router.http_headers import header_value
from lacewingspar_router.platform import names
from lacewingspar_router.platform.header_numbers import (
    HeaderNumberError,
    NumberRange,
    read_number,
)

_LOGGER = structlog.get_logger(__name__)

# Response timeout in addition to the long-poll duration of a read. The service
# normally responds within milliseconds.
CALL_TIMEOUT_SECONDS = 0.8
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Connections that were idle for longer are not reused: they may be dead without
# an error.
MAX_IDLE_SECONDS = 3.0
_MAX_READ_KILOBYTES = 1024
_LENGTH_PREFIX = struct.Struct(">I")
_RECORDS_HEADER = struct.Struct(">QQ")
_ERAS = NumberRange(MAX_ERA)
_STATUS_OK = 200
_STATUS_GONE = 410


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64-encoded.
    value: str
    offset: int


class _Page(msgspec.Struct, frozen=True):
    # Decoded one by one: an item that cannot be read leaves the others.
    items: tuple[msgspec.Raw, ...]
    # Whether another page follows.
    truncated: bool
    end: int


_PAGE_DECODER = msgspec.json.Decoder(_Page)
_ITEM_DECODER = msgspec.json.Decoder(_Item)


class PlatformStore:
    """Client of the log service.

    Args:
        address: `host:port` of the service.
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
        """Send one request and return the response.

        Args:
            method: HTTP method.
            path: Path of the call.
            query: Query parameters.
            body: Request body.
            wait_seconds: Long-poll duration, added to the response timeout.

        Raises:
            TopicUnavailableError: There was no response. The call may have been
                executed, or may still be.
            TopicSilentError: The same, because of a timeout.
        """
        target = f"{path}?{urlencode(query)}"
        headers = [
            (b"host", self._pool.address.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        data = encode_head(f"{method} {target} HTTP/1.1", headers) + body
        try:
            connection = await self._pool.async_acquire(MAX_IDLE_SECONDS)
        except ConnectionFailedError as error:
            raise TopicUnavailableError(str(error)) from error
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS + wait_seconds):
                response = await async_exchange(
                    connection, data, MAX_RESPONSE_BYTES
                )
        except TimeoutError as error:
            connection.abort()
            raise TopicSilentError(f"{path}: response timed out") from error
        except (ConnectionBrokenError, InvalidResponseError) as error:
            connection.abort()
            raise TopicUnavailableError(f"{path}: {error}") from error
        except BaseException:
            connection.abort()
            raise
        self._pool.release(connection)
        return response

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


class StoreTopic:
    """A keyed topic with one partition.

    Attributes:
        name: Name of the topic.

    Args:
        store: Client of the log service.
        name: Name of the topic.
    """

    def __init__(self, store: PlatformStore, name: str) -> None:
        self.name = name
        self._store = store
        self._query: dict[str, str | int] = {"topic": name, "part": 0}

    async def async_read_newest(self) -> TopicListing:
        """Return the newest record of each key.

        Raises:
            TopicUnavailableError: The log service is unavailable, or was
                restored between two pages.
        """
        records: dict[str, KeyedRecord] = {}
        # The end of the first page: records appended while the pages are read
        # are then read from there.
        end: int | None = None
        query = dict(self._query)
        while True:
            era, page = await self._async_page(query)
            end = log_position(era, page.end) if end is None else end
            if era_of(end) != era:
                raise TopicUnavailableError(
                    "the log was restored while it was listed"
                )
            listed = self._decode_items(page, era)
            records |= {record.key: record for record in listed}
            if not page.truncated or not page.items:
                return TopicListing(records, end)
            if not listed:
                raise TopicUnavailableError("no item of a page can be read")
            query["after"] = listed[-1].key

    async def async_read(
        self, from_offset: int, wait_seconds: float
    ) -> TopicRecords:
        """Return the records from an offset on, waiting for the first.

        Raises:
            TopicUnavailableError: The log service is unavailable.
            TopicTruncatedError: Records after the offset were dropped.
            TopicRestoredError: The log is of a later era than the offset.
        """
        query = self._query | {
            "from": offset_of(from_offset),
            "maxKb": _MAX_READ_KILOBYTES,
            "waitMs": round(wait_seconds * 1000),
        }
        response = await self._store.async_call(
            "GET", names.CALL_READ, query, wait_seconds=wait_seconds
        )
        if response.status in (_STATUS_OK, _STATUS_GONE):
            _check_era(_era(names.CALL_READ, response), from_offset)
        if response.status == _STATUS_GONE:
            raise TopicTruncatedError(
                f"records from offset {from_offset} were dropped"
            )
        _raise_for_status(names.CALL_READ, response)
        return _decode_records(response.body, from_offset)

    async def async_append(self, key: str, value: bytes) -> int:
        """Append a record and return the era; safe to retry.

        Raises:
            TopicUnavailableError: The log service is unavailable. The record
                may have been appended.
        """
        encoded = key.encode()
        content = bytes([len(encoded)]) + encoded + value
        response = await self._store.async_call(
            "POST",
            names.CALL_APPEND,
            self._query,
            _LENGTH_PREFIX.pack(len(content)) + content,
        )
        _raise_for_status(names.CALL_APPEND, response)
        return _era(names.CALL_APPEND, response)

    async def _async_page(
        self, query: dict[str, str | int]
    ) -> tuple[int, _Page]:
        """Return the era and a page of a listing."""
        response = await self._store.async_call("GET", names.CALL_NEWEST, query)
        _raise_for_status(names.CALL_NEWEST, response)
        try:
            page = _PAGE_DECODER.decode(response.body)
        except DECODE_ERRORS as error:
            raise TopicUnavailableError(
                f"invalid listing page: {error}"
            ) from error
        return _era(names.CALL_NEWEST, response), page

    def _decode_items(self, page: _Page, era: int) -> list[KeyedRecord]:
        """Return the records of a page, without those that can't be read."""
        records: list[KeyedRecord] = []
        for data in page.items:
            match _decode_item(data, era):
                case Success(record):
                    records.append(record)
                case Failure(problem):
                    _LOGGER.warning(
                        "unreadable item of a listing ignored",
                        topic=self.name,
                        end_offset=page.end,
                        problem=problem,
                    )
        return records


def _raise_for_status(call: str, response: Response) -> None:
    if response.status != _STATUS_OK:
        raise TopicUnavailableError(f"{call}: status {response.status}")


def _era(call: str, response: Response) -> int:
    """Return the era that a response states, which is 0 without the header.

    Raises:
        TopicUnavailableError: The header is not a valid era.
    """
    value = header_value(response.headers, names.HEADER_STORE_ERA)
    if value is None:
        return 0
    try:
        return int(read_number(value, _ERAS))
    except HeaderNumberError as error:
        raise TopicUnavailableError(f"{call}: era is {error}") from error


def _check_era(era: int, position: int) -> None:
    """Check that a response is of the era of the position that was read.

    Raises:
        TopicRestoredError: The response is of a later era.
        TopicUnavailableError: The response is of an earlier era.
    """
    known = era_of(position)
    match response_use(position, era):
        case ResponseUse.LIST_AGAIN:
            raise TopicRestoredError(f"era {era} follows era {known}")
        case ResponseUse.DROP:
            raise TopicUnavailableError(
                f"response of era {era} after era {known}"
            )
        case ResponseUse.APPLY:
            pass


def _decode_item(data: msgspec.Raw, era: int) -> Result[KeyedRecord, str]:
    try:
        item = _ITEM_DECODER.decode(data)
        value = base64.b64decode(item.value, validate=True)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    position = log_position(era, item.offset)
    return Success(KeyedRecord(item.key, value, position))


def _decode_records(data: bytes, from_offset: int) -> TopicRecords:
    """Decode records that follow a header of two offsets."""
    if len(data) < _RECORDS_HEADER.size:
        raise TopicUnavailableError("invalid records: incomplete header")
    records: list[KeyedRecord] = []
    position, offset = _RECORDS_HEADER.size, from_offset
    while position < len(data):
        if position + _LENGTH_PREFIX.size > len(data):
            raise TopicUnavailableError("invalid records: incomplete length")
        (length,) = _LENGTH_PREFIX.unpack_from(data, position)
        position += _LENGTH_PREFIX.size
        content = data[position : position + length]
        if len(content) < length:
            raise TopicUnavailableError("invalid records: incomplete content")
        position += length
        record = _decode_record(content, offset)
        if record is None:
            _LOGGER.warning("record without a key ignored", offset=offset)
        else:
            records.append(record)
        offset += 1
    return TopicRecords(records, offset)


def _decode_record(content: bytes, offset: int) -> KeyedRecord | None:
    """Decode a record, or return None if its key is not complete."""
    if not content or len(content) <= content[0]:
        return None
    key_end = 1 + content[0]
    key = content[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(key, content[key_end:], offset)
