"""Streams whose event ids are not small decimal numbers."""

import asyncio
from collections.abc import Callable

import pytest
import structlog
from tests.router.deployed.conftest import (
    Deployment,
    ReceivedResponse,
    async_add_overloaded_router,
    until,
)

from lacewingspar_core.event_stream import MAX_EVENT_ID_BYTES
from lacewingspar_standins.deployed.upstream import Upstream

EVENTS = 8
IdFunction = Callable[[int], str | None]
# Ids of the events of a stream, by their kind.
ID_OF_EVENT_BY_KIND: dict[str, IdFunction] = {
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
def id_of_event(request: pytest.FixtureRequest) -> IdFunction:
    """Provide the ids of the events of a stream."""
    return ID_OF_EVENT_BY_KIND[request.param]


@pytest.fixture
def engines(served: Deployment, id_of_event: IdFunction) -> list[Upstream]:
    """Provide the engines, whose streams last a while."""
    return prepare(served, id_of_event)


def prepare(served: Deployment, id_of_event: IdFunction) -> list[Upstream]:
    """Set the ids of events at the engines; return these."""
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
    id_of_event: IdFunction,
) -> None:
    """Guards against a caller whose last event is not passed on."""
    caller = await served.add_router()
    response = await caller.call("/stream/1", last_event_id=str(id_of_event(3)))
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


# Ids of the third event after which no upstream can be told where to go on.
UNUSABLE_IDS = {
    "no id": None,
    "empty id": "",
    "control character": "a\x01b",
    "null character": "a\0b",
    "space at the start": " a",
    "space at the end": "a ",
    "too long": "9" * (MAX_EVENT_ID_BYTES + 1),
}


@pytest.mark.parametrize("unusable_id", UNUSABLE_IDS.values(), ids=UNUSABLE_IDS)
@pytest.mark.parametrize("way", ["upstream", "neighbour"])
async def test_stream_without_a_resume_point_is_cut(
    served: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    unusable_id: str | None,
    way: str,
) -> None:
    """Guards against events that come again after one that has no id."""
    engines = prepare(served, lambda n: unusable_id if n == 3 else str(n))
    if way == "neighbour":
        caller = await async_add_overloaded_router(served, monkeypatch)
    else:
        caller = await served.add_router()
    call = asyncio.create_task(caller.call("/stream/1"))
    first, second = await async_running(engines)
    first.faults.pause_after_events = 3
    first.may_go_on = asyncio.Event()
    with structlog.testing.capture_logs() as lines:
        await until(lambda: b"event 3" in caller.response.body)
        if way == "neighbour":
            await served.apps[1].async_stop()
        else:
            first.crash()
        response = await call
    assert not response.is_complete
    assert stream(first).startswith(response.body)
    assert not second.received
    if way == "upstream":
        (end,) = [line for line in lines if line["event"] == "request ended"]
        assert end["outcome"] == "broken_off"
        assert end["no_replacement"] == "no_resume_point"


@pytest.mark.parametrize("unusable_id", [None, ""])
async def test_stream_goes_on_after_the_event_that_follows_one_without_an_id(
    served: Deployment, unusable_id: str | None
) -> None:
    """Guards against a stream that is cut although an id tells where it is."""
    engines = prepare(served, lambda n: unusable_id if n == 3 else str(n))
    caller = await served.add_router()
    call = asyncio.create_task(caller.call("/stream/1"))
    first, second = await async_running(engines)
    first.faults.break_after_events = 4
    assert_whole(await call, second)


async def test_silent_upstream_without_a_resume_point_is_kept(
    served: Deployment,
) -> None:
    """Guards against a replacement that repeats an event without an id."""
    engines = prepare(served, lambda _: None)
    for engine in engines:
        engine.faults.pause_after_events = 3
        engine.faults.pause_seconds = 1.8
    caller = await served.add_router()
    with structlog.testing.capture_logs() as lines:
        response = await caller.call("/stream/1", budget_ms=6000)
    assert_whole(response, engines[0])
    silences = [line for line in lines if line["event"] == "upstream silent"]
    assert [line["reason"] for line in silences] == ["no_resume_point"]
    assert sum(len(engine.received) for engine in engines) == 1


@pytest.mark.parametrize("delivered", [0, 3])
async def test_replacement_continues_what_the_silent_upstream_has_gone_on_with(
    served: Deployment, engines: list[Upstream], delivered: int
) -> None:
    """Guards against events that come again from a replacement.

    It was sent the request while the other upstream was silent. That one then
    delivers two more events and breaks off.
    """
    caller = await served.add_router()
    call = asyncio.create_task(caller.call("/stream/1", budget_ms=6000))
    first, second = await async_running(engines)
    first.faults.pause_after_events = delivered
    first.faults.break_after_events = delivered + 2
    first.may_go_on = asyncio.Event()
    first.response_delay_seconds = 0.002
    second.response_delay_seconds = 0.12
    await until(lambda: bool(second.received))
    first.may_go_on.set()
    assert_whole(await call, second)
    last_id = second.received[0].value_by_header.get("last-event-id")
    assert last_id == (first.id_of_event(3) if delivered else None)


async def test_replacement_is_withdrawn_without_a_resume_point(
    served: Deployment,
) -> None:
    """Guards against a replacement that repeats an event without an id.

    The silent upstream delivers it after the replacement was sent the request.
    """
    engines = prepare(served, lambda n: None if n == 5 else str(n))
    caller = await served.add_router()
    call = asyncio.create_task(caller.call("/stream/1", budget_ms=6000))
    first, second = await async_running(engines)
    first.faults.pause_after_events = 3
    first.faults.break_after_events = 5
    first.may_go_on = asyncio.Event()
    first.response_delay_seconds = 0.002
    second.response_delay_seconds = 0.12
    await until(lambda: bool(second.received))
    with structlog.testing.capture_logs() as lines:
        first.may_go_on.set()
        response = await call
    assert not response.is_complete
    assert stream(first).startswith(response.body)
    assert b"event 5" in response.body
    failed = [line for line in lines if line["event"] == "attempt failed"]
    assert [line["result"] for line in failed] == ["broken", "withdrawn"]


async def test_upstream_that_starts_anew_repeats_no_events(
    served: Deployment, engines: list[Upstream]
) -> None:
    """Guards against an upstream that knows no event by its id."""
    caller = await served.add_router()
    call = asyncio.create_task(caller.call("/stream/1"))
    first, second = await async_running(engines)
    first.faults.break_after_events = 3
    second.faults.ignore_last_event_id = True
    assert_whole(await call, second)


async def test_events_with_the_same_id_all_arrive(served: Deployment) -> None:
    """Guards against events that are taken for repetitions of one another."""
    engines = prepare(served, lambda _: "chat-1")
    caller = await served.add_router()
    assert_whole(await caller.call("/stream/1"), engines[0])
