"""Ingress queues and slot owners of all services at this router."""

import asyncio
from collections.abc import Mapping
from typing import Any

from lacewingspar_core.dispatch import SlotOwner
from lacewingspar_core.documents import ServiceDocument
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
from lacewingspar_core.messages import (
    Counters,
    Demand,
    Offer,
    OfferAccepted,
    OfferDeclined,
    SlotOutcome,
    SlotReleased,
    SlotReport,
    SlotReportRequest,
)
from lacewingspar_core.ownership import ServiceOwnership, assign_owners
from lacewingspar_core.peer_message import PeerMessage
from lacewingspar_core.slots import OwnedUpstream
from lacewingspar_router.application import Application
from lacewingspar_router.components.configuration.models import (
    ConfigurationStore,
)
from lacewingspar_router.components.peers.models import (
    PeerNetwork,
    ReceivedMessage,
)
from lacewingspar_router.components.scheduler import const
from lacewingspar_router.components.scheduler.counters_schedule import (
    CountersSchedule,
)
from lacewingspar_router.components.scheduler.event_recorder import (
    EventRecorder,
)
from lacewingspar_router.components.scheduler.ingress_queue import IngressQueue
from lacewingspar_router.components.scheduler.models import (
    SlotGrant,
    SlotRequest,
)
from lacewingspar_router.components.upstreams.models import UpstreamPool
from lacewingspar_router.errors import RequestRefusedError

_OWNER_MESSAGES: tuple[type[PeerMessage], ...] = (
    Demand,
    OfferAccepted,
    OfferDeclined,
    SlotReleased,
    SlotReport,
    Counters,
)
_STATES_WITH_NEW_WORK = frozenset({"unknown", "healthy"})


class FleetScheduler:
    """Grants slots to requests by exchanging messages with other routers.

    Args:
        app: The application.
        peers: Network to other routers.
        configuration: Active service documents.
        upstreams: Status of the upstreams.
        recorder: Records events and decisions for replay, if any.
    """

    def __init__(
        self,
        app: Application,
        peers: PeerNetwork,
        configuration: ConfigurationStore,
        upstreams: UpstreamPool,
        recorder: EventRecorder | None = None,
    ) -> None:
        self._recorder = recorder
        self._app = app
        self._peers = peers
        self._configuration = configuration
        self._upstreams = upstreams
        self._ingress_queue_by_service: dict[str, IngressQueue] = {}
        self._owner_by_service: dict[str, SlotOwner] = {}
        self._ownership_by_service: dict[str, ServiceOwnership] = {}
        self._document_by_service: dict[str, ServiceDocument] = {}
        self._counters_schedule_by_service: dict[str, CountersSchedule] = {}
        self._known_instances: dict[str, RouterInstance] = {}
        for message_type in _OWNER_MESSAGES:
            peers.subscribe(message_type, self._receive_as_owner)
        peers.subscribe(Offer, self._receive_offer)
        peers.subscribe(SlotReportRequest, self._receive_report_request)
        peers.add_listener(self._routers_changed)
        configuration.add_listener(self.reconfigure)
        upstreams.add_listener(self._upstreams_changed)

    async def async_acquire(self, request: SlotRequest) -> SlotGrant:
        """Wait for a slot; cancelling the call withdraws the request.

        Raises:
            RequestRefusedError: The request is refused; it was not sent.
        """
        document = self._document_by_service.get(request.service)
        if document is None:
            raise RequestRefusedError(
                404,
                "unknown_service",
                f"service {request.service!r} does not exist",
            )
        return await self._ingress_queue_by_service[
            request.service
        ].async_acquire(request, default_class=document.request_classes[0].name)

    def release(
        self, grant: SlotGrant, outcome: SlotOutcome, tokens: int = 0
    ) -> None:
        """Release a slot."""
        self._ingress_queue_by_service[grant.service].release(
            grant, outcome, tokens
        )

    def reconfigure(self) -> None:
        """Apply the active documents, alive routers and upstream states."""
        documents = self._configuration.documents_by_service
        for service in self._document_by_service.keys() - documents.keys():
            self._ingress_queue_by_service[service].refuse_all()
        self._document_by_service = dict(documents)
        for service, document in documents.items():
            self._reconfigure_service(service, document)
        own_id = self._app.instance.router_id
        # Only the owner polls an upstream, not every router of the data centre.
        self._upstreams.set_polled(
            [
                (service, upstream_id)
                for service in documents
                for upstream_id, owner in self._ownership_by_service[
                    service
                ].owner_by_upstream.items()
                if owner == own_id
            ]
        )

    async def async_tick(self) -> None:
        """Check deadlines and leases and send reports until cancelled."""
        ticks = 0
        while True:
            await asyncio.sleep(const.TICK_SECONDS)
            ticks += 1
            self.tick(ticks)

    def tick(self, ticks: int) -> None:
        """Perform the periodic checks and sends of one tick.

        Args:
            ticks: Number of ticks so far, including this one.
        """
        for ingress_queue in self._ingress_queue_by_service.values():
            ingress_queue.refuse_expired()
            ingress_queue.demand.send_full_if_due()
            if ticks % const.TICKS_PER_REPORT == 0:
                ingress_queue.send_reports()
        for service in self._owner_by_service:
            self._handle(service, TimePassed())
            self._publish_due_counters(service)

    async def async_drain(self) -> None:
        """Wait until all slots are released, then publish all counters."""
        while self._is_busy():  # noqa: ASYNC110
            await asyncio.sleep(const.TICK_SECONDS)
        for service in self._owner_by_service:
            self._publish_counters(service, full=True)

    def status_snapshot(self) -> dict[str, Any]:
        """Return slots and waiting requests as JSON values, for operators."""
        return {
            service: {
                "owner_by_upstream": dict(
                    self._ownership_by_service[service].owner_by_upstream
                ),
                "slots_in_use_here": ingress_queue.active_slots,
                "waiting_here": ingress_queue.waiting_by_workspace,
                "owned_uses": self._owned_allocations(service),
            }
            for service, ingress_queue in self._ingress_queue_by_service.items()
        }

    def accounts_snapshot(self) -> dict[str, Any]:
        """Return the slot time granted by this router instance, as JSON."""
        return {
            service: owner.ledger.own_served_by_workspace()
            for service, owner in self._owner_by_service.items()
        }

    def _is_busy(self) -> bool:
        return any(
            ingress_queue.active_slots or ingress_queue.waiting_by_workspace
            for ingress_queue in self._ingress_queue_by_service.values()
        )

    def _owned_allocations(self, service: str) -> Mapping[str, int]:
        owner = self._owner_by_service.get(service)
        return owner.allocated_slots_by_upstream if owner else {}

    def _reconfigure_service(
        self, service: str, document: ServiceDocument
    ) -> None:
        ingress_queue = self._ingress_queue_by_service.get(service)
        if ingress_queue is None:
            ingress_queue = IngressQueue(self._app, service, self._peers.send)
            self._ingress_queue_by_service[service] = ingress_queue
        ownership = assign_owners(
            service,
            {item.id: item.data_centre for item in document.upstreams},
            self._serving_routers(),
        )
        is_changed = ownership != self._ownership_by_service.get(service)
        self._ownership_by_service[service] = ownership
        self._update_owner(service, document, ownership)
        ingress_queue.configure(document, ownership)
        if is_changed:
            self._publish_counters(service, full=True)

    def _update_owner(
        self,
        service: str,
        document: ServiceDocument,
        ownership: ServiceOwnership,
    ) -> None:
        own_id = self._app.instance.router_id
        upstream_by_id = {
            item.id: self._owned_upstream(service, item.id, item)
            for item in document.upstreams
            if ownership.owner_by_upstream.get(item.id) == own_id
        }
        if service not in self._owner_by_service:
            if not upstream_by_id:
                return
            self._owner_by_service[service] = SlotOwner(
                service, self._app.instance, self._app.settings.data_centre
            )
        event = UpstreamsChanged(
            upstream_by_id=upstream_by_id,
            weight_by_workspace={
                item.name: item.weight for item in document.workspaces
            },
            routers=frozenset(self._known_instances.values()),
        )
        self._handle(service, event)

    def _owned_upstream(
        self, service: str, upstream_id: str, item: Any
    ) -> OwnedUpstream:
        status = self._upstreams.status_by_upstream.get((service, upstream_id))
        return OwnedUpstream(
            upstream_id=upstream_id,
            slots=min(item.slots, status.slots) if status else item.slots,
            models=frozenset(item.models),
            accepts_work=(
                status is None or status.state in _STATES_WITH_NEW_WORK
            ),
        )

    def _serving_routers(self) -> dict[str, str]:
        return {
            router_id: record.data_centre
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
        }

    def _routers_changed(self) -> None:
        alive = {
            router_id: record.life
            for router_id, record in self._peers.alive_by_router_id.items()
        }
        stopped = [
            instance
            for router_id, instance in self._known_instances.items()
            if alive.get(router_id) != instance
        ]
        self._known_instances = alive
        for instance in stopped:
            for service in self._owner_by_service:
                self._handle(service, RouterGone(instance))
        self.reconfigure()

    def _upstreams_changed(self) -> None:
        for service, document in self._document_by_service.items():
            ownership = self._ownership_by_service[service]
            self._update_owner(service, document, ownership)

    def _publish_due_counters(self, service: str) -> None:
        now = self._app.now()
        schedule = self._counters_schedule_by_service.get(service)
        if schedule is None:
            schedule = CountersSchedule(now)
            self._counters_schedule_by_service[service] = schedule
        if now >= schedule.next_at:
            is_full = now >= schedule.next_full_at
            self._publish_counters(service, full=is_full)

    def _publish_counters(self, service: str, *, full: bool) -> None:
        if service not in self._owner_by_service:
            return
        sent_bytes = self._handle(service, CountersDue(full))
        schedule = CountersSchedule.after(
            self._app.now(),
            self._counters_schedule_by_service.get(service),
            sent_bytes=sent_bytes,
            services=len(self._owner_by_service),
            is_full=full,
        )
        self._counters_schedule_by_service[service] = schedule

    def _receive_as_owner(self, received: ReceivedMessage) -> None:
        service: str = received.message.service  # type: ignore[union-attr]
        if service in self._owner_by_service:
            event = MessageReceived(received.sender, received.message)
            self._handle(service, event)

    def _receive_offer(self, received: ReceivedMessage) -> None:
        offer = received.message
        assert isinstance(offer, Offer)
        ingress_queue = self._ingress_queue_by_service.get(offer.service)
        if ingress_queue is not None and ingress_queue.accept_offer(offer):
            return
        owner = self._owner_by_service.get(offer.service)
        is_own = offer.slot.owner == self._app.instance
        if (
            owner is None
            or offer.is_forwarded
            or is_own
            or ingress_queue is None
        ):
            self._decline(received, offer)
            return
        self._handle(offer.service, MessageReceived(received.sender, offer))

    def _decline(self, received: ReceivedMessage, offer: Offer) -> None:
        ingress_queue = self._ingress_queue_by_service.get(offer.service)
        if ingress_queue is not None:
            ingress_queue.decline(offer)
            return
        declined = OfferDeclined(
            offer.service, offer.slot, offer.workspace, offer.model
        )
        self._peers.send(received.sender.router_id, declined)

    def _receive_report_request(self, received: ReceivedMessage) -> None:
        request = received.message
        assert isinstance(request, SlotReportRequest)
        ingress_queue = self._ingress_queue_by_service.get(request.service)
        if ingress_queue is None:
            report = SlotReport(request.service, ())
            self._peers.send(received.sender.router_id, report)
            return
        ingress_queue.send_report_to(received.sender.router_id)

    def _handle(self, service: str, event: OwnerEvent) -> int:
        """Pass an event to the slot owner of a service and perform its actions.

        Returns:
            Number of bytes of counters that were sent.
        """
        now = self._app.now()
        actions = self._owner_by_service[service].handle(event, now)
        if self._recorder is not None:
            self._recorder.record(service, now, event, actions)
        return sum(self._perform(service, action) for action in actions)

    def _perform(self, service: str, action: OwnerAction) -> int:
        match action:
            case Send(receiver, message):
                self._peers.send(receiver.router_id, message)
                return 0
            case Announce(counters):
                own_id = self._app.instance.router_id
                owners = self._ownership_by_service[service].owners
                return sum(
                    self._peers.send(router_id, counters)
                    for router_id in sorted(owners - {own_id})
                )
