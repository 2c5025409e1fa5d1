"""Tests the publishing of service documents."""

import shlex
from pathlib import Path
from typing import Any

import httpx
import pytest

PUT = "PUT /v1/services/language-models"
GET = "GET /v1/services/language-models"
ACTIVE = {"service": "language-models", "version": 5, "document": {}}
BASE = "--base-version=7"


def test_accepted_edit_carries_everything(router: Any, file: str) -> None:
    router.responses[PUT] = (200, {"version": 8})
    outcome = router.run("publish", file, BASE, "--edit-id=e1")
    assert (outcome.code, len(router.requests)) == (0, 1)
    assert "version 8" in outcome.out
    body = router.last_body()
    assert body.pop("document")["limits"]["attempts"] == 3
    assert body == {"edit_id": "e1", "base_version": 7, "author": "kim"}
    header = router.requests[0].headers["Authorization"]
    assert header == "Bearer secret-token"


@pytest.mark.parametrize(
    ("response", "expected"), [((200, ACTIVE), 5), ((404, b""), 0)]
)
def test_missing_base_version_is_read_and_printed(
    router: Any, file: str, response: Any, expected: int
) -> None:
    router.responses = {GET: response, PUT: (200, {"version": 9})}
    outcome = router.run("publish", file)
    assert outcome.code == 0
    assert f"base version is {expected}" in outcome.err
    assert router.last_body()["base_version"] == expected


def test_conflict_names_the_other_edit(router: Any, file: str) -> None:
    """Guards against names that act as markup or control sequences."""
    conflict = {"current_version": 8, "other_edit_id": "e7"}
    conflict["other_author"] = "[b]lee\x1b[2J"
    router.responses[PUT] = (409, conflict)
    outcome = router.run("publish", file, BASE)
    assert outcome.code == 3
    for text in ("version 8", "e7", "[b]lee\\u001b[2J"):
        assert text in outcome.out
    shown = router.run("--json", "publish", file, BASE).json()
    assert shown.pop("outcome") == "conflict"
    assert shown == {"service": "language-models"} | conflict


@pytest.mark.parametrize(
    "response",
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
def test_unknown_gives_safe_repeat(
    router: Any, file: str, response: Any
) -> None:
    """Guards against an edit that took effect but is reported as failed."""
    router.responses = {PUT: response, GET: (200, ACTIVE)}
    outcome = router.run("--json", "publish", file, "--edit-id=e1")
    report = outcome.json()
    assert outcome.code == 4
    assert (report["outcome"], report["edit_id"]) == ("unknown", "e1")
    assert "secret-token" not in report["repeat"]
    first = router.last_body()
    router.responses = {PUT: (200, {"version": 6})}
    assert router.run(*shlex.split(report["repeat"])[1:]).code == 0
    assert router.last_body() == first


@pytest.mark.parametrize(
    ("response", "code"),
    [
        (httpx.ConnectError("refused"), 5),
        (httpx.ConnectTimeout("timed out"), 5),
        ((503, {"error": {"code": "not_ready", "message": "no log"}}), 6),
        ((401, {"error": {"code": "bad_token", "message": "unknown"}}), 6),
        ((404, b""), 2),
        ((307, b""), 6),
    ],
)
def test_edit_without_effect_is_not_unknown(
    router: Any, file: str, response: Any, code: int
) -> None:
    router.responses[PUT] = response
    assert router.run("publish", file, BASE).code == code


def test_problems_from_router_are_listed(router: Any, file: str) -> None:
    problem = {"path": "upstreams[0].id", "value": '"x"', "allowed": "names"}
    router.responses[PUT] = (422, {"problems": [problem]})
    outcome = router.run("--json", "publish", file, BASE)
    assert outcome.code == 2
    assert outcome.json()["error"]["problems"] == [problem]
    error = router.run("publish", file, BASE).err
    assert 'upstreams[0].id is "x", allowed is names' in error


def test_bad_document_is_not_sent(router: Any, tmp_path: Path) -> None:
    (tmp_path / "bad").write_text('{"service": "chat", "kind": "other"}')
    outcome = router.run("publish", str(tmp_path / "bad"))
    assert (outcome.code, router.requests) == (2, [])
    for place in ("kind", "upstreams", "workspaces"):
        assert f"  {place}" in outcome.err
