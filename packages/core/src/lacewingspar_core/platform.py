"""JSON formats of the platform's log service, VM list and load reports."""

from enum import StrEnum

import msgspec

STREAM_CONFIGURATION = "configuration"
STREAM_CLAIMS = "claims"


class AppendRequest(msgspec.Struct, frozen=True):
    """Body of `POST /streams/NAME/records`.

    Attributes:
        records: Records to append together, Base64 in JSON.
    """

    records: tuple[bytes, ...]


class AppendReply(msgspec.Struct, frozen=True):
    """Response to an append, with the offset of the first appended record."""

    first_offset: int


class StoredRecord(msgspec.Struct, frozen=True):
    """A record as the log service returns it.

    Attributes:
        offset: Position in the stream, from 0.
        time_ms: Time of the append in milliseconds since the Unix epoch.
        data: The record, Base64 in JSON.
    """

    offset: int
    time_ms: int
    data: bytes


class ReadReply(msgspec.Struct, frozen=True):
    """Response to `GET /streams/NAME/records?from=N&limit=N&wait_ms=N`.

    The service responds as soon as it has a record at or after `from`, or with
    no records after `wait_ms` milliseconds.

    Attributes:
        first_retained: First offset that is retained.
        next_offset: Offset that the next append will get.
        retention_ms: Time for which records are kept, in milliseconds.
        records: Consecutive records from `from` or `first_retained` on,
            whichever is larger.
    """

    first_retained: int
    next_offset: int
    retention_ms: int
    records: tuple[StoredRecord, ...]


class VmState(StrEnum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One entry of the VM list.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        state: Whether the VM is about to leave.
    """

    name: str
    data_centre: str
    state: VmState


class VmList(msgspec.Struct, frozen=True):
    """Response to `GET /vms`."""

    vms: tuple[Vm, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """Response of an upstream to `GET /load`.

    Attributes:
        running: Number of running requests.
        waiting: Number of requests that were admitted but not started.
        age_ms: Age of these numbers in milliseconds.
    """

    running: int
    waiting: int
    age_ms: int = 0
