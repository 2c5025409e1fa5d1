"""Queue of one service at the ingress router.

The ingress router has the callers' connections. It queues their requests and
assigns them to slots that slot owners offer.
"""

import asyncio
from dataclasses import dataclass

from lacewingspar_core.documents import ServiceDocument
from lacewingspar_core.messages import (
    ActiveSlot,
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
from lacewingspar_router.components.scheduler.demand_sender import (
    DemandSender,
    SendFunction,
)
from lacewingspar_router.components.scheduler.errors import refused_error
from lacewingspar_router.components.scheduler.models import (
    SlotGrant,
    SlotRequest,
)


@dataclass(frozen=True, slots=True)
class _SlotInUse:
    """A slot in use, by one request after another.

    Attributes:
        grant: Grant of the current request.
        offered_at: Time at which the first request was assigned, in seconds.
        requests: Number of requests assigned so far.
        estimate_seconds: Estimated slot time of the current request.
    """

    grant: SlotGrant
    offered_at: float
    requests: int
    estimate_seconds: float


class IngressQueue:
    """Queues requests of one service and assigns them to offered slots.

    Attributes:
        demand: Sends the demand to the slot owners.

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
        self._use_by_slot: dict[SlotId, _SlotInUse] = {}
        self._models_by_upstream: dict[str, frozenset[str]] = {}
        self._quantum_seconds = 0.0
        self._ownership = ServiceOwnership({}, {})
        self.demand = DemandSender(app.now, service, self._queue, send)

    def configure(
        self, document: ServiceDocument, ownership: ServiceOwnership
    ) -> None:
        """Apply the service document and the ownership of its slots."""
        self._queue.configure(
            {item.name: item for item in document.request_classes},
            {item.name: item.queue_limit for item in document.workspaces},
        )
        self._models_by_upstream = {
            item.id: frozenset(item.models) for item in document.upstreams
        }
        self._quantum_seconds = document.limits.slot_quantum_seconds
        self._ownership = ownership
        self.demand.set_receivers(
            ownership.demand_receivers(
                self._service, self._app.settings.data_centre
            )
        )
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
        self.demand.schedule_changes()
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
        """Reuse a slot for the next request or release it to its owner.

        Does nothing if the grant is no longer current.
        """
        use = self._use_by_slot.get(grant.slot)
        if use is None or use.grant is not grant:
            return
        now = self._app.now()
        if outcome is SlotOutcome.COMPLETED:
            self._queue.record_cost(
                grant.workspace, grant.request_class, now - grant.bound_at
            )
            if self._reuse_slot(use, now):
                return
        del self._use_by_slot[grant.slot]
        released = SlotReleased(
            service=self._service,
            slot=grant.slot,
            upstream_id=grant.upstream_id,
            workspace=grant.workspace,
            used_seconds=max(0.0, now - use.offered_at),
            requests=use.requests,
            tokens=tokens,
            outcome=outcome,
        )
        # During a change of ownership, the router that made the offer may still
        # account for the slot and would charge it until its lease expires.
        for router_id in {grant.slot.owner.router_id, self._owner_of(grant)}:
            self._send(router_id, released)

    def accept_offer(self, offer: Offer) -> bool:
        """Assign the best waiting request to an offered slot.

        Returns:
            Whether a request was assigned. Otherwise no message was sent to the
            owner.
        """
        now = self._app.now()
        request = self._pop_best(offer.workspace, offer.upstream_id, now)
        if request is None:
            return False
        estimate = self._estimate(request)
        self._send(
            offer.slot.owner.router_id,
            OfferAccepted(self._service, offer.slot, estimate),
        )
        self.demand.record_accepted_offer(request)
        use = _SlotInUse(
            grant=self._grant(request, offer.slot, offer.upstream_id, now),
            offered_at=now,
            requests=1,
            estimate_seconds=estimate,
        )
        self._bind(use, request)
        return True

    def decline(self, offer: Offer) -> None:
        """Decline an offer because no waiting request fits it."""
        declined = OfferDeclined(
            self._service, offer.slot, offer.workspace, offer.model
        )
        self._send(offer.slot.owner.router_id, declined)
        self.demand.record_declined_offer(offer.workspace)

    def refuse_expired(self) -> None:
        """Refuse the requests whose deadline has passed."""
        expired = self._queue.pop_expired(self._app.now())
        for request in expired:
            self._refuse(
                request, Refusal("deadline_passed", MIN_RETRY_AFTER_SECONDS)
            )
        if expired:
            self.demand.schedule_changes()

    def refuse_all(self) -> None:
        """Refuse every waiting request after the service was removed."""
        for request in list(self._queue):
            self._queue.remove(request)
            self._refuse(request, Refusal("unknown_service", 1.0))

    def send_reports(self) -> None:
        """Send each owner a report of its slots in use at this router."""
        now = self._app.now()
        active_by_owner: dict[str, list[ActiveSlot]] = {}
        for use in self._use_by_slot.values():
            active_by_owner.setdefault(self._owner_of(use.grant), []).append(
                self._active_slot(use, now)
            )
        for owner, active_slots in active_by_owner.items():
            self._send(owner, SlotReport(self._service, tuple(active_slots)))

    def send_report_to(self, router_id: str) -> None:
        """Send a report of all slots in use to a new owner."""
        now = self._app.now()
        active = tuple(
            self._active_slot(use, now) for use in self._use_by_slot.values()
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

    def _reuse_slot(self, use: _SlotInUse, now: float) -> bool:
        """Assign a slot to the next request of the same workspace, if possible.

        A workspace keeps a slot for one quantum. A round trip to the owner
        after every short request would leave the slot idle.
        """
        if now - use.offered_at >= self._quantum_seconds:
            return False
        grant = use.grant
        request = self._pop_best(grant.workspace, grant.upstream_id, now)
        if request is None:
            return False
        next_use = _SlotInUse(
            grant=self._grant(request, grant.slot, grant.upstream_id, now),
            offered_at=use.offered_at,
            requests=use.requests + 1,
            estimate_seconds=self._estimate(request),
        )
        self._bind(next_use, request)
        return True

    def _bind(self, use: _SlotInUse, request: WaitingRequest) -> None:
        """Pass a slot to the task that waits for it."""
        self._use_by_slot[use.grant.slot] = use
        future = self._future_by_request.get(request.request_id)
        if future is None or future.done():
            self.release(use.grant, SlotOutcome.CANCELLED, 0)
        else:
            future.set_result(use.grant)
        self.demand.schedule_changes()

    def _pop_best(
        self, workspace: str, upstream_id: str, now: float
    ) -> WaitingRequest | None:
        models = self._models_by_upstream.get(upstream_id)
        if models is None:
            return None
        return self._queue.pop_best(workspace, upstream_id, models, now)

    def _estimate(self, request: WaitingRequest) -> float:
        return self._queue.estimate_seconds(
            request.workspace, request.request_class
        )

    def _grant(
        self,
        request: WaitingRequest,
        slot: SlotId,
        upstream_id: str,
        now: float,
    ) -> SlotGrant:
        return SlotGrant(
            slot=slot,
            service=self._service,
            workspace=request.workspace,
            upstream_id=upstream_id,
            request_class=request.request_class,
            bound_at=now,
        )

    def _active_slot(self, use: _SlotInUse, now: float) -> ActiveSlot:
        return ActiveSlot(
            slot=use.grant.slot,
            upstream_id=use.grant.upstream_id,
            workspace=use.grant.workspace,
            used_seconds=max(0.0, now - use.offered_at),
            estimate_seconds=use.estimate_seconds,
        )

    def _refuse(self, request: WaitingRequest, refusal: Refusal) -> None:
        """Raise a refusal in the task of a request that has left the queue."""
        future = self._future_by_request.get(request.request_id)
        if future is not None and not future.done():
            future.set_exception(refused_error(refusal))

    def _withdraw(
        self, request: WaitingRequest, future: "asyncio.Future[SlotGrant]"
    ) -> None:
        if self._queue.remove(request):
            self.demand.schedule_changes()
            return
        if future.done() and not future.cancelled() and not future.exception():
            self.release(future.result(), SlotOutcome.CANCELLED, 0)

    def _owner_of(self, grant: SlotGrant) -> str:
        return self._ownership.owner_by_upstream.get(
            grant.upstream_id, grant.slot.owner.router_id
        )
