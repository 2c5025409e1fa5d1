"""Commands that read from a router or a file."""

import copy
import json
from pathlib import Path
from typing import Any

import httpx
import pytest

from lacewingspar_core.documents import dump_document, validate_document


@pytest.fixture
def in_force(document_file: str) -> dict[str, Any]:
    text = Path(document_file).read_text(encoding="utf-8")
    value = json.loads(text.split("\n", 1)[1])
    return dump_document(validate_document(value).unwrap())


def serve(router: Any, document: dict[str, Any]) -> None:
    answer = {"service": "chat", "version": 7, "document": document}
    router.answers["GET /v1/services/chat"] = (200, answer)


def test_validate_needs_no_router(run: Any, document_file: str) -> None:
    outcome = run("--router", "", "validate", document_file)
    assert (outcome.code, "chat" in outcome.out) == (0, True)


@pytest.mark.parametrize("content", [None, b"\xff", b"{", b"{}"])
def test_validate_refuses_a_bad_file(
    run: Any, tmp_path: Path, content: bytes | None
) -> None:
    path = tmp_path / "file.json"
    if content is not None:
        path.write_bytes(content)
    outcome = run("--json", "validate", str(path))
    assert outcome.code == 2
    assert outcome.json()["error"]["message"]


def test_shown_document_can_be_published(
    router: Any, run: Any, in_force: dict[str, Any], tmp_path: Path
) -> None:
    serve(router, in_force)
    outcome = run("show", "chat", "--with-version")
    assert "// version 7" in outcome.out
    path = tmp_path / "shown.json"
    path.write_text(outcome.out, encoding="utf-8")
    assert run("validate", str(path)).code == 0
    shown = run("--json", "show", "chat", "--with-version").json()
    assert (shown["version"], shown["document"]) == (7, in_force)


def test_diff_names_what_changed(
    router: Any, run: Any, in_force: dict[str, Any], document_file: str
) -> None:
    """Guards against a list item that shifts and changes all after it."""
    old = copy.deepcopy(in_force)
    old["workspaces"][0]["weight"] = 2.0
    old["workspaces"].insert(0, {"name": "paint"})
    serve(router, old)
    outcome = run("--json", "diff", "chat", document_file)
    assert outcome.code == 0
    assert outcome.json()["differences"] == [
        {"path": "workspaces[paint]", "old": {"name": "paint"}, "new": None},
        {"path": "workspaces[assembly].weight", "old": 2.0, "new": 1.0},
    ]
    assert "workspaces[paint]" in run("diff", "chat", document_file).out
    serve(router, in_force)
    assert "no difference" in run("diff", "chat", document_file).out


def test_diff_shows_a_new_default_class(
    router: Any, run: Any, in_force: dict[str, Any], tmp_path: Path
) -> None:
    classes = [{"name": "chat"}, {"name": "batch"}]
    paths = [tmp_path / "a.json", tmp_path / "b.json"]
    for path, order in zip(paths, (classes, classes[::-1]), strict=True):
        document = in_force | {"request_classes": order}
        path.write_text(json.dumps(document), encoding="utf-8")
    value = json.loads(paths[0].read_text(encoding="utf-8"))
    serve(router, dump_document(validate_document(value).unwrap()))
    found = run("--json", "diff", "chat", str(paths[1])).json()["differences"]
    assert [item["path"] for item in found] == ["request_classes (order)"]


def test_diff_refuses_the_file_of_another_service(
    router: Any, run: Any, document_file: str
) -> None:
    assert run("diff", "other", document_file).code == 2
    assert router.requests == []


def test_history_lists_edits(router: Any, run: Any) -> None:
    edit = {"version": 3, "edit_id": "e", "author": "kim", "accepted": False}
    router.answers["GET /v1/services/chat/history"] = (200, {"edits": [edit]})
    assert run("--json", "history", "chat").json() == {"edits": [edit]}
    assert "kim" in run("history", "chat").out


@pytest.mark.parametrize(
    ("arguments", "request_line"),
    [
        (("status",), "GET /v1/status"),
        (("accounts",), "GET /v1/accounts"),
        (("requests", "a/b?"), "GET /v1/requests/a%2Fb%3F"),
        (("drain",), "POST /v1/drain"),
    ],
)
def test_answer_is_passed_on(
    router: Any, run: Any, arguments: tuple[str, ...], request_line: str
) -> None:
    answer = {"state": "serving", "rows": [{"name": "x"}, {"served": 1.5}]}
    router.answers[request_line] = (200, answer)
    assert run("--json", *arguments).json() == answer
    outcome = run(*arguments)
    assert (outcome.code, outcome.err) == (0, "")


def test_answer_becomes_tables(router: Any, run: Any) -> None:
    answer = {"state": "serving", "rows": [{"name": "x"}, {"served": 1.5}]}
    router.answers["GET /v1/status"] = (200, answer)
    out = run("status").out
    for text in ("serving", "rows", "name", "served", "1.5"):
        assert text in out


@pytest.mark.parametrize(
    ("answer", "code", "reason"),
    [
        (httpx.ConnectError("refused"), 5, "unreachable"),
        (httpx.ReadTimeout("timed out"), 5, "no_answer"),
        ((404, b""), 2, "http_404"),
        ((403, {"error": {"code": "no", "message": "m"}}), 6, "no"),
        ((500, b"<html>"), 6, "http_500"),
        ((200, b"<html>"), 6, "invalid_answer"),
    ],
)
def test_failed_read_has_its_exit_code(
    router: Any, run: Any, answer: Any, code: int, reason: str
) -> None:
    router.answers["GET /v1/status"] = answer
    outcome = run("--json", "status")
    assert outcome.code == code
    assert outcome.json()["error"]["code"] == reason


@pytest.mark.parametrize("answer", [httpx.ReadTimeout("late"), (502, b"")])
def test_drain_without_answer_is_unknown(
    router: Any, run: Any, answer: Any
) -> None:
    router.answers["POST /v1/drain"] = answer
    assert run("drain").code == 4


@pytest.mark.parametrize(
    "options",
    [
        ("--router", ""),
        ("--router", "ftp://x"),
        ("--router", "10.0.0.1:7001"),
        ("--router", "http://["),
        ("--token", ""),
        ("--token", "a\nb"),
        ("--no-such-option",),
    ],
)
def test_bad_options_are_bad_input(run: Any, options: tuple[str, ...]) -> None:
    assert run(*options, "status").code == 2
