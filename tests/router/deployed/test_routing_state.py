"""Upstreams that vanish from the list, with and without a disturbance."""

from unittest import mock

import msgspec
import pytest

from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    TopicListing,
)
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_router.platform.upstream_list import decode_upstream

# An upstream must not get requests for longer than this after its entry was
# removed while the log service worked.
DRAIN_SECONDS = 2.0


def entry(sequence: int = 1) -> bytes:
    return msgspec.json.encode(
        {
            "service": "plain",
            "address": "10.0.0.1:80",
            "zone": "dc-a",
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": 1,
            "coldRemainingMs": 0,
        }
    )


class Bed:
    """State of one router on a clock of the test."""

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
        return "u1" in self.state.directory.usable("plain")


@pytest.mark.parametrize(
    ("after_return_seconds", "is_kept"), [(0.0, True), (1.5, False)]
)
def test_only_what_vanished_during_the_outage_may_come_back(
    after_return_seconds: float, is_kept: bool
) -> None:
    """Guards against requests to an upstream that left after an outage."""
    bed = Bed()
    bed.state.note_unavailable()
    bed.now += 3.0
    bed.state.note_unavailable()
    if after_return_seconds:
        bed.read_nothing()
    bed.now += after_return_seconds
    bed.read(b"")
    bed.now += 0.9 * DRAIN_SECONDS
    assert bed.is_usable is is_kept
    bed.now += 0.2 * DRAIN_SECONDS
    assert not bed.is_usable


def test_upstream_that_vanishes_on_a_calm_day_is_gone_at_once() -> None:
    bed = Bed()
    bed.read(b"")
    assert not bed.is_usable


def test_lapsed_upstream_that_registers_again_stays() -> None:
    bed = Bed()
    bed.state.note_unavailable()
    bed.read(b"")
    bed.now += 1.0
    bed.read(entry(2))
    bed.now += 10.0
    assert bed.is_usable


def test_older_records_of_a_peer_change_nothing() -> None:
    """Guards against a peer that brings back an upstream which has left."""
    bed = Bed()
    bed.read(b"")
    record = KeyedRecord("u1", entry(), 0)
    bed.state.apply_upstream_records([record], 1, "router r2")
    assert not bed.is_usable
