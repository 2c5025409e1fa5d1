"""Checks of service documents that involve more than one field."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from lacewingspar_core.document_problems import (
    DocumentProblem,
    Location,
    path_text,
    problem_at,
)

# Fields whose values may occur once in their list, and what is allowed.
_UNIQUE_FIELDS = (
    ("upstreams", "id", "an id that no other upstream of the service has"),
    # Two upstreams with one address would double the slots of one server.
    ("upstreams", "address", "an address that no other upstream has"),
    ("workspaces", "name", "a name that no other workspace has"),
    ("request_classes", "name", "a name that no other request class has"),
)


def check_document(value: Any) -> tuple[DocumentProblem, ...]:
    """Return the problems between the fields of a decoded document.

    The checks read the decoded value and skip whatever has the wrong shape,
    so that these problems are listed together with those of single fields.
    """
    if not isinstance(value, Mapping):
        return ()
    return tuple(problem for check in _CHECKS for problem in check(value))


def _duplicate_fields(
    document: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    """Find names and addresses that are used twice."""
    for section, field, allowed in _UNIQUE_FIELDS:
        entries = (
            ((section, index, field), item.get(field))
            for index, item in _objects(document, section)
        )
        yield from _duplicates(entries, allowed)


def _shared_tokens(document: Mapping[str, Any]) -> Iterator[DocumentProblem]:
    """Find token hashes that would identify two workspaces."""
    entries = (
        (("workspaces", index, "token_sha256", position), token)
        for index, workspace in _objects(document, "workspaces")
        for position, token in enumerate(_items(workspace, "token_sha256"))
    )
    yield from _duplicates(entries, "a token hash that is not used elsewhere")


def _models_by_kind(document: Mapping[str, Any]) -> Iterator[DocumentProblem]:
    """Find upstreams whose models do not suit the kind of the service."""
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
    """Find models that one upstream lists twice."""
    for index, upstream in _objects(document, "upstreams"):
        entries = (
            (("upstreams", index, "models", position), model)
            for position, model in enumerate(_items(upstream, "models"))
        )
        yield from _duplicates(entries, "each model once per upstream")


def _repeated_routes(document: Mapping[str, Any]) -> Iterator[DocumentProblem]:
    """Find declarations of non-idempotent calls that are given twice."""
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
    _models_by_kind,
    _repeated_models,
    _repeated_routes,
)


def _duplicates(
    entries: Iterable[tuple[Location, Any]], allowed: str
) -> Iterator[DocumentProblem]:
    """Report each text that appeared before, with its first place."""
    first_by_value: dict[str, Location] = {}
    for location, value in entries:
        if not isinstance(value, str):
            continue
        first = first_by_value.setdefault(value, location)
        if first != location:
            place = path_text(first)
            reason = f"{allowed}; it is already at {place}"
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
