"""Tests that a stream delivers complete events once and in order."""

import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from lacewingspar_core import event_stream
from lacewingspar_core.event_stream import (
    MAX_EVENT_BYTES,
    MAX_EVENT_ID_BYTES,
    MAX_REMEMBERED_EVENTS,
    AfterEvent,
    EventSequence,
    EventSizeError,
    NoResumePoint,
    NoResumePointError,
    ResumePoint,
    StreamStart,
)


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d\ndata: x%d%b" % (number, number, end)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_events_are_complete_for_any_chunk_size(end: bytes, size: int) -> None:
    """Guards against a partial event that another upstream continues."""
    stream = event(1, end) + event(2, end) + event(3, end)
    sequence = EventSequence()
    forwarded = []
    for start in range(0, len(stream), size):
        ready = sequence.push(stream[start : start + size])
        assert not ready or ready.endswith(end)
        forwarded.append(ready)
    assert b"".join(forwarded) == stream
    assert sequence.last_id == b"3"
    assert not sequence.has_partial_event


def test_resumed_stream_skips_repeated_events() -> None:
    sequence = EventSequence()
    sequence.push(event(1) + event(2) + b"id: 3\nda")
    assert sequence.has_partial_event
    sequence.begin_run(sequence.resume_point)
    assert not sequence.has_partial_event
    assert sequence.push(event(2) + event(3)) == event(3)


def test_events_without_an_id_are_forwarded() -> None:
    sequence = EventSequence(last_id=b"4")
    assert sequence.push(b"data: [end]\n\n") == b"data: [end]\n\n"


def test_oversized_event_is_rejected() -> None:
    """Guards against an upstream that fills the router's memory."""
    with pytest.raises(EventSizeError):
        EventSequence().push(b"x" * (MAX_EVENT_BYTES + 1))


def test_endless_repeated_events_are_rejected() -> None:
    sequence = EventSequence(last_id=b"9")
    part = event(9) * 1000
    for _ in range(MAX_EVENT_BYTES // len(part)):
        sequence.push(part)
    with pytest.raises(EventSizeError):
        sequence.push(part)


@pytest.mark.parametrize(
    ("last_id", "lines", "is_new"),
    [
        (b"9", b"id: 10\n", True),
        (b"10", b"id: 9\n", False),
        (b"0010", b"id: 9\n", False),
        (b"9", b"id: 0009\n", False),
        (b"9" * 18, b"id: 1%b\n" % (b"0" * 18), True),
        (b"9" * 5000, b"id: %b\n" % (b"9" * 4999), False),
        (b"a", b"id: a\n", False),
        (b"b", b"id: a\n", True),
        (b"a", b"id:a\n", False),
        # Only one space belongs to the field.
        (b"a", b"id:  a\n", True),
        (b"2", b"id: 1\nid: 3\n", True),
        (b"2", b"id: 3\ndata: y\nid: 2\n", False),
        (b"2", b"idx: 2\n", True),
        (b"2", b"data: id: 2\n", True),
    ],
)
def test_events_are_compared_by_their_whole_id(
    last_id: bytes, lines: bytes, is_new: bool
) -> None:
    """Guards against ids that are read only if they look as expected."""
    sequence = EventSequence(last_id=last_id)
    data = lines + b"data: x\n\n"
    assert sequence.push(data) == (data if is_new else b"")


@pytest.mark.parametrize(
    ("data", "resume_point"),
    [
        (b"", StreamStart()),
        (event(1), AfterEvent(b"1")),
        (b"id: a\n\n", AfterEvent(b"a")),
        (b"id: a b\ndata: x\n\n", AfterEvent(b"a b")),
        (b"data: x\n\n", NoResumePoint()),
        (event(1) + b"data: x\n\n", NoResumePoint()),
        (event(1) + b"event: x\n\n", NoResumePoint()),
        (event(1) + b"data: x\n\n" + event(2), AfterEvent(b"2")),
        (event(1) + b": comment\n\nretry: 10\n: comment\n\n", AfterEvent(b"1")),
        (b": comment\n\n", StreamStart()),
        (event(1) + b"id\ndata: x\n\n", NoResumePoint()),
        (event(1) + b"id:\ndata: x\n\n", NoResumePoint()),
        (event(1) + b"id: a\tb\ndata: x\n\n", AfterEvent(b"a\tb")),
        (event(1) + b"id: a\0\ndata: x\n\n", NoResumePoint()),
        (event(1) + b"id:  a\ndata: x\n\n", NoResumePoint()),
        (event(1) + b"id: a\x7f\ndata: x\n\n", NoResumePoint()),
        (
            b"id: %b\n\n" % (b"a" * MAX_EVENT_ID_BYTES),
            AfterEvent(b"a" * MAX_EVENT_ID_BYTES),
        ),
        (b"id: a%b\n\n" % (b"a" * MAX_EVENT_ID_BYTES), NoResumePoint()),
    ],
)
def test_resume_point_follows_the_last_event(
    data: bytes, resume_point: ResumePoint
) -> None:
    """Guards against a stream that goes on at another place than its end."""
    sequence = EventSequence()
    assert sequence.push(data) == data
    assert sequence.resume_point == resume_point


@dataclass(frozen=True, slots=True)
class Run:
    """A run that continues a stream of two events, and what is expected of it.

    Attributes:
        ids: Ids of the two events that were delivered.
        requested: Resume point that the upstream of the run was given.
        data: What it sends.
        forwarded: What is forwarded of it.
        is_repeating: Whether it has not come to the last event.
    """

    ids: tuple[bytes, bytes]
    requested: ResumePoint
    data: bytes
    forwarded: bytes = b""
    is_repeating: bool = False


NUMBERS = (b"1", b"2")
NAMES = (b"b", b"a")


def named(*ids: bytes) -> bytes:
    return b"".join(b"id: %b\ndata: x\n\n" % event_id for event_id in ids)


@pytest.mark.parametrize(
    "run",
    [
        # After the last event, before it, and anew.
        Run(NUMBERS, AfterEvent(b"2"), named(b"3", b"4"), named(b"3", b"4")),
        Run(NUMBERS, AfterEvent(b"1"), named(b"2", b"3"), named(b"3")),
        Run(NUMBERS, StreamStart(), named(b"1", b"2", b"3"), named(b"3")),
        Run(NAMES, AfterEvent(b"a"), named(b"d", b"c"), named(b"d", b"c")),
        Run(NAMES, AfterEvent(b"b"), named(b"a", b"d"), named(b"d")),
        Run(NAMES, StreamStart(), named(b"b", b"a", b"d"), named(b"d")),
        # The upstream does not go on where it was asked to.
        Run(NUMBERS, AfterEvent(b"2"), named(b"1", b"2", b"3"), named(b"3")),
        Run(NUMBERS, AfterEvent(b"2"), named(b"2", b"3"), named(b"3")),
        Run(NUMBERS, AfterEvent(b"1"), named(b"3"), named(b"3")),
        Run(NAMES, AfterEvent(b"a"), named(b"b", b"a", b"d"), named(b"d")),
        Run(NAMES, AfterEvent(b"a"), named(b"a", b"d"), named(b"d")),
        Run(NAMES, AfterEvent(b"b"), named(b"d"), is_repeating=True),
        # Events without an id, and comments, belong to the event before them.
        Run(NAMES, AfterEvent(b"a"), b"data: y\n\n", b"data: y\n\n"),
        Run(
            NAMES,
            AfterEvent(b"b"),
            b"data: y\n\n: z\n\n" + named(b"a") + b"data: y\n\n",
            b"data: y\n\n",
        ),
        Run(
            NUMBERS,
            AfterEvent(b"2"),
            b": z\n\n" + named(b"2", b"3"),
            b": z\n\n" + named(b"3"),
        ),
        # Nothing is new.
        Run(NUMBERS, AfterEvent(b"2"), b""),
        Run(NUMBERS, AfterEvent(b"1"), b"", is_repeating=True),
        Run(NUMBERS, AfterEvent(b"1"), named(b"2")),
        Run(NUMBERS, AfterEvent(b"2"), named(b"1"), is_repeating=True),
        Run(NAMES, StreamStart(), named(b"b"), is_repeating=True),
    ],
)
@pytest.mark.parametrize("size", [1, 1000])
def test_run_goes_on_after_the_last_event(run: Run, size: int) -> None:
    """Guards against events that come twice where two runs are joined."""
    sequence = EventSequence()
    sequence.push(named(*run.ids) + b"id: c")
    sequence.begin_run(run.requested)
    forwarded = b"".join(
        sequence.push(run.data[start : start + size])
        for start in range(0, len(run.data), size)
    )
    assert forwarded == run.forwarded
    assert sequence.is_repeating == run.is_repeating
    assert bool(sequence.early_end) == run.is_repeating


def numbered(*ids: bytes) -> bytes:
    return b"".join(
        b"id: %b\ndata: %d\n\n" % (event_id, number)
        for number, event_id in enumerate(ids)
    )


@pytest.mark.parametrize(
    "ids",
    [
        (b"a", b"a", b"a"),
        (b"5", b"5"),
        (b"a", b"b", b"a", b"b"),
        (b"3", b"a", b"1"),
    ],
)
@pytest.mark.parametrize("size", [1, 1000])
def test_events_of_one_run_are_not_left_out(
    ids: tuple[bytes, ...], size: int
) -> None:
    """Guards against missing events if several of a run have the same id."""
    sequence = EventSequence()
    stream = numbered(*ids)
    forwarded = b"".join(
        sequence.push(stream[start : start + size])
        for start in range(0, len(stream), size)
    )
    assert forwarded == stream
    assert sequence.forwarded == len(ids)
    assert not sequence.repeated


@pytest.mark.parametrize("data", [b"t1", b"t2"])
@pytest.mark.parametrize("event_id", [b"chat", b"4"])
def test_events_behind_two_that_are_alike_arrive(
    event_id: bytes, data: bytes
) -> None:
    """Guards against missing events if the first two with one id are alike."""
    first = b"id: %b\ndata: ha\n\n" % event_id
    others = b"".join(
        b"id: %b\ndata: %b\n\n" % (event_id, item)
        for item in (data, b"t3", b"t3", b"t4")
    )
    sequence = EventSequence()
    assert sequence.push(first + first) == first
    assert sequence.push(others) == others


@pytest.mark.parametrize("id_line", [b"id: chat\n", b"id:\n", b"id\n", b""])
def test_events_that_no_id_identifies_may_be_alike(id_line: bytes) -> None:
    """Guards against missing events where ids do not identify them."""
    sequence = EventSequence()
    stream = b"".join(
        id_line + b"data: %b\n\n" % data for data in (b"x", b"ha", b"ha")
    )
    assert sequence.push(stream) == stream


def test_same_id_leaves_no_resume_point() -> None:
    """Guards against a run that starts after the first of several events."""
    sequence = EventSequence()
    sequence.push(numbered(b"a", b"a", b"a"))
    with pytest.raises(NoResumePointError):
        sequence.begin_run(AfterEvent(b"a"))
    sequence.push(named(b"b"))
    assert sequence.resume_point == AfterEvent(b"b")


@pytest.mark.parametrize(
    ("data", "forwarded"),
    [
        # The last event, the last ones, and all.
        (named(b"1", b"2", b"2", b"3"), named(b"1", b"2", b"3")),
        (named(b"b", b"a", b"a", b"c"), named(b"b", b"a", b"c")),
        (named(b"1", b"2", b"1", b"2", b"3"), named(b"1", b"2", b"3")),
        (named(b"b", b"a", b"b", b"a", b"c"), named(b"b", b"a", b"c")),
        # Some of them, without the last one.
        (named(b"1", b"2", b"3", b"2", b"4"), named(b"1", b"2", b"3", b"4")),
        (named(b"c", b"b", b"a", b"b", b"d"), named(b"c", b"b", b"a", b"d")),
        # Other data with numbers that go back.
        (numbered(b"1", b"2", b"1", b"2", b"3"), None),
        # Events without an id belong to the event before them.
        (
            named(b"1", b"2", b"1") + b"data: y\n\n" + named(b"2", b"3"),
            named(b"1", b"2", b"3"),
        ),
        # Each kind of line end is the event's own.
        (
            b"id: 1\r\n\r\n" * 2 + b"id: 2\r\n\r\n",
            b"id: 1\r\n\r\nid: 2\r\n\r\n",
        ),
    ],
)
@pytest.mark.parametrize("size", [1, 1000])
def test_events_that_a_run_repeats_are_forwarded_once(
    data: bytes, forwarded: bytes | None, size: int
) -> None:
    """Guards against events that come twice within one run."""
    if forwarded is None:
        forwarded = numbered(b"1", b"2") + b"id: 3\ndata: 4\n\n"
    sequence = EventSequence()
    received = b"".join(
        sequence.push(data[start : start + size])
        for start in range(0, len(data), size)
    )
    assert received == forwarded
    assert sequence.repeated
    assert not sequence.early_end


@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize(
    ("data", "is_repeating"),
    [
        (named(b"1", b"2", b"3", b"3"), False),
        (named(b"1", b"2", b"3", b"1", b"2", b"3"), False),
        (named(b"1", b"2", b"3", b"1", b"2"), True),
        (named(b"c", b"b", b"a", b"b"), True),
    ],
)
def test_only_a_proper_end_completes_a_run_that_repeats_events(
    data: bytes, *, is_repeating: bool, is_framed: bool
) -> None:
    """Guards against whole streams that are cut, and the reverse."""
    sequence = EventSequence()
    sequence.begin_run(StreamStart(), is_framed=is_framed)
    sequence.push(data)
    assert sequence.is_repeating == is_repeating
    assert bool(sequence.early_end) == (is_repeating and not is_framed)


def with_version(data: bytes) -> bytes:
    return data.replace(b"id: ", b"version: 2\nid: ")


@pytest.mark.parametrize("ids", [(b"1", b"2", b"3"), (b"c", b"b", b"a")])
def test_repeated_event_may_have_other_fields(ids: tuple[bytes, ...]) -> None:
    """Guards against repetitions that are told only by all their bytes."""
    sequence = EventSequence()
    assert sequence.push(named(*ids)) == named(*ids)
    assert sequence.push(with_version(named(*ids))) == b""
    assert sequence.push(named(b"9")) == named(b"9")


def test_run_that_starts_too_early_repeats_no_event() -> None:
    """Guards against events of another run if their ids have no order."""
    sequence = EventSequence()
    sequence.push(named(b"d", b"c", b"b", b"a"))
    sequence.begin_run(AfterEvent(b"a"))
    assert sequence.push(named(b"c", b"b", b"a", b"e")) == named(b"e")


def test_memory_for_the_events_of_a_stream_is_bounded() -> None:
    """Guards against a long stream that fills the router's memory."""
    tracemalloc.start()
    sequences = [EventSequence() for _ in range(10)]
    for sequence in sequences:
        for number in range(20 * MAX_REMEMBERED_EVENTS):
            sequence.push(named(b"e%d" % number))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert size < len(sequences) * 200 * MAX_REMEMBERED_EVENTS


def test_old_event_in_a_long_stream_hides_none_of_the_next() -> None:
    """Guards against events that are missing behind a repetition."""
    ids = [b"e%d" % number for number in range(3 * MAX_REMEMBERED_EVENTS)]
    sequence = EventSequence()
    assert sequence.push(named(*ids)) == named(*ids)
    # The first is remembered no more, the others are.
    again = [ids[0], *ids[-9:-6]]
    new = [b"n%d" % number for number in range(20)]
    assert sequence.push(named(*again, *new)).endswith(named(*new))


@pytest.mark.parametrize("id_of", [lambda number: b"%d" % number, None])
def test_heartbeats_with_one_id_hide_no_event(
    id_of: Callable[[int], bytes] | None,
) -> None:
    """Guards against events that are missing between events that are alike."""
    sequence = EventSequence()
    heartbeat = b"id: hb\ndata: beat\n\n"
    sequence.push(heartbeat)
    forwarded = b""
    expected = b""
    for number in range(3 * MAX_REMEMBERED_EVENTS):
        event_id = b"e%d" % number if id_of is None else id_of(number)
        expected += named(event_id)
        forwarded += sequence.push(named(event_id) + heartbeat)
    assert forwarded.replace(heartbeat, b"") == expected


def test_id_of_the_caller_is_sent_as_it_is() -> None:
    """Guards against a request that is not sent because of a long id."""
    event_id = b"a" * (MAX_EVENT_ID_BYTES + 1)
    assert EventSequence(event_id).resume_point == AfterEvent(event_id)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("blank_line", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 2, 3, 1000])
def test_event_ends_at_a_blank_line_with_any_line_end(
    line_end: bytes, blank_line: bytes, size: int
) -> None:
    """Guards against events that are held back, or read as one event."""
    if line_end == b"\r":
        blank_line = b"\r"
    events = [
        b"id: %d%bdata: x%b%b" % (number, line_end, line_end, blank_line)
        for number in range(1, 4)
    ]
    sequence = EventSequence()
    stream = b"".join(events)
    for start in range(0, len(stream), size):
        sequence.push(stream[start : start + size])
        end = start + size
        ended = sum(
            len(b"".join(events[:number])) <= end for number in (1, 2, 3)
        )
        assert sequence.forwarded == ended
    assert not sequence.has_partial_event


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"


@pytest.mark.parametrize("size", range(1, 60))
@pytest.mark.parametrize(
    "surplus", [HEAD + named(b"3"), HEAD, HEAD[:20], b"HTTP/1.0 503 \r\n\r\n"]
)
def test_unframed_run_is_over_where_another_response_begins(
    surplus: bytes, size: int
) -> None:
    """Guards against the head and the events of a second response."""
    stream = named(b"1", b"2")
    data = stream + surplus
    sequence = EventSequence()
    sequence.begin_run(StreamStart(), is_framed=False)
    forwarded = b"".join(
        sequence.push(data[start : start + size])
        for start in range(0, len(data), size)
    )
    assert forwarded == stream
    assert sequence.is_run_over
    assert not sequence.early_end


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_unframed_run_that_another_response_cuts_is_not_complete(
    size: int,
) -> None:
    """Guards against a partial event that looks like the end of a stream."""
    data = named(b"1") + b"id: 2\ndata: x\n" + HEAD
    sequence = EventSequence()
    sequence.begin_run(StreamStart(), is_framed=False)
    forwarded = b"".join(
        sequence.push(data[start : start + size])
        for start in range(0, len(data), size)
    )
    assert forwarded == named(b"1")
    assert sequence.early_end


@pytest.mark.parametrize(
    ("data", "is_framed"),
    [
        (b"data: HTTP/1.1 200 OK\n\n" + named(b"2"), False),
        (b"HTTP/1.1 later\n\n" + named(b"2"), False),
        (HEAD + named(b"2"), True),
    ],
)
def test_status_line_in_an_event_is_part_of_the_stream(
    data: bytes, *, is_framed: bool
) -> None:
    """Guards against a stream that is cut because of what it says."""
    sequence = EventSequence()
    sequence.begin_run(StreamStart(), is_framed=is_framed)
    assert sequence.push(data) == data


def test_search_for_another_response_reads_each_byte_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a large event that holds up the event loop."""
    searched_bytes = 0

    class StatusLine:
        def search(self, buffer: bytearray, start: int = 0) -> None:
            nonlocal searched_bytes
            searched_bytes += len(buffer) - start

    monkeypatch.setattr(event_stream, "_STATUS_LINE", StatusLine())
    sequence = EventSequence()
    sequence.begin_run(StreamStart(), is_framed=False)
    for _ in range(1000):
        sequence.push(b"x" * 100)
    assert searched_bytes < 2 * 1000 * 100


def test_run_behind_one_that_another_response_has_cut_is_read() -> None:
    """Guards against a continuation that is ignored."""
    sequence = EventSequence()
    sequence.begin_run(StreamStart(), is_framed=False)
    sequence.push(named(b"1") + b"id: 2\n" + HEAD)
    sequence.begin_run(AfterEvent(b"1"))
    assert sequence.push(named(b"2")) == named(b"2")


def test_shared_ids_end_the_comparison_of_events() -> None:
    """Guards against missing events where ids do not identify them."""
    stream = numbered(b"a", b"a") + named(b"b") + numbered(b"a", b"c")
    sequence = EventSequence()
    assert sequence.push(stream) == stream
