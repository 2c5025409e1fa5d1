"""Server-sent events of a stream that may be resumed at another upstream."""

import re
from dataclasses import dataclass, field
from enum import Enum, auto

from lacewingspar_core.errors import CoreError

_EVENT_END = re.compile(rb"\n\r?\n|\r\r")
_MAX_EVENT_END_BYTES = 3
# The literal start lets the search skip the data of an event quickly.
_EVENT_ID = re.compile(rb"id(?<![^\r\n]id)(?:: ?([^\r\n]*))?(?=[\r\n])")
# First line of another response in a stream that ends with its connection. No
# field of an event is called so.
_STATUS_LINE = re.compile(rb"(?:\A|[\r\n])(HTTP/1\.[01] [1-5]\d\d[ \r\n])")
# Size of what it matches, with the end of the line before.
_STATUS_LINE_BYTES = len(b"\nHTTP/1.1 200 ")
# What a header field carries unchanged: no control characters, and no space at
# either end.
_HEADER_VALUE = re.compile(
    rb"[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?"
)
# Longer ids are not sent to upstreams, which limit the size of headers.
MAX_EVENT_ID_BYTES = 8 * 1024
# Events whose ids have no order that are compared with later ones of the same
# stream; each takes some 100 bytes.
MAX_REMEMBERED_EVENTS = 128
# Starts of lines that belong to no event: comments and times to reconnect.
_LINES_OUTSIDE_EVENTS = (b":", b"retry:")
# Limits the buffered part of an event, and also the data that a stream delivers
# without a new event, such as events that were already forwarded.
MAX_EVENT_BYTES = 1024 * 1024


class EventSizeError(CoreError):
    """A stream delivered too much data without a new event."""


class NoResumePointError(CoreError):
    """No id tells where the stream would go on."""

    def __init__(self) -> None:
        super().__init__("no id tells where the stream would go on")


@dataclass(frozen=True, slots=True)
class StreamStart:
    """The stream begins; no event of it was delivered."""


@dataclass(frozen=True, slots=True)
class AfterEvent:
    """The stream goes on after an event.

    Attributes:
        event_id: Id of the event.
    """

    event_id: bytes


@dataclass(frozen=True, slots=True)
class NoResumePoint:
    """Events were delivered, and no id tells where the stream would go on."""


ResumePoint = StreamStart | AfterEvent | NoResumePoint


class _RunState(Enum):
    """State of the run of the stream that is read.

    Attributes:
        AT_LAST_EVENT: The run has come to the last forwarded event.
        REPEATING: The run repeats events that were forwarded before that one.
        NEW: The last event of the run was new.
    """

    AT_LAST_EVENT = auto()
    REPEATING = auto()
    NEW = auto()


class _Order(Enum):
    """Place of an event in relation to the last forwarded one.

    Attributes:
        SAME: It is that event.
        EARLIER: It comes before that event.
        LATER: It comes after that event.
        UNKNOWN: Its id does not tell.
    """

    SAME = auto()
    EARLIER = auto()
    LATER = auto()
    UNKNOWN = auto()


# Next state by the place of an event. It is forwarded if that state is `NEW`.
_NEXT_STATE = {
    (_RunState.AT_LAST_EVENT, _Order.SAME): _RunState.AT_LAST_EVENT,
    (_RunState.AT_LAST_EVENT, _Order.EARLIER): _RunState.REPEATING,
    (_RunState.AT_LAST_EVENT, _Order.LATER): _RunState.NEW,
    (_RunState.AT_LAST_EVENT, _Order.UNKNOWN): _RunState.NEW,
    (_RunState.REPEATING, _Order.SAME): _RunState.AT_LAST_EVENT,
    (_RunState.REPEATING, _Order.EARLIER): _RunState.REPEATING,
    (_RunState.REPEATING, _Order.LATER): _RunState.NEW,
    (_RunState.REPEATING, _Order.UNKNOWN): _RunState.REPEATING,
    (_RunState.NEW, _Order.SAME): _RunState.AT_LAST_EVENT,
    (_RunState.NEW, _Order.EARLIER): _RunState.REPEATING,
    (_RunState.NEW, _Order.LATER): _RunState.NEW,
    (_RunState.NEW, _Order.UNKNOWN): _RunState.NEW,
}


@dataclass(slots=True)
class EventSequence:
    """Joins the runs of a stream, so that each event is forwarded once.

    A run is the stream of one upstream. It begins with `begin_run` and goes on
    where the last one ended. Events that it repeats are skipped, whether
    another run has delivered them or this one.

    Ids are opaque: they are compared and passed on as they were received. Only
    ids that are decimal numbers, of any length, also have an order. An upstream
    that gives different events the same id is not taken to repeat any.

    A stream can go on elsewhere only if the id of its last event tells where:
    an event without an id, with the id of the event before it, or with one that
    no header can carry leaves no resume point until the next event.

    Attributes:
        last_id: Id of the last forwarded event, or None before the first event
            with an id.
        forwarded: Number of forwarded events.
        repeated: Number of events that were skipped as repetitions.
        is_run_over: Whether another response has begun behind the run.
    """

    last_id: bytes | None = None
    forwarded: int = 0
    repeated: int = 0
    is_run_over: bool = False
    _first_id: bytes | None = None
    _ends_with_last_id: bool = True
    _run_state: _RunState = _RunState.AT_LAST_EVENT
    _has_run_delivered: bool = False
    _last_block: bytes = b""
    # Digests of forwarded events whose ids have no order, oldest first.
    _remembered: dict[int, None] = field(default_factory=dict)
    _has_shared_ids: bool = False
    _is_framed: bool = True
    _buffer: bytearray = field(default_factory=bytearray)
    _bytes_without_new_event: int = 0

    def begin_run(
        self, requested: ResumePoint, *, is_framed: bool = True
    ) -> None:
        """Begin to read the stream of an upstream.

        Args:
            requested: Resume point that the upstream was given. Another one may
                have delivered further events since.
            is_framed: Whether the framing of the response tells its end. If
                not, the run is over where another response begins.

        Raises:
            NoResumePointError: The stream cannot go on at another upstream.
        """
        current = self.resume_point
        if isinstance(current, NoResumePoint):
            raise NoResumePointError
        self._buffer.clear()
        self._bytes_without_new_event = 0
        self._has_run_delivered = False
        self._is_framed = is_framed
        self.is_run_over = False
        self._run_state = (
            _RunState.AT_LAST_EVENT
            if requested == current
            else _RunState.REPEATING
        )

    def push(self, data: bytes) -> bytes:
        """Add a chunk of the run and return the events to forward.

        Raises:
            EventSizeError: No new event ends within the size limit.
        """
        if self.is_run_over:
            return b""
        # The end of an event may have started in an earlier chunk.
        searched_from = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        if not self._is_framed:
            self._drop_other_response(len(data))
        ready = bytearray()
        start = 0
        for end in _EVENT_END.finditer(self._buffer, searched_from):
            event = bytes(self._buffer[start : end.end()])
            start = end.end()
            if self._is_new(event):
                ready += event
        del self._buffer[:start]
        self._bytes_without_new_event = (
            0 if ready else self._bytes_without_new_event + len(data)
        )
        if (
            max(len(self._buffer), self._bytes_without_new_event)
            > MAX_EVENT_BYTES
        ):
            raise EventSizeError("no new event ended within the size limit")
        return bytes(ready)

    @property
    def resume_point(self) -> ResumePoint:
        """Return where another upstream would go on."""
        if not self._ends_with_last_id:
            return NoResumePoint()
        if self.last_id is None:
            return StreamStart()
        # An id that the caller has sent came in a header.
        is_from_caller = self._first_id is None
        if not is_from_caller and not _is_header_value(self.last_id):
            return NoResumePoint()
        return AfterEvent(self.last_id)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the stream stopped in the middle of an event."""
        return bool(self._buffer)

    @property
    def is_repeating(self) -> bool:
        """Return whether the run has not come to the last forwarded event."""
        return self._run_state is _RunState.REPEATING

    @property
    def early_end(self) -> str:
        """Return why the stream is not complete if the run ends here, or ""."""
        if self.has_partial_event:
            return "stream ended inside an event"
        # An upstream that ends its stream properly has sent all of it.
        is_proper_end = self._is_framed and self._has_run_delivered
        if self.is_repeating and not is_proper_end:
            return "stream ended while it repeated events"
        return ""

    def _drop_other_response(self, new_bytes: int) -> None:
        """End the run where another response begins in the buffer.

        Args:
            new_bytes: Size of the end of the buffer that was not searched yet.
        """
        searched_from = len(self._buffer) - new_bytes - _STATUS_LINE_BYTES
        found = _STATUS_LINE.search(self._buffer, max(0, searched_from))
        if found is not None:
            self.is_run_over = True
            del self._buffer[found.start(1) :]

    def _is_new(self, block: bytes) -> bool:
        """Return whether to forward a block, and record its event."""
        ids = _EVENT_ID.findall(block)
        if not ids and not _is_event(block):
            return self._run_state is not _RunState.REPEATING
        # The last of several ids counts.
        event_id = ids[-1] if ids else None
        order = self._order(event_id, block)
        self._run_state = _NEXT_STATE[self._run_state, order]
        if self._run_state is not _RunState.NEW:
            self.repeated += 1
            return False
        self._record(event_id, block)
        return True

    def _order(self, event_id: bytes | None, block: bytes) -> _Order:
        """Return the place of an event.

        Args:
            event_id: Its id, or None.
            block: The event.
        """
        if self.last_id is None or not event_id:
            return _Order.UNKNOWN
        order = _order_of_ids(event_id, self.last_id)
        match order:
            case _Order.SAME if self._may_share_id:
                # Different events may have the same id.
                is_alike = _data(block) == _data(self._last_block)
                self._has_shared_ids = self._has_shared_ids or not is_alike
                return _Order.UNKNOWN if self._has_shared_ids else order
            case _Order.UNKNOWN if not self._has_shared_ids:
                return self._order_by_data(event_id, block)
            case _:
                return order

    @property
    def _may_share_id(self) -> bool:
        """Return whether the last event came just before in this run."""
        return (
            self._has_run_delivered
            and self._run_state is not _RunState.REPEATING
        )

    def _order_by_data(self, event_id: bytes, block: bytes) -> _Order:
        """Return the place of an event whose id has no order."""
        if _digest(event_id, block) in self._remembered:
            return _Order.EARLIER
        if self._has_run_delivered:
            return _Order.LATER
        # The upstream may have started the stream anew.
        is_first = event_id == self._first_id
        return _Order.EARLIER if is_first else _Order.UNKNOWN

    def _record(self, event_id: bytes | None, block: bytes) -> None:
        """Record a forwarded event."""
        self.forwarded += 1
        self._has_run_delivered = True
        if event_id is None:
            self._ends_with_last_id = False
            return
        self._ends_with_last_id = event_id != self.last_id
        self.last_id = event_id
        self._last_block = block
        if self._first_id is None:
            self._first_id = event_id
        if event_id.isdigit():
            return
        self._remembered[_digest(event_id, block)] = None
        if len(self._remembered) > MAX_REMEMBERED_EVENTS:
            del self._remembered[next(iter(self._remembered))]


def _digest(event_id: bytes, block: bytes) -> int:
    """Return a hash of the id and the data of an event."""
    return hash((event_id, *_data(block)))


def _data(block: bytes) -> list[bytes]:
    """Return the lines of an event that hold its data."""
    return [line for line in block.splitlines() if line[:4] == b"data"]


def _is_event(block: bytes) -> bool:
    """Return whether a block has more than comments and reconnection times."""
    return not all(
        line.startswith(_LINES_OUTSIDE_EVENTS)
        for line in block.splitlines()
        if line
    )


def _is_header_value(event_id: bytes) -> bool:
    """Return whether an id can be sent to an upstream unchanged."""
    return (
        len(event_id) <= MAX_EVENT_ID_BYTES
        and _HEADER_VALUE.fullmatch(event_id) is not None
    )


def _order_of_ids(event_id: bytes, last_id: bytes) -> _Order:
    """Return the place of an event by its id and that of the last one."""
    if event_id == last_id:
        return _Order.SAME
    if not (event_id.isdigit() and last_id.isdigit()):
        return _Order.UNKNOWN
    magnitude, last_magnitude = _magnitude(event_id), _magnitude(last_id)
    if magnitude == last_magnitude:
        return _Order.SAME
    return _Order.LATER if magnitude > last_magnitude else _Order.EARLIER


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """Return a key that orders decimal numbers of any length."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
