"""Tests of the counters and scores of the ledger."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.ledger import (
    ACTIVE_OWNER_SECONDS,
    COUNTERS_RETENTION_SECONDS,
    ServiceLedger,
)
from lacewingspar_core.messages import CounterEntry, Counters

OWN = RouterInstance("router-a", 1)
PEER = RouterInstance("router-b", 1)
THIRD = RouterInstance("router-c", 1)


def make_ledger() -> ServiceLedger:
    return ServiceLedger("chat", OWN, "north")


def counters(
    sequence: int,
    *entries: tuple[str, float, float, int],
    instance: RouterInstance = PEER,
    slots: int = 4,
) -> Counters:
    return Counters(
        instance=instance,
        service="chat",
        data_centre="south",
        sequence=sequence,
        slots=slots,
        entries=tuple(
            CounterEntry(name, round(served * 1000), round(pending * 1000), n)
            for name, served, pending, n in entries
        ),
    )


def test_first_message_of_an_instance_sets_the_baseline() -> None:
    """A restarted router must not count slot time served before its start."""
    ledger = make_ledger()
    ledger.merge(counters(0, ("w1", 500.0, 0.0, 0)), now=0.0)
    assert ledger.score("w1", 1.0) == 0.0
    ledger.merge(counters(1, ("w1", 502.5, 0.0, 0)), now=1.0)
    assert ledger.score("w1", 1.0) == 2.5


def test_repeated_and_late_messages_change_nothing() -> None:
    ledger = make_ledger()
    first = counters(0, ("w1", 0.0, 0.0, 0))
    second = counters(1, ("w1", 3.0, 2.0, 5))
    third = counters(2, ("w1", 7.0, 1.0, 0))
    for message in (first, third, second, third, first):
        ledger.merge(message, now=1.0)
    assert ledger.score("w1", 1.0) == pytest.approx(8.0)
    assert ledger.remote_waiting_by_owner(1.0) == {}


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    increments=st.lists(st.integers(0, 5), min_size=1, max_size=12),
    seed=st.integers(0, 1000),
)
def test_any_order_of_delivery_gives_the_same_score(
    increments: list[int], seed: int
) -> None:
    served = 0.0
    messages = []
    for sequence, increment in enumerate(increments, start=1):
        served += increment
        messages.append(counters(sequence, ("w1", served, 0.0, 0)))
    shuffled = messages * 2
    random.Random(seed).shuffle(shuffled)
    ledger = make_ledger()
    ledger.merge(counters(0, ("w1", 0.0, 0.0, 0)), now=0.0)
    for message in shuffled:
        ledger.merge(message, now=0.0)
    assert ledger.score("w1", 1.0) == pytest.approx(sum(increments))


def test_weight_divides_service() -> None:
    ledger = make_ledger()
    ledger.set_weights({"large": 4.0, "small": 1.0})
    ledger.charge("large", 8.0, 4.0)
    ledger.charge("small", 2.0, 1.0)
    assert ledger.score("large", 1.0) == ledger.score("small", 1.0) == 3.0


def test_changed_weight_does_not_revalue_past_service() -> None:
    """A lower weight must not starve a workspace for past slot time."""
    ledger = make_ledger()
    ledger.charge("w1", 100.0, 0.0)
    ledger.set_weights({"w1": 0.1})
    assert ledger.score("w1", 1.0) == 100.0


def test_unpublished_grants_count_once_for_each_owner() -> None:
    ledger = make_ledger()
    ledger.set_slots(4)
    ledger.merge(counters(0, slots=12), now=0.0)
    ledger.charge("w1", 0.0, 2.0)
    ledger.add_unpublished_grant("w1", 2.0)
    assert ledger.fleet_slot_ratio(0.0) == 4.0
    assert ledger.score("w1", ledger.fleet_slot_ratio(0.0)) == 8.0
    ledger.publish(full=False)
    assert ledger.score("w1", ledger.fleet_slot_ratio(0.0)) == 2.0


def test_inactive_owner_does_not_count_for_the_slot_ratio() -> None:
    ledger = make_ledger()
    ledger.set_slots(4)
    ledger.merge(counters(0, slots=12), now=0.0)
    assert ledger.fleet_slot_ratio(ACTIVE_OWNER_SECONDS + 0.1) == 1.0


def test_unreachable_instance_leaves_no_pending_slot_time() -> None:
    """A workspace must not be charged forever for a lost request."""
    ledger = make_ledger()
    ledger.merge(counters(0, ("w1", 0.0, 5.0, 3)), now=0.0)
    ledger.mark_unreachable(PEER)
    assert ledger.score("w1", 1.0) == 0.0
    assert ledger.remote_waiting_by_owner(0.0) == {}


def test_removed_instance_that_returns_sets_a_new_baseline() -> None:
    ledger = make_ledger()
    ledger.merge(counters(0, ("w1", 0.0, 0.0, 0)), now=0.0)
    ledger.merge(counters(1, ("w1", 9.0, 0.0, 0)), now=0.0)
    later = COUNTERS_RETENTION_SECONDS + 1.0
    ledger.remove_expired_counters(later)
    ledger.merge(counters(2, ("w1", 12.0, 0.0, 0)), now=later)
    assert ledger.score("w1", 1.0) == 9.0


def test_publish_sends_only_what_changed() -> None:
    ledger = make_ledger()
    ledger.charge("w1", 1.0, 0.0)
    ledger.charge("w2", 2.0, 0.0)
    first = ledger.publish(full=False)
    assert first is not None
    assert [entry.workspace for entry in first.entries] == ["w1", "w2"]
    assert ledger.publish(full=False) is None
    ledger.set_waiting({"w2": 3})
    second = ledger.publish(full=False)
    assert second is not None
    assert [entry.waiting for entry in second.entries] == [3]
    full = ledger.publish(full=True)
    assert full is not None
    assert len(full.entries) == 2


def test_owners_start_at_different_workspaces() -> None:
    names = [f"w{number}" for number in range(16)]
    firsts = set()
    for number in range(8):
        ledger = ServiceLedger("chat", RouterInstance(f"r{number}", 1), "north")
        firsts.add(min(names, key=ledger.tie_break_rank))
    assert len(firsts) > 4


def test_workspace_backlogged_throughout_a_partition_is_not_idle() -> None:
    """Service received during a partition still counts after it ends."""
    ledger = make_ledger()
    ledger.merge(counters(0, ("far", 0.0, 0.0, 3), ("idle", 0.0, 0.0, 1)), 0.0)
    ledger.mark_unreachable(PEER)
    assert ledger.remote_waiting_by_owner(1.0) == {}
    ledger.merge(counters(9, ("far", 5.0, 0.0, 3), ("idle", 0.0, 0.0, 0)), 60.0)
    assert ledger.pop_still_backlogged() == {"far"}
    assert ledger.pop_still_backlogged() == set()
    assert ledger.remote_waiting_by_owner(60.0) == {PEER: {"far": 3}}
