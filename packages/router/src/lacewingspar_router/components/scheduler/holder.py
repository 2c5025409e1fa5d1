"""Holder role: requests of one service that wait at this router."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lacewingspar_core.documents import ServiceDocument
from lacewingspar_core.messages import (
    ActiveSlot,
    AnyPeerMessage,
    Demand,
    DemandEntry,
    Offer,
    OfferAccepted,
    OfferDeclined,
    SlotId,
    SlotOutcome,
    SlotReleased,
    SlotReport,
)
from lacewingspar_core.ownership import ServiceOwnership
from lacewingspar_core.queueing import (
    MIN_RETRY_AFTER_SECONDS,
    Refusal,
    RequestQueue,
    WaitingRequest,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.scheduler import const
from lacewingspar_router.components.scheduler.errors import refused_error
from lacewingspar_router.components.scheduler.models import (
    SlotGrant,
    SlotRequest,
)

SendFunction = Callable[[str, AnyPeerMessage], int]

# Above this many waiting requests, a change of less than a quarter is not
# told to the owners at once, since it would not change their choice.
_SMALL_QUEUE = 4


@dataclass(frozen=True, slots=True)
class _ActiveUse:
    """A granted slot and the estimate of its cost."""

    grant: SlotGrant
    estimate_seconds: float


class Holder:
    """Queues requests of one service and binds them to offered slots.

    Args:
        app: The application.
        service: Name of the service.
        send: Sends a message to a router by its id.
    """

    def __init__(
        self, app: Application, service: str, send: SendFunction
    ) -> None:
        self._app = app
        self._service = service
        self._send = send
        self._queue = RequestQueue()
        self._future_by_request: dict[str, asyncio.Future[SlotGrant]] = {}
        self._use_by_slot: dict[SlotId, _ActiveUse] = {}
        self._models_by_upstream: dict[str, frozenset[str]] = {}
        self._ownership = ServiceOwnership({}, {})
        self._receivers: frozenset[str] = frozenset()
        self._waiting_told: dict[tuple[str, str], int] = {}
        self._demand_sequence = 0
        self._demand_sent_at = 0.0
        self._demand_timer: asyncio.TimerHandle | None = None

    def configure(
        self, document: ServiceDocument, ownership: ServiceOwnership
    ) -> None:
        """Take over the service document and who owns its slots."""
        self._queue.configure(
            {item.name: item for item in document.request_classes},
            {item.name: item.queue_limit for item in document.workspaces},
        )
        self._models_by_upstream = {
            item.id: frozenset(item.models) for item in document.upstreams
        }
        self._ownership = ownership
        receivers = ownership.demand_receivers(
            self._service, self._app.settings.data_centre
        )
        former = self._receivers - receivers
        self._receivers = receivers
        for router_id in former:
            self._send(router_id, self._demand(full=True, entries=()))
        self.send_full_demand()
        self.send_reports()

    async def async_acquire(
        self, request: SlotRequest, *, default_class: str
    ) -> SlotGrant:
        """Wait for a slot; cancelling the call withdraws the request.

        Raises:
            RequestRefusedError: The request is refused; it was not sent.
        """
        waiting = WaitingRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            model=request.model,
            request_class=request.request_class or default_class,
            arrived_at=request.arrived_at,
            deadline_at=request.deadline_at,
            excluded_upstreams=request.excluded_upstreams,
        )
        refusal = self._queue.add(waiting, self._app.now())
        if refusal is not None:
            raise refused_error(refusal)
        future: asyncio.Future[SlotGrant] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_request[request.request_id] = future
        self._demand_changed()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(waiting, future)
            raise
        finally:
            self._future_by_request.pop(request.request_id, None)

    def release(
        self, grant: SlotGrant, outcome: SlotOutcome, tokens: int
    ) -> None:
        """Give a slot back to the owner of its upstream."""
        if self._use_by_slot.pop(grant.slot, None) is None:
            return
        used_seconds = max(0.0, self._app.now() - grant.bound_at)
        if outcome is SlotOutcome.COMPLETED:
            self._queue.note_cost(
                grant.workspace, grant.request_class, used_seconds
            )
        self._send(
            self._owner_of(grant),
            SlotReleased(
                service=self._service,
                slot=grant.slot,
                upstream_id=grant.upstream_id,
                workspace=grant.workspace,
                used_seconds=used_seconds,
                tokens=tokens,
                outcome=outcome,
            ),
        )

    def take_offer(self, offer: Offer) -> bool:
        """Bind the best request to an offered slot.

        Returns:
            Whether there was one; otherwise the offer is not answered.
        """
        now = self._app.now()
        models = self._models_by_upstream.get(offer.upstream_id)
        if models is None:
            return False
        request = self._queue.pop_best(
            offer.workspace, offer.upstream_id, models, now
        )
        if request is None:
            return False
        grant = SlotGrant(
            slot=offer.slot,
            service=self._service,
            workspace=offer.workspace,
            upstream_id=offer.upstream_id,
            request_class=request.request_class,
            bound_at=now,
        )
        estimate = self._queue.estimate_seconds(
            request.workspace, request.request_class
        )
        self._use_by_slot[offer.slot] = _ActiveUse(grant, estimate)
        self._note_told(request)
        self._send(
            offer.slot.owner.router_id,
            OfferAccepted(self._service, offer.slot, estimate),
        )
        future = self._future_by_request.get(request.request_id)
        if future is None or future.done():
            self.release(grant, SlotOutcome.CANCELLED, 0)
        else:
            future.set_result(grant)
        self._demand_changed()
        return True

    def decline(self, offer: Offer) -> None:
        """Tell the owner that no request fits its offer."""
        declined = OfferDeclined(
            self._service, offer.slot, offer.workspace, offer.model
        )
        self._send(offer.slot.owner.router_id, declined)

    def refuse_expired(self) -> None:
        """Refuse the requests whose deadline has passed."""
        expired = self._queue.expired(self._app.now())
        for request in expired:
            future = self._future_by_request.get(request.request_id)
            if future is not None and not future.done():
                refusal = Refusal("deadline_passed", MIN_RETRY_AFTER_SECONDS)
                future.set_exception(refused_error(refusal))
        if expired:
            self._demand_changed()

    def refuse_all(self) -> None:
        """Refuse every waiting request, since the service is gone."""
        for request in list(self._queue):
            self._queue.remove(request)
            future = self._future_by_request.get(request.request_id)
            if future is not None and not future.done():
                refusal = Refusal("unknown_service", 1.0)
                future.set_exception(refused_error(refusal))

    def send_full_demand(self) -> None:
        """Tell the owners everything that waits."""
        entries = self._queue.demand(self._app.now())
        self._waiting_told = {
            (entry.workspace, entry.model): entry.waiting for entry in entries
        }
        self._broadcast(self._demand(full=True, entries=entries))

    def send_reports(self) -> None:
        """Tell each owner which of its slots are in use here."""
        now = self._app.now()
        active_by_owner: dict[str, list[ActiveSlot]] = {}
        for use in self._use_by_slot.values():
            active = ActiveSlot(
                slot=use.grant.slot,
                upstream_id=use.grant.upstream_id,
                workspace=use.grant.workspace,
                used_seconds=max(0.0, now - use.grant.bound_at),
                estimate_seconds=use.estimate_seconds,
            )
            owner = self._owner_of(use.grant)
            active_by_owner.setdefault(owner, []).append(active)
        for owner, active_slots in active_by_owner.items():
            self._send(owner, SlotReport(self._service, tuple(active_slots)))

    def send_report_to(self, router_id: str) -> None:
        """Answer a new owner that asks which of its slots are in use."""
        now = self._app.now()
        active = tuple(
            ActiveSlot(
                slot=use.grant.slot,
                upstream_id=use.grant.upstream_id,
                workspace=use.grant.workspace,
                used_seconds=max(0.0, now - use.grant.bound_at),
                estimate_seconds=use.estimate_seconds,
            )
            for use in self._use_by_slot.values()
        )
        self._send(router_id, SlotReport(self._service, active))

    @property
    def waiting_by_workspace(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        return self._queue.waiting_by_workspace()

    @property
    def active_slots(self) -> int:
        """Return the number of slots in use at this router."""
        return len(self._use_by_slot)

    def _withdraw(
        self, request: WaitingRequest, future: "asyncio.Future[SlotGrant]"
    ) -> None:
        if self._queue.remove(request):
            self._demand_changed()
            return
        if future.done() and not future.cancelled() and not future.exception():
            self.release(future.result(), SlotOutcome.CANCELLED, 0)

    def _owner_of(self, grant: SlotGrant) -> str:
        return self._ownership.owner_by_upstream.get(
            grant.upstream_id, grant.slot.owner.router_id
        )

    def _demand_changed(self) -> None:
        """Tell the owners soon, and at once if that is not too often."""
        if self._demand_timer is not None:
            return
        elapsed = self._app.now() - self._demand_sent_at
        delay = const.DEMAND_INTERVAL_SECONDS - elapsed
        if delay <= 0:
            self._send_changed_demand()
            return
        self._demand_timer = asyncio.get_running_loop().call_later(
            delay, self._send_changed_demand
        )

    def _send_changed_demand(self) -> None:
        self._demand_timer = None
        now = self._app.now()
        self._demand_sent_at = now
        current = {
            (entry.workspace, entry.model): entry
            for entry in self._queue.demand(now)
        }
        changed = [
            entry
            for key, entry in current.items()
            if _is_worth_telling(self._waiting_told.get(key, 0), entry.waiting)
        ]
        changed += [
            DemandEntry(workspace, model, 0, 0.0, 0.0)
            for (workspace, model), told in self._waiting_told.items()
            if told and (workspace, model) not in current
        ]
        if not changed:
            return
        for entry in changed:
            key = (entry.workspace, entry.model)
            self._waiting_told[key] = entry.waiting
        self._broadcast(self._demand(full=False, entries=tuple(changed)))

    def _note_told(self, request: WaitingRequest) -> None:
        """Count what the owner learns from an accepted offer."""
        if len(self._receivers) != 1:
            return
        key = (request.workspace, request.model)
        self._waiting_told[key] = max(0, self._waiting_told.get(key, 0) - 1)

    def _demand(
        self, *, full: bool, entries: tuple[DemandEntry, ...]
    ) -> Demand:
        self._demand_sequence += 1
        return Demand(self._service, self._demand_sequence, full, entries)

    def _broadcast(self, demand: Demand) -> None:
        for router_id in self._receivers:
            self._send(router_id, demand)


def _is_worth_telling(told: int, waiting: int) -> bool:
    """Return whether owners should hear of a change before the next report."""
    change = abs(waiting - told)
    if min(told, waiting) < _SMALL_QUEUE:
        return change > 0
    return change * 4 >= told
