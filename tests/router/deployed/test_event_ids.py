"""Streams whose event ids are not small decimal numbers."""

import asyncio
from collections.abc import Callable

import pytest
from tests.router.deployed.conftest import (
    Deployment,
    ReceivedResponse,
    async_add_overloaded_router,
    until,
)

from lacewingspar_standins.deployed.upstream import Upstream

EVENTS = 8
# Ids of the events of a stream, by their kind.
ID_OF_EVENT_BY_KIND: dict[str, Callable[[int], str]] = {
    "short number": str,
    "nanoseconds": lambda number: str(1_700_000_000_000_000_000 + number),
    "number of 5000 digits": lambda number: f"{number}" + "0" * 4999,
    "leading zeros": lambda number: f"{number:020}",
    "parts of numbers": lambda number: f"1700000000000-{number}",
    "negative number": lambda number: str(number - 100),
    "fraction": lambda number: f"1700000000.{number:06}",
    "text": lambda number: f"chat/{chr(ord('h') - number)} of a",
    "descending hexadecimal": lambda number: f"{0xFFFF - number:x}",
    "other script": lambda number: f"é{number}",
}


@pytest.fixture(params=ID_OF_EVENT_BY_KIND)
def id_of_event(request: pytest.FixtureRequest) -> Callable[[int], str]:
    """Provide the ids of the events of a stream."""
    return ID_OF_EVENT_BY_KIND[request.param]


@pytest.fixture
def engines(
    served: Deployment, id_of_event: Callable[[int], str]
) -> list[Upstream]:
    """Provide the engines, whose streams last a while."""
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.events = EVENTS
        engine.id_of_event = id_of_event
        engine.response_delay_seconds = 0.02
    return engines


def stream(upstream: Upstream, first: int = 1) -> bytes:
    """Return the events of a stream from a number on."""
    return b"".join(
        upstream.event(number) for number in range(first, EVENTS + 1)
    )


def assert_whole(response: ReceivedResponse, engine: Upstream) -> None:
    """Check that each event of a stream came once and in order."""
    assert response.body == stream(engine)
    assert response.is_complete


async def async_running(engines: list[Upstream]) -> tuple[Upstream, Upstream]:
    """Wait for a run; return the engine that has it and the other one."""
    await until(lambda: any(engine.running for engine in engines))
    first, second = sorted(engines, key=lambda engine: not engine.running)
    return first, second


async def test_broken_stream_goes_on_after_its_last_event(
    served: Deployment, engines: list[Upstream]
) -> None:
    """Guards against a stream that starts anew in the middle of a response."""
    caller = await served.add_router()
    call = asyncio.create_task(caller.call("/stream/1"))
    first, second = await async_running(engines)
    first.faults.break_after_events = 3
    assert_whole(await call, second)
    assert second.received[0].value_by_header["last-event-id"] == (
        second.id_of_event(3)
    )


async def test_caller_resumes_after_its_last_event(
    served: Deployment,
    engines: list[Upstream],
    id_of_event: Callable[[int], str],
) -> None:
    """Guards against a caller whose last event is not passed on."""
    caller = await served.add_router()
    response = await caller.call("/stream/1", last_event_id=id_of_event(3))
    assert response.status == 200
    assert response.body == stream(engines[0], 4)


async def test_stream_of_a_lost_neighbour_goes_on_after_its_last_event(
    served: Deployment,
    engines: list[Upstream],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that starts anew after a hand-over."""
    caller = await async_add_overloaded_router(served, monkeypatch)
    call = asyncio.create_task(caller.call("/stream/1"))
    await until(lambda: b"event 2" in caller.response.body)
    await served.apps[1].async_stop()
    assert_whole(await call, engines[0])
