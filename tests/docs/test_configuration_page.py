"""The configuration page against the schemas of settings and documents."""

import json
import re
from pathlib import Path
from typing import Any

import pytest
from pydantic import TypeAdapter

from lacewingspar_core.documents import document_json_schema
from lacewingspar_router.settings import Settings

PAGE = Path(__file__).parents[2] / "docs" / "configuration.md"
SETTINGS = TypeAdapter(Settings).json_schema()
DOCUMENT = document_json_schema()
SCHEMA_BY_HEADING = {
    "Settings file": SETTINGS,
    "`peers[]`": SETTINGS["$defs"]["PeerSettings"],
    "Service document": DOCUMENT,
    "`upstreams[]`": DOCUMENT["$defs"]["Upstream"],
    "`workspaces[]`": DOCUMENT["$defs"]["Workspace"],
    "`request_classes[]`": DOCUMENT["$defs"]["RequestClass"],
    "`non_idempotent[]`": DOCUMENT["$defs"]["NonIdempotentRoute"],
    "`limits`": DOCUMENT["$defs"]["Limits"],
}


def type_text(field: dict[str, Any]) -> str:
    match field:
        case {"anyOf": [inner, {"type": "null"}]}:
            return f"{type_text(inner)} or null"
        case {"$ref": reference}:
            target = DOCUMENT["$defs"][reference.rsplit("/", 1)[1]]
            return type_text(target)
        case {"type": "array", "items": {"$ref": _}}:
            return "list of objects"
        case {"type": "array"}:
            return "list of text"
        case {"patternProperties": _}:
            return "map of text"
        case {"minimum": low, "maximum": high}:
            return f"{field['type']}, {low} to {high}"
        case {"exclusiveMinimum": low, "maximum": high}:
            return f"{field['type']}, above {low}, at most {high}"
    return {"string": "text"}.get(field["type"], field["type"])


def rows_of(schema: dict[str, Any]) -> dict[str, tuple[str, str]]:
    """Return the type and the default that the page must state."""
    rows = {}
    for name, field in schema["properties"].items():
        default = f"`{json.dumps(field.get('default', {}))}`"
        if name in schema.get("required", ()):
            default = "required"
        rows[name] = (type_text(field), default)
    return rows


def rows_by_heading() -> dict[str, dict[str, tuple[str, str, str, str]]]:
    sections = re.split(r"^##+ (.+)$", PAGE.read_text("utf-8"), flags=re.M)
    row = r"^\| `(\w+)` \| (.+?) \| (.+?) \| (.+?) \| (.+) \|$"
    return {
        heading: {cells[0]: cells[1:] for cells in re.findall(row, text, re.M)}
        for heading, text in zip(sections[1::2], sections[2::2], strict=True)
    }


def test_every_object_has_a_section() -> None:
    assert set(rows_by_heading()) == set(SCHEMA_BY_HEADING)
    objects = [
        schema
        for page in (SETTINGS, DOCUMENT)
        for schema in (page, *page["$defs"].values())
        if "properties" in schema
    ]
    assert len(objects) == len(SCHEMA_BY_HEADING)


@pytest.mark.parametrize("heading", SCHEMA_BY_HEADING)
def test_section_states_fields_types_and_defaults(heading: str) -> None:
    """Guards against a field that is missing, removed or changed."""
    rows = rows_by_heading()[heading]
    stated = {name: (row[0], row[2]) for name, row in rows.items()}
    assert stated == rows_of(SCHEMA_BY_HEADING[heading])
    for name, (_, unit, _, meaning) in rows.items():
        assert meaning
        for suffix in ("seconds", "bytes"):
            assert (unit == suffix) == name.endswith(f"_{suffix}")
