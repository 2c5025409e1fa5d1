"""Checks of service documents."""

import copy
import json
from typing import Any

import pytest
from returns.pipeline import is_successful

from lacewingspar_core.documents import (
    document_json_schema,
    dump_document,
    parse_document,
    validate_document,
)

VALID: dict[str, Any] = {
    "service": "chat",
    "kind": "model",
    "upstreams": [
        {
            "id": f"engine-{number}",
            "data_centre": "east",
            "address": f"http://10.0.0.{number}:8000",
            "slots": 8,
            "models": ["m1"],
        }
        for number in (1, 2)
    ],
    "workspaces": [
        {"name": "assembly", "token_sha256": ["a" * 64]},
        {"name": "paint", "token_sha256": ["b" * 64, "c" * 64]},
    ],
    "request_classes": [{"name": "chat"}, {"name": "batch"}],
    "non_idempotent": [{"method": "POST", "path_prefix": "/orders"}],
}
REMOVED = object()


def changed(changes: dict[str, Any]) -> dict[str, Any]:
    """Return the valid document with values replaced by dotted path."""
    document = copy.deepcopy(VALID)
    for path, value in changes.items():
        *parents, last = [
            int(part) if part.isdigit() else part for part in path.split("/")
        ]
        target: Any = document
        for part in parents:
            target = target[part]
        if value is REMOVED:
            del target[last]
        else:
            target[last] = value
    return document


def problem_paths(document: Any) -> list[str]:
    return [item.path for item in validate_document(document).failure()]


def test_valid_document_survives_dump_and_parse() -> None:
    document = validate_document(VALID).unwrap()
    text = "// comment\n" + json.dumps(dump_document(document))
    assert parse_document(text).unwrap() == document


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"service": "Not A Name"}, "service"),
        ({"service": REMOVED}, "service"),
        ({"kind": "other"}, "kind"),
        ({"owner": "me"}, "owner"),
        ({"request_classes": []}, "request_classes"),
        ({"limits": 3}, "limits"),
        ({"limits": {"attempts": 0}}, "limits.attempts"),
        ({"upstreams/0/slots": 0}, "upstreams[0].slots"),
        ({"upstreams/0/slots": "8"}, "upstreams[0].slots"),
        ({"upstreams/0/slots": 1.5}, "upstreams[0].slots"),
        ({"upstreams/0/address": "10.0.0.1"}, "upstreams[0].address"),
        ({"upstreams/0/vm": ""}, "upstreams[0].vm"),
        ({"upstreams/0/models": [""]}, "upstreams[0].models[0]"),
        ({"upstreams/0/models": []}, "upstreams[0].models"),
        ({"upstreams/0/models": REMOVED}, "upstreams[0].models"),
        ({"upstreams/1/models": ["a", "a"]}, "upstreams[1].models[1]"),
        ({"upstreams/1/id": "engine-1"}, "upstreams[1].id"),
        (
            {"upstreams/1/address": "http://10.0.0.1:8000"},
            "upstreams[1].address",
        ),
        ({"workspaces/1/name": "assembly"}, "workspaces[1].name"),
        ({"workspaces/0/queue_limit": 0}, "workspaces[0].queue_limit"),
        ({"workspaces/0/queue_limit": True}, "workspaces[0].queue_limit"),
        ({"workspaces/0/weight": 0}, "workspaces[0].weight"),
        ({"workspaces/0/weight": float("nan")}, "workspaces[0].weight"),
        (
            {"workspaces/1/token_sha256": ["a" * 64]},
            "workspaces[1].token_sha256[0]",
        ),
        ({"request_classes/1/name": "chat"}, "request_classes[1].name"),
        (
            {"request_classes/0/deadline_seconds": 0},
            "request_classes[0].deadline_seconds",
        ),
        ({"non_idempotent/0/method": "post"}, "non_idempotent[0].method"),
        (
            {"non_idempotent": VALID["non_idempotent"] * 2},
            "non_idempotent[1]",
        ),
    ],
)
def test_each_mistake_is_found(changes: dict[str, Any], path: str) -> None:
    """Guards against a mistake that is accepted or blamed on other fields."""
    assert problem_paths(changed(changes)) == [path]


def test_plain_service_has_no_models() -> None:
    paths = problem_paths(changed({"kind": "plain"}))
    assert paths == ["upstreams[0].models", "upstreams[1].models"]


def test_all_mistakes_are_listed_at_once() -> None:
    """Guards against checks that hide behind the first broken field."""
    document = changed(
        {
            "kind": "plain",
            "upstreams/0/slots": -1,
            "upstreams/1/id": "engine-1",
            "workspaces/1/token_sha256/1": "a" * 64,
            "request_classes/0": "chat",
        }
    )
    assert set(problem_paths(document)) == {
        "upstreams[0].slots",
        "upstreams[0].models",
        "upstreams[1].models",
        "upstreams[1].id",
        "workspaces[1].token_sha256[1]",
        "request_classes[0]",
    }


def test_problem_states_value_and_what_is_allowed() -> None:
    problem = validate_document(changed({"kind": "other"})).failure()[0]
    assert problem.value == '"other"'
    assert "model" in problem.allowed
    assert "plain" in problem.allowed


def test_token_in_place_of_its_hash_is_not_repeated() -> None:
    """Guards against a report that carries a secret into a log."""
    secret = "secret-" * 4
    document = changed({"workspaces/0/token_sha256/0": secret})
    assert secret not in str(validate_document(document).failure())


@pytest.mark.parametrize("text", ["", "{", "[]", "3", "[" * 100_000])
def test_text_that_is_no_document_is_refused(text: str) -> None:
    assert not is_successful(parse_document(text))


def test_schema_lists_every_field_of_a_dump() -> None:
    dump = dump_document(validate_document(VALID).unwrap())
    assert set(document_json_schema()["properties"]) == set(dump)
