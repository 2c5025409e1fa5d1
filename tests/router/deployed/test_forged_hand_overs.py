"""Tests of callers that send the headers of a hand-over between routers."""

import asyncio

import pytest
import structlog
from tests.router.deployed.conftest import Caller, Deployment

FORGED = {
    "version": {"x_lacewingspar_version": "999999999"},
    "wait": {"x_lacewingspar_waited_ms": "1"},
    "long wait": {"x_lacewingspar_waited_ms": "1000000"},
    "all": {
        "x_lacewingspar_token": "0" * 32,
        "x_lacewingspar_waited_ms": "1000000",
        "x_lacewingspar_version": "999999999",
    },
    "empty token": {
        "x_lacewingspar_token": "",
        "x_lacewingspar_waited_ms": "1000000",
        "x_lacewingspar_version": "999999999",
    },
}


@pytest.mark.parametrize("headers", FORGED.values(), ids=FORGED)
async def test_forged_headers_of_a_hand_over_mean_nothing(
    served: Deployment, overloaded_caller: Caller, headers: dict[str, str]
) -> None:
    """Guards against callers that decide what a router takes them for.

    Such a request was refused, was taken for one that has waited, or was never
    handed over by an overloaded router.
    """
    with structlog.testing.capture_logs() as lines:
        response = await overloaded_caller.call("/write/x", **headers)
    assert response.status == 200
    handed_over = [
        line for line in lines if line["event"] == "request handed over"
    ]
    assert [line["outcome"] for line in handed_over] == ["answered"]
    (request,) = [
        request
        for upstream in served.upstream_by_id.values()
        for request in upstream.received
    ]
    values = request.value_by_header
    assert not [name for name in values if "lacewingspar" in name]
    assert int(values["x-time-budget-ms"]) > 1000


async def test_hand_over_goes_on_after_a_neighbour_has_restarted(
    served: Deployment, overloaded_caller: Caller
) -> None:
    """Guards against a restarted router that gets no requests any more."""
    ended = served.apps[1]
    await ended.async_stop()
    await served.restart_router(ended)

    async def async_is_handed_over() -> bool:
        with structlog.testing.capture_logs() as lines:
            assert (await overloaded_caller.call("/write/x")).status == 200
        return "answered" in {
            line["outcome"]
            for line in lines
            if line["event"] == "request handed over"
        }

    async with asyncio.timeout(10.0):
        while not await async_is_handed_over():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def test_tokens_are_read_once_while_none_is_missing(
    served: Deployment, overloaded_caller: Caller
) -> None:
    """Guards against calls to the log service for each hand-over."""
    reads = served.store.calls["/log-newest"]
    for _ in range(20):
        assert (await overloaded_caller.call("/write/x")).status == 200
    await asyncio.sleep(0.3)
    assert served.store.calls["/log-newest"] == reads
