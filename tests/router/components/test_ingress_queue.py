"""Queue of a service at the ingress router."""

import asyncio

import pytest
from tests.router.conftest import settings

from lacewingspar_core.documents import ServiceDocument, validate_document
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import (
    AnyPeerMessage,
    Demand,
    Offer,
    OfferAccepted,
    OfferDeclined,
    SlotId,
    SlotOutcome,
    SlotReleased,
)
from lacewingspar_core.ownership import ServiceOwnership
from lacewingspar_router.application import Application
from lacewingspar_router.components.scheduler.ingress_queue import IngressQueue
from lacewingspar_router.components.scheduler.models import (
    SlotGrant,
    SlotRequest,
)

OWNER = RouterInstance("owner", 1)
FORMER = RouterInstance("former", 1)


class Clock(Application):
    """Application with a clock that is set by the test."""

    time = 1.0

    def now(self) -> float:
        return self.time


class Harness:
    """An ingress queue whose sent messages are recorded."""

    def __init__(self, quantum: float) -> None:
        self.clock = Clock(settings(router_id="ingress", data_centre="north"))
        self.sent: list[tuple[str, AnyPeerMessage]] = []
        self.message_bytes = 0
        self.demand_sent = asyncio.Event()
        self.ingress_queue = IngressQueue(self.clock, "plain", self.send)
        ownership = ServiceOwnership(
            {"u1": "owner"}, {"north": frozenset({"owner"})}
        )
        self.ingress_queue.configure(document(quantum), ownership)
        self.sent.clear()

    def send(self, router_id: str, message: AnyPeerMessage) -> int:
        self.sent.append((router_id, message))
        if isinstance(message, Demand):
            self.demand_sent.set()
        return self.message_bytes

    def messages(self, message_type: type) -> list[tuple[str, AnyPeerMessage]]:
        return [item for item in self.sent if isinstance(item[1], message_type)]

    def acquire(self, number: int) -> "asyncio.Task[SlotGrant]":
        now = self.clock.time
        request = SlotRequest(
            f"r{number}", "plain", "w1", "", "", now, now + 100.0
        )
        return asyncio.create_task(
            self.ingress_queue.async_acquire(request, default_class="default")
        )


def document(quantum: float) -> ServiceDocument:
    return validate_document(
        {
            "service": "plain",
            "kind": "plain",
            "upstreams": [
                {
                    "id": "u1",
                    "data_centre": "north",
                    "address": "http://127.0.0.1:9",
                    "slots": 1,
                }
            ],
            "workspaces": [{"name": "w1", "token_sha256": ["0" * 64]}],
            "limits": {"slot_quantum_seconds": quantum},
        }
    ).unwrap()


def offer(number: int, owner: RouterInstance = OWNER) -> Offer:
    return Offer("plain", SlotId(owner, number), "u1", "w1", "", False)


async def test_offer_is_accepted_for_a_waiting_request() -> None:
    harness = Harness(0.0)
    task = harness.acquire(1)
    await asyncio.sleep(0)
    assert harness.messages(Demand)
    assert harness.ingress_queue.accept_offer(offer(1))
    grant = await task
    assert grant.slot == SlotId(OWNER, 1)
    assert harness.messages(OfferAccepted)[0][0] == "owner"


@pytest.mark.parametrize(
    ("quantum", "elapsed", "is_kept"),
    [(0.25, 0.1, True), (0.25, 0.3, False), (0.0, 0.1, False)],
)
async def test_slot_is_kept_for_one_quantum(
    quantum: float, elapsed: float, is_kept: bool
) -> None:
    """Guards against keeping a slot after its quantum has passed."""
    harness = Harness(quantum)
    first, second = harness.acquire(1), harness.acquire(2)
    await asyncio.sleep(0)
    harness.ingress_queue.accept_offer(offer(1))
    grant = await first
    harness.clock.time += elapsed
    harness.ingress_queue.release(grant, SlotOutcome.COMPLETED, 0)
    await asyncio.sleep(0)
    assert second.done() is is_kept
    assert bool(harness.messages(SlotReleased)) is not is_kept
    second.cancel()


async def test_failed_upstream_is_not_used_again() -> None:
    """Guards against reusing the slot of a failed attempt."""
    harness = Harness(10.0)
    first, second = harness.acquire(1), harness.acquire(2)
    await asyncio.sleep(0)
    harness.ingress_queue.accept_offer(offer(1))
    harness.ingress_queue.release(await first, SlotOutcome.UPSTREAM_FAILED, 0)
    await asyncio.sleep(0)
    assert not second.done()
    second.cancel()


async def test_release_reaches_the_router_that_made_the_offer() -> None:
    """Guards against a slot that a former owner charges until lease expiry."""
    harness = Harness(0.0)
    task = harness.acquire(1)
    await asyncio.sleep(0)
    harness.ingress_queue.accept_offer(offer(1, FORMER))
    harness.ingress_queue.release(await task, SlotOutcome.COMPLETED, 0)
    receivers = {router_id for router_id, _ in harness.messages(SlotReleased)}
    assert receivers == {"former", "owner"}


async def test_second_release_changes_nothing() -> None:
    harness = Harness(0.0)
    task = harness.acquire(1)
    await asyncio.sleep(0)
    harness.ingress_queue.accept_offer(offer(1))
    grant = await task
    harness.ingress_queue.release(grant, SlotOutcome.COMPLETED, 0)
    harness.ingress_queue.release(grant, SlotOutcome.COMPLETED, 0)
    assert len(harness.messages(SlotReleased)) == 1


async def test_demand_is_sent_again_after_a_declined_offer() -> None:
    """The owner assumes no demand after a declined offer."""
    harness = Harness(0.0)
    task = harness.acquire(1)
    await asyncio.sleep(0)
    assert not harness.ingress_queue.accept_offer(
        Offer("plain", SlotId(OWNER, 1), "u9", "w1", "", False)
    )
    harness.sent.clear()
    harness.demand_sent.clear()
    harness.clock.time += 1.0
    harness.ingress_queue.decline(offer(1))
    assert harness.messages(OfferDeclined)
    # An immediate demand message would cause the same offer again.
    assert not harness.messages(Demand)
    await harness.demand_sent.wait()
    (demand,) = harness.messages(Demand)
    assert isinstance(demand[1], Demand)
    assert [entry.waiting for entry in demand[1].entries] == [1]
    task.cancel()


@pytest.mark.parametrize(
    ("message_bytes", "elapsed", "is_sent"),
    [(0, 0.9, False), (0, 1.1, True), (4000, 1.1, False), (4000, 10.1, True)],
)
async def test_interval_of_full_demand_grows_with_its_size(
    message_bytes: int, elapsed: float, is_sent: bool
) -> None:
    """Guards against demand messages that exceed the control budget."""
    harness = Harness(0.0)
    harness.message_bytes = message_bytes
    harness.ingress_queue.demand.send_full()
    harness.sent.clear()
    harness.clock.time += elapsed
    harness.ingress_queue.demand.send_full_if_due()
    assert bool(harness.messages(Demand)) is is_sent


async def test_removed_service_refuses_waiting_requests() -> None:
    harness = Harness(0.0)
    task = harness.acquire(1)
    await asyncio.sleep(0)
    harness.ingress_queue.refuse_all()
    with pytest.raises(Exception, match="does not exist"):
        await task


@pytest.mark.parametrize("is_cancelled_first", [False, True])
async def test_cancelled_at_the_moment_of_the_grant(
    is_cancelled_first: bool,
) -> None:
    """Guards against a slot that stays unused until its lease expires."""
    harness = Harness(0.0)
    task = harness.acquire(1)
    await asyncio.sleep(0)
    if is_cancelled_first:
        task.cancel()
    assert harness.ingress_queue.accept_offer(offer(1))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()
    assert harness.ingress_queue.active_slots == 0
    assert harness.ingress_queue.waiting_by_workspace == {}
    ((_, released),) = harness.messages(SlotReleased)
    assert released.outcome is SlotOutcome.CANCELLED
