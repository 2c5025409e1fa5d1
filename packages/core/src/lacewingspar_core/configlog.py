"""Rules by which every reader evaluates the configuration stream."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import msgspec
from returns.pipeline import is_successful

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.documents import ServiceDocument, validate_document
from lacewingspar_core.errors import RecordGapError
from lacewingspar_core.mergepatch import apply_patch

# Accepted edit ids are kept so that the author of a repeated edit gets
# "accepted" instead of "conflict". A repeat is never applied, because its base
# version is outdated. At 2,600 edits a day this number covers nine hours.
MAX_ACCEPTED_EDITS = 1024
# Age of the newest snapshot at which a new one is written, as a fraction of the
# retention. The remaining two thirds are left for outages of the log service.
SNAPSHOT_AGE_FRACTION = 1 / 3
# A peer without configuration receives all records since the newest snapshot,
# so a snapshot is also written when they exceed this size.
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024
# Delay per rank, so that one router writes the snapshot. It is longer than an
# append and a read together, so the next rank sees the snapshot first.
SNAPSHOT_RANK_DELAY_SECONDS = 5.0
# Extra size per rank, as a fraction of `SNAPSHOT_AFTER_BYTES`.
SNAPSHOT_RANK_BYTES_FRACTION = 0.25


class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """A change to one service document.

    Attributes:
        edit_id: Unique id of the edit.
        service: Name of the service.
        base_version: Version to which the patch applies, or 0 if the service
            has no document.
        patch: JSON merge patch.
        author: Author of the edit.
    """

    edit_id: str
    service: str
    base_version: int
    patch: Any
    author: str


class AcceptedEdit(msgspec.Struct, frozen=True, array_like=True):
    """An accepted edit and the version that it created."""

    edit_id: str
    service: str
    version: int
    author: str


class ServiceSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """One service in a snapshot.

    Attributes:
        version: Version of the document.
        edit_id: Id of the edit that created this version.
        author: Author of that edit.
        document: The document as JSON values.
    """

    version: int
    edit_id: str
    author: str
    document: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """State after all records up to and including one offset.

    Attributes:
        as_of: Offset of the last record that the state includes.
        service_by_name: Services by name.
        accepted: Most recently accepted edits, oldest first.
    """

    as_of: int
    service_by_name: dict[str, ServiceSnapshot]
    accepted: tuple[AcceptedEdit, ...]


ConfigRecord = Edit | Snapshot

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER: msgspec.msgpack.Decoder[ConfigRecord] = msgspec.msgpack.Decoder(
    ConfigRecord
)


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ConfigRecord | None:
    """Decode a record, or return None if the bytes are not a valid record."""
    try:
        return _DECODER.decode(data)
    except DECODE_ERRORS:
        return None


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Active configuration of one service.

    Attributes:
        version: Offset of the edit that created it, plus one.
        edit_id: Id of that edit.
        author: Author of that edit.
        value: The document as JSON values.
        document: The parsed document.
    """

    version: int
    edit_id: str
    author: str
    value: dict[str, Any]
    document: ServiceDocument


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration built from all records below an offset.

    Attributes:
        next_offset: Offset of the next record to apply.
        service_by_name: Services that have a document.
        accepted_by_edit_id: Most recently accepted edits, oldest first.
    """

    next_offset: int = 0
    service_by_name: Mapping[str, ServiceConfig] = field(
        default_factory=lambda: MappingProxyType({})
    )
    accepted_by_edit_id: Mapping[str, AcceptedEdit] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def version_of(self, service: str) -> int:
        """Return the active version of a service, or 0 without a document."""
        config = self.service_by_name.get(service)
        return config.version if config else 0


def apply_record(
    state: ConfigState, offset: int, record: ConfigRecord | None
) -> ConfigState:
    """Return the state after applying the next record.

    Args:
        state: State of the reader.
        offset: Offset of the record; a record that was already applied is
            ignored.
        record: The record, or None if it is unreadable.

    Raises:
        RecordGapError: Records between the state and the offset are missing.
    """
    if offset < state.next_offset:
        return state
    if offset > state.next_offset:
        raise RecordGapError(
            f"record {offset} does not follow record {state.next_offset - 1}"
        )
    match record:
        case Edit():
            state = _apply_edit(state, offset, record)
        case Snapshot() | None:
            # The state already includes everything that a snapshot holds.
            pass
    return replace(state, next_offset=offset + 1)


def state_from_snapshot(
    first_available: int, offset: int, record: ConfigRecord | None
) -> ConfigState | None:
    """Return the state that a reader can restore from a snapshot record.

    Args:
        first_available: First offset that the reader can read; never below the
            first retained offset.
        offset: Offset of the record.
        record: The record, or None if it is unreadable.

    Returns:
        The state, to which the reader applies the records after `as_of`; None
        if the record is not a valid snapshot or if records after `as_of` may be
        missing.
    """
    if not isinstance(record, Snapshot):
        return None
    if record.as_of + 1 < first_available or record.as_of >= offset:
        return None
    service_by_name: dict[str, ServiceConfig] = {}
    for name, item in record.service_by_name.items():
        document = _parse_service_document(name, item.document)
        if document is None:
            return None
        service_by_name[name] = ServiceConfig(
            item.version, item.edit_id, item.author, item.document, document
        )
    return ConfigState(
        next_offset=record.as_of + 1,
        service_by_name=MappingProxyType(service_by_name),
        accepted_by_edit_id=MappingProxyType(
            {edit.edit_id: edit for edit in record.accepted}
        ),
    )


def make_snapshot(state: ConfigState) -> Snapshot:
    """Create a snapshot of a state."""
    return Snapshot(
        as_of=state.next_offset - 1,
        service_by_name={
            name: ServiceSnapshot(
                config.version, config.edit_id, config.author, config.value
            )
            for name, config in state.service_by_name.items()
        },
        accepted=tuple(state.accepted_by_edit_id.values()),
    )


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """The edit created a version."""

    version: int


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Another edit created a version first, so this edit is never accepted."""

    current_version: int
    other_edit_id: str
    other_author: str


def edit_outcome(
    state: ConfigState, edit_id: str, service: str, base_version: int
) -> EditAccepted | EditConflict | None:
    """Return the outcome of an edit, or None if it is still undecided.

    A conflict is final even if the edit has not been appended yet, because
    versions only increase.
    """
    accepted = state.accepted_by_edit_id.get(edit_id)
    if accepted is not None:
        return EditAccepted(accepted.version)
    config = state.service_by_name.get(service)
    if config is None or config.version <= base_version:
        return None
    return EditConflict(config.version, config.edit_id, config.author)


def snapshot_delay_seconds(
    *,
    snapshot_age_seconds: float,
    retention_seconds: float,
    bytes_since_snapshot: int,
    rank: int,
) -> float:
    """Return the time until this router writes a snapshot, in seconds.

    Args:
        snapshot_age_seconds: Age of the newest snapshot, or of the oldest
            record if there is none.
        retention_seconds: Time for which the log service keeps records.
        bytes_since_snapshot: Size of the records kept since that snapshot.
        rank: Position of this router among those that may write, from 0.
    """
    limit_bytes = SNAPSHOT_AFTER_BYTES * (
        1 + rank * SNAPSHOT_RANK_BYTES_FRACTION
    )
    if bytes_since_snapshot > limit_bytes:
        return 0.0
    max_age_seconds = retention_seconds * SNAPSHOT_AGE_FRACTION
    # The delay is at most a sixth of the retention, so that a router of any
    # rank still writes in time.
    rank_delay = min(rank * SNAPSHOT_RANK_DELAY_SECONDS, max_age_seconds / 2)
    return max(0.0, max_age_seconds + rank_delay - snapshot_age_seconds)


def _apply_edit(state: ConfigState, offset: int, edit: Edit) -> ConfigState:
    if edit.edit_id in state.accepted_by_edit_id:
        return state
    if edit.base_version != state.version_of(edit.service):
        return state
    current = state.service_by_name.get(edit.service)
    value = apply_patch(current.value if current else {}, edit.patch)
    document = _parse_service_document(edit.service, value)
    if document is None:
        return state
    version = offset + 1
    config = ServiceConfig(version, edit.edit_id, edit.author, value, document)
    accepted = dict(state.accepted_by_edit_id)
    accepted[edit.edit_id] = AcceptedEdit(
        edit.edit_id, edit.service, version, edit.author
    )
    while len(accepted) > MAX_ACCEPTED_EDITS:
        del accepted[next(iter(accepted))]
    return replace(
        state,
        service_by_name=MappingProxyType(
            {**state.service_by_name, edit.service: config}
        ),
        accepted_by_edit_id=MappingProxyType(accepted),
    )


def _parse_service_document(service: str, value: Any) -> ServiceDocument | None:
    """Parse a document; return None if it is invalid or of another service."""
    result = validate_document(value)
    if not is_successful(result):
        return None
    document = result.unwrap()
    return document if document.service == service else None
