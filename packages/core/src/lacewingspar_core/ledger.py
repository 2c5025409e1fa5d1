"""Service received by each workspace of one service, over the whole fleet."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import CounterEntry, Counters

# Partitions between regions last an hour now and then; counters of a life are
# kept longer than that, so that they merge without a reset.
FORGET_LIFE_AFTER_SECONDS = 7200.0
# Owners that sent no counters for this long do not count as choosing alike.
ACTIVE_OWNER_SECONDS = 3.0
MS_PER_SECOND = 1000


@dataclass(slots=True)
class _LifeCounters:
    """Counters of one router life as last heard."""

    data_centre: str
    last_heard: float
    sequence: int = -1
    slots: int = 0
    is_reachable: bool = True
    served_by_workspace: dict[str, float] = field(default_factory=dict)
    pending_by_workspace: dict[str, float] = field(default_factory=dict)
    waiting_by_workspace: dict[str, int] = field(default_factory=dict)


class ServiceLedger:
    """Scores of the workspaces of one service, as far as this router knows.

    The score of a workspace is the service that it received, in slot-seconds
    divided by its weight, plus what it was raised by when it became
    backlogged. Served slot time travels as counters that only grow, one per
    router life and workspace, of which the growth is added to the score:
    repeated, late and reordered messages do no harm. The first message of a
    life only sets the base from which growth counts, so a router without
    memory starts with all workspaces level, and a life that has been forgotten
    does no harm when it is heard again.

    Args:
        service: Name of the service.
        life: Life of this router.
        data_centre: Data centre of this router.
    """

    def __init__(
        self, service: str, life: RouterLife, data_centre: str
    ) -> None:
        self.service = service
        self._life = life
        self._own = _LifeCounters(data_centre, last_heard=0.0)
        self._counters_by_life: dict[RouterLife, _LifeCounters] = {}
        self._weight_by_workspace: dict[str, float] = {}
        self._score_by_workspace: dict[str, float] = {}
        self._pending_by_workspace: dict[str, float] = {}
        self._unpublished_by_workspace: dict[str, float] = {}
        self._changed: set[str] = set()
        self._continued: set[str] = set()
        self._tie_order_by_workspace: dict[str, int] = {}

    def set_weights(self, weight_by_workspace: Mapping[str, float]) -> None:
        """Set the weights; service received before keeps its old weight."""
        self._weight_by_workspace = dict(weight_by_workspace)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that this router owns."""
        self._own.slots = slots

    def charge(
        self, workspace: str, served_seconds: float, pending_seconds: float
    ) -> None:
        """Add to the own counters.

        Args:
            workspace: Name of the workspace.
            served_seconds: Slot time that has accrued, at least 0.
            pending_seconds: Change of the estimated slot time to come.
        """
        own = self._own
        _add(own.served_by_workspace, workspace, served_seconds)
        _add(own.pending_by_workspace, workspace, pending_seconds)
        _add(self._pending_by_workspace, workspace, pending_seconds)
        self._raise_score(workspace, served_seconds)
        self._changed.add(workspace)

    def note_grant(self, workspace: str, estimate_seconds: float) -> None:
        """Remember a grant that the other owners have not heard of yet."""
        _add(self._unpublished_by_workspace, workspace, estimate_seconds)

    def raise_to(self, workspace: str, score: float) -> None:
        """Raise a workspace that becomes backlogged to a score."""
        own = self.score(workspace, echo_factor=1.0)
        if own < score:
            _add(self._score_by_workspace, workspace, score - own)

    def score(self, workspace: str, echo_factor: float) -> float:
        """Return the score of a workspace, in slot-seconds by weight.

        Args:
            workspace: Name of the workspace.
            echo_factor: How often own grants count that the other owners have
                not heard of, since these owners choose alike meanwhile.
        """
        expected = self._pending_by_workspace.get(workspace, 0.0)
        unpublished = self._unpublished_by_workspace.get(workspace, 0.0)
        expected += unpublished * (echo_factor - 1.0)
        weight = self._weight_by_workspace.get(workspace, 1.0)
        return self._score_by_workspace.get(workspace, 0.0) + expected / weight

    def tie_order(self, workspace: str) -> int:
        """Return the place of a workspace among equal scores.

        It differs between owners, so that owners which know nothing of each
        other do not all start with the same workspace.
        """
        order = self._tie_order_by_workspace.get(workspace)
        if order is None:
            text = f"{self._life.router_id}/{workspace}".encode()
            order = xxhash.xxh64_intdigest(text)
            self._tie_order_by_workspace[workspace] = order
        return order

    def echo_factor(self, now: float) -> float:
        """Return the slots of all active owners as a multiple of the own."""
        own_slots = self._own.slots
        if own_slots == 0:
            return 1.0
        others = sum(
            counters.slots
            for counters in self._counters_by_life.values()
            if _is_active(counters, now)
        )
        return (own_slots + others) / own_slots

    def set_waiting(self, waiting_by_workspace: Mapping[str, int]) -> None:
        """Set the numbers of requests that wait in this data centre."""
        previous = self._own.waiting_by_workspace
        current = {name: n for name, n in waiting_by_workspace.items() if n}
        for name in previous.keys() | current.keys():
            if previous.get(name, 0) != current.get(name, 0):
                self._changed.add(name)
        self._own.waiting_by_workspace = current

    def publish(self, *, full: bool) -> Counters | None:
        """Return the changed own counters, or all of them if `full`.

        Returns:
            The message for the other owners, or None if nothing changed.
        """
        own = self._own
        workspaces: Iterable[str] = self._changed
        if full:
            workspaces = (
                own.served_by_workspace.keys() | own.waiting_by_workspace.keys()
            )
        entries = tuple(self._own_entry(name) for name in sorted(workspaces))
        self._changed = set()
        self._unpublished_by_workspace = {}
        if not entries and not full:
            return None
        own.sequence += 1
        return Counters(
            life=self._life,
            service=self.service,
            data_centre=own.data_centre,
            sequence=own.sequence,
            slots=own.slots,
            entries=entries,
        )

    def merge(self, message: Counters, now: float) -> None:
        """Merge the counters of another life by maximum.

        Args:
            message: Counters of any life.
            now: Time in seconds.
        """
        if message.life == self._life:
            return
        counters = self._counters_by_life.get(message.life)
        is_first = counters is None
        if counters is None:
            counters = _LifeCounters(message.data_centre, last_heard=now)
            self._counters_by_life[message.life] = counters
        for entry in message.entries:
            self._merge_served(counters, entry, is_base=is_first)
        if message.sequence > counters.sequence:
            self._merge_gauges(counters, message, now)

    def set_unreachable(self, life: RouterLife) -> None:
        """Drop the pending amounts of a life that ended or was cut off."""
        counters = self._counters_by_life.get(life)
        if counters is None:
            return
        for workspace, pending in counters.pending_by_workspace.items():
            _add(self._pending_by_workspace, workspace, -pending)
        counters.pending_by_workspace = {}
        counters.is_reachable = False

    def take_continued(self) -> set[str]:
        """Return workspaces that were backlogged all through a partition.

        They waited at a life both before it became unreachable and when it
        was heard again, so they must not count as idle in between. Each is
        returned once.
        """
        continued, self._continued = self._continued, set()
        return continued

    def forget_old_lives(self, now: float) -> None:
        """Forget lives that were not heard of for a long time."""
        for life, counters in list(self._counters_by_life.items()):
            if now - counters.last_heard > FORGET_LIFE_AFTER_SECONDS:
                self.set_unreachable(life)
                del self._counters_by_life[life]

    def waiting_elsewhere(self, now: float) -> dict[RouterLife, dict[str, int]]:
        """Return waiting requests of other data centres by active owner."""
        return {
            life: counters.waiting_by_workspace
            for life, counters in self._counters_by_life.items()
            if counters.data_centre != self._own.data_centre
            and counters.waiting_by_workspace
            and _is_active(counters, now)
        }

    def own_served_by_workspace(self) -> dict[str, float]:
        """Return the slot time that this life granted, in slot-seconds."""
        return dict(self._own.served_by_workspace)

    def _merge_served(
        self, counters: _LifeCounters, entry: CounterEntry, *, is_base: bool
    ) -> None:
        workspace = entry.workspace
        known = counters.served_by_workspace.get(workspace, 0.0)
        served = entry.served_ms / MS_PER_SECOND
        if served <= known:
            return
        counters.served_by_workspace[workspace] = served
        if not is_base:
            self._raise_score(workspace, served - known)

    def _merge_gauges(
        self, counters: _LifeCounters, message: Counters, now: float
    ) -> None:
        was_active = _is_active(counters, now)
        waited_before = set(counters.waiting_by_workspace)
        counters.sequence = message.sequence
        counters.last_heard = now
        counters.slots = message.slots
        counters.is_reachable = True
        for entry in message.entries:
            self._replace_gauges(counters, entry)
        if not was_active:
            self._continued |= waited_before & set(
                counters.waiting_by_workspace
            )

    def _replace_gauges(
        self, counters: _LifeCounters, entry: CounterEntry
    ) -> None:
        workspace = entry.workspace
        known = counters.pending_by_workspace.get(workspace, 0.0)
        pending = entry.pending_ms / MS_PER_SECOND
        counters.pending_by_workspace[workspace] = pending
        _add(self._pending_by_workspace, workspace, pending - known)
        if entry.waiting:
            counters.waiting_by_workspace[workspace] = entry.waiting
        else:
            counters.waiting_by_workspace.pop(workspace, None)

    def _raise_score(self, workspace: str, served_seconds: float) -> None:
        weight = self._weight_by_workspace.get(workspace, 1.0)
        _add(self._score_by_workspace, workspace, served_seconds / weight)

    def _own_entry(self, workspace: str) -> CounterEntry:
        own = self._own
        served = own.served_by_workspace.get(workspace, 0.0)
        pending = own.pending_by_workspace.get(workspace, 0.0)
        return CounterEntry(
            workspace=workspace,
            served_ms=int(served * MS_PER_SECOND),
            pending_ms=max(0, round(pending * MS_PER_SECOND)),
            waiting=own.waiting_by_workspace.get(workspace, 0),
        )


def _is_active(counters: _LifeCounters, now: float) -> bool:
    """Return whether a life counts as an owner that hands out slots."""
    return (
        counters.is_reachable
        and now - counters.last_heard <= ACTIVE_OWNER_SECONDS
    )


def _add(
    amount_by_workspace: dict[str, float], workspace: str, amount: float
) -> None:
    amount_by_workspace[workspace] = (
        amount_by_workspace.get(workspace, 0.0) + amount
    )
