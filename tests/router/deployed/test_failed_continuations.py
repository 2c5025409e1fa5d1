"""Streams whose continuation at another upstream is a whole response."""

import asyncio
from dataclasses import dataclass
from typing import Any

import pytest
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import (
    Deployment,
    ReceivedResponse,
    async_running_first,
    manifest,
    receive,
    route,
    stream_bytes,
    until,
)

from lacewingspar_standins.deployed.documents import request_bytes
from lacewingspar_standins.deployed.upstream import Upstream

EVENTS = 8
STREAM = stream_bytes(EVENTS)
STATUSES = [200, 204, 302, 400, 404, 500]
LIMIT_MS = 6000


@dataclass(frozen=True, slots=True)
class RawResponse:
    """What a caller received on its connection.

    Attributes:
        data: All bytes.
        parsed: The response that they contain.
    """

    data: bytes
    parsed: ReceivedResponse

    @property
    def status_lines(self) -> int:
        """Return the number of responses that begin in the bytes."""
        return self.data.count(b"HTTP/1.1 ")


def assert_complete(response: RawResponse) -> None:
    """Check that a caller received the whole stream and nothing else."""
    assert response.status_lines == 1
    assert response.parsed.is_complete
    assert response.parsed.body == STREAM


def assert_cut(response: RawResponse) -> None:
    """Check that a caller received a part of the stream and nothing else."""
    assert response.status_lines == 1
    assert not response.parsed.is_complete
    assert STREAM.startswith(response.parsed.body)


async def async_call(address: str) -> RawResponse:
    """Send a streamed request and return all that comes back."""
    connection = await async_open_connection(address)
    data = bytearray()
    data_received = connection.data_received

    def record(received: bytes) -> None:
        data.extend(received)
        data_received(received)

    connection.data_received = record  # type: ignore[method-assign]
    connection.send(request_bytes("/stream/1", "a1", LIMIT_MS))
    try:
        parsed = await receive(connection, ReceivedResponse())
        # What follows the end belongs to no request.
        await asyncio.sleep(0.2)
        return RawResponse(bytes(data), parsed)
    finally:
        connection.abort()


async def async_start(
    deployment: Deployment, engines: int, **changes: Any
) -> tuple["asyncio.Task[RawResponse]", Upstream, list[Upstream]]:
    """Start a stream that lasts a while at one of some engines.

    Returns:
        The call, the engine that runs it and the others.
    """
    stream = route(
        "/stream/",
        "streaming",
        "engines",
        resumable=True,
        timeoutMs=LIMIT_MS,
        gapAimMs=100,
        targetLatencyMs=100,
        maxAttempts=engines,
    )
    service = {"name": "engines", "maxConnections": 100}
    deployment.publish(manifest(routes=[stream], services=[service]))
    upstreams = [
        await deployment.add_upstream(
            f"e{number}", "engines", events=EVENTS, response_delay_seconds=0.05
        )
        for number in range(engines)
    ]
    for upstream in upstreams:
        for name, value in changes.items():
            setattr(upstream.faults, name, value)
    caller = await deployment.add_router()
    call = asyncio.create_task(async_call(caller.address))
    first, *others = await async_running_first(upstreams)
    return call, first, others


@pytest.mark.parametrize("status", STATUSES)
async def test_stream_that_no_upstream_continues_is_cut(
    deployment: Deployment, status: int
) -> None:
    """Guards against a response inside the stream that it does not continue."""
    call, _, (other,) = await async_start(deployment, 2, break_after_events=4)
    other.faults.stream_status = status
    response = await call
    assert other.received
    assert_cut(response)


@pytest.mark.parametrize("status", STATUSES)
async def test_third_upstream_continues_a_stream(
    deployment: Deployment, status: int
) -> None:
    """Guards against a stream that ends although an upstream could go on."""
    call, _, others = await async_start(deployment, 3, break_after_events=4)
    for other in others:
        other.faults.stream_status = status
        other.faults.break_after_events = -1
    await until(lambda: any(other.received for other in others))
    for other in others:
        if not other.received:
            other.faults.stream_status = 0
    response = await call
    assert all(other.received for other in others)
    assert_complete(response)


@pytest.mark.parametrize("status", STATUSES)
async def test_silent_upstream_goes_on_if_its_replacement_fails(
    deployment: Deployment, status: int
) -> None:
    """Guards against a failure that takes the place of a paused stream."""
    call, _, (other,) = await async_start(
        deployment, 2, pause_after_events=3, pause_seconds=1.4
    )
    other.faults.stream_status = status
    response = await call
    assert other.received
    assert_complete(response)


@pytest.mark.parametrize("status", STATUSES)
async def test_response_from_before_the_stream_began_is_not_used_in_it(
    deployment: Deployment, status: int
) -> None:
    """Guards against a replacement that answers what another one has begun.

    The replacement was sent the whole request, before the first event. The
    silent upstream then begins the stream and breaks off.
    """
    call, first, (other,) = await async_start(
        deployment, 2, pause_after_events=0, break_after_events=2
    )
    first.may_go_on = asyncio.Event()
    first.response_delay_seconds = 0.002
    other.faults.pause_after_events = -1
    other.faults.stream_status = status
    other.response_delay_seconds = 0.12
    await until(lambda: bool(other.received))
    first.may_go_on.set()
    response = await call
    assert_cut(response)
