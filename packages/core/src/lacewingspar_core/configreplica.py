"""Replica of the configuration and of the log records behind it."""

from collections.abc import Sequence

from lacewingspar_core.configlog import (
    ConfigState,
    Snapshot,
    apply_record,
    decode_record,
    state_from_snapshot,
)
from lacewingspar_core.messages import LogRecord

# Bounds the memory of the replica if no snapshot is written.
MAX_KEPT_RECORD_BYTES = 32 * 1024 * 1024


class ConfigReplica:
    """Applies consecutive records and keeps those since the newest snapshot.

    The kept records are sufficient to initialise a peer that has no
    configuration.

    Attributes:
        state: State after all applied records, or None if the replica could not
            start yet.
        snapshot_time_ms: Time of the newest usable snapshot, or of the oldest
            kept record if there is none, in milliseconds since the Unix epoch.
        bytes_since_snapshot: Size of the records after that snapshot.
    """

    def __init__(self) -> None:
        self.state: ConfigState | None = None
        self.snapshot_time_ms: int | None = None
        self.bytes_since_snapshot = 0
        self._kept_bytes = 0
        self._records: list[LogRecord] = []
        self._first_offset = 0

    @property
    def next_read_offset(self) -> int:
        """Return the offset of the next record to receive."""
        return self._first_offset + len(self._records)

    @property
    def applied_offset(self) -> int:
        """Return the offset of the next record to apply."""
        return self.state.next_offset if self.state else 0

    def add(self, first_retained: int, records: Sequence[LogRecord]) -> bool:
        """Add consecutive records, which may overlap the known ones.

        Args:
            first_retained: First offset that the log service retained.
            records: Consecutive records, from the log service or a peer.

        Returns:
            Whether the state has changed.
        """
        before = self.state
        first = records[0].offset if records else first_retained
        if first > self.next_read_offset:
            # Only a snapshot can bridge the gap. A peer's records without
            # one are dropped: the log service may have the missing ones.
            if first > first_retained and not _has_usable_snapshot(
                first, records
            ):
                return False
            self._restart(first)
        elif first < self._first_offset and self._closes_gap(first, records):
            self._restart(first)
        if self.state is None and self._first_offset == first == 0:
            self.state = ConfigState()
        for record in records:
            if record.offset == self.next_read_offset:
                self._add_record(record)
        self._apply_kept()
        return self.state is not before

    def records_from(
        self, offset: int, limit_bytes: int
    ) -> tuple[LogRecord, ...]:
        """Return kept records to send to a peer.

        Args:
            offset: First offset that the peer lacks.
            limit_bytes: Size at which no further record is added.

        Returns:
            Consecutive records from the offset on. If records at the offset are
            no longer kept, all kept records, whatever their size.
        """
        start = offset - self._first_offset
        if start < 0:
            return tuple(self._records)
        chosen: list[LogRecord] = []
        size = 0
        for record in self._records[start:]:
            chosen.append(record)
            size += len(record.data)
            if size >= limit_bytes:
                break
        return tuple(chosen)

    @property
    def has_gap(self) -> bool:
        """Return whether records after the state are missing."""
        return self.applied_offset < self._first_offset

    def _closes_gap(self, first: int, records: Sequence[LogRecord]) -> bool:
        """Return whether a peer's older records close the gap or allow a start.

        Args:
            first: Offset of the first of these records.
            records: Consecutive records.
        """
        if not self.has_gap:
            return False
        if self.state is not None and first <= self.state.next_offset:
            return True
        return first == 0 or _has_usable_snapshot(first, records)

    def _restart(self, first: int) -> None:
        self._records = []
        self._first_offset = first
        self._kept_bytes = 0
        self.bytes_since_snapshot = 0
        self.snapshot_time_ms = None

    def _add_record(self, record: LogRecord) -> None:
        self._records.append(record)
        self._kept_bytes += len(record.data)
        self.bytes_since_snapshot += len(record.data)
        if self.snapshot_time_ms is None:
            self.snapshot_time_ms = record.time_ms
        decoded = decode_record(record.data)
        if not isinstance(decoded, Snapshot):
            self._drop_excess()
            return
        start = state_from_snapshot(self._first_offset, record.offset, decoded)
        if start is None:
            return
        self.snapshot_time_ms = record.time_ms
        self.bytes_since_snapshot = 0
        if self.state is None or self.has_gap:
            self.state = start
        self._apply_kept()
        self._drop_before(start.next_offset)

    def _apply_kept(self) -> None:
        state = self.state
        if state is None or self.has_gap:
            return
        for record in self._records[state.next_offset - self._first_offset :]:
            state = apply_record(
                state, record.offset, decode_record(record.data)
            )
        self.state = state

    def _drop_before(self, offset: int) -> None:
        count = offset - self._first_offset
        self._kept_bytes -= sum(len(r.data) for r in self._records[:count])
        self._records = self._records[count:]
        self._first_offset = offset

    def _drop_excess(self) -> None:
        if self._kept_bytes <= MAX_KEPT_RECORD_BYTES:
            return
        self._apply_kept()
        self._drop_before(self._records[len(self._records) // 2].offset)


def _has_usable_snapshot(first: int, records: Sequence[LogRecord]) -> bool:
    return any(
        state_from_snapshot(first, record.offset, decode_record(record.data))
        for record in records
    )
