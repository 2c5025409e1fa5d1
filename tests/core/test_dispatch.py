"""Tests of the allocation of slots by the slot owner."""

from collections import Counter

import pytest

from lacewingspar_core.dispatch import (
    CHARGE_AFTER_REPORT_SECONDS,
    OFFER_TIMEOUT_SECONDS,
    SLOT_LEASE_SECONDS,
    TAKEOVER_WAIT_SECONDS,
    SlotOwner,
)
from lacewingspar_core.events import (
    MessageReceived,
    OwnerAction,
    RouterGone,
    Send,
    TimePassed,
    UpstreamsChanged,
)
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import (
    ActiveSlot,
    CounterEntry,
    Counters,
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
from lacewingspar_core.slots import OwnedUpstream

OWNER = RouterInstance("owner", 1)
INGRESS = RouterInstance("ingress", 1)
REMOTE = RouterInstance("remote-owner", 1)


def make_owner(
    slots: int = 1, *, models: frozenset[str] = frozenset()
) -> SlotOwner:
    owner = SlotOwner("chat", OWNER, "north")
    set_upstreams(owner, OwnedUpstream("u1", slots, models))
    return owner


def set_upstreams(
    owner: SlotOwner, *upstreams: OwnedUpstream
) -> list[OwnerAction]:
    event = UpstreamsChanged(
        {item.upstream_id: item for item in upstreams}, {}, frozenset()
    )
    return owner.handle(event, 0.0)


def demand(
    sequence: int, waiting_by_workspace: dict[str, int], model: str = ""
) -> Demand:
    entries = tuple(
        DemandEntry(workspace, model, waiting, 0.0, 1.0)
        for workspace, waiting in waiting_by_workspace.items()
    )
    return Demand("chat", sequence, True, entries)


def receive(
    owner: SlotOwner,
    message: object,
    now: float,
    sender: RouterInstance = INGRESS,
) -> list[OwnerAction]:
    return owner.handle(MessageReceived(sender, message), now)  # type: ignore[arg-type]


def offers(actions: list[OwnerAction]) -> list[Offer]:
    return [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, Offer)
    ]


def accept(owner: SlotOwner, offer: Offer, now: float) -> list[OwnerAction]:
    return receive(owner, OfferAccepted("chat", offer.slot, 1.0), now)


def release(
    owner: SlotOwner, offer: Offer, now: float, used: float
) -> list[OwnerAction]:
    released = SlotReleased(
        "chat",
        offer.slot,
        offer.upstream_id,
        offer.workspace,
        used,
        1,
        0,
        SlotOutcome.COMPLETED,
    )
    return receive(owner, released, now)


def test_free_slots_are_offered_up_to_the_limit() -> None:
    owner = make_owner(slots=2)
    made = offers(receive(owner, demand(1, {"w1": 5}), 0.0))
    assert [offer.upstream_id for offer in made] == ["u1", "u1"]


def test_no_more_offers_than_waiting_requests() -> None:
    owner = make_owner(slots=8)
    assert len(offers(receive(owner, demand(1, {"w1": 3}), 0.0))) == 3


def test_model_decides_which_upstream_fits() -> None:
    owner = make_owner(models=frozenset({"small"}))
    large = OwnedUpstream("u2", 1, frozenset({"large"}))
    small = OwnedUpstream("u1", 1, frozenset({"small"}))
    set_upstreams(owner, small, large)
    made = offers(receive(owner, demand(1, {"w1": 2}, model="large"), 1.0))
    assert [offer.upstream_id for offer in made] == ["u2"]


def test_shares_are_even_whatever_requests_cost() -> None:
    """A workspace must not gain slot time by sending expensive requests."""
    owner = make_owner(slots=4)
    cost_by_workspace = {"cheap": 0.1, "expensive": 3.0, "flood": 1.0}
    served: Counter[str] = Counter()
    now = 0.0
    running: list[tuple[float, Offer]] = []
    actions = receive(owner, demand(1, dict.fromkeys(cost_by_workspace, 9)), 0)
    sequence = 1
    while now < 300.0:
        for offer in offers(actions):
            accept(owner, offer, now)
            cost = cost_by_workspace[offer.workspace]
            running.append((now + cost, offer))
        running.sort(key=lambda item: (item[0], item[1].slot.offer_id))
        now, offer = running.pop(0)
        cost = cost_by_workspace[offer.workspace]
        served[offer.workspace] += cost
        sequence += 1
        waiting = {"cheap": 9, "expensive": 9, "flood": 900}
        actions = receive(owner, demand(sequence, waiting), now)
        actions += release(owner, offer, now, cost)
    assert max(served.values()) - min(served.values()) < 2 * 3.0


def test_idle_workspace_accumulates_no_credit() -> None:
    """A workspace that returns from idle must not receive every slot."""
    owner = make_owner()
    now = 0.0
    actions = receive(owner, demand(1, {"busy": 9}), now)
    for _ in range(50):
        (offer,) = offers(actions)
        accept(owner, offer, now)
        now += 1.0
        receive(owner, demand(int(now) * 2, {"busy": 9}), now)
        actions = release(owner, offer, now, 1.0)
    grants: Counter[str] = Counter()
    for _ in range(16):
        (offer,) = offers(actions)
        grants[offer.workspace] += 1
        accept(owner, offer, now)
        now += 1.0
        receive(owner, demand(int(now) * 2, {"busy": 9, "new": 9}), now)
        actions = release(owner, offer, now, 1.0)
    assert abs(grants["busy"] - grants["new"]) <= 2


def test_high_score_leaves_an_eighth_of_an_equal_share() -> None:
    """A workspace with a high score after a partition must not starve."""
    owner = make_owner()
    receive(owner, demand(1, {"ahead": 9, "behind": 9}), 0.0)
    owner.ledger.charge("ahead", 10_000.0, 0.0)
    grants: Counter[str] = Counter()
    now = 1.0
    actions = owner.handle(TimePassed(), now)
    for sequence in range(2, 162):
        for offer in offers(actions):
            grants[offer.workspace] += 1
            accept(owner, offer, now)
            now += 1.0
            receive(owner, demand(sequence, {"ahead": 9, "behind": 9}), now)
            actions = release(owner, offer, now, 1.0)
    assert grants["ahead"] >= sum(grants.values()) // 16 - 1


@pytest.mark.parametrize("reply", ["declined", "no reply", "unreachable"])
def test_unaccepted_offer_frees_the_slot(reply: str) -> None:
    """A slot must not stay idle for an offer that nobody will accept."""
    owner = make_owner()
    (offer,) = offers(receive(owner, demand(1, {"w1": 1}), 0.0))
    match reply:
        case "declined":
            message = OfferDeclined("chat", offer.slot, "w1", "")
            receive(owner, message, 0.1)
        case "no reply":
            owner.handle(TimePassed(), OFFER_TIMEOUT_SECONDS)
        case _:
            owner.handle(RouterGone(INGRESS), 0.1)
    other = RouterInstance("other", 1)
    made = offers(receive(owner, demand(1, {"w2": 1}), 1.0, sender=other))
    assert [made_offer.workspace for made_offer in made] == ["w2"]
    assert owner.ledger.score("w1", 1.0) == 0.0


def test_lease_expires_without_reports() -> None:
    """Slots of a stopped ingress router must become free."""
    owner = make_owner()
    (offer,) = offers(receive(owner, demand(1, {"w1": 2}), 0.0))
    accept(owner, offer, 0.0)
    report = SlotReport("chat", (ActiveSlot(offer.slot, "u1", "w1", 3.0, 1.0),))
    assert not offers(receive(owner, report, 3.0))
    assert not offers(owner.handle(TimePassed(), 7.9))
    assert offers(owner.handle(TimePassed(), 3.0 + SLOT_LEASE_SECONDS))


def test_unreported_slot_is_not_charged_until_its_lease_expires() -> None:
    """A workspace must not pay for the lease if a release message is lost."""
    owner = make_owner()
    (offer,) = offers(receive(owner, demand(1, {"w1": 1}), 0.0))
    accept(owner, offer, 0.0)
    owner.handle(TimePassed(), SLOT_LEASE_SECONDS)
    assert owner.ledger.served_score("w1") == CHARGE_AFTER_REPORT_SECONDS


def test_moved_shard_frees_the_demand_of_its_offers() -> None:
    """A request whose offer was dropped with its shard gets a new offer."""
    owner = make_owner()
    receive(owner, demand(1, {"w1": 1}), 0.0)
    set_upstreams(owner)
    set_upstreams(owner, OwnedUpstream("u1", 1, frozenset()))
    assert offers(receive(owner, demand(2, {"w1": 1}), 0.5))
    assert owner.ledger.score("w1", 1.0) == 1.0


def test_new_owner_takes_over_slots_in_use_before_it_makes_offers() -> None:
    """An upstream must not be overcommitted when its shard moves."""
    owner = SlotOwner("chat", OWNER, "north")
    event = UpstreamsChanged(
        {"u1": OwnedUpstream("u1", 1, frozenset())}, {}, frozenset({INGRESS})
    )
    owner.handle(event, 0.0)
    assert not offers(receive(owner, demand(1, {"w1": 1}), 0.1))
    former = SlotId(RouterInstance("former", 1), 7)
    report = SlotReport("chat", (ActiveSlot(former, "u1", "w1", 1.0, 2.0),))
    assert not offers(receive(owner, report, 0.2))
    released = SlotReleased(
        "chat", former, "u1", "w1", 2.0, 1, 0, SlotOutcome.COMPLETED
    )
    assert offers(receive(owner, released, 1.0))


def test_new_owner_waits_a_bounded_time() -> None:
    owner = SlotOwner("chat", OWNER, "north")
    event = UpstreamsChanged(
        {"u1": OwnedUpstream("u1", 1, frozenset())}, {}, frozenset({INGRESS})
    )
    owner.handle(event, 0.0)
    receive(owner, demand(1, {"w1": 1}), 0.1)
    assert offers(owner.handle(TimePassed(), TAKEOVER_WAIT_SECONDS))


def remote_counters(sequence: int, waiting: int) -> Counters:
    entry = CounterEntry("far", 0, 0, waiting)
    return Counters(REMOTE, "chat", "south", sequence, 4, (entry,))


def test_idle_slot_goes_to_another_data_centre() -> None:
    """A slot must not stay idle while requests wait in other data centres."""
    owner = make_owner()
    actions = receive(owner, remote_counters(0, 3), 0.0, sender=REMOTE)
    assert [(a.receiver, a.message.workspace) for a in actions] == [  # type: ignore[union-attr]
        (REMOTE, "far")
    ]


def test_remote_offer_is_forwarded_to_an_ingress_router() -> None:
    owner = SlotOwner("chat", OWNER, "north")
    set_upstreams(owner, OwnedUpstream("u1", 1, frozenset(), False))
    receive(owner, demand(1, {"w1": 1}), 0.0)
    offer = Offer("chat", SlotId(REMOTE, 3), "u9", "w1", "", False)
    (action,) = receive(owner, offer, 0.1, sender=REMOTE)
    assert action.receiver == INGRESS
    assert isinstance(action.message, Offer)
    assert action.message.is_forwarded
    (declined,) = receive(owner, offer, 0.2, sender=REMOTE)
    assert isinstance(declined.message, OfferDeclined)
    assert declined.receiver == REMOTE


def test_leaving_upstream_gets_no_offers() -> None:
    owner = make_owner(slots=4)
    set_upstreams(owner, OwnedUpstream("u1", 4, frozenset(), False))
    assert not offers(receive(owner, demand(1, {"w1": 4}), 1.0))
