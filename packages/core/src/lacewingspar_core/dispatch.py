"""Allocation of the slots of one service by the router that owns them."""

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
from lacewingspar_core.identity import RouterInstance
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
from lacewingspar_core.slots import OwnedUpstream, SlotAllocation, SlotTable

# An offer without a reply expires after this time.
OFFER_TIMEOUT_SECONDS = 0.5
# An allocation expires if its ingress router has not reported it for this long.
SLOT_LEASE_SECONDS = 5.0
# Slot time is charged for at most this long after the last report, so that a
# workspace does not pay until the lease expires if the release message is lost.
CHARGE_AFTER_REPORT_SECONDS = 1.5
# A new slot owner waits at most this long for reports of the slots in use
# before it makes offers.
TAKEOVER_WAIT_SECONDS = 0.3

_NO_MORE_OFFERS = 1 << 30


@dataclass(slots=True)
class _Takeover:
    """Pending slot reports after this router became the owner of upstreams."""

    wait_until: float
    awaited_routers: set[RouterInstance] = field(default_factory=set)


class SlotOwner:
    """Allocates the slots of the owned upstreams of one service.

    The class does no I/O: it handles events and returns the messages to send.
    While two routers own the same upstream, they may overcommit it; nothing
    else relies on a single owner.

    Args:
        service: Name of the service.
        instance: This router instance.
        data_centre: Data centre of this router.
        weights_unpublished_grants: See `WorkspaceSelector`.
    """

    def __init__(
        self,
        service: str,
        instance: RouterInstance,
        data_centre: str,
        *,
        weights_unpublished_grants: bool = True,
    ) -> None:
        self.service = service
        self.ledger = ServiceLedger(service, instance, data_centre)
        self._instance = instance
        self._costs = CostTable()
        self._selector = WorkspaceSelector(
            self.ledger,
            self._costs,
            weights_unpublished_grants=weights_unpublished_grants,
        )
        self._slots = SlotTable()
        self._demand = DemandTable()
        self._offer_count = 0
        self._takeover: _Takeover | None = None
        self._offers_by_remote_owner: dict[RouterInstance, dict[str, int]] = {}

    def handle(self, event: OwnerEvent, now: float) -> list[OwnerAction]:
        """Handle one event.

        Args:
            event: The event.
            now: Monotonic time in seconds.

        Returns:
            Messages to send, in order.
        """
        actions: list[OwnerAction] = []
        match event:
            case UpstreamsChanged():
                actions += self._set_upstreams(event, now)
            case RouterGone(instance):
                self._remove_router(instance)
            case MessageReceived(sender, message):
                actions += self._receive(sender, message, now)
            case TimePassed():
                self._expire(now)
            case CountersDue(full):
                actions += self._publish_counters(now, full=full)
        actions += self._offer_free_slots(now)
        return actions

    @property
    def allocated_slots_by_upstream(self) -> dict[str, int]:
        """Return the number of slot allocations by owned upstream."""
        return self._slots.allocated_slots_by_upstream()

    @property
    def overcommitment(self) -> int:
        """Return the maximum number of allocations in excess of the slots.

        The maximum is taken over the owned upstreams.
        """
        return self._slots.overcommitment

    def _publish_counters(self, now: float, *, full: bool) -> list[Announce]:
        for allocation in self._slots.allocations():
            self._charge_accrued(allocation, now)
        self.ledger.set_waiting(self._demand.waiting_by_workspace())
        counters = self.ledger.publish(full=full)
        return [] if counters is None else [Announce(counters)]

    def _set_upstreams(self, event: UpstreamsChanged, now: float) -> list[Send]:
        has_new_upstreams = any(
            not self._slots.owns(upstream_id)
            for upstream_id in event.upstream_by_id
        )
        for allocation in self._slots.set_upstreams(event.upstream_by_id):
            if allocation.started_at is None:
                self._undo_offer(allocation)
            else:
                self._charge_final(allocation, now)
        self.ledger.set_weights(event.weight_by_workspace)
        self.ledger.set_slots(self._slots.total_slots)
        if not has_new_upstreams:
            return []
        self._takeover = _Takeover(
            now + TAKEOVER_WAIT_SECONDS, set(event.routers)
        )
        request = SlotReportRequest(self.service)
        return [Send(router, request) for router in sorted(event.routers)]

    def _remove_router(self, instance: RouterInstance) -> None:
        self._demand.remove_ingress_router(instance)
        self.ledger.mark_unreachable(instance)
        if self._takeover is not None:
            self._takeover.awaited_routers.discard(instance)
        for allocation in self._slots.allocations():
            if (
                allocation.ingress_router == instance
                and allocation.started_at is None
            ):
                self._slots.remove(allocation.slot)
                self._undo_offer(allocation)

    def _receive(
        self, sender: RouterInstance, message: AnyPeerMessage, now: float
    ) -> list[Send]:
        match message:
            case Demand():
                self._demand.update(sender, message, now)
            case Counters():
                self.ledger.merge(message, now)
                self._offers_by_remote_owner.pop(message.instance, None)
            case Offer():
                return self._forward_offer(sender, message)
            case OfferAccepted():
                self._accept(sender, message, now)
            case OfferDeclined():
                self._decline(message)
            case SlotReleased():
                self._release(message, now)
            case SlotReport():
                self._apply_report(sender, message, now)
        return []

    def _forward_offer(
        self, sender: RouterInstance, offer: Offer
    ) -> list[Send]:
        """Forward an offer from another data centre to an ingress router.

        Returns:
            The forwarded offer, or a decline if no request here matches it.
        """
        keys = [
            key
            for key in self._demand.unoffered_keys()
            if key.workspace == offer.workspace
            and (not offer.model or key.model == offer.model)
        ]
        for key in keys:
            ingress_router = self._demand.longest_waiting_ingress_router(key)
            if ingress_router is None:
                continue
            # The ingress router replies to the offering slot owner directly, so
            # the request counts as served without a reply to this owner.
            self._demand.record_remote_offer(key, ingress_router)
            forwarded = Offer(
                service=offer.service,
                slot=offer.slot,
                upstream_id=offer.upstream_id,
                workspace=offer.workspace,
                model=offer.model,
                is_forwarded=True,
            )
            return [Send(ingress_router, forwarded)]
        declined = OfferDeclined(
            self.service, offer.slot, offer.workspace, offer.model
        )
        return [Send(sender, declined)]

    def _accept(
        self, sender: RouterInstance, message: OfferAccepted, now: float
    ) -> None:
        allocation = self._slots.get(message.slot)
        if allocation is None or allocation.started_at is not None:
            return
        if not allocation.is_remote:
            self._demand.record_offer_end(
                allocation.key, allocation.ingress_router, accepted=True
            )
        allocation.ingress_router = sender
        allocation.started_at = now
        allocation.lease_until = now + SLOT_LEASE_SECONDS

    def _decline(self, message: OfferDeclined) -> None:
        allocation = self._slots.get(message.slot)
        if allocation is None or allocation.started_at is not None:
            return
        self._slots.remove(message.slot)
        self._undo_offer(allocation)

    def _undo_offer(self, allocation: SlotAllocation) -> None:
        """Reverse the accounting of an offer that was not accepted."""
        self.ledger.charge(
            allocation.key.workspace, 0, -allocation.pending_seconds
        )
        self.ledger.add_unpublished_grant(
            allocation.key.workspace, -allocation.estimate_seconds
        )
        if not allocation.is_remote:
            self._demand.record_offer_end(
                allocation.key, allocation.ingress_router, accepted=False
            )
            return
        # Make no further offers to that owner until its next counters arrive.
        offered = self._offers_by_remote_owner.setdefault(
            allocation.ingress_router, {}
        )
        offered[allocation.key.workspace] = _NO_MORE_OFFERS

    def _release(self, message: SlotReleased, now: float) -> None:
        allocation = self._slots.remove(message.slot)
        if allocation is None:
            return
        # The release proves that the slot was in use until now. Renewing the
        # lease lets the slot time up to now be charged.
        allocation.lease_until = now + SLOT_LEASE_SECONDS
        self._charge_final(allocation, now)
        if message.outcome is SlotOutcome.COMPLETED:
            self._costs.record(
                message.workspace,
                message.used_seconds / max(1, message.requests),
            )

    def _apply_report(
        self, sender: RouterInstance, report: SlotReport, now: float
    ) -> None:
        if self._takeover is not None:
            self._takeover.awaited_routers.discard(sender)
        for active in report.active:
            allocation = self._slots.get(active.slot)
            if allocation is None:
                self._take_over(sender, active, now)
                continue
            if allocation.started_at is None:
                self._accept(
                    sender,
                    OfferAccepted(
                        self.service, active.slot, active.estimate_seconds
                    ),
                    now,
                )
            allocation.lease_until = now + SLOT_LEASE_SECONDS

    def _take_over(
        self, ingress_router: RouterInstance, active: ActiveSlot, now: float
    ) -> None:
        """Add a slot in use that another slot owner allocated."""
        if not self._slots.owns(active.upstream_id):
            return
        remaining = max(0.0, active.estimate_seconds - active.used_seconds)
        allocation = SlotAllocation(
            slot=active.slot,
            upstream_id=active.upstream_id,
            ingress_router=ingress_router,
            key=DemandKey(active.workspace, ""),
            offered_at=now,
            estimate_seconds=remaining,
            started_at=now,
            lease_until=now + SLOT_LEASE_SECONDS,
        )
        self._slots.add(allocation)
        self.ledger.charge(active.workspace, 0, allocation.pending_seconds)

    def _charge_accrued(self, allocation: SlotAllocation, now: float) -> None:
        """Charge the slot time since the last charge."""
        if allocation.started_at is None:
            return
        pending = allocation.pending_seconds
        reported_at = allocation.lease_until - SLOT_LEASE_SECONDS
        charge_until = min(now, reported_at + CHARGE_AFTER_REPORT_SECONDS)
        accrued = max(
            0.0,
            charge_until - allocation.started_at - allocation.charged_seconds,
        )
        allocation.charged_seconds += accrued
        self.ledger.charge(
            allocation.key.workspace,
            accrued,
            allocation.pending_seconds - pending,
        )

    def _charge_final(self, allocation: SlotAllocation, now: float) -> None:
        """Charge the remaining slot time of an allocation that has ended.

        The pending slot time of the allocation is removed.
        """
        self._charge_accrued(allocation, now)
        self.ledger.charge(
            allocation.key.workspace, 0, -allocation.pending_seconds
        )

    def _expire(self, now: float) -> None:
        for allocation in self._slots.allocations():
            if allocation.started_at is None:
                if now - allocation.offered_at >= OFFER_TIMEOUT_SECONDS:
                    self._slots.remove(allocation.slot)
                    self._undo_offer(allocation)
            elif now >= allocation.lease_until:
                self._slots.remove(allocation.slot)
                self._charge_final(allocation, now)
        self.ledger.remove_expired_counters(now)

    def _offer_free_slots(self, now: float) -> list[Send]:
        if self._is_taking_over(now):
            return []
        self._update_backlogged(now)
        actions: list[Send] = []
        while True:
            action = self._offer_one(now)
            if action is None:
                return actions
            actions.append(action)

    def _is_taking_over(self, now: float) -> bool:
        takeover = self._takeover
        if takeover is None:
            return False
        if takeover.awaited_routers and now < takeover.wait_until:
            return True
        self._takeover = None
        return False

    def _update_backlogged(self, now: float) -> None:
        workspaces = set(self._demand.waiting_by_workspace())
        for waiting in self.ledger.remote_waiting_by_owner(now).values():
            workspaces.update(waiting)
        self._selector.mark_still_backlogged(
            self.ledger.pop_still_backlogged(), now
        )
        self._selector.set_backlogged(workspaces, now)

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
            for key in self._demand.unoffered_keys()
            if any(upstream.serves(key.model) for upstream in upstreams)
        ]
        for owner, waiting in self.ledger.remote_waiting_by_owner(now).items():
            offered = self._offers_by_remote_owner.get(owner, {})
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
        ingress_router = (
            chosen.owner or self._demand.longest_waiting_ingress_router(key)
        )
        assert ingress_router is not None
        estimate = self._demand.estimate_seconds(key, ingress_router)
        self._offer_count += 1
        allocation = SlotAllocation(
            slot=SlotId(self._instance, self._offer_count),
            upstream_id=upstream.upstream_id,
            ingress_router=ingress_router,
            key=key,
            offered_at=now,
            estimate_seconds=estimate
            or self._costs.mean_seconds(key.workspace),
            is_remote=chosen.owner is not None,
        )
        self._slots.add(allocation)
        self.ledger.charge(key.workspace, 0, allocation.pending_seconds)
        self.ledger.add_unpublished_grant(
            key.workspace, allocation.estimate_seconds
        )
        if allocation.is_remote:
            offered = self._offers_by_remote_owner.setdefault(
                ingress_router, {}
            )
            offered[key.workspace] = offered.get(key.workspace, 0) + 1
        else:
            self._demand.record_offer(key, ingress_router)
        offer = Offer(
            service=self.service,
            slot=allocation.slot,
            upstream_id=allocation.upstream_id,
            workspace=key.workspace,
            model=key.model,
            is_forwarded=False,
        )
        return Send(ingress_router, offer)
