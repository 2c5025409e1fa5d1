"""Data that nests more levels than a decoder can follow."""

from collections.abc import Callable

import pytest

from lacewingspar_core import claims, configlog
from lacewingspar_core.errors import MessageDecodeError
from lacewingspar_core.messages import decode_message, encode_message
from lacewingspar_core.state_messages import StateRequest

_MAX_SMALL_ARRAY = 0x9F
# MessagePack arrays of one item each.
NESTED = b"\x91" * 5000 + b"\xc0"
UNREADABLE = [b"", b"\xc1", b"\xa1\xff", NESTED]


def with_nested_item(data: bytes) -> bytes:
    """Return a MessagePack array with one more item, which no reader has."""
    assert data[0] < _MAX_SMALL_ARRAY
    return bytes([data[0] + 1]) + data[1:] + NESTED


CLAIM = claims.encode_record(claims.Release(1))
SNAPSHOT = configlog.encode_record(configlog.Snapshot(1, {}, ()))


@pytest.mark.parametrize(
    ("decode", "record"),
    [(claims.decode_record, CLAIM), (configlog.decode_record, SNAPSHOT)],
    ids=["claims", "configuration"],
)
def test_unreadable_record_is_no_record(
    decode: Callable[[bytes], object], record: bytes
) -> None:
    """Guards against one record that stops all readers of a stream."""
    assert decode(record) is not None
    for data in [*UNREADABLE, with_nested_item(record)]:
        assert decode(data) is None


@pytest.mark.parametrize(
    "data",
    [*UNREADABLE, with_nested_item(encode_message(StateRequest(1, 1)))],
)
def test_unreadable_message_raises_its_own_error(data: bytes) -> None:
    with pytest.raises(MessageDecodeError):
        decode_message(data)
