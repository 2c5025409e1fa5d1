"""Parts of an answer, together or one by one."""

import asyncio
from unittest import mock

import pytest

from lacewingspar_router.http1.client import ClientConnection
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    InvalidAnswerError,
)
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


class _Sink:
    """Takes parts, and wants a pause after each."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.drains = 0
        self.takes_more = True

    def write(self, data: bytes) -> bool:
        self.parts.append(data)
        return self.takes_more

    async def async_drain(self) -> None:
        self.drains += 1


def _streaming() -> tuple[ClientConnection, mock.Mock]:
    connection, transport = ClientConnection(), mock.Mock()
    connection.connection_made(transport)
    connection.send(b"request")
    connection.data_received(HEAD)
    assert isinstance(connection.ready_event(), ResponseHead)
    return connection, transport


async def test_parts_reach_a_sink_as_they_arrive() -> None:
    """Guards against a turn of the event loop for each event."""
    connection, _ = _streaming()
    connection.data_received(b"3\r\none\r\n")
    sink = _Sink()
    passing = asyncio.create_task(connection.async_pass_body(sink, None, None))
    await asyncio.sleep(0)
    connection.data_received(b"3\r\ntwo\r\n")
    assert sink.parts == [b"one", b"two"]
    connection.data_received(b"0\r\n\r\n")
    await passing
    assert sink.drains == 0


async def test_reading_pauses_while_a_sink_is_full() -> None:
    connection, transport = _streaming()
    sink = _Sink()
    sink.takes_more = False
    passing = asyncio.create_task(connection.async_pass_body(sink, None, None))
    await asyncio.sleep(0)
    connection.data_received(b"3\r\none\r\n")
    transport.pause_reading.assert_called_once()
    transport.resume_reading.assert_not_called()
    await asyncio.sleep(0)
    assert sink.drains == 1
    transport.resume_reading.assert_called_once()
    connection.data_received(b"3\r\ntwo\r\n0\r\n\r\n")
    await passing
    assert sink.parts == [b"one", b"two"]


@pytest.mark.parametrize("limits", [(0.01, None), (None, 0.01)])
async def test_body_that_pauses_too_long_is_given_up(
    limits: tuple[float | None, float | None],
) -> None:
    connection, _ = _streaming()
    connection.data_received(b"3\r\none\r\n" if limits[1] else b"")
    with pytest.raises(TimeoutError):
        await connection.async_pass_body(_Sink(), *limits)


@pytest.mark.parametrize(
    ("data", "error"),
    [(b"no chunk", InvalidAnswerError), (b"", ConnectionBrokenError)],
)
async def test_body_that_breaks_ends_the_call(
    data: bytes, error: type[Exception]
) -> None:
    connection, _ = _streaming()
    passing = asyncio.create_task(
        connection.async_pass_body(_Sink(), None, None)
    )
    await asyncio.sleep(0)
    connection.data_received(data)
    connection.connection_lost(None)
    with pytest.raises(error):
        await passing


async def test_answer_after_the_end_is_left_for_its_own_check() -> None:
    connection, _ = _streaming()
    passing = asyncio.create_task(
        connection.async_pass_body(_Sink(), None, None)
    )
    await asyncio.sleep(0)
    connection.data_received(b"0\r\n\r\n" + HEAD)
    await passing
    assert not connection.finish()
