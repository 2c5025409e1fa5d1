"""Access control and error responses of the administration API."""

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

import structlog
from litestar import Request, Response
from litestar.connection import ASGIConnection
from litestar.exceptions import HTTPException
from litestar.handlers.base import BaseRouteHandler

from lacewingspar_router.components.admin_api.const import OPEN_PATHS
from lacewingspar_router.components.admin_api.errors import AdminRequestError

_LOGGER = structlog.get_logger(__name__)
_BEARER = "bearer "

AnyRequest = Request[Any, Any, Any]
Guard = Callable[[ASGIConnection[Any, Any, Any, Any], BaseRouteHandler], None]


def token_guard(token_sha256: str) -> Guard:
    """Return a guard that requires the administration token.

    Args:
        token_sha256: SHA-256 hash of the token in hexadecimal.
    """

    def guard(
        connection: ASGIConnection[Any, Any, Any, Any], _: BaseRouteHandler
    ) -> None:
        if connection.scope["path"] in OPEN_PATHS:
            return
        value = connection.headers.get("authorization", "")
        token = value[len(_BEARER) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not value.lower().startswith(_BEARER) or not hmac.compare_digest(
            digest, token_sha256
        ):
            raise AdminRequestError(
                401,
                "token_invalid",
                "the administration token is missing or wrong",
            )

    return guard


def refuse_admin_request(
    _: AnyRequest, error: AdminRequestError
) -> Response[Any]:
    """Return the response to a request that was refused."""
    return _refusal(error.status, error.code, error.message)


def refuse_http_error(_: AnyRequest, error: HTTPException) -> Response[Any]:
    """Return the response to a request that does not match the API."""
    message = error.detail
    if error.extra:
        message = f"{message}: {error.extra}"
    return _refusal(error.status_code, f"http_{error.status_code}", message)


def refuse_failure(request: AnyRequest, error: Exception) -> Response[Any]:
    """Return the response to a request that failed in the router."""
    _LOGGER.error(
        "administration request failed",
        path=request.scope["path"],
        exc_info=error,
    )
    return _refusal(500, "internal_error", "the router failed")


def _refusal(status: int, code: str, message: str) -> Response[Any]:
    return Response(
        {"error": {"code": code, "message": message}}, status_code=status
    )
