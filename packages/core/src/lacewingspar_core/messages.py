"""Messages between routers, encoded as MessagePack."""

from enum import StrEnum

import msgspec

from lacewingspar_core.admission_messages import (
    AdmissionDeclined,
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRequest,
    PromptsCached,
    RunEnded,
    RunReport,
    RunStarted,
    UpstreamsCold,
)
from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.errors import MessageDecodeError
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.peer_message import PeerMessage
from lacewingspar_core.state_messages import (
    StateNotice,
    StateReply,
    StateRequest,
    UpstreamLeaving,
)


class RouterState(StrEnum):
    """State that a router announces to its peers.

    Attributes:
        STARTING: The router does not serve requests yet.
        SERVING: The router serves requests.
        DRAINING: The router accepts no new work.
        BUSY: The router serves requests, but has no processor time left for
            work from other routers.
    """

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    BUSY = "busy"

    @property
    def is_serving(self) -> bool:
        """Return whether the router accepts requests from its own callers."""
        return self in (RouterState.SERVING, RouterState.BUSY)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Entry of the member table for one router.

    Attributes:
        life: Router instance that the record describes.
        data_centre: Data centre of the router.
        address: ZeroMQ endpoint of the router, such as `tcp://10.0.0.1:7000`.
        state: Announced state.
        heartbeat: Number of heartbeats that this instance has sent.
        applied_offset: Offset of the next configuration record to apply.
        capacity: Processor time that the router may use, in cores.
        caller_address: `host:port` for callers, or "" if requests cannot be
            handed over to the router.
    """

    # The status call writes this field under its name.
    life: RouterInstance
    data_centre: str
    address: str
    state: RouterState
    heartbeat: int
    applied_offset: int
    capacity: float = 1.0
    caller_address: str = ""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The changing part of a member record, for receivers that know the rest.

    It takes 13 bytes; a full record takes about 95.

    Attributes:
        instance_key: Result of `instance_key` for the member's instance.
        heartbeat: Number of heartbeats that this instance has sent.
        state: Position of its state in `RouterState`.
        offset_lag: Applied offset of the sender minus that of the member.
    """

    instance_key: int
    heartbeat: int
    state: int
    offset_lag: int


class Heartbeat(PeerMessage, frozen=True, tag="hb"):
    """Member table of the sender, or a part of it in a large fleet.

    Attributes:
        members: Full records, the sender's own first.
        member_updates: Updates of members that receivers know already.
        alive_count: Number of routers that the sender considers alive,
            including itself; 0 if `members` lists all of them.
    """

    members: tuple[MemberRecord, ...]
    member_updates: tuple[MemberUpdate, ...] = ()
    alive_count: int = 0


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Waiting requests of one workspace at one ingress router.

    Attributes:
        workspace: Name of the workspace.
        model: Model that the requests need, or "" for any upstream.
        waiting: Number of waiting requests.
        oldest_wait_seconds: Time for which the oldest of them has waited.
        estimate_seconds: Expected slot time of the next request based on
            measured costs, in seconds, or 0 without measurements.
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
        sequence: Increases with every message of this sender and service; the
            slot owner ignores older messages.
        full: Whether entries that are not listed are zero.
        entries: Changed entries, or all of them if `full`.
    """

    service: str
    sequence: int
    full: bool
    entries: tuple[DemandEntry, ...]


class Offer(PeerMessage, frozen=True, tag="offer"):
    """A free slot that a slot owner offers to a workspace at an ingress router.

    Attributes:
        service: Name of the service.
        slot: Id of the slot use that is offered.
        upstream_id: Upstream that has the free slot.
        workspace: Workspace whose request may use the slot.
        model: Model of the demand entry that the offer is for, or "" for any
            that the upstream serves.
        is_forwarded: Whether a slot owner has forwarded the offer to one of its
            ingress routers.
    """

    service: str
    slot: "SlotId"
    upstream_id: str
    workspace: str
    model: str
    is_forwarded: bool


class OfferAccepted(PeerMessage, frozen=True, tag="accept"):
    """The ingress router has bound a request to the offered slot."""

    service: str
    slot: "SlotId"
    estimate_seconds: float


class OfferDeclined(PeerMessage, frozen=True, tag="decline"):
    """The ingress router has no request for the offered slot."""

    service: str
    slot: "SlotId"
    workspace: str
    model: str


class SlotOutcome(StrEnum):
    """How the use of a slot ended, from the upstream's point of view."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"


class SlotReleased(PeerMessage, frozen=True, tag="release"):
    """A slot is free again.

    Attributes:
        service: Name of the service.
        slot: Id of the slot use.
        upstream_id: Upstream that had the slot.
        workspace: Workspace that used the slot.
        used_seconds: Slot time from binding to release, in seconds.
        requests: Number of requests that used the slot consecutively.
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
    """Id of one use of a slot: granting router instance and offer number."""

    owner: RouterInstance
    offer_id: int


class ActiveSlot(msgspec.Struct, frozen=True, array_like=True):
    """A slot in use by an ingress router.

    Attributes:
        slot: Id of the slot use.
        upstream_id: Upstream that has the slot.
        workspace: Workspace that uses the slot.
        used_seconds: Slot time since binding, in seconds.
        estimate_seconds: Slot time expected at binding, in seconds.
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
    """Requests a router's slot report; sent by a new slot owner."""

    service: str


class CounterEntry(msgspec.Struct, frozen=True, array_like=True):
    """Slot time that one workspace received from one router instance.

    Attributes:
        workspace: Name of the workspace.
        served_ms: Slot time granted since the instance started, in
            milliseconds; it never decreases. Integers take half the bytes of
            floating-point numbers, and these messages are most of the control
            traffic.
        pending_ms: Estimated remaining slot time of running requests, in
            milliseconds; the latest value counts.
        waiting: Waiting requests of the workspace in the sender's data centre;
            the latest value counts.
    """

    workspace: str
    served_ms: int
    pending_ms: int
    waiting: int


class Counters(PeerMessage, frozen=True, tag="counters"):
    """Slot time counters of one router instance for one service.

    Attributes:
        instance: Router instance that granted the slot time.
        service: Name of the service.
        data_centre: Data centre of that instance.
        sequence: Increases with every message about this instance and service.
        slots: Slots that the instance owns for this service.
        entries: Changed counters.
    """

    instance: RouterInstance
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
    """Requests the records of a stream from an offset on."""

    stream: str
    from_offset: int


class LogRecords(PeerMessage, frozen=True, tag="log"):
    """Consecutive records of a stream, read from the log service.

    Attributes:
        stream: Name of the stream.
        first_retained: First offset that the log service retained.
        records: Consecutive records.
    """

    stream: str
    first_retained: int
    records: tuple[LogRecord, ...]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One crash of an upstream and the requests in flight at that time.

    Attributes:
        upstream_id: Upstream that crashed.
        epoch: Number of crashes of the upstream that were known when the
            requests were sent.
        age_seconds: Time since the crash.
        suspects: Known fingerprints of the requests in flight.
        cleared: Suspects that have completed elsewhere since.
        sent_ages: Time in seconds since each suspect was last sent there, or
            minus infinity where that is not known; empty if none is known.
        proven_before: Suspects that had completed shortly before the crash.
    """

    upstream_id: str
    epoch: int
    age_seconds: float
    suspects: tuple[str, ...]
    cleared: tuple[str, ...]
    sent_ages: tuple[float, ...] = ()
    proven_before: tuple[str, ...] = ()


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream under requests with one prompt part.

    Attributes:
        upstream_id: Upstream that crashed.
        epoch: Number of crashes of the upstream that were known when the
            requests were sent.
        age_seconds: Time since the crash.
        sent_age_seconds: Time since the latest of the requests was sent.
        workspaces: Workspaces of the requests.
    """

    upstream_id: str
    epoch: int
    age_seconds: float
    sent_age_seconds: float
    workspaces: tuple[str, ...]


class PartRecord(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of one prompt part.

    Attributes:
        part: ID of the part.
        crashes: Crashes since it was proven.
        proven_age_seconds: Time since a response to it had begun, or None if
            the sender knows of none.
    """

    part: str
    crashes: tuple[PartCrash, ...]
    proven_age_seconds: float | None


class Quarantine(PeerMessage, frozen=True, tag="quarantine"):
    """Crashes of the upstreams of one service.

    Attributes:
        service: Name of the service.
        crashes: Changed or all crash records of the sender.
        parts: Changed or all records of prompt parts of the sender.
    """

    service: str
    crashes: tuple[CrashRecord, ...]
    parts: tuple[PartRecord, ...] = ()


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
        sequence: Increases with every message of this sender and service.
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
    | PromptsCached
    | UpstreamsCold
    | RunStarted
    | RunEnded
    | RunReport
    | StateNotice
    | StateRequest
    | StateReply
    | UpstreamLeaving
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
    """Encode a peer message as MessagePack."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> AnyPeerMessage:
    """Decode a peer message.

    Raises:
        MessageDecodeError: The bytes are not a known message.
    """
    try:
        return _DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise MessageDecodeError(f"invalid peer message: {error}") from error
