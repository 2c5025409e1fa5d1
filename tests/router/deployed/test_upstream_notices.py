"""What upstreams announce in responses: shutdown, and a time to wait."""

import asyncio
import time
from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    ReceivedResponse,
    manifest,
    until,
)

from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_core.state_messages import UpstreamLeaving
from lacewingspar_core.upstream_notices import (
    Leaving,
    RetryAfter,
    UpstreamNotice,
)
from lacewingspar_router.components.admission.send_check import SendCheck
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import (
    ROUTING,
    UPSTREAM_AVAILABILITY,
)
from lacewingspar_router.http1 import connection_pool
from lacewingspar_router.http1.client import async_connect
from lacewingspar_standins.deployed.documents import SLOTS
from lacewingspar_standins.deployed.upstream import Upstream

PATHS = ["/read/", "/write/", "/stream/1", "/stream-once/1"]


def both(deployment: Deployment, path: str) -> tuple[Upstream, Upstream]:
    """Return the two upstreams of a path."""
    letter = "e" if "stream" in path else "p"
    known = deployment.upstream_by_id
    return known[f"{letter}1"], known[f"{letter}2"]


async def call_at_once(
    caller: Caller, path: str, count: int = 6
) -> list[ReceivedResponse]:
    """Send concurrent calls, so that each upstream gets some of them."""
    return await asyncio.gather(*(caller.call(path) for _ in range(count)))


async def async_reach(caller: Caller, path: str, upstream: Upstream) -> None:
    """Send calls until an upstream has responded to one."""
    before = len(upstream.received)
    async with asyncio.timeout(10):
        while len(upstream.received) == before:
            await call_at_once(caller, path)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "faults", [{}, {"refuse": True}, {"refuse_silently": True}, {"status": 500}]
)
async def test_upstream_that_announces_its_shutdown_gets_no_new_request(
    served: Deployment, path: str, faults: dict[str, Any]
) -> None:
    """Guards against use of a leaving upstream while it is listed as ready."""
    caller = await served.add_router()
    leaving, _ = both(served, path)
    leaving.faults.leaving = True
    for name, value in faults.items():
        setattr(leaving.faults, name, value)
    await async_reach(caller, path, leaving)
    received = len(leaving.received)
    service = "engines" if "stream" in path else "plain"
    served.register(leaving.upstream_id, service)
    for _ in range(3):
        responses = await call_at_once(caller, path)
        assert [item.status for item in responses] == [200] * 6
    assert len(leaving.received) == received


async def test_misdirected_response_announces_nothing(
    served: Deployment,
) -> None:
    """Guards against the notice of another upstream at a reused address."""
    caller = await served.add_router()
    upstream, _ = both(served, "/read/")
    upstream.faults.leaving = upstream.faults.is_other_upstream = True
    await async_reach(caller, "/read/", upstream)
    directory = served.apps[0].get(ROUTING).directory
    assert "p1" in directory.ready_upstreams("plain")


@pytest.mark.parametrize("path", PATHS)
async def test_shutdown_is_told_to_other_routers_once(
    served: Deployment, path: str
) -> None:
    """Guards against requests of other routers, and against a flood of hints.

    The store is away, so that routers learn it from each other only.
    """
    callers = [await served.add_router(name) for name in ("r1", "r2", "r3")]
    for app in served.apps:
        await until(lambda app=app: len(app.get(PEERS).alive_by_router_id) == 3)
    served.store.faults.outage = True
    served.store.faults_changed()
    hints: list[str] = []
    for app in served.apps:
        app.get(PEERS).subscribe(
            UpstreamLeaving,
            lambda received: hints.append(received.message.upstream_id),
        )
    leaving, _ = both(served, path)
    leaving.faults.leaving = True
    await async_reach(callers[0], path, leaving)
    await until(lambda: len(hints) == 2)
    received = len(leaving.received)
    for caller in callers:
        await call_at_once(caller, path)
    assert len(leaving.received) == received
    assert hints == [leaving.upstream_id] * 2


async def test_restarted_router_learns_the_shutdown_again(
    served: Deployment,
) -> None:
    caller = await served.add_router()
    leaving, _ = both(served, "/read/")
    leaving.faults.leaving = True
    await async_reach(caller, "/read/", leaving)
    await served.apps[0].async_stop()
    restarted = await served.add_router()
    await async_reach(restarted, "/read/", leaving)
    received = len(leaving.received)
    await call_at_once(restarted, "/read/")
    assert len(leaving.received) == received


async def test_restarted_upstream_and_reused_address_are_used(
    served: Deployment,
) -> None:
    """Guards against a belief that outlives the process it is about."""
    caller = await served.add_router()
    restarted, replaced = both(served, "/read/")
    for upstream in (restarted, replaced):
        upstream.faults.leaving = True
        await async_reach(caller, "/read/", upstream)
    directory = served.apps[0].get(ROUTING).directory
    assert not directory.ready_upstreams("plain")
    restarted.faults.leaving = replaced.faults.leaving = False
    served.register("p1", "plain", born=2)
    served.store.topic("keyed.servers").append("p2", b"")
    served.upstream_by_id["p3"] = replaced
    served.register("p3", "plain")
    await until(lambda: set(directory.ready_upstreams("plain")) == {"p1", "p3"})
    await async_reach(caller, "/read/", restarted)
    await async_reach(caller, "/read/", replaced)


async def test_streams_under_way_end_at_an_upstream_that_leaves(
    served: Deployment,
) -> None:
    caller = await served.add_router()
    leaving, other = both(served, "/stream/1")
    for upstream in (leaving, other):
        upstream.response_delay_seconds = 0.05
        upstream.events = 20
    streams = asyncio.create_task(call_at_once(caller, "/stream-once/1"))
    await until(lambda: len(leaving.received) + len(other.received) == 6)
    under_way = len(leaving.received)
    leaving.faults.leaving = True
    later = asyncio.create_task(call_at_once(caller, "/stream/1"))
    directory = served.apps[0].get(ROUTING).directory
    await until(lambda: "e1" not in directory.ready_upstreams("engines"))
    assert leaving.running >= under_way > 0
    for item in (*await streams, *await later):
        assert item.status == 200
        assert item.is_complete
    await until(lambda: not leaving.open_connections)


@pytest.mark.parametrize("path", PATHS)
async def test_grant_of_an_owner_that_does_not_know_is_given_back(
    served: Deployment, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against grants that are older than the notice.

    No retry is allowed, so a grant given back must not count as one.
    """
    caller = await served.add_router(retry_ratio=0.0, retry_allowance=0.0)
    leaving, other = both(served, path)
    other.response_delay_seconds = 0.02
    await async_reach(caller, path, leaving)
    monkeypatch.setattr(PoolAdmission, "set_upstreams", lambda *_: [])
    monkeypatch.setattr(SendCheck, "excluded", lambda _: frozenset())
    leaving.faults.leaving = True
    await async_reach(caller, path, leaving)
    received = len(leaving.received)
    with structlog.testing.capture_logs() as logs:
        for _ in range(3):
            responses = await call_at_once(caller, path)
            assert [item.status for item in responses] == [200] * 6
    assert any(item["event"].startswith("grant given back") for item in logs)
    assert len(leaving.received) == received


async def async_load(
    callers: list[Caller], path: str, seconds: float
) -> list[ReceivedResponse]:
    """Keep six callers at a time busy, and return all responses."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    responses: list[ReceivedResponse] = []

    async def call_until_end(caller: Caller) -> None:
        while loop.time() < ends_at:
            responses.append(await caller.call(path))
            await asyncio.sleep(0.02)

    await asyncio.gather(
        *(call_until_end(callers[n % len(callers)]) for n in range(6))
    )
    return responses


def served_share(responses: list[ReceivedResponse]) -> float:
    complete = [r.status == 200 and r.is_complete for r in responses]
    return sum(complete) / len(complete)


@pytest.mark.parametrize("position", [0, 1])
@pytest.mark.parametrize("path", PATHS)
async def test_refusing_upstream_draws_few_requests(
    served: Deployment, path: str, position: int
) -> None:
    """Guards against an upstream that looks emptiest because it refuses."""
    caller = await served.add_router()
    refusing = both(served, path)[position]
    refusing.faults.refuse = True
    both(served, path)[1 - position].response_delay_seconds = 0.05
    responses = await async_load([caller], path, 2.5)
    assert served_share(responses) >= 0.9
    assert len(refusing.received) <= 20


def late_arrivals(upstream: Upstream, asked_seconds: float) -> int:
    """Return the requests that came after 0.5 s of the time asked for."""
    first_at = upstream.received[0].at
    return sum(
        first_at + 0.5 < item.at < first_at + asked_seconds
        for item in upstream.received
    )


@pytest.mark.parametrize(
    ("routers", "used"), [(1, 1), (3, 1), (3, 3)], ids=["alone", "one", "all"]
)
@pytest.mark.parametrize("retry_after", ["2", "2.25"])
@pytest.mark.parametrize("path", PATHS)
async def test_upstream_that_asks_to_wait_is_left_alone(
    served: Deployment, path: str, retry_after: str, routers: int, used: int
) -> None:
    """Guards against requests in the time that an upstream asked for.

    The owner of the pool may be another router than the one that was asked.
    """
    callers = [await served.add_router(f"r{n}") for n in range(routers)]
    for app in served.apps:
        await until(
            lambda app=app: len(app.get(PEERS).alive_by_router_id) == routers
        )
    waiting = both(served, path)[0]
    waiting.faults.refuse = True
    waiting.faults.retry_after = retry_after
    responses = await async_load(callers[:used], path, float(retry_after))
    assert served_share(responses) >= 0.9
    assert late_arrivals(waiting, float(retry_after)) <= 2 * used
    assert waiting.received


@pytest.mark.parametrize("path", PATHS)
async def test_upstream_returns_after_its_wait_with_one_request(
    served: Deployment, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait that a response ends early, and against a flood.

    The time of day jumps, which must not matter.
    """
    caller = await served.add_router()
    waiting, other = both(served, path)
    other.faults.refuse = True
    waiting.faults.refuse = True
    waiting.faults.retry_after = "1"
    await async_reach(caller, path, waiting)
    asked_at = waiting.received[0].at
    waiting.faults.refuse = other.faults.refuse = False
    waiting.response_delay_seconds = 0.15
    before = len(waiting.received)
    hour_ahead = time.time() + 3600
    monkeypatch.setattr(time, "time", lambda: hour_ahead)
    await async_load([caller], path, 0.5)
    assert len(waiting.received) == before
    other.response_delay_seconds = 0.3
    await until(lambda: asyncio.get_running_loop().time() > asked_at + 1.0)
    load = asyncio.create_task(async_load([caller], path, 1.5))
    await until(lambda: waiting.running > 0)
    await asyncio.sleep(0.1)
    assert len(waiting.received) == before + 1
    await load
    assert len(waiting.received) > before + 1


@pytest.mark.parametrize(
    "retry_after", ["Wed, 21 Oct 2026 07:28:00 GMT", "soon", "-1", "nan", "1e9"]
)
async def test_unreadable_retry_after_is_logged_and_ignored(
    served: Deployment, retry_after: str
) -> None:
    caller = await served.add_router()
    upstream = both(served, "/read/")[0]
    upstream.faults.refuse = True
    upstream.faults.retry_after = retry_after
    with structlog.testing.capture_logs() as logs:
        await async_reach(caller, "/read/", upstream)
    assert any(item["event"].startswith("Retry-After ign") for item in logs)
    assert not served.apps[0].get(UPSTREAM_AVAILABILITY).withheld()


async def test_wait_is_bounded_by_the_setting(served: Deployment) -> None:
    caller = await served.add_router(max_upstream_wait_seconds=0.2)
    upstream = both(served, "/read/")[0]
    upstream.faults.refuse = True
    upstream.faults.retry_after = "86400"
    await async_reach(caller, "/read/", upstream)
    availability = served.apps[0].get(UPSTREAM_AVAILABILITY)
    assert availability.withheld() == {"p1"}
    await until(lambda: not availability.withheld(), 1.0)


@pytest.mark.parametrize(
    "faults",
    [{"leaving": True, "retry_after": "0.2"}, {"retry_after": "30"}],
    ids=["both notices", "wait"],
)
async def test_new_process_is_not_bound_by_what_the_old_one_said(
    served: Deployment, faults: dict[str, Any]
) -> None:
    """Guards against a wait or shutdown that outlives its process.

    The shutdown holds for longer than the wait that came with it.
    """
    caller = await served.add_router()
    upstream, other = both(served, "/read/")
    upstream.faults.refuse = True
    for name, value in faults.items():
        setattr(upstream.faults, name, value)
    await async_reach(caller, "/read/", upstream)
    received = len(upstream.received)
    await async_load([caller], "/read/", 0.5)
    assert len(upstream.received) == received
    upstream.faults = type(upstream.faults)()
    served.register("p1", "plain", born=2)
    other.response_delay_seconds = 0.05
    await async_reach(caller, "/read/", upstream)


@pytest.mark.parametrize(
    ("first", "second", "least_seconds", "most_seconds"),
    [
        ({"retry_after": "20"}, {"retry_after": "30"}, 15, 26),
        ({"retry_after": "20"}, {"leaving": True}, 15, 26),
        ({"leaving": True}, {"leaving": True}, 0.25, 1),
    ],
)
@pytest.mark.parametrize("path", PATHS)
async def test_callers_are_refused_at_once_when_all_upstreams_are_away(
    served: Deployment,
    path: str,
    first: dict[str, Any],
    second: dict[str, Any],
    least_seconds: float,
    most_seconds: float,
) -> None:
    """Guards against requests that wait until their deadline."""
    caller = await served.add_router()
    for upstream, faults in zip(
        both(served, path), (first, second), strict=True
    ):
        upstream.faults.refuse = True
        for name, value in faults.items():
            setattr(upstream.faults, name, value)
        await async_reach(caller, path, upstream)
    arrived = [len(item.received) for item in both(served, path)]
    responses = await call_at_once(caller, path)
    assert [len(item.received) for item in both(served, path)] == arrived
    returns = [float(item.headers["retry-after"]) for item in responses]
    assert {item.status for item in responses} == {503}
    assert least_seconds <= min(returns) < max(returns) <= most_seconds


async def test_queued_requests_are_refused_when_all_upstreams_are_away(
    deployment: Deployment,
) -> None:
    """Guards against a queue that nobody empties."""
    deployment.publish(manifest())
    upstream = await deployment.add_upstream(
        "p1", "plain", response_delay_seconds=2.0
    )
    caller = await deployment.add_router()
    running = asyncio.create_task(call_at_once(caller, "/write/", SLOTS))
    await until(lambda: upstream.running == SLOTS)
    queued = asyncio.create_task(caller.call("/write/"))
    entry = deployment.apps[0].get(ROUTING).directory.entry_by_id["p1"]
    await asyncio.sleep(0.1)
    assert not queued.done()
    availability = deployment.apps[0].get(UPSTREAM_AVAILABILITY)
    availability.record(entry, RetryAfter(60.0))
    response = await queued
    assert not running.done()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 50
    assert {item.status for item in await running} == {200}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("notice", [Leaving(), RetryAfter(5.0)])
async def test_request_is_not_sent_if_a_notice_comes_while_connecting(
    served: Deployment,
    path: str,
    notice: UpstreamNotice,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that cross the notice in a slow connection."""
    caller = await served.add_router(retry_ratio=0.0, retry_allowance=0.0)
    routing = served.apps[0].get(ROUTING)
    availability = served.apps[0].get(UPSTREAM_AVAILABILITY)
    addresses: list[str] = []

    async def async_connect_late(address: str) -> Any:
        if not addresses:
            addresses.append(address)
            (entry,) = (
                item
                for item in routing.directory.entry_by_id.values()
                if item.address == address
            )
            availability.record(entry, notice)
        return await async_connect(address)

    monkeypatch.setattr(connection_pool, "async_connect", async_connect_late)
    assert (await caller.call(path)).status == 200
    (unused,) = (u for u in both(served, path) if u.address == addresses[0])
    assert not unused.received
