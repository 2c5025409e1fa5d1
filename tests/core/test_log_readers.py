"""Choice of the reader of the log and of the relays."""

import pytest

from lacewingspar_core.log_readers import ReaderAssignment, ReaderRank

FLEET = {
    f"{data_centre}-{number}": data_centre
    for data_centre in ("dc-a", "dc-b", "dc-c")
    for number in range(5)
}


def ranks(data_centre_by_router_id: dict[str, str]) -> list[ReaderRank]:
    assignment = ReaderAssignment.of(data_centre_by_router_id)
    return [
        assignment.rank_of(router_id, data_centre)
        for router_id, data_centre in data_centre_by_router_id.items()
    ]


@pytest.mark.parametrize(
    ("routers", "first_relays", "second_relays"),
    [
        ({}, 0, 0),
        ({"r1": "dc-a"}, 0, 0),
        ({"r1": "dc-a", "r2": "dc-b"}, 1, 0),
        (FLEET, 3, 3),
    ],
)
def test_one_router_reads_and_two_relay_in_each_data_centre(
    routers: dict[str, str], first_relays: int, second_relays: int
) -> None:
    found = ranks(routers)
    assert found.count(ReaderRank.READER) == min(1, len(routers))
    assert found.count(ReaderRank.FIRST_RELAY) == first_relays
    assert found.count(ReaderRank.SECOND_RELAY) == second_relays


def test_loss_of_the_reader_changes_few_ranks() -> None:
    """Guards against a fleet that reorders itself when one router is lost."""
    before = ReaderAssignment.of(FLEET)
    left = {
        router_id: data_centre
        for router_id, data_centre in FLEET.items()
        if router_id != before.reader
    }
    after = ReaderAssignment.of(left)
    changed = [
        router_id
        for router_id, data_centre in left.items()
        if before.rank_of(router_id, data_centre)
        is not after.rank_of(router_id, data_centre)
    ]
    # A relay becomes the reader; those of its data centre move up by one.
    assert len(changed) <= 3
    assert after.reader in changed


def test_router_that_is_not_listed_follows() -> None:
    assignment = ReaderAssignment.of(FLEET)
    assert assignment.rank_of("other", "dc-a") is ReaderRank.FOLLOWER


def test_relays_elsewhere_leave_out_the_own_data_centre() -> None:
    assignment = ReaderAssignment.of(FLEET)
    relays = assignment.relays_elsewhere("dc-a")
    assert {FLEET[router_id] for router_id in relays} == {"dc-b", "dc-c"}
    assert len(relays) == 4
