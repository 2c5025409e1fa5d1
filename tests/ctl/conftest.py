"""Fixtures that run the command line against a fake administration API."""

import json
from pathlib import Path
from typing import Any, NamedTuple

import httpx
import pytest
from typer.testing import CliRunner

from lacewingspar_ctl.main import app


class Outcome(NamedTuple):
    code: int
    out: str
    err: str

    def json(self) -> Any:
        return json.loads(self.out)


class FakeRouter:
    """Returns the response stored for "METHOD path"; raises exceptions."""

    def __init__(self) -> None:
        self.responses: dict[str, Any] = {}
        self.requests: list[httpx.Request] = []

    def handle(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        path = request.url.raw_path.decode()
        response = self.responses.get(f"{request.method} {path}", (404, b""))
        if isinstance(response, Exception):
            raise response
        status, body = response
        kind = "content" if isinstance(body, bytes) else "json"
        return httpx.Response(status, **{kind: body})

    def run(self, *arguments: str) -> Outcome:
        transport = httpx.MockTransport(self.handle)
        result = CliRunner().invoke(app, list(arguments), obj=transport)
        return Outcome(result.exit_code, result.stdout, result.stderr)

    def last_body(self) -> Any:
        return json.loads(self.requests[-1].content)


@pytest.fixture
def router(monkeypatch: pytest.MonkeyPatch) -> FakeRouter:
    monkeypatch.setenv("LACEWINGSPAR_ROUTER", "http://10.0.0.9:7001")
    monkeypatch.setenv("LACEWINGSPAR_TOKEN", "secret-token")
    monkeypatch.setenv("LACEWINGSPAR_AUTHOR", "kim")
    return FakeRouter()


@pytest.fixture
def file() -> str:
    return str(Path(__file__).parents[2] / "examples/language-models.json")
