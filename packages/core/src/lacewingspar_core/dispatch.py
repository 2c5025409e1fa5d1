"""Hand-out of the slots of one service by the router that owns them."""

from dataclasses import dataclass, field

from lacewingspar_core.costs import CostTable
from lacewingspar_core.demand import DemandKey, DemandTable
from lacewingspar_core.events import (
    Announce,
    CountersDue,
    MessageReceived,
    OwnerAction,
    OwnerEvent,
    RouterGone,
    Send,
    TimePassed,
    UpstreamsChanged,
)
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.ledger import ServiceLedger
from lacewingspar_core.messages import (
    ActiveSlot,
    AnyPeerMessage,
    Counters,
    Demand,
    Offer,
    OfferAccepted,
    OfferDeclined,
    SlotId,
    SlotOutcome,
    SlotReleased,
    SlotReport,
    SlotReportRequest,
)
from lacewingspar_core.selection import Candidate, WorkspaceSelector
from lacewingspar_core.slots import OwnedUpstream, SlotTable, SlotUse

# An offer that a holder has not answered returns to the owner.
OFFER_TIMEOUT_SECONDS = 0.5
# A use that its holder has not reported for this long has ended.
SLOT_LEASE_SECONDS = 5.0
# Slot time is charged until this long after the last report of a use, so that
# a use whose end was not heard of is not charged until its lease ends.
CHARGE_AFTER_REPORT_SECONDS = 1.5
# A new owner waits this long for the reports of uses that it inherits.
ADOPTION_SECONDS = 0.3

_ALL_OFFERED = 1 << 30


@dataclass(slots=True)
class _Adoption:
    """Wait of a new owner for the uses that it inherits."""

    until: float
    awaited: set[RouterLife] = field(default_factory=set)


class SlotOwner:
    """Hands out the slots of the owned upstreams of one service.

    Events and the time go in, messages to send come out. Two owners of the
    same upstream at a time overcommit it for a moment; nothing else depends on
    there being one.

    Args:
        service: Name of the service.
        life: Life of this router.
        data_centre: Data centre of this router.
        uses_echo_factor: See `WorkspaceSelector`.
    """

    def __init__(
        self,
        service: str,
        life: RouterLife,
        data_centre: str,
        *,
        uses_echo_factor: bool = True,
    ) -> None:
        self.service = service
        self.ledger = ServiceLedger(service, life, data_centre)
        self._life = life
        self._costs = CostTable()
        self._selector = WorkspaceSelector(
            self.ledger, self._costs, uses_echo_factor=uses_echo_factor
        )
        self._slots = SlotTable()
        self._demand = DemandTable()
        self._offers = 0
        self._adoption: _Adoption | None = None
        self._offered_elsewhere: dict[RouterLife, dict[str, int]] = {}

    def handle(self, event: OwnerEvent, now: float) -> list[OwnerAction]:
        """Handle one event.

        Args:
            event: What has happened.
            now: Time in seconds of a clock that never goes back.

        Returns:
            Messages to send, in order.
        """
        actions: list[OwnerAction] = []
        match event:
            case UpstreamsChanged():
                actions += self._set_upstreams(event, now)
            case RouterGone(life):
                self._remove_router(life)
            case MessageReceived(sender, message):
                actions += self._receive(sender, message, now)
            case TimePassed():
                self._expire(now)
            case CountersDue(full):
                actions += self._announce(now, full=full)
        actions += self._offer_free_slots(now)
        return actions

    @property
    def uses_by_upstream(self) -> dict[str, int]:
        """Return the number of slots in use by owned upstream."""
        return self._slots.uses_by_upstream()

    @property
    def overcommitment(self) -> int:
        """Return the largest number of uses beyond an upstream's slots."""
        return self._slots.overcommitment

    def _announce(self, now: float, *, full: bool) -> list[Announce]:
        for use in self._slots.uses():
            self._accrue(use, now)
        self.ledger.set_waiting(self._demand.waiting_by_workspace())
        counters = self.ledger.publish(full=full)
        return [] if counters is None else [Announce(counters)]

    def _set_upstreams(self, event: UpstreamsChanged, now: float) -> list[Send]:
        inherits = any(
            not self._slots.owns(upstream_id)
            for upstream_id in event.upstream_by_id
        )
        for use in self._slots.set_upstreams(event.upstream_by_id):
            if use.started_at is None:
                self._withdraw(use)
            else:
                self._settle(use, now)
        self.ledger.set_weights(event.weight_by_workspace)
        self.ledger.set_slots(self._slots.total_slots)
        if not inherits:
            return []
        self._adoption = _Adoption(now + ADOPTION_SECONDS, set(event.routers))
        request = SlotReportRequest(self.service)
        return [Send(router, request) for router in sorted(event.routers)]

    def _remove_router(self, life: RouterLife) -> None:
        self._demand.remove_holder(life)
        self.ledger.set_unreachable(life)
        if self._adoption is not None:
            self._adoption.awaited.discard(life)
        for use in self._slots.uses():
            if use.holder == life and use.started_at is None:
                self._slots.remove(use.slot)
                self._withdraw(use)

    def _receive(
        self, sender: RouterLife, message: AnyPeerMessage, now: float
    ) -> list[Send]:
        match message:
            case Demand():
                self._demand.update(sender, message, now)
            case Counters():
                self.ledger.merge(message, now)
                self._offered_elsewhere.pop(message.life, None)
            case Offer():
                return self._forward(sender, message)
            case OfferAccepted():
                self._accept(sender, message, now)
            case OfferDeclined():
                self._decline(message)
            case SlotReleased():
                self._release(message, now)
            case SlotReport():
                self._take_report(sender, message, now)
        return []

    def _forward(self, sender: RouterLife, offer: Offer) -> list[Send]:
        """Pass an offer from another data centre on to a holder."""
        keys = [
            key
            for key in self._demand.open_keys()
            if key.workspace == offer.workspace
            and (not offer.model or key.model == offer.model)
        ]
        for key in keys:
            holder = self._demand.oldest_holder(key)
            if holder is None:
                continue
            # The holder answers the offering owner, so this owner counts the
            # request as served without waiting for the answer.
            self._demand.note_taken(key, holder)
            forwarded = Offer(
                service=offer.service,
                slot=offer.slot,
                upstream_id=offer.upstream_id,
                workspace=offer.workspace,
                model=offer.model,
                is_forwarded=True,
            )
            return [Send(holder, forwarded)]
        declined = OfferDeclined(
            self.service, offer.slot, offer.workspace, offer.model
        )
        return [Send(sender, declined)]

    def _accept(
        self, sender: RouterLife, message: OfferAccepted, now: float
    ) -> None:
        use = self._slots.get(message.slot)
        if use is None or use.started_at is not None:
            return
        if not use.is_remote:
            self._demand.note_offer_end(use.key, use.holder, accepted=True)
        use.holder = sender
        use.started_at = now
        use.lease_until = now + SLOT_LEASE_SECONDS

    def _decline(self, message: OfferDeclined) -> None:
        use = self._slots.get(message.slot)
        if use is None or use.started_at is not None:
            return
        self._slots.remove(message.slot)
        self._withdraw(use)

    def _withdraw(self, use: SlotUse) -> None:
        """Take back what was counted for an offer that was not accepted."""
        self.ledger.charge(use.key.workspace, 0, -use.pending_seconds)
        self.ledger.note_grant(use.key.workspace, -use.estimate_seconds)
        if not use.is_remote:
            self._demand.note_offer_end(use.key, use.holder, accepted=False)
            return
        # Nothing more is offered there until its next counters.
        offered = self._offered_elsewhere.setdefault(use.holder, {})
        offered[use.key.workspace] = _ALL_OFFERED

    def _release(self, message: SlotReleased, now: float) -> None:
        use = self._slots.remove(message.slot)
        if use is None:
            return
        # The message shows that the slot was in use until now.
        use.lease_until = now + SLOT_LEASE_SECONDS
        self._settle(use, now)
        if message.outcome is SlotOutcome.COMPLETED:
            self._costs.note(
                message.workspace,
                message.used_seconds / max(1, message.requests),
            )

    def _take_report(
        self, sender: RouterLife, report: SlotReport, now: float
    ) -> None:
        if self._adoption is not None:
            self._adoption.awaited.discard(sender)
        for active in report.active:
            use = self._slots.get(active.slot)
            if use is None:
                self._adopt(sender, active, now)
                continue
            if use.started_at is None:
                self._accept(
                    sender,
                    OfferAccepted(
                        self.service, active.slot, active.estimate_seconds
                    ),
                    now,
                )
            use.lease_until = now + SLOT_LEASE_SECONDS

    def _adopt(
        self, holder: RouterLife, active: ActiveSlot, now: float
    ) -> None:
        """Take over a use that another owner granted."""
        if not self._slots.owns(active.upstream_id):
            return
        remaining = max(0.0, active.estimate_seconds - active.used_seconds)
        use = SlotUse(
            slot=active.slot,
            upstream_id=active.upstream_id,
            holder=holder,
            key=DemandKey(active.workspace, ""),
            offered_at=now,
            estimate_seconds=remaining,
            started_at=now,
            lease_until=now + SLOT_LEASE_SECONDS,
        )
        self._slots.add(use)
        self.ledger.charge(active.workspace, 0, use.pending_seconds)

    def _accrue(self, use: SlotUse, now: float) -> None:
        """Charge the slot time that has accrued."""
        if use.started_at is None:
            return
        pending = use.pending_seconds
        reported_at = use.lease_until - SLOT_LEASE_SECONDS
        until = min(now, reported_at + CHARGE_AFTER_REPORT_SECONDS)
        accrued = max(0.0, until - use.started_at - use.charged_seconds)
        use.charged_seconds += accrued
        self.ledger.charge(
            use.key.workspace, accrued, use.pending_seconds - pending
        )

    def _settle(self, use: SlotUse, now: float) -> None:
        """Charge what a use that ends has cost, and drop the estimate."""
        self._accrue(use, now)
        self.ledger.charge(use.key.workspace, 0, -use.pending_seconds)

    def _expire(self, now: float) -> None:
        for use in self._slots.uses():
            if use.started_at is None:
                if now - use.offered_at >= OFFER_TIMEOUT_SECONDS:
                    self._slots.remove(use.slot)
                    self._withdraw(use)
            elif now >= use.lease_until:
                self._slots.remove(use.slot)
                self._settle(use, now)
        self.ledger.forget_old_lives(now)

    def _offer_free_slots(self, now: float) -> list[Send]:
        if self._is_adopting(now):
            return []
        self._note_backlogged(now)
        actions: list[Send] = []
        while True:
            action = self._offer_one(now)
            if action is None:
                return actions
            actions.append(action)

    def _is_adopting(self, now: float) -> bool:
        adoption = self._adoption
        if adoption is None:
            return False
        if adoption.awaited and now < adoption.until:
            return True
        self._adoption = None
        return False

    def _note_backlogged(self, now: float) -> None:
        workspaces = set(self._demand.waiting_by_workspace())
        for waiting in self.ledger.waiting_elsewhere(now).values():
            workspaces.update(waiting)
        self._selector.note_continued(self.ledger.take_continued(), now)
        self._selector.note_backlogged(workspaces, now)

    def _offer_one(self, now: float) -> Send | None:
        free = self._slots.free_upstreams()
        if not free:
            return None
        chosen = self._selector.choose(
            self._candidates(free, now),
            slots=self._slots.total_slots,
            now=now,
        )
        if chosen is None:
            return None
        upstream = max(
            (item for item in free if item[0].serves(chosen.key.model)),
            key=lambda item: item[1],
        )[0]
        return self._offer(chosen, upstream, now)

    def _candidates(
        self, free: list[tuple[OwnedUpstream, int]], now: float
    ) -> list[Candidate]:
        upstreams = [upstream for upstream, _ in free]
        candidates = [
            Candidate(key)
            for key in self._demand.open_keys()
            if any(upstream.serves(key.model) for upstream in upstreams)
        ]
        for owner, waiting in self.ledger.waiting_elsewhere(now).items():
            offered = self._offered_elsewhere.get(owner, {})
            candidates.extend(
                Candidate(DemandKey(workspace, ""), owner)
                for workspace, count in waiting.items()
                if count > offered.get(workspace, 0)
            )
        return candidates

    def _offer(
        self, chosen: Candidate, upstream: OwnedUpstream, now: float
    ) -> Send:
        key = chosen.key
        holder = chosen.owner or self._demand.oldest_holder(key)
        assert holder is not None
        estimate = self._demand.estimate_seconds(key, holder)
        self._offers += 1
        use = SlotUse(
            slot=SlotId(self._life, self._offers),
            upstream_id=upstream.upstream_id,
            holder=holder,
            key=key,
            offered_at=now,
            estimate_seconds=estimate
            or self._costs.mean_seconds(key.workspace),
            is_remote=chosen.owner is not None,
        )
        self._slots.add(use)
        self.ledger.charge(key.workspace, 0, use.pending_seconds)
        self.ledger.note_grant(key.workspace, use.estimate_seconds)
        if use.is_remote:
            offered = self._offered_elsewhere.setdefault(holder, {})
            offered[key.workspace] = offered.get(key.workspace, 0) + 1
        else:
            self._demand.note_offer(key, holder)
        offer = Offer(
            service=self.service,
            slot=use.slot,
            upstream_id=use.upstream_id,
            workspace=key.workspace,
            model=key.model,
            is_forwarded=False,
        )
        return Send(holder, offer)
