"""Minimal reverse proxy built on the router's libraries."""

from typing import Any

import httpx
from litestar import Litestar
from litestar.handlers import asgi

from lacewingspar_standins.asgi import Receive, Send

_TIMEOUTS = {"connect": 5.0, "read": 60.0, "write": 60.0, "pool": 5.0}
_REMOVED_HEADERS = frozenset({b"connection", b"transfer-encoding", b"date"})


class BareProxy:
    """Forwards every request to one target.

    Args:
        target: Base URL.
    """

    def __init__(self, target: str) -> None:
        self._url = httpx.URL(target)
        self._transport = httpx.AsyncHTTPTransport(
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=None
            ),
        )

    async def handle(self, scope: Any, receive: Receive, send: Send) -> None:
        """Forward a request and its response."""
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        request = httpx.Request(
            scope["method"],
            self._url.copy_with(raw_path=scope["raw_path"]),
            headers=_filter_headers(scope["headers"]),
            stream=httpx.ByteStream(body),
            extensions={"timeout": _TIMEOUTS},
        )
        response = await self._transport.handle_async_request(request)
        try:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status_code,
                    "headers": _filter_headers(response.headers.raw),
                }
            )
            async for part in response.aiter_raw():
                await send(_body_message(part, more=True))
            await send(_body_message(b"", more=False))
        finally:
            await response.aclose()


def bare_app(target: str) -> Any:
    """Return the proxy as an ASGI application."""
    route = asgi("/", is_mount=True, copy_scope=False)(BareProxy(target).handle)
    return Litestar(
        route_handlers=[route], openapi_config=None, logging_config=None
    )


def _body_message(data: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


def _filter_headers(headers: Any) -> list[tuple[bytes, bytes]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _REMOVED_HEADERS
    ]
