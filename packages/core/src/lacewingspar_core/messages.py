"""Messages between routers, encoded as MessagePack."""

from enum import StrEnum

import msgspec

from lacewingspar_core.admission_messages import (
    AdmissionDeclined,
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRequest,
    RunEnded,
    RunReport,
    RunStarted,
)
from lacewingspar_core.errors import MessageDecodeError
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.peer_message import PeerMessage
from lacewingspar_core.state_messages import (
    StateNotice,
    StateReply,
    StateRequest,
)


class RouterState(StrEnum):
    """State that a router announces to its peers.

    Attributes:
        STARTING: It does not serve yet.
        SERVING: It serves.
        DRAINING: It takes no new work.
        BUSY: It serves, and its processor has no room for work of others.
    """

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    BUSY = "busy"

    @property
    def is_serving(self) -> bool:
        """Return whether the router takes its own callers' requests."""
        return self in (RouterState.SERVING, RouterState.BUSY)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one router knows about another.

    Attributes:
        life: The process lifetime that the record describes.
        data_centre: Data centre of the router.
        address: ZeroMQ endpoint of the router, such as `tcp://10.0.0.1:7000`.
        state: Announced state.
        heartbeat: Number of heartbeats that this life has sent.
        applied_offset: First configuration offset not yet applied.
        capacity: Processor time that the router may use, in cores.
        caller_address: `host:port` for callers, or "" if requests cannot be
            handed over to it.
    """

    life: RouterLife
    data_centre: str
    address: str
    state: RouterState
    heartbeat: int
    applied_offset: int
    capacity: float = 1.0
    caller_address: str = ""


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """The part of a member record that changes, for a receiver that has it.

    It takes 13 bytes, a record some 95.

    Attributes:
        key: Result of `life_key` for the member's life.
        heartbeat: Number of heartbeats that this life has sent.
        state: Position of its state in `RouterState`.
        lag: Applied offset of the sender less that of the member.
    """

    key: int
    heartbeat: int
    state: int
    lag: int


class Heartbeat(PeerMessage, frozen=True, tag="hb"):
    """Member table of the sender, or a part of it in a large fleet.

    Attributes:
        members: Whole records, the sender's own first.
        beats: Shortened records of other members.
        known: Number of members that the sender knows to be alive, or 0 if
            `members` has all of them.
    """

    members: tuple[MemberRecord, ...]
    beats: tuple[Beat, ...] = ()
    known: int = 0


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one workspace that wait at one holder.

    Attributes:
        workspace: Name of the workspace.
        model: Model that the requests need, or "" for any upstream.
        waiting: Number of requests that wait.
        oldest_wait_seconds: Time that the oldest of them has waited.
        estimate_seconds: Expected slot time of the next request from measured
            costs, in seconds, or 0 if nothing was measured.
    """

    workspace: str
    model: str
    waiting: int
    oldest_wait_seconds: float
    estimate_seconds: float


class Demand(PeerMessage, frozen=True, tag="demand"):
    """Waiting requests of one service at the sender.

    Attributes:
        service: Name of the service.
        sequence: Grows with every message of this sender and service; an
            owner ignores an older one.
        full: Whether entries that are not listed are zero.
        entries: Changed entries, or all of them if `full`.
    """

    service: str
    sequence: int
    full: bool
    entries: tuple[DemandEntry, ...]


class Offer(PeerMessage, frozen=True, tag="offer"):
    """A free slot that an owner offers to a workspace at one holder.

    Attributes:
        service: Name of the service.
        slot: Identity of the slot use that is offered.
        upstream_id: Upstream that has the free slot.
        workspace: Workspace whose request may use the slot.
        model: Model of the demand entry that the offer answers, or "" for
            any that the upstream serves.
        is_forwarded: Whether an owner has passed the offer on to one of its
            holders.
    """

    service: str
    slot: "SlotId"
    upstream_id: str
    workspace: str
    model: str
    is_forwarded: bool


class OfferAccepted(PeerMessage, frozen=True, tag="accept"):
    """The holder has bound a request to the offered slot."""

    service: str
    slot: "SlotId"
    estimate_seconds: float


class OfferDeclined(PeerMessage, frozen=True, tag="decline"):
    """The holder has no request for the offered slot."""

    service: str
    slot: "SlotId"
    workspace: str
    model: str


class SlotOutcome(StrEnum):
    """How the use of a slot ended, as far as the upstream is concerned."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"


class SlotReleased(PeerMessage, frozen=True, tag="release"):
    """A slot is free again.

    Attributes:
        service: Name of the service.
        slot: Identity of the slot use.
        upstream_id: Upstream that had the slot.
        workspace: Workspace that used the slot.
        used_seconds: Slot time from binding to release, in seconds.
        requests: Number of requests that used the slot one after the other.
        tokens: Tokens that the upstream reported, or 0.
        outcome: How the use ended.
    """

    service: str
    slot: "SlotId"
    upstream_id: str
    workspace: str
    used_seconds: float
    requests: int
    tokens: int
    outcome: SlotOutcome


class SlotId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one use of a slot: the granting life and its offer number."""

    owner: RouterLife
    offer_id: int


class ActiveSlot(msgspec.Struct, frozen=True, array_like=True):
    """A slot in use at a holder.

    Attributes:
        slot: Identity of the slot use.
        upstream_id: Upstream that has the slot.
        workspace: Workspace that uses the slot.
        used_seconds: Slot time since binding, in seconds.
        estimate_seconds: Expected slot time when it was bound, in seconds.
    """

    slot: SlotId
    upstream_id: str
    workspace: str
    used_seconds: float
    estimate_seconds: float


class SlotReport(PeerMessage, frozen=True, tag="slots"):
    """All slots of one service that the sender uses; renews their leases."""

    service: str
    active: tuple[ActiveSlot, ...]


class SlotReportRequest(PeerMessage, frozen=True, tag="slots?"):
    """Asks a router for its slot report; sent by a new owner."""

    service: str


class CounterEntry(msgspec.Struct, frozen=True, array_like=True):
    """Service that one workspace received from one router life.

    Attributes:
        workspace: Name of the workspace.
        served_ms: Slot time granted since the life began, in milliseconds;
            it only grows. Integers take half the bytes of floating-point
            numbers, and these messages are most of the control traffic.
        pending_ms: Estimated slot time still to come for requests that run
            now, in milliseconds; the latest value counts.
        waiting: Requests of the workspace that wait in the sender's data
            centre; the latest value counts.
    """

    workspace: str
    served_ms: int
    pending_ms: int
    waiting: int


class Counters(PeerMessage, frozen=True, tag="counters"):
    """Service counters of one life for one service.

    Attributes:
        life: Router life that granted the service.
        service: Name of the service.
        data_centre: Data centre of that life.
        sequence: Grows with every message about this life and service.
        slots: Slots that the life owns for this service.
        entries: Changed counters.
    """

    life: RouterLife
    service: str
    data_centre: str
    sequence: int
    slots: int
    entries: tuple[CounterEntry, ...]


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of a log stream.

    Attributes:
        offset: Position in the stream, from 0.
        time_ms: Time at which the log service stored the record, in
            milliseconds since the Unix epoch.
        data: The record as it was appended.
    """

    offset: int
    time_ms: int
    data: bytes


class LogRecordsRequest(PeerMessage, frozen=True, tag="log?"):
    """Asks a peer for the records of a stream from an offset on."""

    stream: str
    from_offset: int


class LogRecords(PeerMessage, frozen=True, tag="log"):
    """Consecutive records of a stream, read from the log service.

    Attributes:
        stream: Name of the stream.
        first_retained: First offset that the log service still had.
        records: Consecutive records.
    """

    stream: str
    first_retained: int
    records: tuple[LogRecord, ...]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One crash of an upstream and the requests in flight at it.

    Attributes:
        upstream_id: Upstream that crashed.
        epoch: Number of its crashes known when the requests were sent.
        age_seconds: Time since the crash.
        suspects: Fingerprints of the requests in flight, as far as known.
        cleared: Those of them that have since completed elsewhere.
    """

    upstream_id: str
    epoch: int
    age_seconds: float
    suspects: tuple[str, ...]
    cleared: tuple[str, ...]


class Quarantine(PeerMessage, frozen=True, tag="quarantine"):
    """Crashes of the upstreams of one service.

    Attributes:
        service: Name of the service.
        crashes: Changed or all crash records of the sender.
    """

    service: str
    crashes: tuple[CrashRecord, ...]


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A request suspected of crashing upstreams, and where it runs.

    Attributes:
        upstream_id: Upstream that runs it or is reserved for it.
        fingerprint: Fingerprint of the request.
    """

    upstream_id: str
    fingerprint: str


class SuspectRuns(PeerMessage, frozen=True, tag="suspects"):
    """All suspects of one service that the sender runs or is about to run.

    Attributes:
        service: Name of the service.
        sequence: Grows with every message of this sender and service.
        runs: The runs.
    """

    service: str
    sequence: int
    runs: tuple[SuspectRun, ...]


AnyPeerMessage = (
    Heartbeat
    | AdmissionRequest
    | AdmissionGranted
    | AdmissionQueued
    | AdmissionDeclined
    | RunStarted
    | RunEnded
    | RunReport
    | StateNotice
    | StateRequest
    | StateReply
    | Demand
    | Offer
    | OfferAccepted
    | OfferDeclined
    | SlotReleased
    | SlotReport
    | SlotReportRequest
    | Counters
    | LogRecordsRequest
    | LogRecords
    | Quarantine
    | SuspectRuns
)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyPeerMessage] = msgspec.msgpack.Decoder(
    AnyPeerMessage
)


def encode_message(message: AnyPeerMessage) -> bytes:
    """Return the MessagePack form of a peer message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> AnyPeerMessage:
    """Return the peer message that the bytes hold.

    Raises:
        MessageDecodeError: The bytes are not a known message.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageDecodeError(f"invalid peer message: {error}") from error
