"""JSON merge patches after RFC 7396."""

from typing import Any


def apply_patch(target: Any, patch: Any) -> Any:
    """Return the result of a merge patch; the arguments stay unchanged.

    Args:
        target: JSON value to change.
        patch: JSON merge patch.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_patch(result.get(name), value)
    return result


def make_patch(source: Any, target: Any) -> Any:
    """Return a merge patch that turns one JSON value into another.

    A merge patch cannot set an object member to null. The result is exact for
    targets whose nulls are inside arrays only.

    Args:
        source: JSON value that the patch will be applied to.
        target: JSON value that the patch shall produce.
    """
    if not isinstance(source, dict) or not isinstance(target, dict):
        return target
    patch: dict[str, Any] = {
        name: None for name in source if name not in target
    }
    for name, value in target.items():
        if name not in source:
            patch[name] = value
        elif not _is_same(source[name], value):
            patch[name] = make_patch(source[name], value)
    return patch


def _is_same(one: Any, other: Any) -> bool:
    """Compare JSON values; Python alone would take `1` and `true` as equal."""
    if isinstance(one, dict) and isinstance(other, dict):
        return one.keys() == other.keys() and all(
            _is_same(value, other[name]) for name, value in one.items()
        )
    if isinstance(one, list | tuple) and isinstance(other, list | tuple):
        return len(one) == len(other) and all(
            _is_same(value, other[index]) for index, value in enumerate(one)
        )
    return type(one) is type(other) and bool(one == other)
