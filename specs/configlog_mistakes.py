"""Seeded mistakes that the check of the configuration log must find."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from msgspec import structs
from specs.configlog_model import Rules

from lacewingspar_core.configlog import (
    ConfigRecord,
    ConfigState,
    Edit,
    Snapshot,
    apply_record,
    decode_record,
    state_from_snapshot,
)
from lacewingspar_core.configreplica import ConfigReplica
from lacewingspar_core.messages import LogRecord


def apply_without_base(
    state: ConfigState, offset: int, record: ConfigRecord | None
) -> ConfigState:
    """Accept an edit with any base version."""
    if isinstance(record, Edit):
        version = state.version_of(record.service)
        record = structs.replace(record, base_version=version)
    return apply_record(state, offset, record)


def apply_without_ids(
    state: ConfigState, offset: int, record: ConfigRecord | None
) -> ConfigState:
    """Discard the ids of accepted edits."""
    state = apply_record(state, offset, record)
    return replace(state, accepted_by_edit_id={})


def apply_snapshots(
    state: ConfigState, offset: int, record: ConfigRecord | None
) -> ConfigState:
    """Replace the state of a reader by that of each snapshot."""
    state = apply_record(state, offset, record)
    if isinstance(record, Snapshot):
        start = state_from_snapshot(0, offset, record)
        assert start is not None
        return replace(start, next_offset=offset + 1)
    return state


def start_from_stale_snapshot(
    first_available: int, offset: int, record: ConfigRecord | None
) -> ConfigState | None:
    """Start from any snapshot, even if records after it are missing."""
    state = state_from_snapshot(0, offset, record)
    if state is None or state.next_offset >= first_available:
        return state
    return replace(state, next_offset=first_available)


def start_after_snapshot_record(
    first_available: int, offset: int, record: ConfigRecord | None
) -> ConfigState | None:
    """Start after a snapshot, skipping the records it does not include."""
    state = state_from_snapshot(first_available, offset, record)
    return state and replace(state, next_offset=offset)


class GapReplica(ConfigReplica):
    """Continues after a gap as if no record were missing."""

    def _restart(self, first: int) -> None:
        super()._restart(first)
        self.state = replace(self.state or ConfigState(), next_offset=first)


class ReplacedReplica(ConfigReplica):
    """Restarts from every message that contains a snapshot."""

    def add(self, first_retained: int, records: Sequence[LogRecord]) -> bool:
        """Forget the state before adding records with a snapshot."""
        decoded = [decode_record(record.data) for record in records]
        if any(isinstance(record, Snapshot) for record in decoded):
            self._restart(records[0].offset)
            self.state = None
        return super().add(first_retained, records)


@dataclass(frozen=True)
class Mistake:
    """A seeded mistake.

    Attributes:
        sizes: Name of the model sizes that find it.
        rules: Changed rules of the model.
        patches: Replaced functions of `configreplica` by name.
    """

    sizes: str
    rules: Rules = field(default_factory=Rules)
    patches: Mapping[str, Any] = field(default_factory=dict)


MISTAKES = {
    "accept an edit without its base version": Mistake(
        "edits",
        Rules(apply=apply_without_base),
        {"apply_record": apply_without_base},
    ),
    "forget accepted edit ids": Mistake(
        "edits",
        Rules(apply=apply_without_ids),
        {"apply_record": apply_without_ids},
    ),
    "report a conflict before reading back": Mistake(
        "edits", Rules(answers_before_reading_back=True)
    ),
    "go on after a gap": Mistake("edits", Rules(replica=GapReplica)),
    "replace the state by a snapshot": Mistake(
        "snapshots", patches={"apply_record": apply_snapshots}
    ),
    "start from a stale snapshot": Mistake(
        "snapshots", patches={"state_from_snapshot": start_from_stale_snapshot}
    ),
    "skip the records before a snapshot": Mistake(
        "snapshots",
        patches={"state_from_snapshot": start_after_snapshot_record},
    ),
    "go back to an older state": Mistake(
        "snapshots", Rules(replica=ReplacedReplica)
    ),
}
