"""Checks of service documents that involve more than one field."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from lacewingspar_core.document_problems import (
    DocumentProblem,
    Location,
    format_path,
    problem_at,
)

# Section, field whose values must be unique in it, and the allowed values as
# shown to operators.
_UNIQUE_FIELDS = (
    ("upstreams", "id", "an id that no other upstream of the service has"),
    # Two upstreams with one address would double the slots of one server.
    ("upstreams", "address", "an address that no other upstream has"),
    ("workspaces", "name", "a name that no other workspace has"),
    ("request_classes", "name", "a name that no other request class has"),
)


def check_document(value: Any) -> tuple[DocumentProblem, ...]:
    """Return the problems between the fields of a decoded document.

    The checks skip values of the wrong type, so that these problems are
    reported together with those of single fields.
    """
    if not isinstance(value, Mapping):
        return ()
    return tuple(problem for check in _CHECKS for problem in check(value))


def _duplicate_fields(
    document: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    """Find ids, names and addresses that are used more than once."""
    for section, field, allowed in _UNIQUE_FIELDS:
        entries = (
            ((section, index, field), item.get(field))
            for index, item in _objects(document, section)
        )
        yield from _duplicates(entries, allowed)


def _shared_tokens(document: Mapping[str, Any]) -> Iterator[DocumentProblem]:
    """Find token hashes that are used more than once.

    Each token must identify a single workspace.
    """
    entries = (
        (("workspaces", index, "token_sha256", position), token)
        for index, workspace in _objects(document, "workspaces")
        for position, token in enumerate(_items(workspace, "token_sha256"))
    )
    yield from _duplicates(entries, "a token hash that is not used elsewhere")


def _mismatched_models(
    document: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    """Find upstreams whose models do not match the kind of the service."""
    kind = document.get("kind")
    for index, upstream in _objects(document, "upstreams"):
        models = upstream.get("models", [])
        if not isinstance(models, list):
            continue
        location = ("upstreams", index, "models")
        if kind == "model" and not models:
            allowed = "at least one model, because the service kind is model"
            yield problem_at(location, models, allowed)
        if kind == "plain" and models:
            allowed = "no models, because the service kind is plain"
            yield problem_at(location, models, allowed)


def _repeated_models(document: Mapping[str, Any]) -> Iterator[DocumentProblem]:
    """Find models that an upstream lists more than once."""
    for index, upstream in _objects(document, "upstreams"):
        entries = (
            (("upstreams", index, "models", position), model)
            for position, model in enumerate(_items(upstream, "models"))
        )
        yield from _duplicates(entries, "each model once per upstream")


def _repeated_routes(document: Mapping[str, Any]) -> Iterator[DocumentProblem]:
    """Find non-idempotent routes that are declared more than once."""
    entries = (
        (
            ("non_idempotent", index),
            f"{route.get('method')} {route.get('path_prefix')}",
        )
        for index, route in _objects(document, "non_idempotent")
    )
    yield from _duplicates(entries, "each method and path prefix once")


_CHECKS: tuple[
    Callable[[Mapping[str, Any]], Iterator[DocumentProblem]], ...
] = (
    _duplicate_fields,
    _shared_tokens,
    _mismatched_models,
    _repeated_models,
    _repeated_routes,
)


def _duplicates(
    entries: Iterable[tuple[Location, Any]], allowed: str
) -> Iterator[DocumentProblem]:
    """Yield a problem for each repeated string, with its first location."""
    first_by_value: dict[str, Location] = {}
    for location, value in entries:
        if not isinstance(value, str):
            continue
        first = first_by_value.setdefault(value, location)
        if first != location:
            first_path = format_path(first)
            reason = f"{allowed}; it is already at {first_path}"
            yield problem_at(location, value, reason)


def _items(value: Mapping[str, Any], field: str) -> list[Any]:
    items = value.get(field)
    return items if isinstance(items, list) else []


def _objects(
    document: Mapping[str, Any], section: str
) -> Iterator[tuple[int, Mapping[str, Any]]]:
    for index, item in enumerate(_items(document, section)):
        if isinstance(item, Mapping):
            yield index, item
