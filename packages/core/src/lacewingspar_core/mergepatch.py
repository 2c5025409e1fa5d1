"""JSON merge patches as defined in RFC 7396."""

from typing import Any


def apply_patch(target: Any, patch: Any) -> Any:
    """Apply a merge patch and return the result; the arguments stay unchanged.

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
    """Create a merge patch that turns one JSON value into another.

    A merge patch cannot set an object member to null, so the result is exact
    only if all nulls of the target are inside arrays.

    Args:
        source: JSON value to which the patch will be applied.
        target: JSON value that the patch produces.
    """
    if not isinstance(source, dict) or not isinstance(target, dict):
        return target
    patch: dict[str, Any] = {
        name: None for name in source if name not in target
    }
    for name, value in target.items():
        if name not in source:
            patch[name] = value
        elif not _is_equal_json(source[name], value):
            patch[name] = make_patch(source[name], value)
    return patch


def _is_equal_json(left: Any, right: Any) -> bool:
    """Compare JSON values; Python's `==` alone would equate `1` and `true`."""
    if isinstance(left, dict) and isinstance(right, dict):
        return left.keys() == right.keys() and all(
            _is_equal_json(value, right[name]) for name, value in left.items()
        )
    if isinstance(left, list | tuple) and isinstance(right, list | tuple):
        return len(left) == len(right) and all(
            _is_equal_json(value, right[index])
            for index, value in enumerate(left)
        )
    return type(left) is type(right) and bool(left == right)
