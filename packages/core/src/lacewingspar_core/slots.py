"""Slots of owned upstreams and their allocation to requests."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from lacewingspar_core.demand import DemandKey
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import SlotId


@dataclass(frozen=True, slots=True)
class OwnedUpstream:
    """An upstream whose slots this router allocates.

    Attributes:
        upstream_id: Name of the upstream.
        slots: Current maximum number of concurrent requests.
        models: Models that it serves; empty for a service without models.
        accepts_work: Whether it may receive new requests.
    """

    upstream_id: str
    slots: int
    models: frozenset[str]
    accepts_work: bool = True

    def serves(self, model: str) -> bool:
        """Return whether the upstream serves a model, where "" matches any."""
        return not model or model in self.models


@dataclass(slots=True)
class SlotAllocation:
    """A slot that is offered to or used by a router, until its release.

    Attributes:
        slot: Id of the allocation.
        upstream_id: Upstream that has the slot.
        ingress_router: Router that accepted the offer, or the receiver of an
            open offer.
        key: Demand for which the slot was offered.
        offered_at: Time of the offer in seconds.
        estimate_seconds: Expected slot time.
        started_at: Time at which the offer was accepted, or None while it is
            open.
        charged_seconds: Slot time charged so far.
        lease_until: Time at which the allocation expires unless the ingress
            router renews it.
        is_remote: Whether the offer was made to another data centre.
    """

    slot: SlotId
    upstream_id: str
    ingress_router: RouterInstance
    key: DemandKey
    offered_at: float
    estimate_seconds: float
    started_at: float | None = None
    charged_seconds: float = 0.0
    lease_until: float = 0.0
    is_remote: bool = False

    @property
    def pending_seconds(self) -> float:
        """Return the expected slot time that is not charged yet."""
        return max(0.0, self.estimate_seconds - self.charged_seconds)


@dataclass(slots=True)
class _UpstreamSlots:
    """An owned upstream and the allocations of its slots."""

    upstream: OwnedUpstream
    allocation_by_slot: dict[SlotId, SlotAllocation] = field(
        default_factory=dict
    )

    @property
    def free(self) -> int:
        if not self.upstream.accepts_work:
            return 0
        return max(0, self.upstream.slots - len(self.allocation_by_slot))


class SlotTable:
    """The owned upstreams and all allocations of their slots."""

    def __init__(self) -> None:
        self._slots_by_upstream: dict[str, _UpstreamSlots] = {}
        self._allocation_by_slot: dict[SlotId, SlotAllocation] = {}

    def set_upstreams(
        self, upstream_by_id: Mapping[str, OwnedUpstream]
    ) -> list[SlotAllocation]:
        """Replace the owned upstreams.

        Returns:
            Allocations of upstreams that are no longer owned. They are removed
            from the table.
        """
        dropped: list[SlotAllocation] = []
        for upstream_id in sorted(
            self._slots_by_upstream.keys() - upstream_by_id.keys()
        ):
            slots = self._slots_by_upstream.pop(upstream_id)
            dropped.extend(slots.allocation_by_slot.values())
        for allocation in dropped:
            del self._allocation_by_slot[allocation.slot]
        for upstream_id, upstream in upstream_by_id.items():
            known = self._slots_by_upstream.get(upstream_id)
            if known is None:
                self._slots_by_upstream[upstream_id] = _UpstreamSlots(upstream)
            else:
                known.upstream = upstream
        return dropped

    def owns(self, upstream_id: str) -> bool:
        """Return whether this router allocates the slots of an upstream."""
        return upstream_id in self._slots_by_upstream

    @property
    def total_slots(self) -> int:
        """Return the total number of slots of the owned upstreams."""
        return sum(
            slots.upstream.slots for slots in self._slots_by_upstream.values()
        )

    @property
    def overcommitment(self) -> int:
        """Return the maximum number of allocations in excess of the slots.

        The maximum is taken over the owned upstreams.
        """
        return max(
            (
                len(slots.allocation_by_slot) - slots.upstream.slots
                for slots in self._slots_by_upstream.values()
            ),
            default=0,
        )

    def free_upstreams(self) -> list[tuple[OwnedUpstream, int]]:
        """Return the upstreams with free slots and the number of these."""
        return [
            (slots.upstream, slots.free)
            for slots in self._slots_by_upstream.values()
            if slots.free > 0
        ]

    def add(self, allocation: SlotAllocation) -> None:
        """Add an allocation of an owned upstream's slot."""
        self._slots_by_upstream[allocation.upstream_id].allocation_by_slot[
            allocation.slot
        ] = allocation
        self._allocation_by_slot[allocation.slot] = allocation

    def get(self, slot: SlotId) -> SlotAllocation | None:
        """Return the allocation with an id, or None if it is unknown."""
        return self._allocation_by_slot.get(slot)

    def remove(self, slot: SlotId) -> SlotAllocation | None:
        """Remove and return the allocation with an id, if it exists."""
        allocation = self._allocation_by_slot.pop(slot, None)
        if allocation is not None:
            self._slots_by_upstream[
                allocation.upstream_id
            ].allocation_by_slot.pop(slot, None)
        return allocation

    def allocations(self) -> Iterator[SlotAllocation]:
        """Return an iterator over a copy of all allocations."""
        return iter(tuple(self._allocation_by_slot.values()))

    def allocated_slots_by_upstream(self) -> dict[str, int]:
        """Return the number of allocations of each owned upstream."""
        return {
            upstream_id: len(slots.allocation_by_slot)
            for upstream_id, slots in self._slots_by_upstream.items()
        }
