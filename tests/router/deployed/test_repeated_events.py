"""Streams whose upstream sends events again within one run."""

from collections.abc import Callable

import pytest
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    async_add_overloaded_router,
)

EVENTS = 8
IdFunction = Callable[[int], str]
ID_OF_EVENT_BY_KIND: dict[str, IdFunction] = {
    "numbers": str,
    "nanoseconds": lambda number: str(1_700_000_000_000_000_000 + number),
    "names": lambda number: f"chat/{chr(ord('h') - number)}",
}


def prepare(
    served: Deployment, id_of_event: IdFunction, after: int, repeated: int
) -> bytes:
    """Let the engines repeat events; return the stream without these."""
    engines = [served.upstream_by_id[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.events = EVENTS
        engine.id_of_event = id_of_event
        engine.faults.repeat_after_events = after
        engine.faults.repeated_events = repeated
    return b"".join(engines[0].event(number) for number in range(1, EVENTS + 1))


async def async_assert_whole(caller: Caller, path: str, stream: bytes) -> None:
    """Check that a stream delivers each event once."""
    response = await caller.call(path)
    assert response.body == stream
    assert response.is_complete


@pytest.mark.parametrize(
    ("after", "repeated"),
    [(5, 1), (5, 3), (5, 5), (EVENTS, 1), (EVENTS, 3), (EVENTS, EVENTS)],
)
@pytest.mark.parametrize("kind", ID_OF_EVENT_BY_KIND)
@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_event_that_a_run_sends_again_arrives_once(
    served: Deployment, path: str, kind: str, after: int, repeated: int
) -> None:
    """Guards against events that come twice although no attempt has failed."""
    stream = prepare(served, ID_OF_EVENT_BY_KIND[kind], after, repeated)
    await async_assert_whole(await served.add_router(), path, stream)


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
async def test_event_that_a_handed_over_run_sends_again_arrives_once(
    served: Deployment, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against events that come twice after a hand-over."""
    stream = prepare(served, str, 5, 3)
    caller = await async_add_overloaded_router(served, monkeypatch)
    await async_assert_whole(caller, path, stream)
