"""HTTP connections to upstream addresses."""

import ssl
from collections.abc import Mapping

import httpx

from lacewingspar_router.components.upstreams.answer import (
    HttpAnswer,
    OnEnd,
    check_head,
    describe,
)
from lacewingspar_router.components.upstreams.const import (
    CONNECT_TIMEOUT_SECONDS,
    IDLE_EXPIRY_SECONDS,
    MAX_IDLE_CONNECTIONS,
    WRITE_TIMEOUT_SECONDS,
)
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamInvalidCallError,
)
from lacewingspar_router.components.upstreams.models import UpstreamCall
from lacewingspar_router.errors import RunState
from lacewingspar_router.http_headers import (
    REQUEST_ID_HEADER,
    end_to_end_headers,
)

_REPLACED_HEADERS = frozenset({b"host", b"content-length", REQUEST_ID_HEADER})


class UpstreamConnections:
    """Connections to one upstream address.

    The transport is used without a client, since a client would keep cookies
    of one caller and send them with the calls of another.

    Args:
        address: Base URL from the service document.
        address_map: Replacements of `host:port`.
        ssl_context: TLS settings, shared by all addresses.
    """

    def __init__(
        self,
        address: str,
        address_map: Mapping[str, str],
        ssl_context: ssl.SSLContext,
    ) -> None:
        url = httpx.URL(address)
        self._host = url.netloc
        port = url.port or (443 if url.scheme == "https" else 80)
        mapped = address_map.get(f"{url.host}:{port}")
        if mapped is not None:
            host, _, mapped_port = mapped.rpartition(":")
            url = url.copy_with(host=host, port=int(mapped_port))
        self._url = url
        self._transport = httpx.AsyncHTTPTransport(
            verify=ssl_context,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=IDLE_EXPIRY_SECONDS,
            ),
        )

    async def async_call(self, call: UpstreamCall, on_end: OnEnd) -> HttpAnswer:
        """Send a call and wait for the head of the answer.

        Raises:
            UpstreamError: The call failed.
        """
        response = await self._async_send(call)
        try:
            expected_bytes = check_head(call, response)
        except UpstreamError:
            await response.aclose()
            raise
        return HttpAnswer(response, expected_bytes, on_end)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    async def _async_send(self, call: UpstreamCall) -> httpx.Response:
        try:
            return await self._transport.handle_async_request(
                self._request(call)
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as error:
            raise UpstreamConnectError(
                f"cannot connect: {describe(error)}", run=RunState.NOT_RUN
            ) from error
        except httpx.LocalProtocolError as error:
            raise UpstreamInvalidCallError(
                f"call is not valid HTTP/1.1: {error}", run=RunState.NOT_RUN
            ) from error
        except httpx.HTTPError as error:
            raise UpstreamBrokenError(
                f"no answer: {describe(error)}", run=RunState.UNKNOWN
            ) from error

    def _request(self, call: UpstreamCall) -> httpx.Request:
        headers = end_to_end_headers(
            (
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in call.headers
            ),
            also_removed=_REPLACED_HEADERS,
        )
        headers.append((b"host", self._host))
        headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(call.body)))
        return httpx.Request(
            call.method,
            self._url,
            headers=headers,
            stream=httpx.ByteStream(call.body),
            extensions={
                # Keeps the caller's spelling of the path.
                "target": call.path.encode("latin-1"),
                "timeout": {
                    "connect": CONNECT_TIMEOUT_SECONDS,
                    "read": call.silent_after_seconds,
                    "write": WRITE_TIMEOUT_SECONDS,
                    "pool": CONNECT_TIMEOUT_SECONDS,
                },
            },
        )
