"""Tests of the rules of the configuration stream."""

from typing import Any

import pytest
from tests.core.config_records import DOCUMENT, edit, state_after

from lacewingspar_core import configlog
from lacewingspar_core.errors import RecordGapError


@pytest.mark.parametrize(
    ("records", "version"),
    [
        ([edit("a", 0)], 1),
        ([edit("a", 0), edit("b", 1)], 2),
        ([edit("a", 0), edit("b", 0)], 1),
        ([edit("a", 1)], 0),
        ([edit("a", 0), edit("a", 1)], 1),
        ([None, edit("a", 0)], 2),
        ([edit("a", 0, {**DOCUMENT, "kind": "other"})], 0),
        ([edit("a", 0, {**DOCUMENT, "service": "t"})], 0),
        ([edit("a", 0, None)], 0),
        ([edit("a", 0), edit("b", 1, {"workspaces": None})], 1),
        ([edit("a", 0), edit("b", 1, {"limits": {"attempts": 11}})], 1),
        ([edit("a", 0), configlog.Snapshot(0, {}, ())], 1),
    ],
)
def test_version_after_records(records: list[Any], version: int) -> None:
    """Guards against lost updates and against active invalid documents."""
    state = state_after(*records)
    assert state.version_of("s") == version
    assert state.next_offset == len(records)


def test_known_record_is_ignored_and_gap_is_rejected() -> None:
    state = state_after(edit("a", 0))
    assert configlog.apply_record(state, 0, edit("b", 0)) is state
    with pytest.raises(RecordGapError):
        configlog.apply_record(state, 2, None)


@pytest.mark.parametrize(
    ("edit_id", "base", "outcome"),
    [
        ("a", 0, configlog.EditAccepted(1)),
        ("b", 1, configlog.EditAccepted(2)),
        ("c", 0, configlog.EditConflict(2, "b", "author of b")),
        ("c", 2, None),
        ("c", 3, None),
    ],
)
def test_edit_outcome(edit_id: str, base: int, outcome: Any) -> None:
    state = state_after(edit("a", 0), edit("b", 1))
    assert configlog.edit_outcome(state, edit_id, "s", base) == outcome


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"\x91\xa5other", b"\x92\xa4edit\x01"]
)
def test_unreadable_record_is_skipped(data: bytes) -> None:
    """Guards against a reader that stops at a record of a newer release."""
    assert configlog.decode_record(data) is None


@pytest.mark.parametrize(
    ("first_available", "offset", "can_start"),
    [(0, 2, True), (2, 2, True), (3, 5, False), (0, 1, False)],
)
def test_start_from_snapshot(
    first_available: int, offset: int, can_start: bool
) -> None:
    """Guards against a restored state that lacks records."""
    state = state_after(edit("a", 0), edit("b", 1))
    snapshot = configlog.decode_record(
        configlog.encode_record(configlog.make_snapshot(state))
    )
    started = configlog.state_from_snapshot(first_available, offset, snapshot)
    assert started == (state if can_start else None)


def test_snapshot_with_invalid_document_is_not_restored() -> None:
    snapshot = configlog.make_snapshot(state_after(edit("a", 0)))
    snapshot.service_by_name["s"].document["kind"] = "other"
    assert configlog.state_from_snapshot(0, 1, snapshot) is None


def test_number_of_accepted_edits_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configlog, "MAX_ACCEPTED_EDITS", 2)
    state = state_after(*(edit(str(n), n, DOCUMENT) for n in range(4)))
    assert list(state.accepted_by_edit_id) == ["2", "3"]
    assert configlog.apply_record(state, 4, edit("0", 0)).version_of("s") == 4


@pytest.mark.parametrize(
    ("age", "size", "rank", "delay"),
    [
        (0.0, 0, 0, 100.0),
        (60.0, 0, 0, 40.0),
        (100.0, 0, 0, 0.0),
        (100.0, 0, 2, 10.0),
        (100.0, 0, 1000, 50.0),
        (0.0, configlog.SNAPSHOT_AFTER_BYTES + 1, 0, 0.0),
        (0.0, configlog.SNAPSHOT_AFTER_BYTES + 1, 1, 105.0),
        (0.0, 2 * configlog.SNAPSHOT_AFTER_BYTES, 1, 0.0),
    ],
)
def test_snapshot_delay(age: float, size: int, rank: int, delay: float) -> None:
    assert delay == configlog.snapshot_delay_seconds(
        snapshot_age_seconds=age,
        retention_seconds=300.0,
        bytes_since_snapshot=size,
        rank=rank,
    )
