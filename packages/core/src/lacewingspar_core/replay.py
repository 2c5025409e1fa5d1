"""Replay of recorded slot owner events."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from lacewingspar_core.dispatch import SlotOwner
from lacewingspar_core.errors import TraceError
from lacewingspar_core.events import OwnerAction, OwnerEvent, Send
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import Offer


class TraceHeader(msgspec.Struct, frozen=True):
    """First line of a trace.

    Attributes:
        instance: Router instance that recorded the trace.
        data_centre: Data centre of that router.
    """

    instance: RouterInstance = msgspec.field(name="life")
    data_centre: str


class TraceStep(msgspec.Struct, frozen=True):
    """One event and the actions that the slot owner returned.

    Attributes:
        service: Service of the slot owner.
        now: Monotonic time of the event in seconds.
        event: The handled event.
        actions: Actions that the slot owner returned when recording.
    """

    service: str
    now: float
    event: OwnerEvent
    actions: tuple[OwnerAction, ...]


class Mismatch(msgspec.Struct, frozen=True):
    """A step whose replayed actions differ from the recorded ones.

    Attributes:
        step: Index of the step, from 0.
        recorded: Actions in the trace.
        replayed: Actions that the slot owner returned in the replay.
    """

    step: int
    recorded: tuple[OwnerAction, ...]
    replayed: tuple[OwnerAction, ...]


class ReplayOutcome(msgspec.Struct, frozen=True):
    """Result of a replay.

    Attributes:
        steps: Number of steps that were replayed.
        mismatch: First mismatch, or None if all actions agree.
        offers_by_workspace: Number of offers to each workspace, over all
            services.
        largest_overcommitment: Maximum number of allocations of an upstream in
            excess of its slots.
    """

    steps: int
    mismatch: Mismatch | None
    offers_by_workspace: dict[str, int]
    largest_overcommitment: int


def read_trace(lines: Iterable[bytes]) -> tuple[TraceHeader, list[TraceStep]]:
    """Decode a trace in JSON Lines format.

    Raises:
        TraceError: The trace is empty or a line is invalid.
    """
    iterator = iter(lines)
    try:
        header = msgspec.json.decode(next(iterator), type=TraceHeader)
        decoder = msgspec.json.Decoder(TraceStep)
        steps = [decoder.decode(line) for line in iterator if line.strip()]
    except StopIteration:
        raise TraceError("the trace is empty") from None
    except msgspec.MsgspecError as error:
        raise TraceError(f"invalid trace: {error}") from error
    return header, steps


def replay(header: TraceHeader, steps: Iterable[TraceStep]) -> ReplayOutcome:
    """Replay recorded events on new slot owners, up to the first mismatch."""
    owner_by_service: dict[str, SlotOwner] = {}
    offers: Counter[str] = Counter()
    overcommitment = 0
    count = 0
    for step in steps:
        owner = owner_by_service.get(step.service)
        if owner is None:
            owner = SlotOwner(step.service, header.instance, header.data_centre)
            owner_by_service[step.service] = owner
        replayed = tuple(owner.handle(step.event, step.now))
        mismatch = None
        if replayed != step.actions:
            mismatch = Mismatch(count, step.actions, replayed)
        for action in replayed:
            if isinstance(action, Send) and isinstance(action.message, Offer):
                offers[action.message.workspace] += 1
        overcommitment = max(overcommitment, owner.overcommitment)
        count += 1
        if mismatch is not None:
            return ReplayOutcome(count, mismatch, dict(offers), overcommitment)
    return ReplayOutcome(count, None, dict(offers), overcommitment)
