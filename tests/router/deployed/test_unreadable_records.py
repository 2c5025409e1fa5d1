"""Records of the shared topics that no router can use."""

import base64
import struct
from typing import Any
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result
from tests.router.deployed.conftest import Deployment, until

from lacewingspar_router.components.routing.models import (
    ROUTING,
    KeyedRecord,
    TopicListing,
)
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_router.http1.messages import Response
from lacewingspar_router.platform.manifest import decode_configuration
from lacewingspar_router.platform.store import PlatformStore, StoreTopic
from lacewingspar_router.platform.upstream_list import decode_upstream
from lacewingspar_standins.deployed.documents import manifest, upstream_entry

NESTING = 1200
NESTED = b"[" * NESTING + b"]" * NESTING
# Python converts at most 4,300 digits.
DIGITS = "1" * 5000


def entry(**changes: Any) -> bytes:
    """Return the record that an upstream publishes about itself."""
    value = upstream_entry("plain", "10.0.0.1:80", 1) | changes
    return msgspec.json.encode(value)


def with_field(data: bytes, value: bytes) -> bytes:
    """Return a JSON object with one more field, which no reader has."""
    return data[:-1] + b',"labels":' + value + b"}"


def with_digits(name: str) -> bytes:
    """Return an entry with a whole number of many digits."""
    return entry(**{name: 0}).replace(
        f'"{name}":0'.encode(), f'"{name}":{DIGITS[:400]}'.encode()
    )


def without(name: str) -> bytes:
    """Return an entry that lacks a field."""
    value = upstream_entry("plain", "10.0.0.1:80", 1)
    del value[name]
    return msgspec.json.encode(value)


REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "sequence",
)
UNUSABLE_ENTRY_BY_NAME = {
    **{f"without {name}": without(name) for name in REQUIRED_FIELDS},
    **{f"{name} is null": entry(**{name: None}) for name in REQUIRED_FIELDS},
    **{f"{name} is a list": entry(**{name: []}) for name in REQUIRED_FIELDS},
    "remaining time of another type": entry(coldRemainingMs="0"),
    "remaining time without bound": entry().replace(
        b'"coldRemainingMs":0', b'"coldRemainingMs":1e999'
    ),
    "no JSON": b"{]",
    "not UTF-8": entry().replace(b"plain", b"\xff"),
    "nested in an unknown field": with_field(entry(), NESTED),
    "nested in a known field": entry().replace(b'"plain"', NESTED),
    "port of many digits": entry(address=f"10.0.0.1:{DIGITS}"),
    "no address": entry(address="plain.example"),
    "unknown state": entry(state="resting"),
    "slots of another type": entry(slots="4"),
    "slots of many digits": with_digits("slots"),
    "start time of many digits": with_digits("born"),
    "sequence of many digits": with_digits("sequence"),
}


def decode_with_a_fault(upstream_id: str, data: bytes) -> Result[Any, str]:
    """Decode an entry, but fail for one upstream."""
    if upstream_id == "other":
        raise LookupError(upstream_id)
    return decode_upstream(upstream_id, data)


def routing_state(decode: Any = decode_upstream) -> RoutingState:
    """Return the state of a router that knows nothing yet."""
    app = mock.Mock()
    app.now = lambda: 100.0
    return RoutingState(app, mock.Mock(decode_upstream=decode))


def ready(state: RoutingState) -> set[str]:
    return set(state.directory.ready_upstreams("plain"))


@pytest.mark.parametrize(
    "data", UNUSABLE_ENTRY_BY_NAME.values(), ids=UNUSABLE_ENTRY_BY_NAME
)
def test_unusable_entry_is_refused_with_a_reason(data: bytes) -> None:
    assert isinstance(decode_upstream("other", data), Failure)


@pytest.mark.parametrize("upstream_id", ["", "a\r\nX-Hold: 1", "a b", "ü"])
def test_id_that_no_header_can_carry_is_refused(upstream_id: str) -> None:
    """Guards against headers that another writer adds to requests."""
    assert isinstance(decode_upstream(upstream_id, entry()), Failure)


@pytest.mark.parametrize(
    ("decode", "data"),
    [
        (decode_upstream, UNUSABLE_ENTRY_BY_NAME["nested in an unknown field"]),
        (decode_upstream, UNUSABLE_ENTRY_BY_NAME["port of many digits"]),
        (decode_with_a_fault, entry()),
    ],
    ids=["nested", "port of many digits", "decoder with a fault"],
)
def test_other_entries_are_used_and_followed(decode: Any, data: bytes) -> None:
    """Guards against one record that keeps all others from use."""
    state = routing_state(decode)
    listed = {
        "other": KeyedRecord("other", data, 0),
        "u1": KeyedRecord("u1", entry(), 1),
        "u2": KeyedRecord("u2", entry(address="10.0.0.2:80"), 2),
    }
    state.apply_upstream_listing(TopicListing(listed, 3))
    assert ready(state) == {"u1", "u2"}
    assert state.directory_offset == 3
    changes = [
        KeyedRecord("other", data, 3),
        KeyedRecord("u1", entry(state="draining", sequence=2), 4),
    ]
    state.apply_upstream_records(changes, 5, "log")
    assert ready(state) == {"u2"}
    assert state.directory_offset == 5


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(), st.binary() | st.text().map(str.encode))
def test_every_entry_is_decoded_or_refused(
    upstream_id: str, data: bytes
) -> None:
    assert isinstance(decode_upstream(upstream_id, data), Result)


_JSON_VALUES = (
    st.none()
    | st.booleans()
    | st.integers(min_value=-(2**63), max_value=2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
    | st.integers(min_value=1, max_value=6000).map("1".__mul__)
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(sorted(upstream_entry("", "", 0))), _JSON_VALUES
    )
)
def test_every_changed_entry_is_decoded_or_refused(
    changes: dict[str, Any],
) -> None:
    data = msgspec.json.encode(
        upstream_entry("plain", "10.0.0.1:80", 1) | changes
    )
    assert isinstance(decode_upstream("u1", data), Result)


def test_nested_configuration_is_refused_with_a_reason() -> None:
    """Guards against a version that stops the reader of all versions."""
    data = with_field(msgspec.json.encode(manifest()), NESTED)
    assert isinstance(decode_configuration(data), Failure)


def topic_with(body: bytes) -> StoreTopic:
    """Return a topic whose reads have a given response."""
    store = mock.create_autospec(PlatformStore, instance=True)
    store.async_call.return_value = Response(200, [], body)
    return StoreTopic(store, "keyed.servers")


@pytest.mark.parametrize(
    "item",
    [
        b'{"key":"\xff","value":"","offset":1}',
        b'{"key":5,"value":"","offset":1}',
        b'{"key":"other","value":"=","offset":1}',
        b'{"key":"other","offset":1}',
    ],
    ids=["key that is not UTF-8", "key of another type", "no base64", "none"],
)
async def test_listing_leaves_out_an_unreadable_item(item: bytes) -> None:
    """Guards against a list that cannot be read because of one item."""
    good = msgspec.json.encode(
        {"key": "u1", "value": base64.b64encode(entry()).decode(), "offset": 0}
    )
    body = b'{"items":[' + item + b"," + good + b'],"truncated":false,"end":2}'
    listing = await topic_with(body).async_read_newest()
    assert set(listing.record_by_key) == {"u1"}
    assert listing.end_offset == 2


@pytest.mark.parametrize("bad", [b"", b"\xffu2"], ids=["empty", "cut key"])
async def test_record_without_a_key_is_left_out(bad: bytes) -> None:
    """Guards against a topic that cannot be read beyond one record.

    A key that is cut must not remove the upstream with the rest as its id.
    """
    body = struct.pack(">QQ", 2, 0)
    for content in (bad, b"\x02u1" + entry()):
        body += struct.pack(">I", len(content)) + content
    records = await topic_with(body).async_read(0, 0.0)
    assert [item.key for item in records.records] == ["u1"]
    assert records.records[0].offset == 1
    assert records.next_offset == 2


async def test_router_starts_and_follows_beside_an_unreadable_entry(
    served: Deployment,
) -> None:
    """Guards against a fleet that serves nobody because of one record."""
    served.store.topic("keyed.servers").append(
        "other", UNUSABLE_ENTRY_BY_NAME["nested in an unknown field"]
    )
    caller = await served.add_router()
    assert (await caller.call("/read/", "GET")).status == 200
    served.register("p1", "plain", "draining")
    directory = served.apps[0].get(ROUTING).directory
    await until(lambda: "p1" not in directory.ready_upstreams("plain"), 1.5)
