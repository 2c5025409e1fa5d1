"""Slots of the upstreams that one owner hands out, and their uses."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from lacewingspar_core.demand import DemandKey
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import SlotId


@dataclass(frozen=True, slots=True)
class OwnedUpstream:
    """An upstream whose slots this router hands out.

    Attributes:
        upstream_id: Name of the upstream.
        slots: Number of requests that it may run at once now.
        models: Models that it serves; empty for plain services.
        accepts_work: Whether it may get new requests.
    """

    upstream_id: str
    slots: int
    models: frozenset[str]
    accepts_work: bool = True

    def serves(self, model: str) -> bool:
        """Return whether the upstream serves a model; "" stands for any."""
        return not model or model in self.models


@dataclass(slots=True)
class SlotUse:
    """One use of a slot, from the offer to the release.

    Attributes:
        slot: Identity of the use.
        upstream_id: Upstream that has the slot.
        holder: Router that got the offer.
        key: Demand that the offer answers.
        offered_at: Time of the offer in seconds.
        estimate_seconds: Expected slot time.
        started_at: Time of binding, or None while the offer is open.
        charged_seconds: Slot time that has been charged.
        lease_until: Time at which the use ends unless the holder renews it.
        is_remote: Whether the offer went to another data centre.
    """

    slot: SlotId
    upstream_id: str
    holder: RouterLife
    key: DemandKey
    offered_at: float
    estimate_seconds: float
    started_at: float | None = None
    charged_seconds: float = 0.0
    lease_until: float = 0.0
    is_remote: bool = False

    @property
    def pending_seconds(self) -> float:
        """Return the expected slot time that has not been charged."""
        return max(0.0, self.estimate_seconds - self.charged_seconds)


@dataclass(slots=True)
class _UpstreamSlots:
    """An owned upstream and the uses of its slots."""

    upstream: OwnedUpstream
    use_by_slot: dict[SlotId, SlotUse] = field(default_factory=dict)

    @property
    def free(self) -> int:
        if not self.upstream.accepts_work:
            return 0
        return max(0, self.upstream.slots - len(self.use_by_slot))


class SlotTable:
    """The owned upstreams and every use of their slots."""

    def __init__(self) -> None:
        self._slots_by_upstream: dict[str, _UpstreamSlots] = {}
        self._use_by_slot: dict[SlotId, SlotUse] = {}

    def set_upstreams(
        self, upstream_by_id: Mapping[str, OwnedUpstream]
    ) -> list[SlotUse]:
        """Replace the owned upstreams.

        Returns:
            Uses of upstreams that are no longer owned; they are dropped.
        """
        dropped: list[SlotUse] = []
        for upstream_id in sorted(
            self._slots_by_upstream.keys() - upstream_by_id.keys()
        ):
            slots = self._slots_by_upstream.pop(upstream_id)
            dropped.extend(slots.use_by_slot.values())
        for use in dropped:
            del self._use_by_slot[use.slot]
        for upstream_id, upstream in upstream_by_id.items():
            known = self._slots_by_upstream.get(upstream_id)
            if known is None:
                self._slots_by_upstream[upstream_id] = _UpstreamSlots(upstream)
            else:
                known.upstream = upstream
        return dropped

    def owns(self, upstream_id: str) -> bool:
        """Return whether the slots of an upstream are handed out here."""
        return upstream_id in self._slots_by_upstream

    @property
    def total_slots(self) -> int:
        """Return the number of slots of all owned upstreams."""
        return sum(
            slots.upstream.slots for slots in self._slots_by_upstream.values()
        )

    @property
    def overcommitment(self) -> int:
        """Return the largest number of uses beyond an upstream's slots."""
        return max(
            (
                len(slots.use_by_slot) - slots.upstream.slots
                for slots in self._slots_by_upstream.values()
            ),
            default=0,
        )

    def free_upstreams(self) -> list[tuple[OwnedUpstream, int]]:
        """Return the upstreams that have free slots, with their number."""
        return [
            (slots.upstream, slots.free)
            for slots in self._slots_by_upstream.values()
            if slots.free > 0
        ]

    def add(self, use: SlotUse) -> None:
        """Add a use of an owned upstream's slot."""
        self._slots_by_upstream[use.upstream_id].use_by_slot[use.slot] = use
        self._use_by_slot[use.slot] = use

    def get(self, slot: SlotId) -> SlotUse | None:
        """Return the use of a slot, if it is known."""
        return self._use_by_slot.get(slot)

    def remove(self, slot: SlotId) -> SlotUse | None:
        """Drop the use of a slot and return it."""
        use = self._use_by_slot.pop(slot, None)
        if use is not None:
            self._slots_by_upstream[use.upstream_id].use_by_slot.pop(slot, None)
        return use

    def uses(self) -> Iterator[SlotUse]:
        """Return all uses."""
        return iter(tuple(self._use_by_slot.values()))

    def uses_by_upstream(self) -> dict[str, int]:
        """Return the number of uses of each owned upstream."""
        return {
            upstream_id: len(slots.use_by_slot)
            for upstream_id, slots in self._slots_by_upstream.items()
        }
