"""HTTP connections to upstreams."""

import ssl
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

import httpx

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
from lacewingspar_router.components.upstreams.response import (
    HttpUpstreamResponse,
    OnEnd,
    check_response_head,
    describe,
)
from lacewingspar_router.errors import RunState
from lacewingspar_router.http_headers import (
    REQUEST_ID_HEADER,
    end_to_end_headers,
)
from lacewingspar_router.http_transport import CheckedTransport

_REPLACED_HEADERS = frozenset({b"host", b"content-length", REQUEST_ID_HEADER})
_ONE_CONNECTION = httpx.Limits(
    max_connections=None,
    max_keepalive_connections=1,
    keepalive_expiry=IDLE_EXPIRY_SECONDS,
)


@dataclass(frozen=True, slots=True)
class _IdleTransport:
    """A transport without a call.

    Attributes:
        transport: The transport.
        since: Start of the idle time on the monotonic clock, in seconds.
    """

    transport: CheckedTransport
    since: float


class UpstreamConnections:
    """Connections to one upstream address.

    Transports are used without an httpx client, because a client would store
    the cookies of one caller and send them with the calls of another. Each
    transport carries one call at a time, because the pool of a transport
    compares all pairs of its connections for each call: 64 concurrent calls
    took 6 ms each.

    Args:
        address: Base URL from the service document.
        address_map: Replacement `host:port` by original `host:port`.
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
        self._ssl_context = ssl_context
        self._transports: set[CheckedTransport] = set()
        self._idle: deque[_IdleTransport] = deque()

    async def async_call(
        self, call: UpstreamCall, on_end: OnEnd
    ) -> HttpUpstreamResponse:
        """Send a call and wait for the response head.

        Raises:
            UpstreamError: The call failed.
        """
        transport = self._acquire_transport()
        try:
            response = await self._async_send(transport, call)
            try:
                expected_bytes = check_response_head(call, response)
            except UpstreamError:
                await response.aclose()
                raise
        except BaseException:
            await self._async_release_transport(transport)
            raise
        return HttpUpstreamResponse(
            response,
            expected_bytes,
            on_end,
            lambda: self._async_release_transport(transport),
        )

    async def async_close(self) -> None:
        """Close all connections."""
        self._idle.clear()
        while self._transports:
            await self._transports.pop().aclose()

    def _acquire_transport(self) -> CheckedTransport:
        """Return the most recently used idle transport, or a new one."""
        if self._idle:
            return self._idle.pop().transport
        transport = CheckedTransport(
            verify=self._ssl_context,
            trust_env=False,
            limits=_ONE_CONNECTION,
        )
        self._transports.add(transport)
        return transport

    async def _async_release_transport(
        self, transport: CheckedTransport
    ) -> None:
        """Keep a transport for reuse and close expired or surplus ones."""
        if transport not in self._transports:
            return
        now = time.monotonic()
        self._idle.append(_IdleTransport(transport, now))
        while self._idle and (
            len(self._idle) > MAX_IDLE_CONNECTIONS
            or self._idle[0].since < now - IDLE_EXPIRY_SECONDS
        ):
            expired = self._idle.popleft().transport
            self._transports.discard(expired)
            await expired.aclose()

    async def _async_send(
        self, transport: CheckedTransport, call: UpstreamCall
    ) -> httpx.Response:
        try:
            return await transport.handle_async_request(self._request(call))
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
                f"no response: {describe(error)}", run=RunState.UNKNOWN
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
                # Preserves the caller's spelling of the path.
                "target": call.path.encode("latin-1"),
                "timeout": {
                    "connect": CONNECT_TIMEOUT_SECONDS,
                    "read": call.silent_after_seconds,
                    "write": WRITE_TIMEOUT_SECONDS,
                    "pool": CONNECT_TIMEOUT_SECONDS,
                },
            },
        )
