"""Messages about crashes between routers."""

import asyncio
from typing import Any
from unittest import mock

import pytest

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import Quarantine
from lacewingspar_core.prompt_suspects import (
    CRASHES_UNTIL_REFUSED,
    PromptRun,
    prompt_of,
)
from lacewingspar_router import crash_exchange
from lacewingspar_router.crash_exchange import CrashExchange

ROUTERS = 4
SUSPECTS = [f"f{number}" for number in range(16)]


@pytest.fixture
async def app() -> Any:
    app: Any = mock.MagicMock(instance=RouterInstance("r0", 1))
    app.now.return_value = 0.0
    app.get.return_value.alive_by_router_id = {
        f"r{number}": mock.Mock() for number in range(ROUTERS)
    }
    return app


async def test_cleared_suspects_are_sent_together(
    app: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against messages that grow with suspects and routers.

    All requests of a crashed engine run elsewhere within a moment.
    """
    monkeypatch.setattr(crash_exchange, "CLEARING_DELAY_SECONDS", 0.01)
    exchange = CrashExchange(app)
    send = app.get.return_value.send
    state = exchange.state("models")
    state.record_crash("e1", 0, SUSPECTS, 0.0)
    exchange.publish(state)
    assert send.call_count == ROUTERS - 1
    send.reset_mock()
    for suspect in SUSPECTS:
        state.record_success(suspect, 0.0)
        exchange.publish_soon(state)
    await asyncio.sleep(0.05)
    assert send.call_count == ROUTERS - 1
    message = send.call_args.args[1]
    assert isinstance(message, Quarantine)
    (record,) = message.crashes
    assert set(record.cleared) == set(SUSPECTS)


async def test_later_changes_are_sent_again(
    app: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(crash_exchange, "CLEARING_DELAY_SECONDS", 0.01)
    exchange = CrashExchange(app)
    state = exchange.state("models")
    state.record_crash("e1", 0, SUSPECTS, 0.0)
    exchange.publish(state)
    for suspect in SUSPECTS[:2]:
        state.record_success(suspect, 0.0)
        exchange.publish_soon(state)
        await asyncio.sleep(0.03)
    assert app.get.return_value.send.call_count == 3 * (ROUTERS - 1)


async def test_response_under_way_releases_its_prompt_on_all_routers(
    app: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part that each router has to prove by itself."""
    monkeypatch.setattr(crash_exchange, "PROOF_DELAY_SECONDS", 0.01)
    exchange = CrashExchange(app)
    state = exchange.state("models")
    prompt = prompt_of("alpha", ["shared"])
    for number in range(CRASHES_UNTIL_REFUSED):
        run = PromptRun(prompt, number - 0.1)
        state.record_crash(f"e{number}", 0, (), float(number), [run])
    app.now.return_value = 5.0
    exchange.publish(state)
    assert exchange.find_refusal("models", prompt, list) is not None
    send = app.get.return_value.send
    send.reset_mock()
    begun = PromptRun(prompt, 4.0, 4.1)
    assert exchange.find_refusal("models", prompt, lambda: [begun]) is None
    await asyncio.sleep(0.05)
    assert send.call_count == ROUTERS - 1
    (record,) = send.call_args.args[1].parts
    assert (record.part, record.crashes) == ("shared", ())
