"""Accounting of the slot time that each workspace received, fleet-wide."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import CounterEntry, Counters

# Partitions between regions sometimes last an hour. Counters are kept for
# longer, so that they merge without a reset afterwards.
COUNTERS_RETENTION_SECONDS = 7200.0
# A slot owner counts as active for this long after its last counters.
ACTIVE_OWNER_SECONDS = 3.0
MS_PER_SECOND = 1000


@dataclass(slots=True)
class _OwnerCounters:
    """Last received counters of one router instance."""

    data_centre: str
    last_received_at: float
    sequence: int = -1
    slots: int = 0
    is_reachable: bool = True
    served_by_workspace: dict[str, float] = field(default_factory=dict)
    pending_by_workspace: dict[str, float] = field(default_factory=dict)
    waiting_by_workspace: dict[str, int] = field(default_factory=dict)


class ServiceLedger:
    """Scores of the workspaces of one service, as known to this router.

    The score of a workspace is the slot time that it received, in seconds
    divided by its weight, plus the amounts by which it was raised when the
    workspace became backlogged.

    Slot owners exchange served slot time as counters that only grow, one per
    router instance and workspace. Each increase is added to the score, so
    duplicate, late and reordered messages change nothing. The first message of
    an instance only sets the baseline. A restarted router therefore starts
    with equal scores, and an instance whose counters were removed can return
    without being counted twice.

    Args:
        service: Name of the service.
        instance: This router instance.
        data_centre: Data centre of this router.
    """

    def __init__(
        self, service: str, instance: RouterInstance, data_centre: str
    ) -> None:
        self.service = service
        self._instance = instance
        self._own = _OwnerCounters(data_centre, last_received_at=0.0)
        self._counters_by_instance: dict[RouterInstance, _OwnerCounters] = {}
        self._weight_by_workspace: dict[str, float] = {}
        self._score_by_workspace: dict[str, float] = {}
        self._pending_by_workspace: dict[str, float] = {}
        self._unpublished_by_workspace: dict[str, float] = {}
        self._changed: set[str] = set()
        self._still_backlogged: set[str] = set()
        self._tie_break_rank_by_workspace: dict[str, int] = {}

    def set_weights(self, weight_by_workspace: Mapping[str, float]) -> None:
        """Set the weights that apply to slot time served from now on."""
        self._weight_by_workspace = dict(weight_by_workspace)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that this router allocates."""
        self._own.slots = slots

    def charge(
        self, workspace: str, served_seconds: float, pending_seconds: float
    ) -> None:
        """Add slot time to this router's counters.

        Args:
            workspace: Name of the workspace.
            served_seconds: Additional served slot time, at least 0.
            pending_seconds: Change of the estimated remaining slot time.
        """
        own = self._own
        _add(own.served_by_workspace, workspace, served_seconds)
        _add(own.pending_by_workspace, workspace, pending_seconds)
        _add(self._pending_by_workspace, workspace, pending_seconds)
        self._add_served_score(workspace, served_seconds)
        self._changed.add(workspace)

    def add_unpublished_grant(
        self, workspace: str, estimate_seconds: float
    ) -> None:
        """Add the estimate of a grant that the next counters will publish."""
        _add(self._unpublished_by_workspace, workspace, estimate_seconds)

    def raise_score_to(self, workspace: str, served_score: float) -> None:
        """Raise the served score of a workspace to at least a value."""
        if self.served_score(workspace) < served_score:
            self._score_by_workspace[workspace] = served_score

    def served_score(self, workspace: str) -> float:
        """Return the score of a workspace without pending slot time."""
        return self._score_by_workspace.get(workspace, 0.0)

    def score(self, workspace: str, unpublished_weight: float) -> float:
        """Return the score of a workspace with pending slot time.

        Args:
            workspace: Name of the workspace.
            unpublished_weight: Factor for this router's grants that its last
                counters did not include. Other slot owners are likely to
                choose the same workspace until they receive them.
        """
        expected = self._pending_by_workspace.get(workspace, 0.0)
        unpublished = self._unpublished_by_workspace.get(workspace, 0.0)
        expected += unpublished * (unpublished_weight - 1.0)
        weight = self._weight_by_workspace.get(workspace, 1.0)
        return self.served_score(workspace) + expected / weight

    def tie_break_rank(self, workspace: str) -> int:
        """Return the rank of a workspace among workspaces with equal scores.

        The order differs between routers, so that slot owners without
        counters from each other do not all start with the same workspace.
        """
        order = self._tie_break_rank_by_workspace.get(workspace)
        if order is None:
            text = f"{self._instance.router_id}/{workspace}".encode()
            order = xxhash.xxh64_intdigest(text)
            self._tie_break_rank_by_workspace[workspace] = order
        return order

    def fleet_slot_ratio(self, now: float) -> float:
        """Return the slots of all active slot owners divided by this router's.

        The ratio is 1 if this router allocates no slots.
        """
        own_slots = self._own.slots
        if own_slots == 0:
            return 1.0
        others = sum(
            counters.slots
            for counters in self._counters_by_instance.values()
            if _is_active(counters, now)
        )
        return (own_slots + others) / own_slots

    def set_waiting(self, waiting_by_workspace: Mapping[str, int]) -> None:
        """Set the number of requests that wait in this data centre."""
        previous = self._own.waiting_by_workspace
        current = {name: n for name, n in waiting_by_workspace.items() if n}
        for name in previous.keys() | current.keys():
            if previous.get(name, 0) != current.get(name, 0):
                self._changed.add(name)
        self._own.waiting_by_workspace = current

    def publish(self, *, full: bool) -> Counters | None:
        """Create the next counters message of this router.

        Args:
            full: Whether to include unchanged counters.

        Returns:
            The message for the other slot owners, or None if `full` is false
            and nothing has changed.
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
            instance=self._instance,
            service=self.service,
            data_centre=own.data_centre,
            sequence=own.sequence,
            slots=own.slots,
            entries=entries,
        )

    def merge(self, message: Counters, now: float) -> None:
        """Merge the counters of another router instance.

        Served slot time never decreases. Other values are replaced if the
        message is newer than the last one.

        Args:
            message: Counters of any router instance. Those of this instance
                are ignored.
            now: Time in seconds.
        """
        if message.instance == self._instance:
            return
        counters = self._counters_by_instance.get(message.instance)
        is_first = counters is None
        if counters is None:
            counters = _OwnerCounters(message.data_centre, last_received_at=now)
            self._counters_by_instance[message.instance] = counters
        for entry in message.entries:
            self._merge_served(counters, entry, is_baseline=is_first)
        if message.sequence > counters.sequence:
            self._merge_gauges(counters, message, now)

    def mark_unreachable(self, instance: RouterInstance) -> None:
        """Mark an instance as unreachable and drop its pending slot time."""
        counters = self._counters_by_instance.get(instance)
        if counters is None:
            return
        for workspace, pending in counters.pending_by_workspace.items():
            _add(self._pending_by_workspace, workspace, -pending)
        counters.pending_by_workspace = {}
        counters.is_reachable = False

    def pop_still_backlogged(self) -> set[str]:
        """Return and clear the workspaces still backlogged after a partition.

        An instance reported waiting requests of these workspaces both before
        it became inactive and in its first counters afterwards, so they must
        not count as idle in between.
        """
        still_backlogged, self._still_backlogged = self._still_backlogged, set()
        return still_backlogged

    def remove_expired_counters(self, now: float) -> None:
        """Remove the counters of instances that stopped sending them."""
        for instance, counters in list(self._counters_by_instance.items()):
            if now - counters.last_received_at > COUNTERS_RETENTION_SECONDS:
                self.mark_unreachable(instance)
                del self._counters_by_instance[instance]

    def remote_waiting_by_owner(
        self, now: float
    ) -> dict[RouterInstance, dict[str, int]]:
        """Return the waiting requests in other data centres.

        Returns:
            Number of requests by workspace, for each active slot owner.
        """
        return {
            instance: counters.waiting_by_workspace
            for instance, counters in self._counters_by_instance.items()
            if counters.data_centre != self._own.data_centre
            and counters.waiting_by_workspace
            and _is_active(counters, now)
        }

    def own_served_by_workspace(self) -> dict[str, float]:
        """Return the slot time that this instance served, in seconds."""
        return dict(self._own.served_by_workspace)

    def _merge_served(
        self,
        counters: _OwnerCounters,
        entry: CounterEntry,
        *,
        is_baseline: bool,
    ) -> None:
        workspace = entry.workspace
        known = counters.served_by_workspace.get(workspace, 0.0)
        served = entry.served_ms / MS_PER_SECOND
        if served <= known:
            return
        counters.served_by_workspace[workspace] = served
        if not is_baseline:
            self._add_served_score(workspace, served - known)

    def _merge_gauges(
        self, counters: _OwnerCounters, message: Counters, now: float
    ) -> None:
        was_active = _is_active(counters, now)
        waited_before = set(counters.waiting_by_workspace)
        counters.sequence = message.sequence
        counters.last_received_at = now
        counters.slots = message.slots
        counters.is_reachable = True
        for entry in message.entries:
            self._replace_gauges(counters, entry)
        if not was_active:
            self._still_backlogged |= waited_before & set(
                counters.waiting_by_workspace
            )

    def _replace_gauges(
        self, counters: _OwnerCounters, entry: CounterEntry
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

    def _add_served_score(self, workspace: str, served_seconds: float) -> None:
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


def _is_active(counters: _OwnerCounters, now: float) -> bool:
    """Return whether an instance is reachable and sends counters."""
    return (
        counters.is_reachable
        and now - counters.last_received_at <= ACTIVE_OWNER_SECONDS
    )


def _add(
    amount_by_workspace: dict[str, float], workspace: str, amount: float
) -> None:
    amount_by_workspace[workspace] = (
        amount_by_workspace.get(workspace, 0.0) + amount
    )
