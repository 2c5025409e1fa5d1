"""Tests of the validation of service documents."""

import re
from copy import deepcopy
from functools import reduce
from operator import getitem
from pathlib import Path
from typing import Any

import pyjson5
import pytest
from returns.pipeline import is_successful

from lacewingspar_core.documents import (
    document_json_schema,
    dump_document,
    parse_document,
    validate_document,
)

EXAMPLES = Path(__file__).parents[2] / "examples"
TEXT = {path.stem: path.read_text("utf-8") for path in EXAMPLES.glob("*")}
MODEL = pyjson5.decode(TEXT["language-models"])
PLAIN = pyjson5.decode(TEXT["plant-application"])
TOKEN = MODEL["workspaces"][0]["token_sha256"][0]
REMOVED = object()

INVALID_VALUES_BY_PATH = {
    "service": ["Not A Name", REMOVED],
    "kind": ["other"],
    "owner": ["me"],
    "limits": [3],
    "limits.attempts": [0],
    "upstreams[0].slots": [0, "8", 1.5],
    "upstreams[0].address": ["10.0.0.1"],
    "upstreams[0].vm": [""],
    "upstreams[0].models": [[], REMOVED],
    "upstreams[0].models[0]": [""],
    "upstreams[0].models[1]": [MODEL["upstreams"][0]["models"][0]],
    "upstreams[1].id": [MODEL["upstreams"][0]["id"]],
    "upstreams[1].address": [MODEL["upstreams"][0]["address"]],
    "workspaces[0].queue_limit": [0, True],
    "workspaces[0].weight": [0, "1", True, float("nan")],
    "workspaces[1].name": [MODEL["workspaces"][0]["name"]],
    "workspaces[1].token_sha256[0]": [TOKEN],
    "request_classes": [[]],
    "request_classes[0].deadline_seconds": [0],
    "request_classes[1].name": [MODEL["request_classes"][0]["name"]],
    "non_idempotent[0].method": ["post"],
    "non_idempotent[1]": [PLAIN["non_idempotent"][0]],
}


def changed(document: Any, changes: dict[str, Any]) -> Any:
    document = deepcopy(document)
    for path, value in changes.items():
        keys = re.findall(r"\w+", path)
        *parents, last = [int(k) if k.isdigit() else k for k in keys]
        target = reduce(getitem, parents, document)
        target[last] = value
        if value is REMOVED:
            del target[last]
    return document


def problem_paths(document: Any) -> list[str]:
    return [item.path for item in validate_document(document).failure()]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (path, value)
        for path, values in INVALID_VALUES_BY_PATH.items()
        for value in values
    ],
)
def test_each_invalid_value_is_found(path: str, value: Any) -> None:
    """Guards against an error that is accepted or reported for other fields."""
    base = PLAIN if path.startswith("non_idempotent") else MODEL
    assert problem_paths(changed(base, {path: value})) == [path]


def test_all_problems_are_listed_at_once() -> None:
    """Guards against checks that run only if all single fields are valid."""
    changes = {
        "upstreams[0].slots": -1,
        "upstreams[0].models": ["m"],
        "upstreams[1].id": PLAIN["upstreams"][0]["id"],
        "workspaces[1].token_sha256[0]": TOKEN,
        "request_classes[0]": "chat",
    }
    found = problem_paths(changed(PLAIN, changes))
    assert sorted(found) == sorted(changes)


def test_problem_states_value_and_what_is_allowed() -> None:
    problem = validate_document(MODEL | {"kind": "other"}).failure()[0]
    assert problem.value == '"other"'
    assert {"model", "plain"} <= set(re.findall(r"\w+", problem.allowed))


def test_token_in_place_of_its_hash_is_not_shown() -> None:
    """Guards against an error message that writes a token to a log."""
    document = changed(MODEL, {"workspaces[0].token_sha256[0]": "secret-" * 4})
    assert "secret-secret" not in str(validate_document(document).failure())


@pytest.mark.parametrize("text", ["", "{", "[]", "3", "[" * 100_000])
def test_text_that_is_no_document_is_rejected(text: str) -> None:
    assert not is_successful(parse_document(text))


@pytest.mark.parametrize(
    ("service", "kind", "upstreams"),
    [("language-models", "model", 6), ("plant-application", "plain", 4)],
)
def test_example_is_valid(service: str, kind: str, upstreams: int) -> None:
    """Guards against examples that the current schema rejects."""
    document = parse_document(TEXT[service]).unwrap()
    assert (document.service, document.kind) == (service, kind)
    assert len(document.upstreams) == upstreams
    assert len({item.data_centre for item in document.upstreams}) == 4
    dump = dump_document(document)
    assert validate_document(dump).unwrap() == document
    assert set(document_json_schema()["properties"]) == set(dump)


def test_examples_have_the_classes_of_deployment_b() -> None:
    classes = MODEL["request_classes"] + PLAIN["request_classes"]
    names = " ".join(sorted({item["name"] for item in classes}))
    assert names == "batch-reviews chat label-checks stock-lookups"
