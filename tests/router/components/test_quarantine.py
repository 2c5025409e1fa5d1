"""Tests crash records and runs of suspects at several routers."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from lacewingspar_core.messages import Quarantine
from lacewingspar_core.prompt_suspects import (
    CRASHES_UNTIL_REFUSED,
)
from lacewingspar_router.components import quarantine
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.quarantine import models, registry
from lacewingspar_router.components.quarantine.errors import (
    NoUpstreamForSuspectError,
)
from lacewingspar_router.components.upstreams.models import UPSTREAMS

NO_DEADLINE = float("inf")


class FakePool:
    def __init__(self) -> None:
        self.up: set[str] = set()
        self.unreachable: set[str] = set()
        healthy = SimpleNamespace(state="healthy")
        self.status_by_upstream = {("s", f"u{n}"): healthy for n in range(4)}

    async def async_is_up(self, service: str, upstream_id: str) -> bool:
        del service
        return upstream_id in self.up

    async def async_is_reachable(self, service: str, upstream_id: str) -> bool:
        del service
        return upstream_id not in self.unreachable


def identity(name: str) -> models.RequestIdentity:
    return models.RequestIdentity("s", "/p", name.encode())


@pytest.fixture
def start(make_app: Any) -> Callable[..., Any]:
    async def start_router(router_id: str) -> Any:
        app = make_app(router_id)
        app.register(UPSTREAMS, FakePool())
        await quarantine.async_setup(app)
        return SimpleNamespace(
            app=app,
            crashes=app.get(models.QUARANTINE),
            pool=app.get(UPSTREAMS),
            peers=app.get(PEERS),
        )

    return start_router


def chat(*messages: str) -> models.RequestIdentity:
    body = {"messages": [{"role": "user", "content": m} for m in messages]}
    return models.RequestIdentity("s", "/p", msgspec.json.encode(body), "alpha")


async def crash(router: Any, upstream_id: str, *names: str) -> None:
    """Crash an upstream that runs the named requests."""
    runs = [
        await router.crashes.async_begin(identity(name), upstream_id)
        for name in names
    ]
    await router.crashes.start_crash_check(runs[0])
    for run in runs:
        router.crashes.end(run, has_caller_left=False)


async def test_quarantine_reaches_all_routers(start, until) -> None:
    """Guards against a quarantine that only one router applies."""
    first, second = await start("r1"), await start("r2")
    await crash(first, "u1", "x", "a")
    await until(lambda: second.crashes.is_suspect(identity("x")))
    assert not second.crashes.is_suspect(identity("other"))
    run = await second.crashes.async_begin(identity("a"), "u2")
    run.is_complete = True
    second.crashes.end(run, has_caller_left=False)
    await until(lambda: not first.crashes.is_suspect(identity("a")))
    await crash(second, "u2", "x", "b")
    await until(
        lambda: first.crashes.remaining_quarantine_seconds(identity("x"))
    )
    for router in (first, second):
        assert (
            590
            < router.crashes.remaining_quarantine_seconds(identity("x"))
            <= 600
        )
        assert not router.crashes.remaining_quarantine_seconds(identity("a"))


@pytest.mark.parametrize(
    ("status", "is_cleared"),
    [(200, True), (404, True), (429, False), (500, False), (503, False)],
)
async def test_response_without_a_run_does_not_clear_a_request(
    start, status: int, is_cleared: bool
) -> None:
    """Guards against excusing a crashing request that an upstream declined."""
    router = await start("r1")
    await crash(router, "u1", "x")
    run = await router.crashes.async_begin(identity("x"), "u2")
    run.record_response(status)
    router.crashes.end(run, has_caller_left=False)
    assert router.crashes.is_suspect(identity("x")) is not is_cleared


async def test_breaks_without_a_crash_make_no_suspects(start) -> None:
    """Guards against suspects without a crash.

    Connections also break on aborts, partitions and planned shutdowns."""
    router = await start("r1")
    router.pool.up.add("u1")
    router.pool.unreachable.add("u3")
    leaving = SimpleNamespace(state="leaving")
    router.pool.status_by_upstream["s", "u2"] = leaving
    for upstream_id in ("u1", "u2", "u3", "removed"):
        await crash(router, upstream_id, "x", "a")
    assert not router.crashes.is_suspect(identity("x"))


async def test_new_router_gets_all_records(start, until) -> None:
    first = await start("r1")
    await crash(first, "u1", "x")
    second = await start("r2")
    first.peers.listeners[0]()
    await until(lambda: second.crashes.is_suspect(identity("x")))
    sent = [item for _, item in first.peers.sent if type(item) is Quarantine]
    first.peers.listeners[0]()
    assert len(sent) == 1


async def test_suspects_of_two_routers_run_apart(start, until) -> None:
    """Guards against suspects that share an upstream.

    A crash would count against both."""
    first, second = await start("r1"), await start("r2")
    await crash(first, "u1", "x", "a")
    await until(lambda: second.crashes.is_suspect(identity("a")))
    begun = await asyncio.gather(
        first.crashes.async_begin(identity("x"), "u2"),
        second.crashes.async_begin(identity("a"), "u2"),
    )
    assert [run is not None for run in begun] == [True, False]
    wait = second.crashes.async_wait_for_free_upstream
    assert await wait(identity("a"), lambda: {"u2", "u3"}, NO_DEADLINE) == {
        "u2"
    }
    with pytest.raises(NoUpstreamForSuspectError):
        await wait(identity("a"), lambda: {"u2"}, 0.0)
    waiting = asyncio.create_task(
        wait(identity("a"), lambda: {"u2"}, NO_DEADLINE)
    )
    await asyncio.sleep(0)
    first.crashes.end(begun[0], has_caller_left=False)
    assert await waiting == frozenset()


async def test_request_whose_caller_left_stays_a_suspect(
    start, until, monkeypatch
) -> None:
    """Guards against a crash that is missed because its caller left."""
    monkeypatch.setattr(registry, "ABANDONED_RUN_SECONDS", 0.01)
    router = await start("r1")
    run = await router.crashes.async_begin(identity("x"), "u1")
    router.crashes.end(run, has_caller_left=True)
    status = SimpleNamespace(state="failing")
    router.pool.status_by_upstream["s", "u1"] = status
    await until(lambda: router.crashes.is_suspect(identity("x")))
    assert router.crashes._runs_by_upstream == {}


@pytest.mark.parametrize(
    ("crashing", "sound"),
    [
        (("system", "{n}"), ("other", "{n}")),
        (("shared", "example", "{n}"), ("shared", "{n}")),
        (("{n}", "example", "{n}"), ("{n}", "other", "{n}")),
    ],
)
async def test_message_that_crashes_upstreams_is_refused_on_all_routers(
    start, crashing: tuple[str, ...], sound: tuple[str, ...]
) -> None:
    """Guards against a message that crashes upstream after upstream.

    No two requests are alike. Sound ones run elsewhere at the same time.
    """
    routers = [await start("r1"), await start("r2")]
    refused = 0
    for number in range(8):
        router = routers[number % 2]
        request = chat(*(text.format(n=number) for text in crashing))
        fine = chat(*(text.format(n=number) for text in sound))
        assert router.crashes.prompt_refusal(fine) is None
        if router.crashes.prompt_refusal(request) is not None:
            refused += 1
            continue
        run = await router.crashes.async_begin(request, f"u{number % 4}")
        await router.crashes.start_crash_check(run)
        router.crashes.end(run, has_caller_left=False)
        run = await router.crashes.async_begin(fine, "u3")
        run.is_complete = run.proves_prompt = True
        router.crashes.end(run, has_caller_left=False)
        await asyncio.sleep(0.08)
    assert refused == 8 - CRASHES_UNTIL_REFUSED


@pytest.mark.parametrize(
    ("body", "parts"),
    [
        (b"", 0),
        (b"[1]", 0),
        (b'{"messages": []}', 0),
        (b'{"messages": "none"}', 0),
        (b'{"messages": [{"content": "own"}]}', 0),
        (b'{"messages": [{"content": "a"}, "b", {"content": "own"}]}', 2),
    ],
)
def test_all_messages_but_the_last_are_parts(body: bytes, parts: int) -> None:
    """Guards against bodies that are not read, and a part of one request."""
    assert len(models.RequestIdentity("s", "/p", body).prompt.parts) == parts
