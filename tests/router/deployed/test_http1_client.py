"""Parts of an answer that arrive together."""

from unittest import mock

import pytest

from lacewingspar_router.http1.client import ClientConnection
from lacewingspar_router.http1.messages import ResponseEnd, ResponseHead

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_parts_of_a_body_that_arrived_together_are_one() -> None:
    """Guards against one write for each event when a router is behind."""
    connection = ClientConnection()
    connection.connection_made(mock.Mock())
    connection.send(b"request")
    assert connection.ready_event() is None
    connection.data_received(HEAD + b"3\r\none\r\n3\r\ntwo\r\n")
    connection.data_received(b"5\r\nthree\r\n")
    assert isinstance(connection.ready_event(), ResponseHead)
    assert connection.ready_event() == b"onetwothree"
    assert connection.ready_event() is None
    connection.data_received(b"4\r\nfour\r\n0\r\n\r\n")
    assert connection.ready_event() == b"four"
    assert isinstance(connection.ready_event(), ResponseEnd)
    assert connection.ready_event() is None


async def test_wait_for_a_part_ends_at_its_limit() -> None:
    """Guards against an upstream that falls silent within its answer."""
    connection = ClientConnection()
    connection.connection_made(mock.Mock())
    connection.send(b"request")
    with pytest.raises(TimeoutError):
        await connection.next_event(0.01)
    connection.data_received(HEAD + b"3\r\none\r\n")
    assert isinstance(await connection.next_event(0.01), ResponseHead)
    assert await connection.next_event(0.01) == b"one"
    with pytest.raises(TimeoutError):
        await connection.next_event(0.01)
