"""Tests of forwarding, as seen by callers and upstreams."""

import asyncio
from typing import Any

import pytest
import structlog
from tests.router.deployed.conftest import (
    KEY,
    Caller,
    Deployment,
    manifest,
    route,
    stream_bytes,
    until,
)

from lacewingspar_core import decline_cache, router_concurrency_limit
from lacewingspar_standins.deployed.upstream import SEAL

STREAM = stream_bytes(5)


def upstreams(deployment: Deployment, service: str) -> list[Any]:
    letter = service[0]
    return [
        item
        for name, item in deployment.upstream_by_id.items()
        if name.startswith(letter)
    ]


def total_runs(deployment: Deployment) -> int:
    return sum(item.runs.total() for item in deployment.upstream_by_id.values())


async def test_request_and_response_pass_unchanged(served: Deployment) -> None:
    """Guards against altered requests, leaked keys and forged workspaces."""
    caller = await served.add_router()
    response = await caller.call(
        "/write/a%20b?c=1",
        body=b"body",
        x_attempt_id="id-1",
        x_tenant="forged",
        x_hold="forged",
        kv_from="forged",
        x_custom="kept",
    )
    assert response.status == 200
    assert response.headers["x-server-seal"] == SEAL
    assert response.headers["x-attempt-id"] == "id-1"
    (upstream,) = [item for item in upstreams(served, "p") if item.runs]
    assert response.body == b"answer of " + upstream.upstream_id.encode()
    (request,) = upstream.received
    assert request.method == "POST"
    assert request.target == "/write/a%20b?c=1"
    assert request.body == b"body"
    headers = request.value_by_header
    assert headers["x-tenant"] == "alpha"
    assert headers["x-expect-instance"] == upstream.upstream_id
    assert headers["x-custom"] == "kept"
    assert 0 < int(headers["x-time-budget-ms"]) <= 3000
    assert not {"authorization", "x-hold", "kv-from"} & headers.keys()


@pytest.mark.parametrize(
    ("path", "options", "status"),
    [
        ("/none/", {}, 404),
        ("/read/", {"host": "other.example"}, 404),
        ("/read/", {"key": None}, 401),
        ("/read/", {"key": "wrong"}, 401),
        ("/open/", {"key": None}, 200),
        ("/read/", {"host": "CALLS.example:80"}, 200),
    ],
)
async def test_route_and_key_decide(
    served: Deployment, path: str, options: dict[str, Any], status: int
) -> None:
    caller = await served.add_router()
    response = await caller.call(path, "GET", **options)
    assert response.status == status
    assert total_runs(served) == (status == 200)


async def test_router_without_configuration_says_so(
    deployment: Deployment,
) -> None:
    """Guards against 401 and 404 before the configuration is loaded."""
    caller = await deployment.add_router()
    response = await caller.call("/read/", "GET")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


NOT_RUN = {"refuse": True}
WRONG = {"is_other_upstream": True}


@pytest.mark.parametrize(
    ("path", "faults", "status", "runs"),
    [
        # A request that did not run is sent to another upstream, even if it
        # must not run twice.
        ("/write/", NOT_RUN, 200, 1),
        ("/write/", WRONG, 200, 1),
        ("/read/", NOT_RUN, 200, 1),
        # A request that may have run is repeated only if its route allows it.
        ("/write/", {"unframed": True, "reset_unframed": True}, 502, 1),
        ("/read/", {"unframed": True, "reset_unframed": True}, 200, 2),
        ("/write/", {"refuse_silently": True}, 502, 0),
        ("/read/", {"refuse_silently": True}, 200, 1),
        ("/write/", {"no_seal": True}, 502, 1),
        ("/read/", {"encoding": "gzip"}, 200, 2),
        # Error statuses of the upstream itself are relayed.
        ("/write/", {"status": 500}, 500, 1),
        ("/read/", {"status": 500}, 200, 2),
        ("/write/", {"status": 400}, 400, 1),
        # Unusual framing and extra responses have no effect.
        ("/write/", {"unframed": True}, 200, 1),
        ("/write/", {"extra_answer": True}, 200, 1),
        ("/write/", {"stray_id": True}, 200, 1),
    ],
)
async def test_faults_of_one_upstream(
    served: Deployment,
    path: str,
    faults: dict[str, Any],
    status: int,
    runs: int,
) -> None:
    """Guards against repeated runs, wrong responses and avoidable errors."""
    caller = await served.add_router()
    first = (await caller.call(path)).body.decode().rpartition(" ")[2]
    chosen = served.upstream_by_id[first]
    for name, value in faults.items():
        setattr(chosen.faults, name, value)
    before = total_runs(served)
    response = await caller.call(path)
    assert response.status == status
    assert total_runs(served) - before == runs
    if status == 200:
        assert response.is_complete
        assert response.body.startswith(b"answer of p")


async def test_extra_responses_reach_nobody(served: Deployment) -> None:
    """Guards against a response that is relayed to the next request."""
    caller = await served.add_router()
    for upstream in upstreams(served, "p"):
        upstream.faults.extra_answer = True
    for _ in range(10):
        response = await caller.call("/write/")
        assert response.body.startswith(b"answer of p")


async def test_all_upstreams_refuse(served: Deployment) -> None:
    caller = await served.add_router()
    for upstream in upstreams(served, "p"):
        upstream.faults.refuse = True
    response = await caller.call("/write/")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert total_runs(served) == 0


async def test_stream_passes_in_order(served: Deployment) -> None:
    caller = await served.add_router()
    response = await caller.call("/stream/1")
    assert (response.status, response.body) == (200, STREAM)
    assert response.is_complete


@pytest.mark.parametrize("after", [0, 1, 4])
@pytest.mark.parametrize("cut_event", [False, True])
async def test_resumable_stream_goes_on_elsewhere(
    served: Deployment, after: int, cut_event: bool
) -> None:
    """Guards against missing, duplicate and partial events."""
    caller = await served.add_router()
    first, second = upstreams(served, "e")
    first.faults.break_after_events = after
    first.faults.cut_event = cut_event
    for _ in range(8):
        response = await caller.call("/stream/1")
        assert (response.status, response.body) == (200, STREAM)
        assert response.is_complete
        if first.runs and second.runs:
            break
    assert first.runs


async def test_stream_that_goes_on_is_not_late_for_its_pool(
    served: Deployment,
) -> None:
    """Guards against a continued stream that is declined as late.

    This happens if the latency target counts from the original arrival.
    """
    caller = await served.add_router()
    first, second = upstreams(served, "e")
    first.response_delay_seconds = second.response_delay_seconds = 0.2
    first.faults.break_after_events = second.faults.break_after_events = 2
    with structlog.testing.capture_logs() as lines:
        await caller.call("/stream/1")
    admitted = [line for line in lines if line["event"] == "request admitted"]
    assert len(admitted) == 2
    # The stream continues after three gaps of 0.2 s.
    assert admitted[1]["waited_ms"] < 400


@pytest.mark.parametrize(("after", "status"), [(0, 502), (2, 200)])
async def test_broken_stream_never_looks_complete(
    served: Deployment, after: int, status: int
) -> None:
    caller = await served.add_router()
    for upstream in upstreams(served, "e"):
        upstream.faults.break_after_events = after
    response = await caller.call("/stream-once/1")
    assert response.status == status
    assert total_runs(served) == 1
    if status == 200:
        assert not response.is_complete
        assert STREAM.startswith(response.body)


async def test_failed_attempt_names_the_events_before_it(
    served: Deployment,
) -> None:
    """Guards against a repeated stream whose log does not name the cause."""
    caller = await served.add_router()
    for upstream in upstreams(served, "e"):
        upstream.faults.break_after_events = 2
    with structlog.testing.capture_logs() as lines:
        await caller.call("/stream/1")
    failed = [line for line in lines if line["event"] == "attempt failed"]
    assert [(line["events"], line["last_event_id"]) for line in failed] == [
        (2, "2"),
        (4, "4"),
    ]


async def test_caller_resumes_by_event_id(served: Deployment) -> None:
    caller = await served.add_router()
    response = await caller.call("/stream/1", last_event_id="3")
    assert response.body == STREAM[STREAM.index(b"id: 4") :]


@pytest.mark.parametrize("path", ["/stream/1", "/stream-once/1", "/read/"])
async def test_caller_that_leaves_ends_the_run(
    served: Deployment, path: str
) -> None:
    """Guards against upstreams that run requests of disconnected callers."""
    caller = await served.add_router()
    for upstream in served.upstream_by_id.values():
        upstream.response_delay_seconds = 5.0
    call = asyncio.create_task(caller.call(path))
    running = served.upstream_by_id.values()
    await until(lambda: any(item.running for item in running))
    call.cancel()
    await until(lambda: not any(item.running for item in running), 0.5)


@pytest.mark.parametrize(
    ("path", "budget_ms", "status"),
    [("/write/", 300, 504), ("/stream-once/1", 300, 504), ("/read/", 300, 504)],
)
async def test_response_comes_at_the_deadline(
    served: Deployment, path: str, budget_ms: int, status: int
) -> None:
    caller = await served.add_router()
    for upstream in served.upstream_by_id.values():
        upstream.faults.mute = True
    begin = asyncio.get_running_loop().time()
    response = await caller.call(path, budget_ms=budget_ms)
    assert response.status == status
    assert asyncio.get_running_loop().time() - begin < budget_ms / 1000 + 0.25


async def test_unresponsive_upstream_is_left_for_another(
    served: Deployment,
) -> None:
    """Guards against callers that wait for an unresponsive upstream."""
    caller = await served.add_router()
    upstreams(served, "e")[0].faults.mute = True
    for _ in range(3):
        response = await caller.call("/stream/1")
        assert response.body == STREAM


async def test_dead_upstream_costs_no_request(served: Deployment) -> None:
    caller = await served.add_router()
    await upstreams(served, "p")[0].async_stop()
    for _ in range(5):
        assert (await caller.call("/write/")).status == 200


async def test_timeout_of_the_route_ends_the_wait(
    deployment: Deployment,
) -> None:
    slow = route("/slow/", "idempotent", "plain", timeoutMs=200)
    deployment.publish(manifest(routes=[slow]))
    upstream = await deployment.add_upstream("p1", "plain")
    upstream.faults.mute = True
    caller = await deployment.add_router()
    begin = asyncio.get_running_loop().time()
    assert (await caller.call("/slow/")).status == 504
    assert asyncio.get_running_loop().time() - begin < 0.5


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GARBAGE\r\n\r\n", 400),
        (b"GET /read/ HTTP/1.1\r\nHost a\r\n\r\n", 400),
        (b"GET /read/ HTTP/1.1\r\nX: " + b"a" * 20000 + b"\r\n\r\n", 431),
        (
            b"POST /write/ HTTP/1.1\r\nHost: calls.example\r\n"
            b"Content-Length: 200000\r\n\r\n",
            413,
        ),
        (
            b"POST /write/ HTTP/1.1\r\nHost: calls.example\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /read/ HTTP/1.1\r\n\r\n",
            400,
        ),
        (
            b"POST /write/ HTTP/1.1\r\nHost: calls.example\r\n"
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
            400,
        ),
        (b"GET http://calls.example/read/ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ],
)
async def test_unreadable_requests_are_refused(
    served: Deployment, data: bytes, status: int
) -> None:
    """Guards against request smuggling."""
    caller = await served.add_router()
    response = await caller.send(data)
    assert response.status == status
    assert total_runs(served) == 0
    assert (await caller.call("/read/", "GET")).status == 200


async def test_connection_is_kept_and_pipelined(served: Deployment) -> None:
    caller = await served.add_router()
    head = (
        f"GET /read/ HTTP/1.1\r\nHost: calls.example\r\n"
        f"Authorization: Token {KEY}\r\nX-Attempt-Id: %s\r\n\r\n"
    )
    host, _, port = caller.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((head % "one" + head % "two").encode())
    data = b""
    while data.count(b"answer of p") < 2:
        data += await asyncio.wait_for(reader.read(4096), 5.0)
    assert data.index(b": one") < data.index(b": two")
    writer.close()


async def test_load_beyond_the_slots_is_refused_at_once(
    deployment: Deployment,
) -> None:
    """Guards against requests that are queued until their callers time out.

    Load: 60 concurrent calls of 0.25 s each, for 8 slots. Refusals before the
    first response arrive within an eighth of the 2.5 s that the callers wait.
    The test compares the order of events, as it does not change when the test
    process stalls.
    """
    deployment.publish(manifest())
    await deployment.add_upstream("p1", "plain", response_delay_seconds=0.25)
    caller = await deployment.add_router()
    begin = asyncio.get_running_loop().time()

    async def timed(caller: Caller) -> tuple[int, float, dict[str, str]]:
        response = await caller.call("/write/", budget_ms=2500)
        seconds = asyncio.get_running_loop().time() - begin
        return response.status, seconds, response.headers

    results = await asyncio.gather(*(timed(caller) for _ in range(60)))
    served = [item for item in results if item[0] == 200]
    refused = [item for item in results if item[0] == 503]
    assert len(served) + len(refused) == 60
    assert len(served) >= 8
    assert all(float(item[2]["retry-after"]) > 0 for item in refused)
    first_response_seconds = min(item[1] for item in served)
    early = [item for item in refused if item[1] < first_response_seconds]
    assert len(early) >= 0.5 * len(refused)


async def test_declined_workspace_is_refused_without_asking_the_pool_again(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against asking the pool again about requests it just declined.

    Load: 60 calls for 8 slots, then one more on the same route, which is
    refused without the pool, and one on another route, which is forwarded.
    """
    monkeypatch.setattr(decline_cache, "DECLINE_CACHE_SECONDS", 60.0)
    routes = [
        route("/write/", "non_idempotent", "plain"),
        route("/other/", "non_idempotent", "plain"),
    ]
    deployment.publish(manifest(routes=routes))
    plain = await deployment.add_upstream(
        "p1", "plain", response_delay_seconds=0.25
    )
    caller = await deployment.add_router()
    responses = await asyncio.gather(
        *(caller.call("/write/", budget_ms=2500) for _ in range(60))
    )
    assert any(response.status == 503 for response in responses)
    arrived = len(plain.received)
    again = await caller.call("/write/", budget_ms=2500)
    assert again.status == 503
    assert again.body.startswith(b"recently_declined")
    assert 0 < float(again.headers["retry-after"]) <= 0.3 * 2.5
    assert len(plain.received) == arrived
    assert (await caller.call("/other/", budget_ms=2500)).status == 200


@pytest.mark.parametrize(("key", "status"), [(KEY, 503), ("unknown", 401)])
async def test_router_without_room_refuses_what_it_cannot_forward(
    served: Deployment, monkeypatch: pytest.MonkeyPatch, key: str, status: int
) -> None:
    """Guards against expensive refusals by an overloaded router."""
    monkeypatch.setattr(router_concurrency_limit, "MIN_LIMIT", 0)
    monkeypatch.setattr(router_concurrency_limit, "REQUESTS_PER_PROCESSOR", 0)
    monkeypatch.setattr(router_concurrency_limit, "MIN_INCREASE_REQUESTS", 0)
    caller = await served.add_router()
    response = await caller.call("/stream/1", key=key, x_attempt_id="id-1")
    assert response.status == status
    assert response.headers["x-attempt-id"] == "id-1"
    assert ("retry-after" in response.headers) == (status == 503)
    assert total_runs(served) == 0
