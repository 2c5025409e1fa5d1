"""The pages against the schemas and the tables of the design page."""

import json
import re
from pathlib import Path
from typing import Any

import pytest
from pydantic import TypeAdapter

from lacewingspar_core.documents import document_json_schema
from lacewingspar_router.settings import Settings

DOCS = Path(__file__).parents[2] / "docs"
PAGES = {page.stem: page.read_text("utf-8") for page in DOCS.glob("*.md")}
SETTINGS = TypeAdapter(Settings).json_schema()
DOCUMENT = document_json_schema()
DEFINITIONS = SETTINGS["$defs"] | DOCUMENT["$defs"]


def target(field: dict[str, Any]) -> Any:
    """Return the object that a field, also an optional one, refers to."""
    inner = field.get("anyOf", [field])[0]
    return DEFINITIONS.get(inner.get("$ref", "").rsplit("/", 1)[-1], {})


def schema_by_heading() -> dict[str, dict[str, Any]]:
    """Return the section heading of each object with its schema."""
    found = {"Settings file": SETTINGS, "Service document": DOCUMENT}
    for page in (SETTINGS, DOCUMENT):
        for name, field in page["properties"].items():
            found[f"`{name}[]`"] = target(field.get("items", {}))
            found[f"`{name}`"] = target(field)
    return {head: item for head, item in found.items() if "properties" in item}


def type_text(field: dict[str, Any]) -> str:
    match target(field) | field:
        case {"anyOf": [inner, {"type": "null"}]}:
            return f"{type_text(inner)} or null"
        case {"type": "array", "items": items}:
            return "list of objects" if "$ref" in items else "list of text"
        case {"patternProperties": _}:
            return "map of text"
        case {"type": kind, "minimum": low, "maximum": high}:
            return f"{kind}, {low} to {high}"
        case {"type": kind, "exclusiveMinimum": low, "maximum": high}:
            return f"{kind}, above {low}, at most {high}"
        case {"type": kind}:
            return "text" if kind == "string" else kind
    raise AssertionError(field)


def stated_rows(heading: str) -> dict[str, tuple[str, ...]]:
    sections = re.split(r"^##+ (.+)\n", PAGES["configuration"], flags=re.M)
    text = sections[sections.index(heading) + 1]
    row = r"^\| `(\w+)` \| (.+?) \| (.+?) \| (.+?) \| (.+) \|$"
    return {cells[0]: cells[1:] for cells in re.findall(row, text, re.M)}


def test_every_object_has_a_section() -> None:
    headings = re.findall(r"^##+ (.+)$", PAGES["configuration"], re.M)
    assert sorted(headings) == sorted(schema_by_heading())


@pytest.mark.parametrize("heading", schema_by_heading())
def test_section_states_fields_types_and_defaults(heading: str) -> None:
    """Guards against a field that is missing, removed or changed."""
    schema, rows = schema_by_heading()[heading], stated_rows(heading)
    assert list(rows) == list(schema["properties"])
    for name, field in schema["properties"].items():
        default = f"`{json.dumps(field.get('default', {}))}`"
        if name in schema.get("required", ()):
            default = "required"
        unit = rows[name][1]
        assert rows[name][::2] == (type_text(field), default)
        for suffix in ("seconds", "bytes"):
            assert (unit == suffix) == name.endswith(f"_{suffix}")


def first_cells(text: str, header: str) -> list[str]:
    """Return the first column of the tables that begin with a header."""
    table = rf"^\| {header} \|.*\n\|[-|]+\n((?:\|.*\n)+)"
    rows = "".join(re.findall(table, text, re.M)).splitlines()
    return [re.split(r" \(| \||:", row)[0].removeprefix("| ") for row in rows]


def test_operations_page_has_every_fault() -> None:
    """Guards against a fault that the person on call finds nothing about."""
    headings = re.findall(r"^### (.+)$", PAGES["OPERATIONS"], re.M)
    assert headings == first_cells(PAGES["design"], "Failure")


@pytest.mark.parametrize("header", ["Guarantee", "Quantity"])
def test_proof_page_has_every_row(header: str) -> None:
    """Guards against a guarantee or figure that nobody has to prove."""
    rows = first_cells(PAGES["design"], header)
    assert rows
    assert first_cells(PAGES["proof"], header) == rows
