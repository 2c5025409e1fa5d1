"""What upstreams announce in responses, above all their shutdown."""

import asyncio
from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import (
    Deployment,
    until,
)
from tests.router.deployed.notice_calls import (
    PATHS,
    async_load,
    async_reach,
    both,
    call_at_once,
)

from lacewingspar_core.hand_over import HandOverController
from lacewingspar_core.messages import RouterState
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


@pytest.mark.parametrize("notice", [Leaving(), RetryAfter(30.0)])
async def test_late_notice_of_an_old_process_leaves_its_successor_in_use(
    served: Deployment, notice: UpstreamNotice
) -> None:
    """Guards against a notice that arrives after the new process is listed."""
    await served.add_router()
    routing = served.apps[0].get(ROUTING)
    availability = served.apps[0].get(UPSTREAM_AVAILABILITY)
    old = routing.directory.entry_by_id["p1"]
    served.register("p1", "plain", born=old.born_ms + 1)
    await until(
        lambda: routing.directory.entry_by_id["p1"].born_ms > old.born_ms
    )
    availability.record(old, notice)
    assert not availability.withheld()
    assert "p1" in routing.directory.ready_upstreams("plain")


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
    other.response_delay_seconds = 0.2
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


@pytest.mark.parametrize("notice", [Leaving(), RetryAfter(60.0)])
@pytest.mark.parametrize("path", PATHS)
async def test_notice_holds_for_requests_handed_over(
    served: Deployment,
    path: str,
    notice: UpstreamNotice,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a router that serves the requests of another one."""
    monkeypatch.setattr(
        HandOverController, "should_hand_over_next", lambda _: True
    )
    callers = [await served.add_router(name) for name in ("r1", "r2")]
    for app in served.apps:
        peers = app.get(PEERS)
        await until(
            lambda peers=peers: (
                [item.state for item in peers.alive_by_router_id.values()]
                == [RouterState.SERVING] * 2
            )
        )
    unwanted, _ = both(served, path)
    for app in served.apps:
        entry = app.get(ROUTING).directory.entry_by_id[unwanted.upstream_id]
        app.get(UPSTREAM_AVAILABILITY).record(entry, notice)
    with structlog.testing.capture_logs() as logs:
        for caller in callers:
            responses = await call_at_once(caller, path)
            assert [item.status for item in responses] == [200] * 6
    assert any(item["event"] == "request handed over" for item in logs)
    assert not unwanted.received
