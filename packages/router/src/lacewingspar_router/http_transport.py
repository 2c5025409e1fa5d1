"""Transport of the HTTP library that checks its new connections."""

from collections.abc import Mapping
from functools import partial
from typing import Any

import httpx
import structlog

_CONNECTED = "connection.connect_tcp.complete"
_TLS_STARTED = "connection.start_tls.complete"

_LOGGER = structlog.get_logger(__name__)


class CheckedTransport(httpx.AsyncHTTPTransport):
    """Transport that sends nothing on a new connection that has ended.

    An event loop that is late gets a connection that the peer has closed or
    reset in the meantime. The library would send on it, so that the request
    seems to have run, or ask it for its TLS object, which raises
    `AttributeError` on uvloop.
    """

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and wait for the response head.

        Raises:
            httpx.ConnectError: No connection could be opened, or the new one
                ended before the request was sent.
            httpx.HTTPError: The request failed.
        """
        address = request.url.netloc.decode()
        request.extensions = {
            **request.extensions,
            "trace": partial(_async_check_opened, address),
        }
        return await super().handle_async_request(request)


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
