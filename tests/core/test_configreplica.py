"""Tests of the configuration replica."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.core.config_records import DOCUMENT, edit, state_after

from lacewingspar_core.configlog import (
    ConfigState,
    encode_record,
    make_snapshot,
)
from lacewingspar_core.configreplica import ConfigReplica
from lacewingspar_core.messages import LogRecord


def log_of(*records: Any) -> list[LogRecord]:
    return [
        LogRecord(offset, 0, encode_record(record) if record else b"")
        for offset, record in enumerate(records)
    ]


def edits_with_snapshot() -> tuple[list[LogRecord], ConfigState]:
    """Return a log whose fourth record is a snapshot of the first two."""
    records: list[Any] = [edit(str(n), n) for n in range(3)]
    records.append(make_snapshot(state_after(*records[:2])))
    records.append(edit("4", 3))
    return log_of(*records), state_after(*records)


@pytest.mark.parametrize(
    ("first_retained", "first", "has_state"),
    [(0, 0, True), (2, 2, True), (1, 2, True), (3, 3, False), (4, 4, False)],
)
def test_start_without_the_oldest_records(
    first_retained: int, first: int, has_state: bool
) -> None:
    """Guards against a restored state that lacks the third edit."""
    log, state = edits_with_snapshot()
    replica = ConfigReplica()
    replica.add(first_retained, log[first:])
    assert replica.state == (state if has_state else None)
    assert replica.next_read_offset == len(log)


@pytest.mark.parametrize("known", [0, 1])
def test_peer_records_close_the_gap_of_a_replica(known: int) -> None:
    """Guards against a router that waits days for the next snapshot."""
    log, state = edits_with_snapshot()
    replica = ConfigReplica()
    replica.add(0, log[:known])
    replica.add(4, log[4:])
    assert replica.has_gap
    replica.add(0, log[known:])
    assert replica.state == state


def test_peer_records_after_a_gap_are_dropped() -> None:
    """Guards against skipping a part of the log without a snapshot."""
    log, state = edits_with_snapshot()
    replica = ConfigReplica()
    replica.add(0, log[:1])
    assert not replica.add(0, log[4:])
    assert replica.next_read_offset == 1
    replica.add(0, log[1:])
    assert replica.state == state


EDITS = st.builds(
    edit,
    st.sampled_from("abcd"),
    st.integers(0, 8),
    st.sampled_from(
        [DOCUMENT, {}, {"limits": {"attempts": 2}}, {"kind": "none"}]
    ),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(EDITS | st.none(), max_size=8), st.data())
def test_readers_agree_after_late_or_repeated_messages(
    records: list[Any], data: st.DataObject
) -> None:
    """Guards against a state that depends on repeated or late messages."""
    snapshot_at = data.draw(st.integers(0, len(records)))
    if snapshot_at:
        as_of = make_snapshot(state_after(*records[:snapshot_at]))
        records.insert(snapshot_at, as_of)
    log = [
        LogRecord(offset, 0, encode_record(record) if record else b"")
        for offset, record in enumerate(records)
    ]
    replica = ConfigReplica()
    applied = 0
    for _ in range(6):
        start = data.draw(st.integers(0, len(log)))
        replica.add(0, log[start : data.draw(st.integers(start, len(log)))])
        assert replica.applied_offset >= applied
        applied = replica.applied_offset
        if replica.state is not None:
            assert replica.state == state_after(*records[:applied])
    replica.add(0, log)
    assert replica.state == state_after(*records)


def test_replica_drops_old_records_without_a_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with the log."""
    monkeypatch.setattr(
        "lacewingspar_core.configreplica.MAX_KEPT_RECORD_BYTES", 100
    )
    replica = ConfigReplica()
    for offset in range(50):
        replica.add(0, [LogRecord(offset, 0, b"x" * 10)])
    kept = replica.records_from(-1, 0)
    assert sum(len(record.data) for record in kept) <= 100
    assert (replica.applied_offset, kept[-1].offset) == (50, 49)
