"""Events of a stream: whole, once and in order."""

import pytest

from lacewingspar_core.event_stream import (
    LARGEST_EVENT_BYTES,
    EventSequence,
    EventSizeError,
)


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d\ndata: x%d%b" % (number, number, end)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_events_pass_whole_whatever_the_parts(end: bytes, size: int) -> None:
    """Guards against half an event that another upstream continues."""
    stream = event(1, end) + event(2, end) + event(3, end)
    sequence = EventSequence()
    passed = []
    for start in range(0, len(stream), size):
        ready = sequence.push(stream[start : start + size])
        assert not ready or ready.endswith(end)
        passed.append(ready)
    assert b"".join(passed) == stream
    assert sequence.last_id == 3
    assert not sequence.has_partial_event


def test_resumed_stream_repeats_no_event() -> None:
    sequence = EventSequence()
    sequence.push(event(1) + event(2) + b"id: 3\nda")
    assert sequence.has_partial_event
    sequence.drop_partial_event()
    assert sequence.push(event(2) + event(3)) == event(3)


def test_events_without_an_id_pass() -> None:
    sequence = EventSequence(last_id=4)
    assert sequence.push(b"data: [end]\n\n") == b"data: [end]\n\n"


def test_endless_event_is_refused() -> None:
    """Guards against an upstream that fills the memory."""
    with pytest.raises(EventSizeError):
        EventSequence().push(b"x" * (LARGEST_EVENT_BYTES + 1))


def test_repeated_events_without_end_are_no_stream() -> None:
    sequence = EventSequence(last_id=9)
    part = event(9) * 1000
    for _ in range(LARGEST_EVENT_BYTES // len(part)):
        sequence.push(part)
    with pytest.raises(EventSizeError):
        sequence.push(part)
