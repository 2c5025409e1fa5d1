"""Property tests of streams that several upstreams deliver in turn."""

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core.event_stream import (
    AfterEvent,
    EventSequence,
    NoResumePoint,
    ResumePoint,
    StreamStart,
)

EVENTS = 6
# Ids of events by their number, from 1; None stands for an event without one.
ID_OF_EVENT_BY_KIND: dict[str, Callable[[int], bytes | None]] = {
    "numbers": lambda number: b"%d" % (8 + number),
    "long numbers": lambda number: b"%d" % (10**40 + number),
    "names": lambda number: bytes([ord("z") - number]),
    "some without an id": lambda number: (
        b"e%d" % number if number % 3 else None
    ),
    "some not for headers": lambda number: (
        b"%d" % number + b"\x01" * (number % 2)
    ),
    "without ids": lambda _: None,
}
KINDS_WITH_IDS = ["numbers", "long numbers", "names"]
LINE_ENDS = [b"\n", b"\r\n", b"\r"]


@dataclass(frozen=True, slots=True)
class Run:
    """A run of the stream at one upstream.

    Attributes:
        is_stale: Whether its upstream was asked to go on at the place of the
            run before.
        starts_anew: Whether it begins with the first event all the same.
        is_preceded_by_comment: Whether a comment comes first.
        broken_after: Number of bytes after which it breaks off.
        chunk_size: Size of the chunks in which it arrives, in bytes.
    """

    is_stale: bool
    starts_anew: bool
    is_preceded_by_comment: bool
    broken_after: int
    chunk_size: int


RUNS = st.lists(
    st.builds(
        Run,
        is_stale=st.booleans(),
        starts_anew=st.booleans(),
        is_preceded_by_comment=st.booleans(),
        broken_after=st.integers(0, 200),
        chunk_size=st.integers(1, 80),
    ),
    min_size=1,
    max_size=5,
)


class Stream:
    """A stream that each upstream delivers with the same ids.

    Attributes:
        events: Bytes of each event.
        line_end: End of each line.

    Args:
        id_of_event: Returns the id of the event with a number.
        line_end: End of each line.
    """

    def __init__(
        self, id_of_event: Callable[[int], bytes | None], line_end: bytes
    ) -> None:
        self.line_end = line_end
        self._ids = [id_of_event(number) for number in range(1, EVENTS + 1)]
        self.events = [
            (b"" if event_id is None else b"id: " + event_id + line_end)
            + b"data: %d" % number
            + 2 * line_end
            for number, event_id in enumerate(self._ids, 1)
        ]

    def run(self, run: Run, requested: ResumePoint) -> bytes:
        """Return what an upstream sends of a run until this breaks off."""
        first = 0
        if isinstance(requested, AfterEvent) and not run.starts_anew:
            first = self._ids.index(requested.event_id) + 1
        comment = b": x" + 2 * self.line_end
        data = b"".join(
            [comment * run.is_preceded_by_comment, *self.events[first:]]
        )
        return data[: run.broken_after]

    def without_comments(self, data: bytes) -> bytes:
        """Return forwarded data without the comments in it."""
        return data.replace(b": x" + 2 * self.line_end, b"")


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("kind", ID_OF_EVENT_BY_KIND)
@given(runs=RUNS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_runs_join_to_one_stream(
    kind: str, line_end: bytes, runs: list[Run]
) -> None:
    """Guards against events that are missing or come twice in any stream."""
    stream = Stream(ID_OF_EVENT_BY_KIND[kind], line_end)
    sequence = EventSequence()
    requested: ResumePoint = StreamStart()
    forwarded = b""
    for run in runs:
        if isinstance(sequence.resume_point, NoResumePoint):
            break
        if not run.is_stale:
            requested = sequence.resume_point
        sequence.begin_run(requested)
        data = stream.run(run, requested)
        for start in range(0, len(data), run.chunk_size):
            forwarded += sequence.push(data[start : start + run.chunk_size])
    whole = b"".join(stream.events)
    events = stream.without_comments(forwarded)
    assert whole.startswith(events)
    assert events == b"".join(stream.events[: sequence.forwarded])


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("kind", KINDS_WITH_IDS)
@given(
    steps=st.lists(
        st.tuples(st.integers(0, EVENTS), st.integers(1, EVENTS)), max_size=4
    ),
    chunk_size=st.integers(1, 80),
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_run_that_goes_back_is_one_stream(
    kind: str, line_end: bytes, steps: list[tuple[int, int]], chunk_size: int
) -> None:
    """Guards against events that one run sends twice.

    Each step of the run goes on to an event and then back by some events.
    """
    stream = Stream(ID_OF_EVENT_BY_KIND[kind], line_end)
    sequence = EventSequence()
    numbers: list[int] = []
    position = 0
    for target, back in steps:
        numbers += range(position, max(position, target))
        position = max(0, max(position, target) - back)
    numbers += range(position, EVENTS)
    data = b"".join(stream.events[number] for number in numbers)
    forwarded = b"".join(
        sequence.push(data[start : start + chunk_size])
        for start in range(0, len(data), chunk_size)
    )
    assert forwarded == b"".join(stream.events)
    assert sequence.repeated == len(numbers) - EVENTS
    assert not sequence.early_end
