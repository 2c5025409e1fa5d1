"""Injection of faults."""

from typing import Any

import pytest

from lacewingspar_standins.log import LogFaults, LogOptions, LogService


@pytest.mark.parametrize(
    ("patch", "status"),
    [
        ({"outage": True}, 200),
        ({"otage": True}, 400),
        ({"delay_ms": "long"}, 400),
        ([], 400),
    ],
)
async def test_mistyped_fault_is_refused(
    serve: Any, patch: Any, status: int
) -> None:
    """Guards against a failure test that injects nothing."""
    async with serve(LogService(LogOptions(), LogFaults())) as client:
        answer = await client.send("POST", "/faults", patch)
    assert answer.status_code == status


async def test_faults_that_are_not_posted_stay(serve: Any) -> None:
    """Guards against one fault that ends another."""
    async with serve(LogService(LogOptions(), LogFaults())) as client:
        await client.inject(outage=True)
        await client.inject(lose_replies=2)
        faults = await client.get("/faults")
    assert (faults["outage"], faults["lose_replies"]) == (True, 2)
