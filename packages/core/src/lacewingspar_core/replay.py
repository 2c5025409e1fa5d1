"""Replay of recorded events of slot owners."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from lacewingspar_core.dispatch import SlotOwner
from lacewingspar_core.errors import TraceError
from lacewingspar_core.events import OwnerAction, OwnerEvent, Send
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import Offer


class TraceHeader(msgspec.Struct, frozen=True):
    """First line of a trace.

    Attributes:
        life: Router life that recorded the trace.
        data_centre: Its data centre.
    """

    life: RouterLife
    data_centre: str


class TraceStep(msgspec.Struct, frozen=True):
    """One event and what the slot owner decided.

    Attributes:
        service: Service of the slot owner.
        now: Time of the event in seconds.
        event: The event.
        actions: The recorded actions.
    """

    service: str
    now: float
    event: OwnerEvent
    actions: tuple[OwnerAction, ...]


class Mismatch(msgspec.Struct, frozen=True):
    """The first step at which a replay differs from its trace.

    Attributes:
        step: Number of the step, from 0.
        recorded: Actions in the trace.
        replayed: Actions of the replay.
    """

    step: int
    recorded: tuple[OwnerAction, ...]
    replayed: tuple[OwnerAction, ...]


class ReplayOutcome(msgspec.Struct, frozen=True):
    """Result of a replay.

    Attributes:
        steps: Number of steps that were replayed.
        mismatch: First difference, or None if all actions agree.
        offers_by_workspace: Number of offers by workspace, over all services.
        largest_overcommitment: Largest number of uses of an upstream beyond
            its slots.
    """

    steps: int
    mismatch: Mismatch | None
    offers_by_workspace: dict[str, int]
    largest_overcommitment: int


def read_trace(lines: Iterable[bytes]) -> tuple[TraceHeader, list[TraceStep]]:
    """Decode a trace of JSON lines.

    Raises:
        TraceError: A line is not valid.
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
    """Run the recorded events through new slot owners."""
    owner_by_service: dict[str, SlotOwner] = {}
    offers: Counter[str] = Counter()
    overcommitment = 0
    count = 0
    for step in steps:
        owner = owner_by_service.get(step.service)
        if owner is None:
            owner = SlotOwner(step.service, header.life, header.data_centre)
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
