"""Responses of upstreams that belong to no request."""

import pytest
import structlog
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    async_add_overloaded_router,
    stream_bytes,
    until,
)

from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_standins.deployed.upstream import SURPLUS_RESPONSES

EVENTS = 5
CALLS = 6


def prepare(served: Deployment, surplus: str, *, unframed: bool) -> None:
    """Let all upstreams send surplus data behind their responses."""
    for upstream in served.upstream_by_id.values():
        upstream.faults.surplus = surplus
        upstream.faults.unframed = unframed
        # The end of a stream arrives while the router waits for it.
        upstream.response_delay_seconds = 0.01


async def async_assert_streams_are_whole(caller: Caller, path: str) -> None:
    """Check that streams deliver each event once, and nothing else."""
    for _ in range(CALLS):
        response = await caller.call(path)
        assert (response.status, response.is_complete) == (200, True)
        assert response.body == stream_bytes(EVENTS)


@pytest.mark.parametrize("surplus", SURPLUS_RESPONSES)
@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_response_behind_a_stream_is_no_part_of_it(
    served: Deployment, path: str, surplus: str
) -> None:
    """Guards against events of a second response in a stream."""
    prepare(served, surplus, unframed=False)
    await async_assert_streams_are_whole(await served.add_router(), path)


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_response_behind_a_stream_without_ids_is_no_part_of_it(
    served: Deployment, path: str
) -> None:
    """Guards against events that only their id keeps from coming twice."""
    prepare(served, "stream to the same request", unframed=False)
    for upstream in served.upstream_by_id.values():
        upstream.id_of_event = lambda _: None
    caller = await served.add_router()
    for _ in range(CALLS):
        response = await caller.call(path)
        assert response.body == b"".join(
            served.upstream_by_id["e1"].event(number)
            for number in range(1, EVENTS + 1)
        )


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_response_behind_a_handed_over_stream_is_no_part_of_it(
    served: Deployment, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against events of a second response after a hand-over."""
    prepare(served, "stream to the same request", unframed=False)
    caller = await async_add_overloaded_router(served, monkeypatch)
    await async_assert_streams_are_whole(caller, path)


@pytest.mark.parametrize("surplus", SURPLUS_RESPONSES)
@pytest.mark.parametrize("path", ["/read/", "/write/"])
async def test_response_behind_a_whole_one_reaches_no_request(
    served: Deployment, path: str, surplus: str
) -> None:
    """Guards against requests that fail because of a second response."""
    prepare(served, surplus, unframed=False)
    caller = await served.add_router()
    for _ in range(CALLS):
        response = await caller.call(path)
        assert (response.status, response.is_complete) == (200, True)
        assert response.body in (b"answer of p1", b"answer of p2")


# Surplus data that a client can tell from the events of a stream.
RESPONSES = [kind for kind in SURPLUS_RESPONSES if kind != "no response"]


@pytest.mark.parametrize("surplus", RESPONSES)
@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_response_behind_an_unframed_stream_is_no_part_of_it(
    served: Deployment, path: str, surplus: str
) -> None:
    """Guards against a status line and repeated events in a stream."""
    prepare(served, surplus, unframed=True)
    await async_assert_streams_are_whole(await served.add_router(), path)


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_unframed_stream_ends_before_its_connection(
    served: Deployment, path: str
) -> None:
    """Guards against a caller that waits for a faulty upstream to close."""
    prepare(served, "stream that does not end", unframed=True)
    for upstream in served.upstream_by_id.values():
        upstream.faults.unframed_stays_open = True
    await async_assert_streams_are_whole(await served.add_router(), path)
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    await until(lambda: not any(item.open_connections for item in engines))


@pytest.mark.parametrize(
    "surplus", ["stream to the same request", "whole response"]
)
@pytest.mark.parametrize("path", ["/read/", "/write/"])
async def test_response_behind_an_unframed_one_is_not_delivered(
    served: Deployment, path: str, surplus: str
) -> None:
    """Guards against a body that holds a second response."""
    prepare(served, surplus, unframed=True)
    response = await (await served.add_router()).call(path)
    assert response.status == 502


@pytest.mark.parametrize("path", ["/stream/", "/read/"])
async def test_response_behind_the_end_is_logged(
    served: Deployment, path: str
) -> None:
    """Guards against a faulty upstream that leaves no trace in the logs."""
    prepare(served, "whole response", unframed=False)
    caller = await served.add_router()
    with structlog.testing.capture_logs() as lines:
        await caller.call(path, x_attempt_id="q1")
    (surplus,) = [
        line
        for line in lines
        if line["event"] == "data behind the end of a response"
    ]
    assert surplus["request_id"] == "q1"
    assert surplus["upstream"] in served.upstream_by_id
    (end,) = [line for line in lines if line["event"] == "request ended"]
    assert end["upstream"] == surplus["upstream"]
    _, page = served.apps[0].get(TELEMETRY).render()
    service = surplus["service"]
    assert f'surplus_data_total{{service="{service}"}} 1\n' in page.decode()


@pytest.mark.parametrize("path", ["/stream/", "/read/"])
@pytest.mark.parametrize("unframed", [True, False])
async def test_end_with_nothing_behind_it_is_not_logged(
    served: Deployment, path: str, *, unframed: bool
) -> None:
    """Guards against sound upstreams that look faulty in the logs."""
    prepare(served, "", unframed=unframed)
    caller = await served.add_router()
    with structlog.testing.capture_logs() as lines:
        await caller.call(path)
    events = {line["event"] for line in lines}
    assert "data behind the end of a response" not in events


async def test_end_of_a_stream_tells_the_number_of_its_events(
    served: Deployment,
) -> None:
    """Guards against logs that cannot tell a stream with repeated events."""
    caller = await served.add_router()
    with structlog.testing.capture_logs() as lines:
        await caller.call("/stream/")
    (end,) = [line for line in lines if line["event"] == "request ended"]
    assert end["events"] == EVENTS
