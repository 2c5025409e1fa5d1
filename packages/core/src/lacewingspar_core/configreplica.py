"""One reader's copy of the configuration and of the records behind it."""

from collections.abc import Sequence

from lacewingspar_core.configlog import (
    ConfigState,
    Snapshot,
    apply_record,
    decode_record,
    start_state,
)
from lacewingspar_core.messages import LogRecord

# Keeps the copy within a router's memory limit if no snapshot is written.
RECORDS_KEPT_BYTES = 32 * 1024 * 1024


class ConfigReplica:
    """Applies consecutive records and keeps those since the newest snapshot.

    The kept records are enough for a peer without configuration to start.

    Attributes:
        state: State after all applied records, or None before the start.
        snapshot_time_ms: Time of the newest usable snapshot, or of the oldest
            kept record without one, in milliseconds since the Unix epoch.
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
    def wanted_offset(self) -> int:
        """Return the first offset that is not known."""
        return self._first_offset + len(self._records)

    @property
    def applied_offset(self) -> int:
        """Return the first offset that is not applied."""
        return self.state.next_offset if self.state else 0

    def add(self, first_retained: int, records: Sequence[LogRecord]) -> bool:
        """Add consecutive records in any overlap with the known ones.

        Args:
            first_retained: First offset that the log service still had.
            records: Consecutive records, from the log service or a peer.

        Returns:
            Whether the state has changed.
        """
        before = self.state
        first = records[0].offset if records else first_retained
        if first > self.wanted_offset:
            # Only a snapshot can help over the gap. Records of a peer that
            # lack one are dropped, since the log service may have the rest.
            if first > first_retained and not _has_start(first, records):
                return False
            self._restart(first)
        if self.state is None and self._first_offset == first == 0:
            self.state = ConfigState()
        for record in records:
            if record.offset == self.wanted_offset:
                self._add_record(record)
        self._apply_kept()
        return self.state is not before

    def records_from(
        self, offset: int, limit_bytes: int
    ) -> tuple[LogRecord, ...]:
        """Return kept records for a peer.

        Args:
            offset: First offset that the peer does not know.
            limit_bytes: Size after which no further record is included.

        Returns:
            Consecutive records from the offset on, or all kept ones whatever
            their size if records before them are no longer kept.
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
        start = start_state(self._first_offset, record.offset, decoded)
        if start is None:
            return
        self.snapshot_time_ms = record.time_ms
        self.bytes_since_snapshot = 0
        if self.state is None or self.state.next_offset < self._first_offset:
            self.state = start
        self._apply_kept()
        self._drop_before(start.next_offset)

    def _apply_kept(self) -> None:
        state = self.state
        if state is None or state.next_offset < self._first_offset:
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
        if self._kept_bytes <= RECORDS_KEPT_BYTES:
            return
        self._apply_kept()
        self._drop_before(self._records[len(self._records) // 2].offset)


def _has_start(first: int, records: Sequence[LogRecord]) -> bool:
    return any(
        start_state(first, record.offset, decode_record(record.data))
        for record in records
    )
