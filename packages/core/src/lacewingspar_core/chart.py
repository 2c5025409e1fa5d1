"""Loads and interprets state charts that are stored as JSON files."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from importlib import resources

import msgspec

from lacewingspar_core.errors import ChartError, ChartEventError


class UnmatchedEvent(StrEnum):
    """How a chart treats an event that has no transition."""

    ERROR = "error"
    IGNORE = "ignore"


class _Transition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    event: str
    sources: tuple[str, ...] = msgspec.field(name="from")
    target: str = msgspec.field(name="to")


class _ChartFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    initial: str
    final: frozenset[str]
    unmatched_event: UnmatchedEvent
    states: tuple[str, ...]
    transitions: tuple[_Transition, ...]


@dataclass(frozen=True, slots=True)
class Chart:
    """A validated state chart.

    Attributes:
        name: Name for error messages.
        initial: State of a new instance.
        final: States without outgoing transitions.
        states: All states.
        events: All events that occur in a transition.
        unmatched_event: Treatment of an event without a transition.
        target_by_state_event: Next state by (state, event).
    """

    name: str
    initial: str
    final: frozenset[str]
    states: frozenset[str]
    events: frozenset[str]
    unmatched_event: UnmatchedEvent
    target_by_state_event: dict[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str:
        """Return the state that follows an event.

        Raises:
            ChartEventError: The state or the event is unknown, or the state has
                no transition for the event and the chart does not ignore such
                events.
        """
        target = self.target_by_state_event.get((state, event))
        if target is not None:
            return target
        return self._unmatched(state, event)

    def _unmatched(self, state: str, event: str) -> str:
        if state not in self.states or event not in self.events:
            raise ChartEventError(
                f"chart {self.name} has no state {state!r} or event {event!r}"
            )
        if self.unmatched_event is UnmatchedEvent.IGNORE:
            return state
        raise ChartEventError(
            f"chart {self.name} has no transition for event {event!r} in "
            f"state {state!r}"
        )


def load_chart(name: str) -> Chart:
    """Load a chart that ships with this package, such as `request`.

    Raises:
        ChartError: The file is missing or inconsistent.
    """
    file = resources.files("lacewingspar_core") / "charts" / f"{name}.json"
    try:
        data = file.read_bytes()
    except OSError as error:
        raise ChartError(f"cannot read chart {name}: {error}") from error
    return parse_chart(name, data)


def parse_chart(name: str, data: bytes) -> Chart:
    """Parse and validate a chart.

    Raises:
        ChartError: The chart is inconsistent; the message lists all problems.
    """
    try:
        file = msgspec.json.decode(data, type=_ChartFile)
    except msgspec.MsgspecError as error:
        raise ChartError(f"chart {name}: {error}") from error
    problems = [*_name_problems(file), *_reachability_problems(file)]
    if problems:
        raise ChartError(f"chart {name}: {'; '.join(problems)}")
    return Chart(
        name=name,
        initial=file.initial,
        final=file.final,
        states=frozenset(file.states),
        events=frozenset(item.event for item in file.transitions),
        unmatched_event=file.unmatched_event,
        target_by_state_event={
            (source, item.event): item.target
            for item in file.transitions
            for source in item.sources
        },
    )


def _name_problems(file: _ChartFile) -> Iterable[str]:
    """Yield unknown or duplicate states and duplicate transitions."""
    declared = set(file.states)
    referenced = {file.initial, *file.final}
    seen: set[tuple[str, str]] = set()
    for item in file.transitions:
        referenced.update(item.sources, [item.target])
        for source in item.sources:
            if (source, item.event) in seen:
                yield f"two transitions for {item.event!r} in {source!r}"
            seen.add((source, item.event))
            if source in file.final:
                yield f"event {item.event!r} leaves the final state {source!r}"
    for state in sorted(referenced - declared):
        yield f"unknown state {state!r}"
    if len(declared) != len(file.states):
        yield "a state is listed twice"


def _reachability_problems(file: _ChartFile) -> Iterable[str]:
    """Yield states that cannot be reached or that reach no final state."""
    edges = {
        (source, item.target)
        for item in file.transitions
        for source in item.sources
    }
    reached = _reachable_states({file.initial}, edges)
    leads_to_final = _reachable_states(
        file.final, {(target, source) for source, target in edges}
    )
    for state in file.states:
        if state not in reached:
            yield f"state {state!r} cannot be reached"
        if state not in leads_to_final:
            yield f"state {state!r} reaches no final state"


def _reachable_states(
    start: Iterable[str], edges: set[tuple[str, str]]
) -> set[str]:
    """Return the start states and all states reachable from them."""
    reached: set[str] = set()
    pending = list(start)
    while pending:
        state = pending.pop()
        if state not in reached:
            reached.add(state)
            pending.extend(to for source, to in edges if source == state)
    return reached
