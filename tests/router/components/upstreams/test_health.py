"""Health monitoring of upstreams."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from random import Random

import httpx
import pytest

from lacewingspar_core.documents import Upstream
from lacewingspar_router.components.upstreams import errors
from lacewingspar_router.components.upstreams.health import (
    UpstreamHealthMonitor,
)
from lacewingspar_router.errors import RunState

LOCAL = Upstream("u", "d", "http://u:1", 10, vm="vm-u")
SECOND = Upstream("second", "d", "http://second:1", 10)
REMOTE = Upstream("far", "elsewhere", "http://far:1", 10, vm="vm-far")
BUSY = httpx.Response(200, content=b'{"running": 4, "waiting": 6}')
NOT_FOUND = httpx.Response(404)


class Monitor(UpstreamHealthMonitor):
    """A monitor with scripted responses to its polls and probes.

    Each path returns its responses in order and then repeats the last one.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.responses_by_path = defaultdict(lambda: [NOT_FOUND])
        client = httpx.AsyncClient(transport=httpx.MockTransport(self._respond))
        now = asyncio.get_running_loop().time
        super().__init__(client, "d", now, Random(1), {})

    def _respond(self, request: httpx.Request) -> httpx.Response:
        self.calls.append(request.url.host + request.url.path)
        responses = self.responses_by_path[request.url.path]
        item = responses.pop(0) if len(responses) > 1 else responses[0]
        if isinstance(item, Exception):
            raise item
        return httpx.Response(item.status_code, content=item.content)

    def state(self, upstream_id: str = "u") -> tuple[str, int]:
        status = self.status_by_upstream["s", upstream_id]
        return status.state, status.slots

    async def async_wait_for(self, *expected: object, name: str = "u") -> None:
        changed = asyncio.Event()
        self.add_listener(changed.set)
        while self.state(name) != expected:
            await changed.wait()
            changed.clear()


@pytest.fixture
async def monitor() -> AsyncIterator[Monitor]:
    monitor = Monitor()
    yield monitor
    await monitor.async_close()


async def test_failing_upstream_returns_after_a_probe(monitor: Monitor) -> None:
    """A crashed upstream gets no requests until a probe succeeds."""
    monitor.responses_by_path["/load"] = [httpx.ConnectError(""), NOT_FOUND]
    monitor.responses_by_path["/health"] = [
        httpx.Response(200),
        httpx.ReadTimeout("silent"),
        httpx.Response(503),
        httpx.Response(200),
    ]
    monitor.set_upstreams({"s": [LOCAL]})
    assert monitor.state() == ("unknown", 10)
    await monitor.async_wait_for("failing", 0)
    await monitor.async_wait_for("healthy", 10)
    assert monitor.calls.count("u/health") == 4


@pytest.mark.parametrize(
    ("error_type", "state"),
    [
        (errors.UpstreamConnectError, "failing"),
        (errors.UpstreamBrokenError, "failing"),
        (errors.UpstreamMismatchError, "failing"),
        (errors.UpstreamRefusedError, "unknown"),
    ],
)
async def test_failed_calls(
    monitor: Monitor, error_type: type[errors.UpstreamError], state: str
) -> None:
    """Guards against refusals that count as failures, and the reverse.

    An upstream of another data centre is probed only after a failure.
    """
    monitor.set_upstreams({"s": [REMOTE]})
    await asyncio.sleep(0)
    for upstream_id in ("far", "not listed"):
        error = error_type("", run=RunState.UNKNOWN)
        monitor.record_failure("s", upstream_id, error)
    assert monitor.state("far")[0] == state
    if state == "failing":
        await monitor.async_wait_for("healthy", 10, name="far")


async def test_leaving_vm_gets_no_new_work(monitor: Monitor) -> None:
    """Upstreams of a leaving VM get no requests.

    The VM may be listed before or after the upstream is configured.
    """
    monitor.set_leaving_vms(frozenset({"vm-u"}))
    monitor.set_upstreams({"s": [LOCAL, REMOTE]})
    assert monitor.state() == ("leaving", 0)
    monitor.record_response("s", "u", 0.1)
    monitor.set_leaving_vms(frozenset({"vm-far"}))
    assert monitor.state() == ("unknown", 10)
    assert monitor.state("far") == ("leaving", 0)


async def test_only_selected_local_upstreams_are_polled(
    monitor: Monitor,
) -> None:
    """Guards against every router polling every upstream."""
    monitor.responses_by_path["/load"] = [BUSY]
    monitor.set_polled([("s", "second"), ("s", "far")])
    monitor.set_upstreams({"s": [LOCAL, REMOTE, SECOND]})
    await monitor.async_wait_for("healthy", 8, name="second")
    assert set(monitor.calls) == {"u/health", "second/health", "second/load"}


async def test_document_changes(monitor: Monitor) -> None:
    """A replaced upstream must not pass its state to its successor."""
    monitor.set_upstreams({"s": [LOCAL]})
    monitor.record_response("s", "u", 0.1)
    for address, state in (
        ("http://u:1", "healthy"),
        ("http://u:2", "unknown"),
    ):
        upstream = Upstream("u", "d", address, 4, vm="vm-u")
        monitor.set_upstreams({"s": [upstream]})
        assert monitor.state() == (state, 4)
    monitor.set_upstreams({})
    assert not monitor.status_by_upstream
