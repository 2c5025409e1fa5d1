"""Transition rule for all readers of the claim stream.

A claim wins if no unreleased claim of its key precedes it within the
deduplication window, whether or not that one has won. The result depends on
records of one window only, so a reader that started later, and has never seen
older records, comes to the same result. A router releases its lost claims.
"""

import hashlib
import uuid
from dataclasses import dataclass

import msgspec

from lacewingspar_core.errors import RecordGapError
from lacewingspar_core.identity import RouterLife

# A router that was frozen for longer must not act on its claim, because the
# key may have been claimed again after the deduplication window.
SEND_LIMIT_SECONDS = 10.0
# The other half of the retention covers the time to read the stream.
WINDOW_FRACTION = 0.5
# Larger answers are only recorded as having run.
OUTCOME_BODY_BYTES = 8 * 1024
# Bodies kept in memory, a quarter of a router's memory limit. Beyond it the
# oldest ones are dropped, and their answers are "has run".
OUTCOME_BODIES_BYTES = 64 * 1024 * 1024

_KEY_BYTES = 16


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Asks for the right to send one call.

    Attributes:
        key: Result of `claim_key`.
        digest: Digest of the call.
        life: Router life that appends the claim.
        sequence: Number of the claim within that life.
    """

    key: bytes
    digest: bytes
    life: RouterLife
    sequence: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """The claim's router has not sent the call and never will."""

    claim_offset: int


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """The first answer of a claimed call.

    Attributes:
        claim_offset: Offset of the claim.
        status: HTTP status code.
        content_type: Content type of the body.
        body: Body, or None if it is too large to keep.
    """

    claim_offset: int
    status: int
    content_type: str
    body: bytes | None


ClaimRecord = Claim | Release | Outcome

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[ClaimRecord] = msgspec.msgpack.Decoder(
    ClaimRecord
)


def encode_record(record: ClaimRecord) -> bytes:
    """Return the MessagePack form of a record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ClaimRecord | None:
    """Return the record that the bytes hold, or None if unreadable."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


def claim_key(service: str, workspace: str, key: str) -> bytes:
    """Return the key of a claim, of fixed size whatever the caller sends."""
    text = "\0".join((service, workspace, key))
    return hashlib.sha256(text.encode()).digest()[:_KEY_BYTES]


def key_time_ms(key: str) -> int | None:
    """Return the time in a key that is a UUID of version 7, or None.

    Returns:
        Milliseconds since the Unix epoch.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == 7 else None


def is_key_expired(key: str, now_ms: int, window_ms: int) -> bool:
    """Return whether a key's own time is before the deduplication window."""
    time_ms = key_time_ms(key)
    return time_ms is not None and time_ms <= now_ms - window_ms


@dataclass(slots=True)
class ClaimEntry:
    """An unreleased claim within the deduplication window.

    Attributes:
        offset: Offset of the claim.
        time_ms: Log time of the claim, in milliseconds since the Unix epoch.
        claim: The record.
        has_won: Whether the claim's router may send the call.
        outcome: First answer, if known.
    """

    offset: int
    time_ms: int
    claim: Claim
    has_won: bool
    outcome: Outcome | None = None


class ClaimState:
    """Claims of the deduplication window, after all records below an offset.

    Attributes:
        window_ms: Deduplication window in milliseconds.
        next_offset: First offset that is not included.
        newest_ms: Latest log time so far. It never goes back, although the
            clock of the log service may.
        body_bytes: Size of the bodies that are kept.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self.next_offset = 0
        self.newest_ms = 0
        self.body_bytes = 0
        # Both in order of offsets, which is also the order of log times.
        self._entry_by_offset: dict[int, ClaimEntry] = {}
        self._entries_by_key: dict[bytes, tuple[ClaimEntry, ...]] = {}
        # Offsets of the claims with kept bodies, in order of their outcomes.
        self._offsets_with_body: dict[int, None] = {}
        # Decoding makes an object per record; lives are few.
        self._life_by_life: dict[RouterLife, RouterLife] = {}

    def __len__(self) -> int:
        return len(self._entry_by_offset)

    def entry_at(self, offset: int) -> ClaimEntry | None:
        """Return the unreleased claim at an offset."""
        return self._entry_by_offset.get(offset)

    def entry_of(self, key: bytes) -> ClaimEntry | None:
        """Return the claim that answers further attempts of a key."""
        entries = self._entries_by_key.get(key, ())
        for entry in entries:
            if entry.outcome is not None:
                return entry
        return entries[0] if entries else None

    def skip_to(self, first_retained: int) -> None:
        """Skip records that the log service has dropped.

        They are older than the window, so the result stays the same.
        """
        self.next_offset = max(self.next_offset, first_retained)

    def add(self, offset: int, claim: Claim) -> None:
        """Add a claim, which wins if no other one of its key is left."""
        life = self._life_by_life.setdefault(claim.life, claim.life)
        claim = Claim(claim.key, claim.digest, life, claim.sequence)
        others = self._entries_by_key.get(claim.key, ())
        entry = ClaimEntry(offset, self.newest_ms, claim, has_won=not others)
        self._entry_by_offset[offset] = entry
        self._entries_by_key[claim.key] = (*others, entry)

    def remove(self, entry: ClaimEntry) -> None:
        """Remove a claim and its outcome."""
        self._drop_body(entry)
        del self._entry_by_offset[entry.offset]
        key = entry.claim.key
        others = tuple(e for e in self._entries_by_key[key] if e is not entry)
        if others:
            self._entries_by_key[key] = others
        else:
            del self._entries_by_key[key]

    def set_outcome(self, entry: ClaimEntry, outcome: Outcome) -> None:
        """Keep the first answer of a claim, without a body if it is large."""
        entry.outcome = outcome
        if outcome.body is None:
            return
        self._offsets_with_body[entry.offset] = None
        self.body_bytes += len(outcome.body)
        if len(outcome.body) > OUTCOME_BODY_BYTES:
            self._drop_body(entry)
        while self.body_bytes > OUTCOME_BODIES_BYTES:
            oldest = next(iter(self._offsets_with_body))
            self._drop_body(self._entry_by_offset[oldest])

    def expire(self) -> None:
        """Remove the claims that are older than the window."""
        limit = self.newest_ms - self.window_ms
        expired = []
        for entry in self._entry_by_offset.values():
            if entry.time_ms > limit:
                break
            expired.append(entry)
        for entry in expired:
            self.remove(entry)
        if not self._entry_by_offset:
            self._life_by_life.clear()

    def _drop_body(self, entry: ClaimEntry) -> None:
        outcome = entry.outcome
        if outcome is None or outcome.body is None:
            return
        del self._offsets_with_body[entry.offset]
        self.body_bytes -= len(outcome.body)
        entry.outcome = msgspec.structs.replace(outcome, body=None)


def apply_claim_record(
    state: ClaimState, offset: int, time_ms: int, record: ClaimRecord | None
) -> ClaimState:
    """Include one more record in a state and return it.

    The state is changed in place, since it may hold very many claims.

    Args:
        state: State of the reader.
        offset: Offset of the record; a record that the state includes already
            changes nothing.
        time_ms: Time at which the log service stored the record, in
            milliseconds since the Unix epoch.
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
    state.next_offset = offset + 1
    state.newest_ms = max(state.newest_ms, time_ms)
    state.expire()
    match record:
        case Claim():
            state.add(offset, record)
        case Release(claim_offset):
            entry = state.entry_at(claim_offset)
            if entry is not None and entry.outcome is None:
                state.remove(entry)
        case Outcome(claim_offset):
            entry = state.entry_at(claim_offset)
            if entry is not None and entry.outcome is None and entry.has_won:
                state.set_outcome(entry, record)
        case None:
            pass
    return state


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """A claim that this router life has read back.

    Attributes:
        life: This router life.
        offset: Offset of the claim.
        appended_at: Time before the append on this router's boot-time clock,
            in seconds.
    """

    life: RouterLife
    offset: int
    appended_at: float


def may_send(state: ClaimState, claim: OwnClaim, now: float) -> bool:
    """Return whether a claim's router may send the call now.

    The router asks once for each claim, immediately before sending.

    Args:
        state: State that includes the claim.
        claim: Claim of this router life.
        now: Time on this router's boot-time clock, in seconds.
    """
    entry = state.entry_at(claim.offset)
    if entry is None or entry.claim.life != claim.life:
        return False
    if not entry.has_won or entry.outcome is not None:
        return False
    return now < claim.appended_at + SEND_LIMIT_SECONDS
