"""Streams whose event ids are not small decimal numbers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import pytest
import structlog
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    ReceivedResponse,
    async_add_overloaded_router,
    async_running_first,
    until,
)

from lacewingspar_core.event_stream import MAX_EVENT_ID_BYTES
from lacewingspar_router.components.forwarding import const
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


def assert_cut(
    response: ReceivedResponse, engine: Upstream, events: int
) -> None:
    """Check that a response broke off after a number of events."""
    assert response.body == stream(engine).removesuffix(
        stream(engine, events + 1)
    )
    assert not response.is_complete


@dataclass(slots=True)
class PausedStream:
    """A streamed call whose upstream pauses.

    Attributes:
        call: The call.
        first: Engine that runs it and pauses until `first.may_go_on` is set.
        second: The other engine, which does not pause.
    """

    call: "asyncio.Task[ReceivedResponse]"
    first: Upstream
    second: Upstream

    async def async_crash(self) -> ReceivedResponse:
        """Crash the engine that pauses and return the response."""
        self.first.crash()
        return await self.call

    async def async_go_on_and_break(self) -> ReceivedResponse:
        """Let the engine deliver two more events and break off.

        That happens while a replacement for it has the request and has not
        responded yet.
        """
        faults = self.first.faults
        faults.break_after_events = faults.pause_after_events + 2
        self.first.response_delay_seconds = 0.002
        self.second.response_delay_seconds = 0.5
        await until(lambda: bool(self.second.received))
        assert self.first.may_go_on is not None
        self.first.may_go_on.set()
        await until(lambda: not self.first.running)
        self.second.response_delay_seconds = 0.002
        return await self.call


async def async_pause(
    caller: Caller, engines: list[Upstream], after: int
) -> PausedStream:
    """Call for a stream, and wait until its upstream pauses after an event."""
    for engine in engines:
        engine.faults.pause_after_events = after
        engine.may_go_on = asyncio.Event()
    call = asyncio.create_task(caller.call("/stream/1", budget_ms=6000))
    first, second = await async_running_first(engines)
    second.faults.pause_after_events = -1
    if after:
        event = f"event {after}\n".encode()
        await until(lambda: event in caller.response.body)
    return PausedStream(call, first, second)


@pytest.fixture
def slow_replacements(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give replacements more time to respond than they take in a test."""
    monkeypatch.setattr(const, "REPLACEMENT_RESPONSE_SECONDS", 2.0)


async def test_broken_stream_goes_on_after_its_last_event(
    served: Deployment, engines: list[Upstream]
) -> None:
    """Guards against a stream that starts anew in the middle of a response."""
    paused = await async_pause(await served.add_router(), engines, 3)
    assert_whole(await paused.async_crash(), engines[0])
    (request,) = paused.second.received
    assert request.value_by_header["last-event-id"] == engines[0].id_of_event(3)


async def test_caller_resumes_after_its_last_event(
    served: Deployment, engines: list[Upstream], id_of_event: IdFunction
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
    paused = await async_pause(caller, engines, 3)
    for engine in engines:
        engine.faults.pause_after_events = -1
    await served.apps[1].async_stop()
    assert_whole(await paused.call, engines[0])
    resumed = [*paused.first.received, *paused.second.received][-1]
    assert resumed.value_by_header["last-event-id"] == engines[0].id_of_event(3)


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
async def test_broken_stream_without_a_resume_point_is_cut(
    served: Deployment, unusable_id: str | None
) -> None:
    """Guards against events that come again after one that has no id."""
    engines = prepare(served, lambda n: unusable_id if n == 3 else str(n))
    paused = await async_pause(await served.add_router(), engines, 3)
    with structlog.testing.capture_logs() as lines:
        response = await paused.async_crash()
    assert_cut(response, engines[0], events=3)
    assert not paused.second.received
    (end,) = [line for line in lines if line["event"] == "request ended"]
    assert end["outcome"] == "broken_off"
    assert end["no_replacement"] == "no_resume_point"


@pytest.mark.parametrize("unusable_id", UNUSABLE_IDS.values(), ids=UNUSABLE_IDS)
async def test_handed_over_stream_without_a_resume_point_is_cut(
    served: Deployment,
    monkeypatch: pytest.MonkeyPatch,
    unusable_id: str | None,
) -> None:
    """Guards against events that come again after the loss of a neighbour."""
    engines = prepare(served, lambda n: unusable_id if n == 3 else str(n))
    caller = await async_add_overloaded_router(served, monkeypatch)
    paused = await async_pause(caller, engines, 3)
    await served.apps[1].async_stop()
    assert_cut(await paused.call, engines[0], events=3)
    assert not paused.second.received


@pytest.mark.parametrize("unusable_id", [None, ""])
async def test_stream_goes_on_after_the_event_that_follows_one_without_an_id(
    served: Deployment, unusable_id: str | None
) -> None:
    """Guards against a stream that is cut although an id tells where it is."""
    engines = prepare(served, lambda n: unusable_id if n == 3 else str(n))
    paused = await async_pause(await served.add_router(), engines, 4)
    assert_whole(await paused.async_crash(), engines[0])


async def test_silent_upstream_without_a_resume_point_is_kept(
    served: Deployment,
) -> None:
    """Guards against a replacement that repeats an event without an id."""
    engines = prepare(served, lambda _: None)
    caller = await served.add_router()
    with structlog.testing.capture_logs() as lines:
        paused = await async_pause(caller, engines, 3)
        await until(
            lambda: any(line["event"] == "upstream silent" for line in lines)
        )
        assert paused.first.may_go_on is not None
        paused.first.may_go_on.set()
        response = await paused.call
    assert_whole(response, engines[0])
    silences = [line for line in lines if line["event"] == "upstream silent"]
    assert [line["reason"] for line in silences] == ["no_resume_point"]
    assert not paused.second.received


@pytest.mark.parametrize("delivered", [0, 3])
async def test_replacement_continues_what_the_silent_upstream_has_gone_on_with(
    served: Deployment,
    engines: list[Upstream],
    slow_replacements: None,
    delivered: int,
) -> None:
    """Guards against events that come again from a replacement."""
    del slow_replacements
    paused = await async_pause(await served.add_router(), engines, delivered)
    assert_whole(await paused.async_go_on_and_break(), engines[0])
    (request,) = paused.second.received
    last_id = request.value_by_header.get("last-event-id")
    assert last_id == (engines[0].id_of_event(3) if delivered else None)


async def test_replacement_is_withdrawn_without_a_resume_point(
    served: Deployment, slow_replacements: None
) -> None:
    """Guards against a replacement that repeats an event without an id."""
    del slow_replacements
    engines = prepare(served, lambda n: None if n == 5 else str(n))
    paused = await async_pause(await served.add_router(), engines, 3)
    with structlog.testing.capture_logs() as lines:
        response = await paused.async_go_on_and_break()
    assert_cut(response, engines[0], events=5)
    failed = [line for line in lines if line["event"] == "attempt failed"]
    assert [line["result"] for line in failed] == ["broken", "withdrawn"]


async def test_upstream_that_starts_anew_repeats_no_events(
    served: Deployment, engines: list[Upstream]
) -> None:
    """Guards against an upstream that knows no event by its id."""
    paused = await async_pause(await served.add_router(), engines, 3)
    paused.second.faults.ignore_last_event_id = True
    assert_whole(await paused.async_crash(), engines[0])


async def test_events_with_the_same_id_all_arrive(served: Deployment) -> None:
    """Guards against events that are taken for repetitions of one another."""
    engines = prepare(served, lambda _: "chat-1")
    caller = await served.add_router()
    assert_whole(await caller.call("/stream/1"), engines[0])
