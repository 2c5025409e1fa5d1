"""Tests of the network streams of the HTTP library."""

import socket
from unittest import mock

import httpcore
import pytest

from lacewingspar_router.http_streams import CheckedStream


async def test_write_to_a_closed_socket_is_an_error_of_the_connection() -> None:
    """Guards against a 500 of the router for an upstream that has crashed."""
    closed = socket.socket()
    closed.close()
    stream = mock.AsyncMock(spec=httpcore.AsyncNetworkStream)
    stream.get_extra_info = mock.Mock(return_value=closed)
    stream.write.side_effect = httpcore.WriteError("closed")
    with pytest.raises(httpcore.WriteError):
        await CheckedStream(stream).write(b"data")
