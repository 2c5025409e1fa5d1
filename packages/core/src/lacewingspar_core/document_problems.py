"""Problems of service documents, as shown to operators."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

_SHOWN_VALUE_CHARACTERS = 80
# Enough to recognise a hash, too little to reveal a token that an operator
# entered instead of its hash.
_SHOWN_SECRET_CHARACTERS = 8
_SECRET_FIELDS = frozenset({"token_sha256"})


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """A reason why a document is rejected.

    Attributes:
        path: Location in the document, such as `upstreams[0].slots`.
        value: The value found there, shortened.
        allowed: Description of the allowed values.
    """

    path: str
    value: str
    allowed: str


Location = Sequence[str | int]


def format_path(location: Location) -> str:
    """Return a location as text, such as `upstreams[0].slots`."""
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def problem_at(location: Location, value: Any, allowed: str) -> DocumentProblem:
    """Create the problem of a value at a location in a document."""
    is_secret = not _SECRET_FIELDS.isdisjoint(location)
    return DocumentProblem(
        format_path(location), _format_value(value, is_secret), allowed
    )


def problem_from_pydantic_error(
    error: Mapping[str, Any], fields_by_section: Mapping[str, Sequence[str]]
) -> DocumentProblem:
    """Convert a pydantic error to a problem.

    Args:
        error: An item of `ValidationError.errors()`.
        fields_by_section: Field names of the objects in each top-level field;
            the empty key holds those of the document itself.
    """
    location: Location = error["loc"]
    section = str(location[0]) if len(location) > 1 else ""
    context = error.get("ctx", {})
    match error["type"]:
        case "missing":
            return DocumentProblem(
                format_path(location), "", "a value is required"
            )
        case "unexpected_keyword_argument":
            names = ", ".join(fields_by_section.get(section, ()))
            allowed = f"one of the fields {names}"
        case "dataclass_type":
            allowed = "an object"
        case "string_pattern_mismatch":
            allowed = f"text that matches {context['pattern']}"
        case _:
            allowed = error["msg"]
    return problem_at(location, error["input"], allowed)


def _format_value(value: Any, is_secret: bool) -> str:
    limit = _SHOWN_SECRET_CHARACTERS if is_secret else _SHOWN_VALUE_CHARACTERS
    text = (
        value
        if is_secret and isinstance(value, str)
        else json.dumps(value, ensure_ascii=False, default=repr)
    )
    return text if len(text) <= limit else f"{text[:limit]}..."
