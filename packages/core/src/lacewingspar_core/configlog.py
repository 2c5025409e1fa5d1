"""Transition rule for all readers of the configuration stream."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import msgspec
from returns.pipeline import is_successful

from lacewingspar_core.documents import ServiceDocument, validate_document
from lacewingspar_core.errors import RecordGapError
from lacewingspar_core.mergepatch import apply_patch

# Edit ids only turn the answer to a repeated edit from "conflict" into
# "accepted": a repeat is never applied, because its base version is past.
# At 2,600 edits a day this number covers nine hours.
ACCEPTED_EDITS_KEPT = 1024
# The newest snapshot is replaced at this part of the retention, which leaves
# twice that time for outages of the log service.
SNAPSHOT_AGE_FRACTION = 1 / 3
# A peer without configuration gets all records since the newest snapshot, so
# a snapshot is also due when they exceed this size.
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024
# Longer than append and read take together, so that routers of higher rank
# see the snapshot before their own turn.
SNAPSHOT_RANK_DELAY_SECONDS = 5.0
# The same for the rule on size, as a part of the size.
SNAPSHOT_RANK_BYTES_STEP = 0.25


class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """A change of one service document.

    Attributes:
        edit_id: Identity of the edit.
        service: Name of the service.
        base_version: Version that the patch applies to, 0 for no document.
        patch: JSON merge patch.
        author: Who made the edit.
    """

    edit_id: str
    service: str
    base_version: int
    patch: Any
    author: str


class AcceptedEdit(msgspec.Struct, frozen=True, array_like=True):
    """An edit that was accepted, and the version that it made."""

    edit_id: str
    service: str
    version: int
    author: str


class ServiceSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """One service in a snapshot.

    Attributes:
        version: Version of the document.
        edit_id: Edit that made this version.
        author: Who made that edit.
        document: The document as JSON values.
    """

    version: int
    edit_id: str
    author: str
    document: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """The state after all records up to and including one offset.

    Attributes:
        as_of: Offset of the last record that the state includes.
        service_by_name: The services.
        accepted: The accepted edits that are kept, oldest first.
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
    """Return the MessagePack form of a record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ConfigRecord | None:
    """Return the record that the bytes hold, or None if unreadable."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Configuration of one service in force.

    Attributes:
        version: Offset of the edit that made it, plus one.
        edit_id: That edit.
        author: Who made that edit.
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
    """Configuration after all records below an offset.

    Attributes:
        next_offset: First offset that is not included.
        service_by_name: Services with a document.
        accepted_by_edit_id: Accepted edits that are kept, oldest first.
    """

    next_offset: int = 0
    service_by_name: Mapping[str, ServiceConfig] = field(
        default_factory=lambda: MappingProxyType({})
    )
    accepted_by_edit_id: Mapping[str, AcceptedEdit] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def version_of(self, service: str) -> int:
        """Return the version in force, 0 for no document."""
        config = self.service_by_name.get(service)
        return config.version if config else 0


def apply_record(
    state: ConfigState, offset: int, record: ConfigRecord | None
) -> ConfigState:
    """Return the state that includes one more record.

    Args:
        state: State of the reader.
        offset: Offset of the record; a record that the state includes already
            changes nothing.
        record: The record, or None if it is unreadable.

    Raises:
        RecordGapError: Records between state and offset are missing.
    """
    if offset < state.next_offset:
        return state
    if offset > state.next_offset:
        raise RecordGapError(
            f"record {offset} does not follow {state.next_offset - 1}"
        )
    match record:
        case Edit():
            state = _apply_edit(state, offset, record)
        case Snapshot() | None:
            # The state says the same as a snapshot already.
            pass
    return replace(state, next_offset=offset + 1)


def start_state(
    first_available: int, offset: int, record: ConfigRecord | None
) -> ConfigState | None:
    """Return the state that a reader may start from at a record.

    Args:
        first_available: First offset that the reader can read, which is never
            below the first retained one.
        offset: Offset of the record.
        record: The record, or None if it is unreadable.

    Returns:
        The state, whose missing records the reader applies next, or None if
        the record is no snapshot or records after it may be missing.
    """
    if not isinstance(record, Snapshot):
        return None
    if record.as_of + 1 < first_available or record.as_of >= offset:
        return None
    service_by_name: dict[str, ServiceConfig] = {}
    for name, item in record.service_by_name.items():
        document = _document_of(name, item.document)
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
    """Return the snapshot of a state."""
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
    """The edit made a version."""

    version: int


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Another edit made a version first; this one is never accepted."""

    current_version: int
    other_edit_id: str
    other_author: str


def edit_outcome(
    state: ConfigState, edit_id: str, service: str, base_version: int
) -> EditAccepted | EditConflict | None:
    """Return what became of an edit, or None if that is still open.

    A conflict is final even if the edit has not been appended yet, because
    versions only grow.
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
        bytes_since_snapshot: Size of the records that are kept since.
        rank: Position of this router among those that may write, from 0.
    """
    limit_bytes = SNAPSHOT_AFTER_BYTES * (1 + rank * SNAPSHOT_RANK_BYTES_STEP)
    if bytes_since_snapshot > limit_bytes:
        return 0.0
    third = retention_seconds * SNAPSHOT_AGE_FRACTION
    # The ranks share a sixth of the retention at most, so that a router of
    # any rank still writes in time.
    rank_delay = min(rank * SNAPSHOT_RANK_DELAY_SECONDS, third / 2)
    return max(0.0, third + rank_delay - snapshot_age_seconds)


def _apply_edit(state: ConfigState, offset: int, edit: Edit) -> ConfigState:
    if edit.edit_id in state.accepted_by_edit_id:
        return state
    if edit.base_version != state.version_of(edit.service):
        return state
    current = state.service_by_name.get(edit.service)
    value = apply_patch(current.value if current else {}, edit.patch)
    document = _document_of(edit.service, value)
    if document is None:
        return state
    version = offset + 1
    config = ServiceConfig(version, edit.edit_id, edit.author, value, document)
    accepted = dict(state.accepted_by_edit_id)
    accepted[edit.edit_id] = AcceptedEdit(
        edit.edit_id, edit.service, version, edit.author
    )
    while len(accepted) > ACCEPTED_EDITS_KEPT:
        del accepted[next(iter(accepted))]
    return replace(
        state,
        service_by_name=MappingProxyType(
            {**state.service_by_name, edit.service: config}
        ),
        accepted_by_edit_id=MappingProxyType(accepted),
    )


def _document_of(service: str, value: Any) -> ServiceDocument | None:
    """Return a valid document of the service, or None."""
    result = validate_document(value)
    if not is_successful(result):
        return None
    document = result.unwrap()
    return document if document.service == service else None
