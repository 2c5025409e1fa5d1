"""Tests of fault injection."""

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
async def test_known_fields_change(serve: Any, patch: Any, status: int) -> None:
    """Guards against a bad patch that is ignored or clears active faults."""
    async with serve(LogService(LogOptions(), LogFaults())) as client:
        await client.inject(lose_replies=2)
        response = await client.send("POST", "/faults", patch)
        faults = await client.get("/faults")
    assert response.status_code == status
    assert (faults["lose_replies"], faults["outage"]) == (2, status == 200)
