"""Tests of which requests are suspects of a crash."""

import asyncio
from typing import Any
from unittest import mock

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import Quarantine
from lacewingspar_core.prompt_suspects import prompt_of
from lacewingspar_router.components.forwarding.crash_guard import (
    CrashGuard,
    GuardedRequest,
)
from lacewingspar_standins.ports import PortReservations


async def test_request_that_was_not_sent_is_no_suspect() -> None:
    """Guards against blaming requests that waited for a connection."""
    app: Any = mock.MagicMock(instance=RouterInstance("r0", 1))
    app.now.return_value = 5.0
    app.get.return_value.alive_by_router_id = {"r0": None, "r1": None}
    tasks = []
    app.create_task.side_effect = lambda coroutine, _: tasks.append(
        asyncio.ensure_future(coroutine)
    )
    guard = CrashGuard(app)
    runs = [
        guard.begin(
            GuardedRequest(name, "s", name, prompt_of("alpha", ())),
            "u",
            is_continuation=False,
        )
        for name in ("sent", "waiting")
    ]
    guard.record_sent(runs[0])
    ports = PortReservations()
    try:
        pool: Any = mock.Mock(address=ports.reserve())
        guard.end(runs[0], pool, is_broken=True)
        await asyncio.gather(*tasks)
    finally:
        ports.close()
    message = app.get.return_value.send.call_args.args[1]
    assert isinstance(message, Quarantine)
    assert [crash.suspects for crash in message.crashes] == [("sent",)]
