"""Transport of the HTTP library that checks its connections."""

from collections.abc import Mapping
from functools import partial
from typing import Any

import httpx
import structlog

from lacewingspar_router.http_streams import CheckedBackend, CheckedStream

_CONNECTED = "connection.connect_tcp.complete"
_TLS_STARTED = "connection.start_tls.complete"

_LOGGER = structlog.get_logger(__name__)


class CheckedTransport(httpx.AsyncHTTPTransport):
    """Transport that checks how its connections begin and end.

    It sends nothing on a new connection that has ended, or on one that still
    holds data behind an earlier response.

    An event loop that is late gets a connection that the peer has closed or
    reset in the meantime. The library would send on it, so that the request
    seems to have run, or ask it for its TLS object, which raises
    `AttributeError` on uvloop.

    Args:
        **options: Arguments of `httpx.AsyncHTTPTransport`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        pool: Any = self._pool
        pool._network_backend = CheckedBackend(pool._network_backend)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and wait for the response head.

        Raises:
            httpx.ConnectError: No connection could be opened, or the new one
                ended before the request was sent.
            httpx.HTTPError: The request failed.
        """
        await self._async_close_surplus()
        address = request.url.netloc.decode()
        request.extensions = {
            **request.extensions,
            "trace": partial(_async_check_opened, address),
        }
        return await super().handle_async_request(request)

    async def _async_close_surplus(self) -> None:
        """Close idle connections with data that belongs to no request.

        The library would read it as the response to the next one.
        """
        connections: list[Any] = list(self._pool.connections)
        for connection in connections:
            if connection.is_idle() and _has_surplus_data(connection):
                _LOGGER.warning(
                    "data behind the end of a response",
                    connection=connection.info(),
                )
                await connection.aclose()


def _has_surplus_data(connection: Any) -> bool:
    # The library has no public access to what it has read.
    exchange = connection._connection
    if exchange is None or exchange.is_closed():
        return False
    trailing_data, _ = exchange._h11_state.trailing_data
    stream: CheckedStream = exchange._network_stream
    return bool(trailing_data) or stream.has_unread_data


async def _async_check_opened(
    address: str, event: str, details: Mapping[str, Any]
) -> None:
    """Check a connection after the event that opens it.

    Raises:
        httpx.ConnectError: The connection has ended.
    """
    if event not in (_CONNECTED, _TLS_STARTED):
        return
    stream = details["return_value"]
    try:
        is_readable = bool(stream.get_extra_info("is_readable"))
    except AttributeError as error:
        # A transport of uvloop has no socket once it is closed.
        reason = str(error)
    else:
        # After the TLS handshake, session tickets may be waiting.
        if event == _TLS_STARTED or not is_readable:
            return
        reason = "closed, or sent data first"
    _LOGGER.info(
        "new connection ended before the send", address=address, reason=reason
    )
    await stream.aclose()
    raise httpx.ConnectError(f"{address} ended before the send: {reason}")
