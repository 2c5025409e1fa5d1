"""A router's administration API that answers from a table."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import pytest
from typer.testing import CliRunner

from lacewingspar_ctl.main import app

DOCUMENT: dict[str, Any] = {
    "service": "chat",
    "kind": "model",
    "upstreams": [
        {
            "id": "engine-1",
            "data_centre": "east",
            "address": "http://10.0.0.1:8000",
            "slots": 8,
            "models": ["m1"],
        }
    ],
    "workspaces": [{"name": "assembly", "token_sha256": ["a" * 64]}],
}


@dataclass
class FakeRouter:
    """Answers by "METHOD path"; an exception as answer is raised."""

    answers: dict[str, tuple[int, Any] | Exception] = field(
        default_factory=dict
    )
    requests: list[httpx.Request] = field(default_factory=list)

    def handle(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        path = request.url.raw_path.decode()
        answer = self.answers.get(f"{request.method} {path}")
        match answer:
            case Exception():
                raise answer
            case (int(status), bytes(body)):
                return httpx.Response(status, content=body)
            case (int(status), body):
                return httpx.Response(status, json=body)
            case _:
                error = {"code": "not_found", "message": "no such thing"}
                return httpx.Response(404, json={"error": error})

    def last_json(self) -> Any:
        return json.loads(self.requests[-1].content)


@dataclass(frozen=True)
class Outcome:
    code: int
    out: str
    err: str

    def json(self) -> Any:
        return json.loads(self.out)


Run = Callable[..., Outcome]


@pytest.fixture
def router() -> FakeRouter:
    return FakeRouter()


@pytest.fixture
def run(router: FakeRouter, monkeypatch: pytest.MonkeyPatch) -> Run:
    monkeypatch.setenv("LACEWINGSPAR_ROUTER", "http://10.0.0.9:7001")
    monkeypatch.setenv("LACEWINGSPAR_TOKEN", "secret-token")
    monkeypatch.setenv("LACEWINGSPAR_AUTHOR", "kim")

    def invoke(*arguments: str) -> Outcome:
        transport = httpx.MockTransport(router.handle)
        result = CliRunner().invoke(app, list(arguments), obj=transport)
        return Outcome(result.exit_code, result.stdout, result.stderr)

    return invoke


@pytest.fixture
def document_file(tmp_path: Path) -> str:
    path = tmp_path / "chat.json"
    path.write_text("// chat\n" + json.dumps(DOCUMENT), encoding="utf-8")
    return str(path)
