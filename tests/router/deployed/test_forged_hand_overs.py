"""Tests of callers that send the headers of a hand-over between routers."""

import asyncio
from typing import Any

import msgspec
import pytest
import structlog
import zmq
from tests.router.deployed.conftest import Caller, Deployment, until

from lacewingspar_core.messages import Heartbeat, RouterState, encode_message
from lacewingspar_router.components.peers.models import PEERS

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


async def test_forged_heartbeat_moves_no_request(
    served: Deployment, overloaded_caller: Caller
) -> None:
    """Guards against requests, keys included, that go to any process.

    The process sends heartbeats in the name of the neighbour, with an address
    of its own for callers.
    """
    connections = []

    async def async_accept(_: Any, writer: asyncio.StreamWriter) -> None:
        connections.append(writer)

    server = await asyncio.start_server(async_accept, served.host, 0)
    host, port = server.sockets[0].getsockname()
    overloaded = served.apps[0]
    peers = overloaded.get(PEERS)
    known = peers.alive_by_router_id["r2"]
    forged = msgspec.structs.replace(known, caller_address=f"{host}:{port}")
    with zmq.Context() as context, context.socket(zmq.PUSH) as liar:
        liar.connect(f"tcp://{overloaded.settings.peer_address}")
        envelope = [[forged.life.router_id, forged.life.incarnation], "dc-a"]
        # Another state makes routers look at the whole record again.
        for state in (RouterState.BUSY, RouterState.SERVING):
            forged = msgspec.structs.replace(
                forged, state=state, heartbeat=forged.heartbeat + 1000
            )
            message = encode_message(Heartbeat((forged,)))
            liar.send_multipart([msgspec.msgpack.encode(envelope), message])
            await until(lambda: peers.alive_by_router_id["r2"] == forged)  # noqa: B023
        responses = [await overloaded_caller.call("/write/x") for _ in range(5)]
    server.close()
    assert {response.status for response in responses} == {200}
    assert not connections
