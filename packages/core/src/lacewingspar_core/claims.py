"""Rules by which every reader evaluates the claim stream.

A claim wins if no unreleased claim with the same key precedes it within the
deduplication window, whether or not the earlier claim has won. The result
depends only on the records of one window, so a reader that starts late and has
never read older records reaches the same result. A router releases the claims
that it has lost.
"""

import hashlib
import uuid
from dataclasses import dataclass

import msgspec

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.errors import RecordGapError
from lacewingspar_core.identity import RouterInstance

# A router that was frozen for longer must not send the claimed call, because
# another router may have claimed the key again after the deduplication window.
CLAIM_SEND_TIMEOUT_SECONDS = 10.0
# Deduplication window as a fraction of the stream's retention. The other half
# is the time that a reader has for reading the stream.
DEDUPLICATION_WINDOW_FRACTION = 0.5
# Larger bodies are not recorded; a repeated call then gets only the
# information that the call has run.
MAX_OUTCOME_BODY_BYTES = 8 * 1024
# Total size of the bodies kept in memory, a quarter of a router's memory limit.
# Beyond it the oldest bodies are dropped, and repeated calls get only the
# information that the call has run.
MAX_TOTAL_OUTCOME_BODY_BYTES = 64 * 1024 * 1024

_KEY_BYTES = 16


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Record that requests the right to send one call.

    Attributes:
        key: Result of `claim_key`.
        digest: Digest of the call.
        instance: Router instance that appends the claim.
        sequence: Number of the claim within that instance.
    """

    key: bytes
    digest: bytes
    instance: RouterInstance
    sequence: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Record that gives up a claim whose call was not sent and never will be.

    Attributes:
        claim_offset: Offset of the claim.
    """

    claim_offset: int


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """Record of the first response to a claimed call.

    Attributes:
        claim_offset: Offset of the claim.
        status: HTTP status code.
        content_type: Content type of the body.
        body: Response body, or None if it is too large to keep.
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
    """Encode a record as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ClaimRecord | None:
    """Decode a record, or return None if the bytes are not a valid record."""
    try:
        return _DECODER.decode(data)
    except DECODE_ERRORS:
        return None


def claim_key(service: str, workspace: str, key: str) -> bytes:
    """Return a caller's key, scoped to the workspace, as a fixed-size hash."""
    text = "\0".join((service, workspace, key))
    return hashlib.sha256(text.encode()).digest()[:_KEY_BYTES]


def key_time_ms(key: str) -> int | None:
    """Return the timestamp of a UUIDv7 key, or None for any other key.

    Returns:
        Milliseconds since the Unix epoch.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == 7 else None


def is_key_expired(key_time: int | None, now_ms: int, window_ms: int) -> bool:
    """Return whether a key's timestamp precedes the deduplication window.

    Args:
        key_time: Result of `key_time_ms`; a key without a timestamp never
            expires.
        now_ms: Time in milliseconds since the Unix epoch.
        window_ms: Deduplication window in milliseconds.
    """
    return key_time is not None and key_time <= now_ms - window_ms


@dataclass(slots=True)
class ClaimEntry:
    """An unreleased claim within the deduplication window.

    Attributes:
        offset: Offset of the claim.
        time_ms: Log time of the claim, in milliseconds since the Unix epoch.
        claim: The record.
        has_won: Whether the claim's router may send the call.
        outcome: First response, if known.
    """

    offset: int
    time_ms: int
    claim: Claim
    has_won: bool
    outcome: Outcome | None = None


class ClaimState:
    """Claims within the deduplication window, built from the claim stream.

    Attributes:
        window_ms: Deduplication window in milliseconds.
        next_offset: Offset of the next record to apply.
        newest_ms: Latest log time so far, in milliseconds since the Unix epoch.
            It never decreases, although the clock of the log service may go
            back.
        body_bytes: Total size of the bodies kept in memory, in bytes.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self.next_offset = 0
        self.newest_ms = 0
        self.body_bytes = 0
        # Both are ordered by offset, which is also the order of log times.
        self._entry_by_offset: dict[int, ClaimEntry] = {}
        self._entries_by_key: dict[bytes, tuple[ClaimEntry, ...]] = {}
        # Offsets of the claims with a body in memory, in the order of their
        # outcomes.
        self._offsets_with_body: dict[int, None] = {}
        # Decoding creates an object per record; equal instances share one
        # object to save memory.
        self._shared_instance_by_value: dict[
            RouterInstance, RouterInstance
        ] = {}

    def __len__(self) -> int:
        return len(self._entry_by_offset)

    def entry_by_offset(self, offset: int) -> ClaimEntry | None:
        """Return the unreleased claim at an offset, or None."""
        return self._entry_by_offset.get(offset)

    def entry_by_key(self, key: bytes) -> ClaimEntry | None:
        """Return the claim that decides repeated calls of a key, or None.

        It is the claim with an outcome, or else the oldest one.
        """
        entries = self._entries_by_key.get(key, ())
        for entry in entries:
            if entry.outcome is not None:
                return entry
        return entries[0] if entries else None

    def skip_to(self, first_retained: int) -> None:
        """Skip the records that the log service no longer retains.

        They are older than the window, so skipping them does not change the
        result.
        """
        self.next_offset = max(self.next_offset, first_retained)

    def add(self, offset: int, claim: Claim) -> None:
        """Add a claim; it wins if no unreleased claim of its key is left."""
        instance = self._shared_instance_by_value.setdefault(
            claim.instance, claim.instance
        )
        claim = Claim(claim.key, claim.digest, instance, claim.sequence)
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
        """Store the first response to a claim, without an oversized body."""
        entry.outcome = outcome
        if outcome.body is None:
            return
        self._offsets_with_body[entry.offset] = None
        self.body_bytes += len(outcome.body)
        if len(outcome.body) > MAX_OUTCOME_BODY_BYTES:
            self._drop_body(entry)
        while self.body_bytes > MAX_TOTAL_OUTCOME_BODY_BYTES:
            oldest = next(iter(self._offsets_with_body))
            self._drop_body(self._entry_by_offset[oldest])

    def expire(self) -> None:
        """Remove the claims that are older than the deduplication window."""
        limit = self.newest_ms - self.window_ms
        expired = []
        for entry in self._entry_by_offset.values():
            if entry.time_ms > limit:
                break
            expired.append(entry)
        for entry in expired:
            self.remove(entry)
        if not self._entry_by_offset:
            self._shared_instance_by_value.clear()

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
    """Apply the next record to a state and return the state.

    The state is changed in place, because it may hold too many claims to copy.

    Args:
        state: State of the reader.
        offset: Offset of the record; a record that was already applied is
            ignored.
        time_ms: Time at which the log service stored the record, in
            milliseconds since the Unix epoch.
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
    state.next_offset = offset + 1
    state.newest_ms = max(state.newest_ms, time_ms)
    state.expire()
    match record:
        case Claim():
            state.add(offset, record)
        case Release(claim_offset):
            entry = state.entry_by_offset(claim_offset)
            if entry is not None and entry.outcome is None:
                state.remove(entry)
        case Outcome(claim_offset):
            entry = state.entry_by_offset(claim_offset)
            if entry is not None and entry.outcome is None and entry.has_won:
                state.set_outcome(entry, record)
        case None:
            pass
    return state


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """A claim of this router that it has read back from the claim stream.

    Attributes:
        instance: This router instance.
        offset: Offset of the claim.
        appended_at: Time before the append on this router's boot-time clock, in
            seconds.
        key_time_ms: Result of `key_time_ms` for the caller's key.
    """

    instance: RouterInstance
    offset: int
    appended_at: float
    key_time_ms: int | None


def may_send(state: ClaimState, claim: OwnClaim, now: float) -> bool:
    """Return whether the router may send the call of its claim now.

    The router checks this once per claim, immediately before sending.

    Args:
        state: State that includes the claim.
        claim: Claim of this router.
        now: Time on this router's boot-time clock, in seconds.
    """
    entry = state.entry_by_offset(claim.offset)
    if entry is None or entry.claim.instance != claim.instance:
        return False
    if not entry.has_won or entry.outcome is not None:
        return False
    # The append may have taken effect long after the key's age was checked.
    if is_key_expired(claim.key_time_ms, entry.time_ms, state.window_ms):
        return False
    return now < claim.appended_at + CLAIM_SEND_TIMEOUT_SECONDS
