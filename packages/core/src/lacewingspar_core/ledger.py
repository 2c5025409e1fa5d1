"""Service counters of one service, merged over the fleet by maximum."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import CounterEntry, Counters

# A life that sent nothing for this long is folded into the local base. Any
# message from it has been delivered or lost long before.
FOLD_AFTER_SECONDS = 600.0
# Late messages of a folded life are refused for this long.
TOMBSTONE_SECONDS = 86_400.0
# Owners that sent no counters for this long do not count as choosing alike.
ACTIVE_OWNER_SECONDS = 3.0


@dataclass(slots=True)
class _LifeCounters:
    """Counters of one router life."""

    data_centre: str
    last_heard: float
    sequence: int = -1
    slots: int = 0
    served_by_workspace: dict[str, float] = field(default_factory=dict)
    pending_by_workspace: dict[str, float] = field(default_factory=dict)
    waiting_by_workspace: dict[str, int] = field(default_factory=dict)


class ServiceLedger:
    """Service that each workspace has received, as far as this router knows.

    Served slot time is a counter that only grows for each pair of router life
    and workspace, so repeated, late and reordered messages do no harm.

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
        self._counters_by_life: dict[RouterLife, _LifeCounters] = {
            life: self._own
        }
        self._base_by_workspace: dict[str, float] = {}
        self._total_by_workspace: dict[str, float] = {}
        self._pending_by_workspace: dict[str, float] = {}
        self._folded_at_by_life: dict[RouterLife, float] = {}
        self._unpublished_by_workspace: dict[str, float] = {}
        self._changed: set[str] = set()

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
        _add(self._total_by_workspace, workspace, served_seconds)
        _add(self._pending_by_workspace, workspace, pending_seconds)
        self._changed.add(workspace)

    def note_grant(self, workspace: str, estimate_seconds: float) -> None:
        """Remember a grant that the other owners have not heard of yet."""
        _add(self._unpublished_by_workspace, workspace, estimate_seconds)

    def set_waiting(self, waiting_by_workspace: Mapping[str, int]) -> None:
        """Set the numbers of requests that wait in this data centre."""
        previous = self._own.waiting_by_workspace
        for workspace in previous.keys() | waiting_by_workspace.keys():
            if previous.get(workspace, 0) != waiting_by_workspace.get(
                workspace, 0
            ):
                self._changed.add(workspace)
        self._own.waiting_by_workspace = dict(waiting_by_workspace)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that this router owns."""
        self._own.slots = slots

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
        entries = tuple(self._entry(own, name) for name in sorted(workspaces))
        self._changed = set()
        self._unpublished_by_workspace = {}
        if not entries and not full:
            return None
        own.sequence += 1
        return self._message(self._life, own, entries)

    def snapshot(self) -> list[Counters]:
        """Return the counters of every known life, for a new owner."""
        messages = []
        for life, counters in self._counters_by_life.items():
            entries = tuple(
                self._entry(counters, name)
                for name in sorted(counters.served_by_workspace)
            )
            messages.append(self._message(life, counters, entries))
        return messages

    def merge(self, message: Counters, now: float) -> None:
        """Merge the counters of another life by maximum.

        Args:
            message: Counters of any life, received from any router.
            now: Time in seconds.
        """
        life = message.life
        if life == self._life or life in self._folded_at_by_life:
            return
        counters = self._counters_by_life.get(life)
        if counters is None:
            counters = _LifeCounters(message.data_centre, last_heard=now)
            self._counters_by_life[life] = counters
        is_newer = message.sequence > counters.sequence
        if is_newer:
            counters.sequence = message.sequence
            counters.last_heard = now
            counters.slots = message.slots
        for entry in message.entries:
            self._merge_entry(counters, entry, is_newer)

    def fold_gone(self, alive: Iterable[RouterLife], now: float) -> None:
        """Fold the counters of lives that are gone into the local base."""
        kept = {self._life, *alive}
        for life, counters in list(self._counters_by_life.items()):
            is_recent = now - counters.last_heard < FOLD_AFTER_SECONDS
            if life in kept or is_recent:
                continue
            for workspace, served in counters.served_by_workspace.items():
                _add(self._base_by_workspace, workspace, served)
            self._clear_pending(counters)
            del self._counters_by_life[life]
            self._folded_at_by_life[life] = now
        for life, folded_at in list(self._folded_at_by_life.items()):
            if now - folded_at > TOMBSTONE_SECONDS:
                del self._folded_at_by_life[life]

    def clear_gone_gauges(self, life: RouterLife) -> None:
        """Drop the pending and waiting amounts of a life that has ended."""
        counters = self._counters_by_life.get(life)
        if counters is not None and life != self._life:
            self._clear_pending(counters)
            counters.waiting_by_workspace = {}
            counters.slots = 0

    def charged_seconds(self, workspace: str, echo_factor: float) -> float:
        """Return the service that counts for a workspace, in slot-seconds.

        Args:
            workspace: Name of the workspace.
            echo_factor: How often own grants count that the other owners have
                not heard of, since these owners choose alike meanwhile.
        """
        unpublished = self._unpublished_by_workspace.get(workspace, 0.0)
        return (
            self._total_by_workspace.get(workspace, 0.0)
            + self._pending_by_workspace.get(workspace, 0.0)
            + unpublished * (echo_factor - 1.0)
        )

    def served_by_workspace(self) -> dict[str, float]:
        """Return the served slot time by workspace over the whole fleet."""
        return dict(self._total_by_workspace)

    def own_served_by_workspace(self) -> dict[str, float]:
        """Return the slot time that this life granted, by workspace."""
        return dict(self._own.served_by_workspace)

    def echo_factor(self, now: float) -> float:
        """Return the slots of all active owners as a multiple of the own."""
        if self._own.slots == 0:
            return 1.0
        slots = self._own.slots
        for life, counters in self._counters_by_life.items():
            if life == self._life:
                continue
            if now - counters.last_heard <= ACTIVE_OWNER_SECONDS:
                slots += counters.slots
        return slots / self._own.slots

    def remote_waiting(
        self, now: float
    ) -> dict[RouterLife, tuple[str, dict[str, int]]]:
        """Return who in other data centres reports waiting requests.

        Returns:
            For each active owner elsewhere its data centre and the numbers of
            waiting requests by workspace.
        """
        return {
            life: (counters.data_centre, counters.waiting_by_workspace)
            for life, counters in self._counters_by_life.items()
            if counters.data_centre != self._own.data_centre
            and counters.waiting_by_workspace
            and now - counters.last_heard <= ACTIVE_OWNER_SECONDS
        }

    def _merge_entry(
        self, counters: _LifeCounters, entry: CounterEntry, is_newer: bool
    ) -> None:
        workspace = entry.workspace
        known = counters.served_by_workspace.get(workspace, 0.0)
        if entry.served_seconds > known:
            counters.served_by_workspace[workspace] = entry.served_seconds
            _add(
                self._total_by_workspace,
                workspace,
                entry.served_seconds - known,
            )
        if not is_newer:
            return
        pending = counters.pending_by_workspace.get(workspace, 0.0)
        counters.pending_by_workspace[workspace] = entry.pending_seconds
        _add(
            self._pending_by_workspace,
            workspace,
            entry.pending_seconds - pending,
        )
        if entry.waiting:
            counters.waiting_by_workspace[workspace] = entry.waiting
        else:
            counters.waiting_by_workspace.pop(workspace, None)

    def _clear_pending(self, counters: _LifeCounters) -> None:
        for workspace, pending in counters.pending_by_workspace.items():
            _add(self._pending_by_workspace, workspace, -pending)
        counters.pending_by_workspace = {}

    def _entry(self, counters: _LifeCounters, workspace: str) -> CounterEntry:
        return CounterEntry(
            workspace=workspace,
            served_seconds=counters.served_by_workspace.get(workspace, 0.0),
            pending_seconds=max(
                0.0, counters.pending_by_workspace.get(workspace, 0.0)
            ),
            waiting=counters.waiting_by_workspace.get(workspace, 0),
        )

    def _message(
        self,
        life: RouterLife,
        counters: _LifeCounters,
        entries: tuple[CounterEntry, ...],
    ) -> Counters:
        return Counters(
            life=life,
            service=self.service,
            data_centre=counters.data_centre,
            sequence=counters.sequence,
            slots=counters.slots,
            entries=entries,
        )


def _add(
    amount_by_workspace: dict[str, float], workspace: str, amount: float
) -> None:
    amount_by_workspace[workspace] = (
        amount_by_workspace.get(workspace, 0.0) + amount
    )
