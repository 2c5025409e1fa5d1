"""Removal of upstream entries, with and without an outage of the log."""

from unittest import mock

import msgspec
import pytest

from lacewingspar_core.log_positions import log_position
from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    TopicListing,
)
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_router.platform.upstream_list import decode_upstream

# An upstream must not receive requests for longer than this after its entry was
# removed while the log service was available.
DRAIN_SECONDS = 2.0


def entry(sequence: int = 1, state: str = "ready") -> bytes:
    return msgspec.json.encode(
        {
            "service": "plain",
            "address": "10.0.0.1:80",
            "zone": "dc-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "sequence": sequence,
            "born": 1,
            "coldRemainingMs": 0,
        }
    )


class StateHarness:
    """Routing state of one router with a controllable clock."""

    def __init__(self) -> None:
        self.now = 100.0
        app = mock.Mock()
        app.now = lambda: self.now
        source = mock.Mock(decode_upstream=decode_upstream)
        self.state = RoutingState(app, source)
        self.offset = 1
        record = KeyedRecord("u1", entry(), 0)
        self.state.apply_upstream_listing(TopicListing({"u1": record}, 1))

    def read(self, value: bytes) -> None:
        record = KeyedRecord("u1", value, self.offset)
        self.offset += 1
        self.state.apply_upstream_records([record], self.offset, "log")

    def read_nothing(self) -> None:
        self.state.apply_upstream_records([], self.offset, "log")

    @property
    def is_usable(self) -> bool:
        self.state.expire()
        return "u1" in self.state.directory.ready_upstreams("plain")


@pytest.mark.parametrize(
    ("after_return_seconds", "is_kept"), [(0.0, True), (1.5, False)]
)
def test_only_entries_removed_during_the_outage_are_kept(
    after_return_seconds: float, is_kept: bool
) -> None:
    """Guards against requests to an upstream that left after an outage.

    Entries removed during an outage may only have expired, so their upstreams
    stay usable for a while. Upstreams whose entries are removed later are
    unusable at once.
    """
    harness = StateHarness()
    harness.state.mark_unavailable()
    harness.now += 3.0
    harness.state.mark_unavailable()
    if after_return_seconds:
        harness.read_nothing()
    harness.now += after_return_seconds
    harness.read(b"")
    harness.now += 0.9 * DRAIN_SECONDS
    assert harness.is_usable is is_kept
    harness.now += 0.2 * DRAIN_SECONDS
    assert not harness.is_usable


def test_upstream_removed_without_an_outage_is_unusable_at_once() -> None:
    harness = StateHarness()
    harness.read(b"")
    assert not harness.is_usable


def test_expired_upstream_that_registers_again_is_kept() -> None:
    harness = StateHarness()
    harness.state.mark_unavailable()
    harness.read(b"")
    harness.now += 1.0
    harness.read(entry(2))
    harness.now += 10.0
    assert harness.is_usable


def test_older_records_from_a_peer_are_ignored() -> None:
    """Guards against a peer that restores a removed upstream."""
    harness = StateHarness()
    harness.read(b"")
    record = KeyedRecord("u1", entry(), 0)
    harness.state.apply_upstream_records([record], 1, "router r2")
    assert not harness.is_usable


def test_listing_that_arrives_late_removes_nothing() -> None:
    """Guards against a new upstream that is removed until it renews its entry.

    Another router has sent the entry while the log was listed.
    """
    harness = StateHarness()
    late = TopicListing({}, 1)
    harness.state.apply_upstream_records(
        [KeyedRecord("u2", entry(), 1)], 2, "router r2"
    )
    harness.state.apply_upstream_listing(late)
    assert set(harness.state.directory.entry_by_id) == {"u1", "u2"}


@pytest.mark.parametrize(("era", "is_used"), [(0, False), (1, True)])
def test_records_of_an_older_era_do_not_replace_newer_ones(
    era: int, is_used: bool
) -> None:
    """Guards against responses that were on their way at the restoration."""
    harness = StateHarness()
    record = KeyedRecord("u1", entry(2), log_position(1, 0))
    harness.state.apply_upstream_listing(
        TopicListing({"u1": record}, log_position(1, 1))
    )
    late = KeyedRecord("u2", entry(), log_position(era, 7))
    harness.state.apply_upstream_records([late], log_position(era, 8), "log")
    assert ("u2" in harness.state.directory.entry_by_id) is is_used


def pass_on(
    reader: RoutingState, follower: RoutingState, *, is_started: bool = False
) -> None:
    """Give a router what it lacks of the state of another one.

    Args:
        reader: The other router.
        follower: The router.
        is_started: Whether it has just started and knows nothing.
    """
    offset = -1 if is_started else follower.directory_offset
    if reader.changed_offset <= offset:
        return
    if reader.needs_listing(offset):
        records = reader.listed_records()
        follower.apply_upstream_listing(
            TopicListing(
                {record.key: record for record in records},
                reader.directory_offset,
            ),
            "router r1",
            reader.expiry_grace_seconds,
        )
        return
    follower.apply_upstream_records(
        reader.records_since(offset),
        reader.directory_offset,
        "router r1",
        reader.expiry_grace_seconds,
    )


@pytest.mark.parametrize(
    ("lost", "copied", "is_started"),
    [
        (entry(), b"", False),
        (entry(), b"", True),
        (entry(2, "draining"), entry(), True),
        (b"", entry(), True),
        (b"", entry(2, "draining"), True),
    ],
    ids=["lapsed", "unknown", "draining", "gone", "draining, then gone"],
)
def test_lost_record_that_is_written_again_reaches_all_routers(
    lost: bytes, copied: bytes, is_started: bool
) -> None:
    """Guards against routers that miss what is no change for the reader.

    The log comes back from a copy without the newest record of an upstream,
    which is then written again unchanged (review case 9). The other router
    follows the reader, or has started in between.
    """
    reader, follower = StateHarness(), StateHarness()
    for harness in (reader, follower):
        harness.read(lost)
    is_used = "u1" in reader.state.directory.ready_upstreams("plain")
    start = log_position(1, 0)
    records = [KeyedRecord("u1", copied, start)] if copied else []
    reader.state.apply_upstream_listing(
        TopicListing({item.key: item for item in records}, start + 1)
    )
    if is_started:
        follower = StateHarness()
        follower.now = reader.now
    pass_on(reader.state, follower.state, is_started=is_started)
    for harness in (reader, follower):
        harness.now += DRAIN_SECONDS / 2
    reader.state.apply_upstream_records(
        [KeyedRecord("u1", lost, start + 1)], start + 2, "log"
    )
    pass_on(reader.state, follower.state)
    for harness in (reader, follower):
        harness.now += 2 * DRAIN_SECONDS
        assert harness.is_usable is is_used


def test_heartbeats_are_not_passed_on() -> None:
    """Guards against messages to all routers for each heartbeat."""
    harness = StateHarness()
    harness.read(entry(2))
    known = harness.state.changed_offset
    harness.read(entry(3))
    assert harness.state.changed_offset == known
