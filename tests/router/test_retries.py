"""Retries of failed attempts, end to end."""

import asyncio
import socket
from contextlib import ExitStack
from typing import Any

import pytest
from tests.router.conftest import AUTHORIZED, events, responding, routed

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import CrashRecord, Quarantine, SlotOutcome
from lacewingspar_core.quarantine import fingerprint
from lacewingspar_router.components.peers.models import ReceivedMessage
from lacewingspar_router.components.quarantine.models import QUARANTINE

BROKEN = responding(headers={"content-length": "9"}, is_complete=False)
CUT_EVENT = events(b'data: {"a', is_complete=False)
REFUSING = responding(status=503, headers={"x-not-run": "1"})
MISMATCH = responding(b"other", response_request_id="other")
GOOD = responding(b"good")
BODY = b'{"model":"small"}'


def closed_ports(count: int) -> tuple[int, ...]:
    """Return unused ports."""
    with ExitStack() as stack:
        unused = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in unused:
            item.bind(("127.0.0.1", 0))
        return tuple(int(item.getsockname()[1]) for item in unused)


# Method, path, failing upstream, whether the request is retried, and the run
# state of the refusal otherwise.
CASES: list[tuple[str, str, Any, bool, str]] = [
    ("POST", "/v1/chat/completions", BROKEN, True, ""),
    ("POST", "/v1/chat/completions", CUT_EVENT, True, ""),
    ("POST", "/v1/chat/completions", REFUSING, True, ""),
    ("POST", "/v1/chat/completions", MISMATCH, True, ""),
    ("GET", "/services/swap/x", BROKEN, True, ""),
    ("DELETE", "/services/swap/x", MISMATCH, True, ""),
    ("POST", "/services/swap/x", REFUSING, True, ""),
    ("POST", "/services/swap/x", BROKEN, False, "unknown"),
    ("POST", "/services/swap/x", MISMATCH, False, "unknown"),
    ("POST", "/services/swap/pay", REFUSING, False, "not_run"),
    ("POST", "/services/swap/pay", BROKEN, False, "unknown"),
    ("POST", "/services/swap//%70ay/1", REFUSING, False, "not_run"),
]


@pytest.mark.parametrize(("method", "path", "failing", "retried", "run"), CASES)
async def test_failed_attempt(
    method: str, path: str, failing: Any, retried: bool, run: str
) -> None:
    """Guards against lost requests, second runs and wrong run states."""
    async with routed(failing, GOOD) as router:
        response = await router.client.request(
            method, path, headers=AUTHORIZED, content=b'{"model": "small"}'
        )
        used = [upstream for upstream, _, _ in router.scheduler.released]
        if retried:
            assert (response.status_code, response.content) == (200, b"good")
            assert used == ["upstream-0", "upstream-1"]
        else:
            assert response.json()["error"]["run"] == run
            assert used == ["upstream-0"]


async def test_no_connection_is_retried_even_for_a_post() -> None:
    async with routed(GOOD, ports=closed_ports(1)) as router:
        path = "/services/swap/x"
        response = await router.client.post(path, headers=AUTHORIZED)
        assert response.content == b"good"
        outcomes = [outcome for _, outcome, _ in router.scheduler.released]
        assert outcomes == [SlotOutcome.UPSTREAM_FAILED, SlotOutcome.COMPLETED]


async def test_attempts_are_limited() -> None:
    """Guards against a request that tries every upstream."""
    async with routed(ports=closed_ports(4)) as router:
        response = await router.chat()
        assert response.json()["error"]["code"] == "upstream_unreachable"
        assert response.json()["error"]["run"] == "not_run"
        assert len(router.scheduler.requests) == 3
        excluded = router.scheduler.requests[-1].excluded_upstreams
        assert excluded == {"upstream-0", "upstream-1"}


async def test_earlier_attempt_decides_the_run_state() -> None:
    """Guards against `not_run` for a request whose first attempt ran."""
    async with routed(BROKEN, GOOD) as router:
        router.scheduler.full_upstreams.add("upstream-1")
        response = await router.chat()
        assert response.json()["error"] == {
            "code": "no_upstream",
            "message": "no upstream is left",
            "run": "unknown",
            "retry_after_seconds": None,
            "request_id": response.headers["x-request-id"],
        }
    async with routed(BROKEN, REFUSING) as router:
        error = (await router.chat()).json()["error"]
        assert (error["code"], error["run"]) == ("upstream_refused", "unknown")


async def test_retries_are_limited_by_the_budget() -> None:
    """Guards against retries that multiply the load of an outage."""
    async with routed(BROKEN, BROKEN, GOOD) as router:
        responses = [await router.chat() for _ in range(2)]
        assert [response.status_code for response in responses] == [200, 502]
        assert responses[1].headers["retry-after"] == "1"
        # Two retries of the first request and one of the second.
        assert len(router.scheduler.requests) == 5


async def test_waiting_request_is_refused_when_it_gets_into_quarantine() -> (
    None
):
    """Guards against a refusal that is delayed until a slot is free."""
    async with routed(GOOD) as router:
        is_waiting = router.scheduler.hold = asyncio.Event()
        request = asyncio.create_task(router.chat())
        await is_waiting.wait()
        registry: Any = router.application.get(QUARANTINE)
        name = fingerprint("chat", "/v1/chat/completions", BODY)
        crashes = tuple(
            CrashRecord(upstream, 0, 1.0, (name,), ()) for upstream in "uv"
        )
        registry._exchange._receive(
            ReceivedMessage(
                RouterInstance("r2", 1), "dc-a", Quarantine("chat", crashes)
            )
        )
        response = await request
        error = response.json()["error"]
        assert (response.status_code, error["code"]) == (422, "quarantined")
        assert error["run"] == "not_run"
        assert 590 < int(response.headers["retry-after"]) <= 600
        assert router.scheduler.released == []
