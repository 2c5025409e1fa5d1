"""Client of a router's administration API."""

from collections.abc import Mapping
from types import TracebackType
from typing import Any, TypeVar
from urllib.parse import quote

import httpx
import msgspec

from lacewingspar_ctl.errors import (
    BadInputError,
    CtlError,
    RefusedError,
    RouterUnreachableError,
    UnknownOutcomeError,
)
from lacewingspar_ctl.responses import (
    Accepted,
    Conflict,
    ErrorResponse,
    HistoryResponse,
    Invalid,
    PublishResult,
    ServiceResponse,
    Unknown,
)

CONNECT_TIMEOUT_SECONDS = 3.0
# A router responds to a publish only after reading the edit back from the log
# service, which has slow periods.
RESPONSE_TIMEOUT_SECONDS = 30.0

_T = TypeVar("_T")

# Errors before a connection exists, so the router has not received the request.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)
# Server errors that mean that the request had no effect. Others may come from a
# router that failed while processing the request.
_NO_EFFECT_STATUSES = frozenset({501, 503})
_BAD_INPUT_STATUSES = frozenset({400, 404, 405, 413, 422})


class AdminClient:
    """Sends requests to the administration API of one router.

    Args:
        router_url: Base URL of the administration address.
        token: Administration token.
        transport: Transport that replaces the network in tests.
    """

    def __init__(
        self,
        router_url: str,
        token: str,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        # Proxies from environment variables are ignored, since they must not
        # receive the token.
        self._client = httpx.Client(
            base_url=router_url,
            headers={"Authorization": f"Bearer {token}"},
            timeout=httpx.Timeout(
                RESPONSE_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
            ),
            transport=transport,
            trust_env=False,
        )

    def __enter__(self) -> "AdminClient":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._client.close()

    def service(self, name: str) -> ServiceResponse:
        """Return the active document of a service."""
        return self._read(_service_path(name), ServiceResponse)

    def version(self, name: str) -> int:
        """Return the active version of a service, or 0 for none."""
        response = self._send("GET", _service_path(name))
        if response.status_code == httpx.codes.NOT_FOUND:
            return 0
        return _decode_success(response, ServiceResponse).version

    def history(self, name: str) -> HistoryResponse:
        """Return the edits of a service."""
        return self._read(f"{_service_path(name)}/history", HistoryResponse)

    def status(self) -> Any:
        """Return the status of the router."""
        return self._read("/v1/status", Any)

    def accounts(self) -> Any:
        """Return the amount of service that each workspace received."""
        return self._read("/v1/accounts", Any)

    def request(self, request_id: str) -> Any:
        """Return what the router knows about a request."""
        return self._read(f"/v1/requests/{quote(request_id, safe='')}", Any)

    def quarantine(self) -> Any:
        """Return the prompt parts in quarantine."""
        return self._read("/v1/quarantine", Any)

    def release(self, service: str, part: str) -> Any:
        """End the quarantine of a prompt part on all routers."""
        path = f"/v1/quarantine/{quote(service, safe='')}"
        return _decode_change(
            self._send("DELETE", f"{path}/{quote(part, safe='')}")
        )

    def drain(self) -> Any:
        """Start a graceful shutdown of the router."""
        return _decode_change(self._send("POST", "/v1/drain"))

    def publish(
        self,
        service: str,
        *,
        edit_id: str,
        base_version: int,
        author: str,
        document: Mapping[str, Any],
    ) -> PublishResult:
        """Publish a document.

        Raises:
            RouterUnreachableError: The edit was not sent.
            RefusedError: The router refused the edit.
        """
        body = {
            "edit_id": edit_id,
            "base_version": base_version,
            "author": author,
            "document": document,
        }
        try:
            response = self._send("PUT", _service_path(service), body)
            return _decode_publish_result(response)
        except UnknownOutcomeError as error:
            return Unknown(edit_id, str(error))

    def _read(self, path: str, response_type: type[_T]) -> _T:
        return _decode_success(self._send("GET", path), response_type)

    def _send(self, method: str, path: str, body: Any = None) -> httpx.Response:
        try:
            return self._client.request(method, path, json=body)
        except _NOT_SENT_ERRORS as error:
            raise RouterUnreachableError("unreachable", str(error)) from error
        except httpx.HTTPError as error:
            reason = f"no response from the router: {error}"
            if method == "GET":
                raise RouterUnreachableError("no_answer", reason) from error
            raise UnknownOutcomeError("no_answer", reason) from error


def _service_path(name: str) -> str:
    return f"/v1/services/{quote(name, safe='')}"


def _decode_publish_result(response: httpx.Response) -> PublishResult:
    response_type_by_status: dict[int, type[PublishResult]] = {
        200: Accepted,
        202: Unknown,
        409: Conflict,
        422: Invalid,
    }
    response_type = response_type_by_status.get(response.status_code)
    if response_type is None:
        raise _change_error(response)
    try:
        return msgspec.json.decode(response.content, type=response_type)
    except msgspec.MsgspecError as error:
        raise UnknownOutcomeError(
            "invalid_answer", f"cannot decode the response: {error}"
        ) from error


def _decode_success(response: httpx.Response, response_type: type[_T]) -> _T:
    """Decode the response to a read."""
    if not response.is_success:
        raise _refusal(response)
    try:
        return msgspec.json.decode(response.content, type=response_type)
    except msgspec.MsgspecError as error:
        raise RefusedError(
            "invalid_answer", f"cannot decode the response: {error}"
        ) from error


def _decode_change(response: httpx.Response) -> Any:
    """Decode the response to a request that changes something."""
    if not response.is_success:
        raise _change_error(response)
    if not response.content:
        return {}
    try:
        return msgspec.json.decode(response.content)
    except msgspec.MsgspecError as error:
        raise UnknownOutcomeError(
            "invalid_answer", f"cannot decode the response: {error}"
        ) from error


def _change_error(response: httpx.Response) -> CtlError:
    """Return the error of a change, whose outcome may be unknown."""
    status = response.status_code
    if status < 500 or status in _NO_EFFECT_STATUSES:
        return _refusal(response)
    detail = _refusal(response)
    return UnknownOutcomeError(detail.code, str(detail))


def _refusal(response: httpx.Response) -> CtlError:
    status = response.status_code
    try:
        detail = msgspec.json.decode(response.content, type=ErrorResponse).error
        code, message = detail.code, detail.message
    except msgspec.MsgspecError:
        code, message = (
            f"http_{status}",
            f"the router responded with status {status}",
        )
    if status in _BAD_INPUT_STATUSES:
        return BadInputError(code, message)
    return RefusedError(code, message)
