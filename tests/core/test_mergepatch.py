"""Tests of JSON merge patches."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core.mergepatch import apply_patch, make_patch

SCALARS = st.booleans() | st.integers(-2, 2) | st.sampled_from(["", "a"])
NAMES = st.sampled_from(["a", "b", "c"])
# Nulls occur in arrays only, as in service documents.
VALUES = st.recursive(
    SCALARS | st.floats(0, 2),
    lambda inner: (
        st.lists(inner | st.none(), max_size=3)
        | st.dictionaries(NAMES, inner, max_size=3)
    ),
    max_leaves=8,
)
DOCUMENTS = st.dictionaries(NAMES, VALUES, max_size=3)


@pytest.mark.parametrize(
    ("target", "patch", "expected"),
    [
        # Examples of RFC 7396, appendix A.
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        (["a", "b"], ["c", "d"], ["c", "d"]),
        ({"a": "b"}, ["c"], ["c"]),
        ({"a": "foo"}, None, None),
        ({"a": "foo"}, "bar", "bar"),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_apply_patch(target: Any, patch: Any, expected: Any) -> None:
    assert apply_patch(target, patch) == expected


@settings(derandomize=True, max_examples=300)
@given(DOCUMENTS, DOCUMENTS)
def test_created_patch_produces_the_target(source: Any, target: Any) -> None:
    """Guards against an edit that publishes a wrong document."""
    # `repr` distinguishes 1, True and 1.0, which compare as equal.
    before = repr(source)
    result = apply_patch(source, make_patch(source, target))
    assert repr(_sorted(result)) == repr(_sorted(target))
    assert repr(source) == before


def _sorted(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _sorted(value[name]) for name in sorted(value)}
    if isinstance(value, list):
        return [_sorted(item) for item in value]
    return value
