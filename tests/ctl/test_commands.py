"""Tests the commands that read from a router or a file, and drain."""

from copy import deepcopy
from pathlib import Path
from typing import Any

import httpx
import pytest

from lacewingspar_core.documents import dump_document, parse_document

SERVICE = "language-models"
LATE = httpx.ReadTimeout("late")
BAD_ROUTERS = ["", "ftp://x", "10.0.0.1:7001", "http://[", "http://x:65536"]
BAD_OPTIONS = [f"--router={url}" for url in BAD_ROUTERS]
BAD_OPTIONS += ["--token=", "--token=a\nb", "--no-such-option"]


@pytest.fixture
def active_document(file: str) -> Any:
    return dump_document(parse_document(Path(file).read_text("utf-8")).unwrap())


def serve(router: Any, document: dict[str, Any]) -> None:
    response = {"service": SERVICE, "version": 7, "document": document}
    router.responses[f"GET /v1/services/{SERVICE}"] = (200, response)


def test_validate_needs_no_router(router: Any, file: str) -> None:
    outcome = router.run("--router=", "validate", file)
    assert (outcome.code, SERVICE in outcome.out) == (0, True)


@pytest.mark.parametrize("content", [None, b"\xff", b"{", b"{}"])
def test_validate_refuses_a_bad_file(
    router: Any, tmp_path: Path, content: bytes | None
) -> None:
    path = tmp_path / "file.json"
    if content is not None:
        path.write_bytes(content)
    outcome = router.run("--json", "validate", str(path))
    assert outcome.code == 2
    assert outcome.json()["error"]["message"]


def test_shown_document_is_valid(
    router: Any, active_document: Any, tmp_path: Path
) -> None:
    serve(router, active_document)
    outcome = router.run("show", SERVICE, "--with-version")
    assert "// version 7" in outcome.out
    (tmp_path / "shown").write_text(outcome.out, "utf-8")
    assert router.run("validate", str(tmp_path / "shown")).code == 0
    shown = router.run("--json", "show", SERVICE, "--with-version").json()
    assert (shown["version"], shown["document"]) == (7, active_document)


def test_diff_names_what_changed(
    router: Any, active_document: Any, file: str
) -> None:
    """Guards against an inserted list item that marks later ones as changed."""
    old = deepcopy(active_document)
    old["workspaces"][0]["weight"] = 9.0
    old["workspaces"].insert(0, {"name": "paint"})
    # The first class is the default, so a new order is a difference.
    old["request_classes"].reverse()
    serve(router, old)
    found = router.run("--json", "diff", SERVICE, file).json()["differences"]
    assert [item["path"] for item in found] == [
        "workspaces[paint]",
        "workspaces[assembly].weight",
        "request_classes (order)",
    ]
    assert [found[1]["old"], found[1]["new"]] == [9.0, 4.0]
    assert "workspaces[paint]" in router.run("diff", SERVICE, file).out
    serve(router, active_document)
    assert "no difference" in router.run("diff", SERVICE, file).out


def test_diff_refuses_another_service(router: Any, file: str) -> None:
    assert router.run("diff", "other", file).code == 2
    assert router.requests == []


def test_history_lists_edits(router: Any) -> None:
    edit = {"version": 3, "edit_id": "e", "author": "kim", "accepted": False}
    response = {"edits": [edit]}
    router.responses["GET /v1/services/chat/history"] = (200, response)
    assert router.run("--json", "history", "chat").json() == response
    assert "kim" in router.run("history", "chat").out


@pytest.mark.parametrize(
    ("command", "request_line", "text"),
    [
        ("status", "GET /v1/status", "serving"),
        ("accounts", "GET /v1/accounts", "served"),
        ("requests a/b?", "GET /v1/requests/a%2Fb%3F", "1.5"),
        ("quarantine", "GET /v1/quarantine", "served"),
        ("release chat a/b", "DELETE /v1/quarantine/chat/a%2Fb", "served"),
        ("drain", "POST /v1/drain", "drain started"),
    ],
)
def test_answer_is_shown(
    router: Any, command: str, request_line: str, text: str
) -> None:
    response = {"state": "serving", "rows": [{"name": "x"}, {"served": 1.5}]}
    router.responses[request_line] = (200, response)
    assert router.run("--json", *command.split()).json() == response
    outcome = router.run(*command.split())
    assert (outcome.code, outcome.err, text in outcome.out) == (0, "", True)


@pytest.mark.parametrize(
    ("response", "code", "reason"),
    [
        (httpx.ConnectError("refused"), 5, "unreachable"),
        (LATE, 5, "no_answer"),
        ((404, b""), 2, "http_404"),
        ((403, {"error": {"code": "no", "message": "m"}}), 6, "no"),
        ((500, b"<html>"), 6, "http_500"),
        ((200, b"<html>"), 6, "invalid_answer"),
    ],
)
def test_failed_read_has_its_exit_code(
    router: Any, response: Any, code: int, reason: str
) -> None:
    router.responses["GET /v1/status"] = response
    outcome = router.run("--json", "status")
    assert outcome.code == code
    assert outcome.json()["error"]["code"] == reason


@pytest.mark.parametrize("response", [LATE, (502, b""), (200, b"<html>")])
def test_unclear_drain_is_unknown(router: Any, response: Any) -> None:
    router.responses["POST /v1/drain"] = response
    assert router.run("drain").code == 4


@pytest.mark.parametrize("option", BAD_OPTIONS)
def test_bad_options_are_bad_input(router: Any, option: str) -> None:
    router.responses["GET /v1/status"] = (200, {})
    assert router.run(option, "status").code == 2
