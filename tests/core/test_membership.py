"""Tests of the member table and its gossip."""

import random

import msgspec
import pytest

from lacewingspar_core.membership import (
    LOCAL_UPDATES_PER_HEARTBEAT,
    MAX_FULL_TABLE_ROUTERS,
    NEW_RECORDS_PER_HEARTBEAT,
    REMOTE_UPDATES_PER_HEARTBEAT,
    Membership,
    Seed,
)
from lacewingspar_core.messages import Heartbeat, RouterState, encode_message
from lacewingspar_standins.bench.gossip import GossipFleet, member_record


def _membership(routers: int, data_centres: int = 5) -> Membership:
    records = [member_record(index, data_centres) for index in range(routers)]
    membership = Membership(records[0], (), random.Random(1))
    membership.merge(Heartbeat(tuple(records[1:])), 0.0)
    return membership


@pytest.mark.parametrize("routers", [1, 8, MAX_FULL_TABLE_ROUTERS])
def test_small_fleet_exchanges_full_tables(routers: int) -> None:
    """Guards against slow failure detection in small fleets."""
    heartbeat, _ = _membership(routers).next_heartbeat(0.1)
    assert (len(heartbeat.members), heartbeat.member_updates) == (routers, ())


def test_router_that_is_gone_takes_no_heartbeat_of_an_alive_one() -> None:
    """Guards against alive routers that count as failed."""
    own, alive = (member_record(index, data_centres=2) for index in (0, 1))
    gone = Seed("gone", alive.data_centre, "tcp://127.0.0.1:1")
    membership = Membership(own, (gone,), random.Random(1))
    receivers = []
    for second in range(60):
        record = msgspec.structs.replace(alive, heartbeat=second + 1)
        membership.merge(Heartbeat((record,)), float(second))
        receivers.append(membership.next_heartbeat(second + 0.5)[1])
    assert all(alive.life.router_id in ids for ids in receivers)
    assert any(gone.router_id in ids for ids in receivers)


@pytest.mark.parametrize("routers", [40, 390, 1000])
@pytest.mark.parametrize("now", [0.1, 8.0])
def test_heartbeat_is_bounded(routers: int, now: float) -> None:
    """Guards against traffic that grows with the square of the fleet."""
    heartbeat, receivers = _membership(routers).next_heartbeat(now)
    assert len(heartbeat.members) <= 2 + NEW_RECORDS_PER_HEARTBEAT
    assert (
        len(heartbeat.member_updates)
        <= LOCAL_UPDATES_PER_HEARTBEAT + REMOTE_UPDATES_PER_HEARTBEAT * 3 // 2
    )
    assert len(receivers) <= 3
    assert len(encode_message(heartbeat)) < 2800


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_only_failed_routers_are_considered_failed(
    seed: int, loss: float
) -> None:
    """Guards against false failures in a data centre of the target size."""
    fleet = GossipFleet(routers=78, data_centres=1, seed=seed, loss=loss)
    fleet.run(25.0)
    assert fleet.figures.local_misses == 0
    fleet.fail(fleet.first_id, 20.0)
    assert max(fleet.figures.suspected_seconds) < 20.0


@pytest.mark.parametrize(
    ("heartbeat", "state", "is_applied"),
    [(1, RouterState.DRAINING, True), (-1, RouterState.DRAINING, False)],
)
def test_member_update_carries_state_and_offset(
    heartbeat: int, state: RouterState, is_applied: bool
) -> None:
    """Guards against a lost state and against one from an old update."""
    sender, receiver = _membership(40), _membership(40)
    before = member_record(7, 5)
    after = msgspec.structs.replace(
        before,
        heartbeat=before.heartbeat + heartbeat,
        state=state,
        applied_offset=before.applied_offset + 3,
    )
    sender = Membership(member_record(1, 5), (), random.Random(1))
    records = [member_record(index, 5) for index in range(2, 40)]
    records[5] = after
    sender.merge(Heartbeat(tuple(records)), 0.0)
    message, _ = sender.next_heartbeat(6.0)
    updates_only = msgspec.structs.replace(message, members=message.members[:1])
    receiver.merge(updates_only, 6.0)
    known = receiver.alive(6.0)[before.life.router_id]
    assert known == (after if is_applied else before)


def test_restarted_router_gets_the_full_table() -> None:
    """Guards against a restarted router that learns the fleet too slowly."""
    known = _membership(390)
    restarted = Membership(member_record(7, 5), (), random.Random(1))
    known.merge(restarted.next_heartbeat(1.0)[0], 1.0)
    table, receivers = known.next_full_table(1.0)
    assert receivers == [restarted.own_record.life.router_id]
    assert table is not None
    restarted.merge(table, 1.1)
    assert len(restarted.alive(1.1)) == 390
    known.merge(restarted.next_heartbeat(2.0)[0], 2.0)
    assert known.next_full_table(2.0) == (None, [])
