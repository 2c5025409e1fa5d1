"""Schema of service documents, which are the only way to configure services."""

from __future__ import annotations

import dataclasses
from enum import StrEnum
from typing import Annotated, Any

import pyjson5
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as schema_dataclass
from returns.result import Failure, Result, Success

from lacewingspar_core.document_checks import check_document
from lacewingspar_core.document_problems import (
    DocumentProblem,
    problem_from_pydantic_error,
)
from lacewingspar_core.names import Name

__all__ = [
    "DocumentProblem",
    "Limits",
    "Name",
    "NonIdempotentRoute",
    "RequestClass",
    "ServiceDocument",
    "ServiceKind",
    "Sha256Hex",
    "Upstream",
    "Workspace",
    "document_json_schema",
    "dump_document",
    "parse_document",
    "validate_document",
]

Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

ModelName = Annotated[str, Field(pattern=r"^\S+$", max_length=256)]
# Strict numbers reject strings and booleans, which are mistakes here.
Integer = Annotated[int, Field(strict=True)]
Number = Annotated[float, Field(strict=True)]

_STRICT = ConfigDict(extra="forbid")


class ServiceKind(StrEnum):
    """Protocol that the upstreams of a service speak."""

    MODEL = "model"
    PLAIN = "plain"


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class Upstream:
    """One upstream of a service.

    Attributes:
        id: Name, unique within the service.
        data_centre: Data centre of the upstream.
        address: Base URL.
        slots: Maximum number of concurrent requests.
        models: Models that the upstream serves; empty for plain services.
        vm: Name of the upstream's VM in the platform's VM list, if any.
    """

    id: Name
    data_centre: Name
    address: Annotated[str, Field(pattern=r"^https?://[^/\s]+$")]
    slots: Annotated[Integer, Field(ge=1, le=4096)]
    models: tuple[ModelName, ...] = ()
    vm: Annotated[str, Field(min_length=1)] | None = None


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class Workspace:
    """A workspace that may use the service.

    Attributes:
        name: Name of the workspace.
        token_sha256: SHA-256 hashes of its bearer tokens, in hexadecimal.
        weight: Its share relative to the other workspaces.
        queue_limit: Maximum number of requests that wait at one router.
    """

    name: Name
    token_sha256: tuple[Sha256Hex, ...]
    weight: Annotated[Number, Field(gt=0, le=1000)] = 1.0
    queue_limit: Annotated[Integer, Field(ge=1, le=100_000)] = 100


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class RequestClass:
    """A class of requests with its own priority and time limits.

    Attributes:
        name: Name that callers give in `X-Request-Class`.
        priority: Requests with a lower number are served first within a
            workspace.
        deadline_seconds: Maximum time from the arrival of a request to the
            start of the response, unless the caller sets a deadline.
        max_wait_seconds: After this wait a request is served before all others
            of its workspace, which prevents the starvation of low priorities.
    """

    name: Name
    priority: Annotated[Integer, Field(ge=0, le=100)] = 10
    deadline_seconds: Annotated[Number, Field(gt=0, le=86_400)] = 60.0
    max_wait_seconds: Annotated[Number, Field(gt=0, le=86_400)] = 30.0


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class NonIdempotentRoute:
    """Calls that must run at most once, with or without an idempotency key.

    Attributes:
        method: HTTP method in upper case.
        path_prefix: Prefix of the path after the service's name.
    """

    method: Annotated[str, Field(pattern=r"^[A-Z]+$")]
    path_prefix: Annotated[str, Field(pattern=r"^/")]


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class Limits:
    """Limits of one service.

    Attributes:
        body_bytes: Maximum size of a request body.
        silent_after_seconds: A response that delivers no data for this long
            counts as failed.
        attempts: Maximum number of times that one request is sent.
        slot_quantum_seconds: Time for which a workspace may use a slot for
            consecutive requests. A longer time keeps slots busier when requests
            are short, and increases the fairness gap by the same amount.
    """

    body_bytes: Annotated[Integer, Field(ge=1, le=1 << 30)] = 4 * 1024 * 1024
    silent_after_seconds: Annotated[Number, Field(gt=0, le=3600)] = 30.0
    attempts: Annotated[Integer, Field(ge=1, le=10)] = 3
    slot_quantum_seconds: Annotated[Number, Field(ge=0, le=10)] = 0.25


@schema_dataclass(frozen=True, slots=True, config=_STRICT)
class ServiceDocument:
    """Configuration of one service.

    Attributes:
        service: Name of the service.
        kind: Protocol of its upstreams.
        upstreams: Upstreams of the service.
        workspaces: Workspaces that may use the service.
        request_classes: Classes of requests; the first is the default.
        non_idempotent: Calls that run at most once.
        limits: Limits of the service.
    """

    service: Name
    kind: ServiceKind
    upstreams: tuple[Upstream, ...]
    workspaces: tuple[Workspace, ...]
    request_classes: Annotated[
        tuple[RequestClass, ...], Field(min_length=1)
    ] = (RequestClass(name="default"),)
    non_idempotent: tuple[NonIdempotentRoute, ...] = ()
    limits: Limits = Limits()


_ADAPTER = TypeAdapter(ServiceDocument)


def _field_names(schema: type[Any]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(schema))


_FIELDS_BY_SECTION = {
    "": _field_names(ServiceDocument),
    "upstreams": _field_names(Upstream),
    "workspaces": _field_names(Workspace),
    "request_classes": _field_names(RequestClass),
    "non_idempotent": _field_names(NonIdempotentRoute),
    "limits": _field_names(Limits),
}


def parse_document(
    text: str,
) -> Result[ServiceDocument, tuple[DocumentProblem, ...]]:
    """Parse a service document written in JSON with comments.

    Returns:
        The document, or all of its problems.
    """
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        allowed = f"valid JSON with comments: {error.message}"
        problem = DocumentProblem("", "", allowed)
        return Failure((problem,))
    return validate_document(value)


def validate_document(
    value: Any,
) -> Result[ServiceDocument, tuple[DocumentProblem, ...]]:
    """Validate a decoded document against the schema.

    Returns:
        The document, or all of its problems.
    """
    problems = check_document(value)
    try:
        document = _ADAPTER.validate_python(value)
    except ValidationError as error:
        field_problems = tuple(
            problem_from_pydantic_error(item, _FIELDS_BY_SECTION)
            for item in error.errors()
        )
        return Failure(field_problems + problems)
    return Failure(problems) if problems else Success(document)


def dump_document(document: ServiceDocument) -> dict[str, Any]:
    """Return a document as plain JSON values."""
    value: dict[str, Any] = _ADAPTER.dump_python(document, mode="json")
    return value


def document_json_schema() -> dict[str, Any]:
    """Return the JSON schema of service documents.

    The schema covers single fields only; `validate_document` also checks fields
    against each other.
    """
    return _ADAPTER.json_schema()
