"""Validation of a request before it is queued."""

from collections.abc import Mapping
from typing import Any

import msgspec

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.documents import (
    RequestClass,
    ServiceDocument,
    ServiceKind,
    Workspace,
)
from lacewingspar_router.components.caller_api.access import AccessIndex
from lacewingspar_router.components.caller_api.const import (
    HEADER_AUTHORIZATION,
    HEADER_CLASS,
    HEADER_COST_HINT,
    HEADER_DEADLINE,
    HEADER_KEY,
)
from lacewingspar_router.components.caller_api.exchange import Exchange
from lacewingspar_router.components.caller_api.header_checks import (
    bearer_token,
    check_header_size,
    read_options,
)
from lacewingspar_router.components.caller_api.requests import (
    CallerRequest,
    Options,
    Repeatability,
)
from lacewingspar_router.components.caller_api.targets import (
    Target,
    repeatability_of,
)
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http_headers import (
    TRACE_PARENT_HEADER,
    end_to_end_headers,
)

_ROUTER_HEADERS = frozenset(
    {
        HEADER_AUTHORIZATION,
        HEADER_CLASS,
        HEADER_COST_HINT,
        HEADER_DEADLINE,
        HEADER_KEY,
        TRACE_PARENT_HEADER,
        b"expect",
    }
)
# In a compressed response, the end marker and the token counts cannot be found.
_MODEL_HEADERS = _ROUTER_HEADERS | {b"accept-encoding"}


class _ModelBody(msgspec.Struct):
    model: str


def workspaces_of_caller(
    exchange: Exchange, index: AccessIndex
) -> Mapping[str, Workspace]:
    """Return the caller's workspaces by service.

    Raises:
        RequestRefusedError: The headers are too large, or the token is
            missing or unknown.
    """
    check_header_size(exchange.headers)
    workspaces = index.workspace_by_service(bearer_token(exchange.headers))
    if not workspaces:
        raise RequestRefusedError(
            401, "token_unknown", "the bearer token is not known"
        )
    return workspaces


async def async_check_request(
    exchange: Exchange,
    target: Target,
    index: AccessIndex,
    workspaces: Mapping[str, Workspace],
    arrived_at: float,
) -> CallerRequest:
    """Read and validate a request.

    Raises:
        RequestRefusedError: The request is invalid or not permitted.
        CallerGoneError: The caller closed the connection.
    """
    options = read_options(exchange.headers)
    if target.service is not None:
        document = _document(index, target.service, workspaces)
        body = await exchange.async_read_body(document.limits.body_bytes)
        model = _model_of_service(document, target, body)
    else:
        body = await exchange.async_read_body(
            _max_body_bytes(index, workspaces)
        )
        model = _parse_model(body)
        service = index.service_of_model(model, workspaces)
        if service is None:
            raise _unknown_model(model)
        document = _document(index, service, workspaces)
        _check_body_size(document, body)
    request_class = _request_class(document, options)
    return CallerRequest(
        request_id=exchange.request_id,
        document=document,
        workspace=workspaces[document.service],
        model=model,
        request_class=request_class.name,
        arrived_at=arrived_at,
        deadline_at=arrived_at + _deadline_seconds(options, request_class),
        idempotency_key=options.idempotency_key,
        repeatability=(
            repeatability_of(document, target)
            if options.idempotency_key is None
            else Repeatability.NEVER
        ),
        method=target.method,
        target=target.target,
        headers=_upstream_headers(
            exchange, document, workspaces[document.service], options
        ),
        body=body,
        trace_parent=exchange.trace_parent,
    )


def _document(
    index: AccessIndex, service: str, workspaces: Mapping[str, Workspace]
) -> ServiceDocument:
    document = index.documents_by_service.get(service)
    if document is None:
        raise RequestRefusedError(
            404, "unknown_service", f"there is no service {service[:63]!r}"
        )
    if service not in workspaces:
        raise RequestRefusedError(
            403,
            "workspace_not_in_service",
            f"the caller's workspace may not use service {service}",
        )
    return document


def _max_body_bytes(
    index: AccessIndex, workspaces: Mapping[str, Workspace]
) -> int:
    """Return the maximum body size over the caller's model services."""
    documents = [index.documents_by_service[name] for name in workspaces]
    sizes = [
        document.limits.body_bytes
        for document in documents
        if document.kind is ServiceKind.MODEL
    ]
    if not sizes:
        raise RequestRefusedError(
            403,
            "workspace_not_in_service",
            "the caller's workspace may not use any model service",
        )
    return max(sizes)


def _check_body_size(document: ServiceDocument, body: bytes) -> None:
    limit = document.limits.body_bytes
    if len(body) > limit:
        raise RequestRefusedError(
            413, "body_too_large", f"the body is larger than {limit} bytes"
        )


def _model_of_service(
    document: ServiceDocument, target: Target, body: bytes
) -> str:
    """Return the model that a call to a named service requests, or ""."""
    if document.kind is not ServiceKind.MODEL or not target.has_model:
        return ""
    model = _parse_model(body)
    if not any(model in upstream.models for upstream in document.upstreams):
        raise _unknown_model(model)
    return model


def _parse_model(body: bytes) -> str:
    try:
        model = msgspec.json.decode(body, type=_ModelBody).model
    except DECODE_ERRORS as error:
        raise RequestRefusedError(
            400,
            "bad_body",
            f"the body must be a JSON object with a model name: {error}",
        ) from error
    if not model:
        raise RequestRefusedError(
            400, "bad_body", "the model name must not be empty"
        )
    return model


def _unknown_model(model: str) -> RequestRefusedError:
    return RequestRefusedError(
        404, "unknown_model", f"there is no model {model[:100]!r}"
    )


def _request_class(document: ServiceDocument, options: Options) -> RequestClass:
    classes = document.request_classes or (RequestClass(name="default"),)
    if options.request_class is None:
        return classes[0]
    for request_class in classes:
        if request_class.name == options.request_class:
            return request_class
    known = ", ".join(item.name for item in classes)
    raise RequestRefusedError(
        400, "unknown_request_class", f"X-Request-Class must be one of: {known}"
    )


def _deadline_seconds(options: Options, request_class: RequestClass) -> float:
    if options.deadline_ms is None:
        return request_class.deadline_seconds
    return options.deadline_ms / 1000


def _upstream_headers(
    exchange: Exchange,
    document: ServiceDocument,
    workspace: Workspace,
    options: Options,
) -> tuple[tuple[str, str], ...]:
    is_model = document.kind is ServiceKind.MODEL
    removed = _MODEL_HEADERS if is_model else _ROUTER_HEADERS
    headers: list[Any] = end_to_end_headers(exchange.headers, removed)
    if options.idempotency_key is not None:
        # Two workspaces may use the same key. Without the prefix, an upstream
        # that caches responses by key could mix them up.
        key = f"{workspace.name}/{options.idempotency_key}"
        headers.append((HEADER_KEY, key.encode("latin-1")))
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )
