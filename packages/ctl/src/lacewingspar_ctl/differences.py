"""Differences between two service documents."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

# Fields that identify the objects of a list, in order of preference.
_KEY_FIELDS = ("id", "name")


class Difference(msgspec.Struct, frozen=True):
    """A value that differs between two documents.

    Attributes:
        path: Path in the documents; list items are identified by id or name,
            as in `workspaces[paint].weight`.
        old: Value in the old document, or None if it is missing.
        new: Value in the new document, or None if it is missing.
    """

    path: str
    old: Any
    new: Any


def differences(old: Any, new: Any, path: str = "") -> Iterator[Difference]:
    """Yield the differences between two decoded documents."""
    if old == new:
        return
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in _merged_keys(old, new):
            inner = f"{path}.{name}" if path else name
            yield from differences(old.get(name), new.get(name), inner)
        return
    old_by_key, new_by_key = _by_key(old), _by_key(new)
    if old_by_key is None or new_by_key is None:
        yield Difference(path, old, new)
        return
    for key in _merged_keys(old_by_key, new_by_key):
        inner = f"{path}[{key}]"
        yield from differences(old_by_key.get(key), new_by_key.get(key), inner)
    if _common_order(old_by_key, new_by_key) != _common_order(
        new_by_key, old_by_key
    ):
        # The order matters, since the first request class is the default.
        yield Difference(f"{path} (order)", list(old_by_key), list(new_by_key))


def _merged_keys(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    return list(dict.fromkeys((*old, *new)))


def _common_order(of: Mapping[str, Any], other: Mapping[str, Any]) -> list[str]:
    return [key for key in of if key in other]


def _by_key(value: Any) -> dict[str, Any] | None:
    """Return list items keyed by id or name, or None if not possible."""
    if not isinstance(value, list):
        return None
    for field in _KEY_FIELDS:
        if all(isinstance(item, Mapping) and field in item for item in value):
            return {str(item[field]): item for item in value}
    return None
