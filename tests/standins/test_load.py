"""Tests of the load generator."""

from typing import Any

import msgspec
import pytest

from lacewingspar_standins.asgi import AsgiApp, Request
from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.engine import Engine
from lacewingspar_standins.engine_options import EngineFaults, EngineOptions
from lacewingspar_standins.load import run_load
from lacewingspar_standins.load_options import LoadOptions, WorkspaceLoad
from lacewingspar_standins.load_result import LoadResult
from lacewingspar_standins.plain import PlainFaults, PlainOptions, PlainService
from lacewingspar_standins.server import running

CLOSED = WorkspaceLoad(name="closed", token="t", concurrency=8)
OPEN = WorkspaceLoad(name="open", token="u", rate=500)


def new_engine(**faults: Any) -> AsgiApp:
    batch = BatchOptions(step_seconds=0.001, prompt_token_seconds=0)
    return Engine(EngineOptions(batch=batch), EngineFaults(**faults))


def new_plain() -> PlainService:
    return PlainService(PlainOptions(), PlainFaults())


async def load(app: AsgiApp, **options: Any) -> LoadResult:
    async with running(app) as address:
        fields = {
            "addresses": (address,),
            "workspaces": (CLOSED, OPEN),
            "max_requests": 40,
            "max_seconds": 3600,
            "median_tokens": 8,
            "work_ms": 1,
            "sends_request_id": True,
            **options,
        }
        return await run_load(LoadOptions(**fields))


class RefusingService(PlainService):
    """Refuses a number of requests, then acts as a plain service."""

    def __init__(self, refusals: int, run: str) -> None:
        super().__init__(PlainOptions(), PlainFaults())
        self.refusals = refusals
        self.run = run

    async def handle(self, request: Request) -> None:
        if self.refusals == 0:
            await super().handle(request)
            return
        self.refusals -= 1
        await request.body()
        error = {"code": "full", "run": self.run, "request_id": "r"}
        headers = (("retry-after", "0"),)
        await request.reply(503, {"error": error}, headers)


@pytest.mark.parametrize("chat_share", [0, 1])
async def test_both_loops_receive_all_responses(chat_share: int) -> None:
    app = new_engine() if chat_share else new_plain()
    result = await load(app, chat_share=chat_share, keyed_share=1)
    assert result.problems == ()
    for workspace in result.by_workspace.values():
        assert workspace.finals_by_outcome == {"ok": 40}
        assert workspace.latency.count == 40
        assert (workspace.tokens > 0) == bool(chat_share)
    assert len(result.answered_keys) == (0 if chat_share else 80)
    assert msgspec.json.decode(msgspec.json.encode(result), type=LoadResult)


@pytest.mark.parametrize(
    ("faults", "options", "outcome"),
    [
        ({"wrong_id": 10**6}, {}, "wrong_answer"),
        ({"cut_after": 0}, {"stream_share": 1}, "broken"),
        ({"refuse": True}, {}, "http:503"),
        ({}, {"model": "other"}, "http:404"),
        ({}, {"max_in_flight": 0, "workspaces": (OPEN,)}, "not_sent"),
    ],
)
async def test_outcomes(faults: Any, options: Any, outcome: str) -> None:
    """Guards against failures that are missing from the result."""
    result = await load(new_engine(**faults), **options)
    for workspace in result.by_workspace.values():
        assert workspace.finals_by_outcome == {outcome: 40}


@pytest.mark.parametrize(
    ("run", "keyed", "attempts", "finals"),
    [
        ("not_run", 0, 4, {"ok": 1}),
        ("unknown", 0, 1, {"refused:full": 1}),
        ("unknown", 1, 4, {"ok": 1}),
    ],
)
async def test_repeat(run: str, keyed: int, attempts: int, finals: Any) -> None:
    """Guards against repeating a call without a key that may have run."""
    result = await load(
        RefusingService(3, run),
        workspaces=(CLOSED,),
        max_requests=1,
        chat_share=0,
        keyed_share=keyed,
    )
    workspace = result.by_workspace["closed"]
    assert workspace.attempts == attempts
    assert workspace.finals_by_outcome == finals
    refused = attempts - finals.get("ok", 0)
    assert workspace.attempts_by_run == {run: refused}
    assert len(result.not_run_request_ids) == refused * (run == "not_run")
