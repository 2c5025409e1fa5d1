"""Publishing of service documents."""

import shlex
from pathlib import Path
from typing import Any

import httpx
import pytest

PUT = "PUT /v1/services/chat"
GET = "GET /v1/services/chat"


def test_accepted_edit_carries_everything(
    router: Any, run: Any, document_file: str
) -> None:
    router.answers[PUT] = (200, {"version": 8})
    outcome = run(
        "publish", document_file, "--base-version", "7", "--edit-id", "e1"
    )
    assert (outcome.code, len(router.requests)) == (0, 1)
    assert "version 8" in outcome.out
    body = router.last_json()
    assert body["document"]["workspaces"][0]["queue_limit"] == 100
    assert (body["edit_id"], body["base_version"]) == ("e1", 7)
    assert body["author"] == "kim"
    header = router.requests[0].headers["Authorization"]
    assert header == "Bearer secret-token"


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        ((200, {"service": "chat", "version": 5, "document": {}}), 5),
        ((404, {"error": {"code": "x", "message": "y"}}), 0),
    ],
)
def test_missing_base_version_is_read_and_said(
    router: Any, run: Any, document_file: str, answer: Any, expected: int
) -> None:
    router.answers |= {GET: answer, PUT: (200, {"version": 9})}
    outcome = run("publish", document_file)
    assert outcome.code == 0
    assert f"base version is {expected}" in outcome.err
    assert router.last_json()["base_version"] == expected


def test_conflict_names_the_other_edit(
    router: Any, run: Any, document_file: str
) -> None:
    conflict = {
        "current_version": 8,
        "other_edit_id": "e7",
        "other_author": "[b]lee\x1b[2J",
    }
    router.answers[PUT] = (409, conflict)
    arguments = ("publish", document_file, "--base-version", "7")
    outcome = run(*arguments)
    assert outcome.code == 3
    assert "version 8" in outcome.out
    assert "e7" in outcome.out
    # Guards against names that are taken for markup or control the terminal.
    assert "[b]lee\\u001b[2J" in outcome.out
    assert run("--json", *arguments).json() == {
        "outcome": "conflict",
        "service": "chat",
        **conflict,
    }


@pytest.mark.parametrize(
    "answer",
    [
        (202, {"edit_id": "e1"}),
        (200, b"cut off"),
        (500, b""),
        (504, b"gateway timeout"),
        httpx.ReadTimeout("timed out"),
        httpx.WriteError("reset"),
        httpx.RemoteProtocolError("closed"),
    ],
)
def test_unknown_outcome_gives_a_safe_repeat(
    router: Any, run: Any, document_file: str, answer: Any
) -> None:
    """Guards against an edit that took effect but is reported as failed."""
    router.answers[PUT] = answer
    router.answers[GET] = (
        200,
        {"service": "chat", "version": 5, "document": {}},
    )
    outcome = run("--json", "publish", document_file, "--edit-id", "e1")
    assert outcome.code == 4
    report = outcome.json()
    assert (report["outcome"], report["edit_id"]) == ("unknown", "e1")
    assert "secret-token" not in report["repeat"]
    first = router.last_json()
    router.answers = {PUT: (200, {"version": 6})}
    assert run(*shlex.split(report["repeat"])[1:]).code == 0
    assert router.last_json() == first


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (httpx.ConnectError("refused"), 5),
        (httpx.ConnectTimeout("timed out"), 5),
        ((503, {"error": {"code": "not_ready", "message": "no log"}}), 6),
        ((401, {"error": {"code": "bad_token", "message": "unknown"}}), 6),
        ((404, b""), 2),
        ((307, b""), 6),
    ],
)
def test_edit_that_was_not_made_is_no_unknown(
    router: Any, run: Any, document_file: str, answer: Any, code: int
) -> None:
    router.answers[PUT] = answer
    outcome = run("publish", document_file, "--base-version", "7")
    assert outcome.code == code


def test_problems_found_by_the_router_are_listed(
    router: Any, run: Any, document_file: str
) -> None:
    problem = {"path": "upstreams[0].id", "value": '"x"', "allowed": "names"}
    router.answers[PUT] = (422, {"problems": [problem]})
    arguments = ("publish", document_file, "--base-version", "7")
    outcome = run("--json", *arguments)
    assert outcome.code == 2
    assert outcome.json()["error"]["problems"] == [problem]
    assert 'upstreams[0].id is "x", allowed is names' in run(*arguments).err


def test_bad_document_is_not_sent(
    router: Any, run: Any, tmp_path: Path
) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"service": "chat", "kind": "other"}', encoding="utf-8")
    outcome = run("publish", str(path))
    assert (outcome.code, router.requests) == (2, [])
    for place in ("kind", "upstreams", "workspaces"):
        assert f"  {place}" in outcome.err
