"""Monitor of upstream health."""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random

import httpx
import pytest

from lacewingspar_core.documents import Upstream
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamMismatchError,
    UpstreamRefusedError,
)
from lacewingspar_router.components.upstreams.health import (
    UpstreamHealthMonitor,
)
from lacewingspar_router.errors import RunState

LOCAL = Upstream("u", "d", "http://u:1", 10, vm="vm-u")
REMOTE = Upstream("far", "elsewhere", "http://far:1", 10, vm="vm-far")
KEY = ("s", "u")


class Upstreams:
    """Answers of all upstreams, as a monitor meets them."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []
        self.answers_by_path: dict[str, list[httpx.Response | Exception]] = {}

    def answer(self, request: httpx.Request) -> httpx.Response:
        """Return the next answer for the path, or its last one again."""
        self.calls.append((request.url.host, request.url.path))
        answers = self.answers_by_path.get(request.url.path)
        if not answers:
            return httpx.Response(404)
        item = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(item, Exception):
            raise item
        return httpx.Response(item.status_code, content=item.content)


@pytest.fixture
def upstreams() -> Upstreams:
    return Upstreams()


@pytest.fixture
async def monitor(upstreams: Upstreams) -> AsyncIterator[UpstreamHealthMonitor]:
    transport = httpx.MockTransport(upstreams.answer)
    async with httpx.AsyncClient(transport=transport) as client:
        monitor = UpstreamHealthMonitor(
            client, "d", asyncio.get_running_loop().time, Random(1), {}
        )
        yield monitor
        await monitor.async_close()


async def _until(
    monitor: UpstreamHealthMonitor, condition: Callable[[], bool]
) -> None:
    changed = asyncio.Event()
    monitor.add_listener(changed.set)
    while not condition():
        await changed.wait()
        changed.clear()


def _state(monitor: UpstreamHealthMonitor) -> tuple[str, int]:
    status = monitor.status_by_upstream[KEY]
    return status.state, status.slots


async def test_load_reports_lower_the_slots(
    monitor: UpstreamHealthMonitor, upstreams: Upstreams
) -> None:
    """Guards against an overloaded upstream that keeps all its slots."""
    report = b'{"running": 4, "waiting": 6, "age_ms": 10}'
    upstreams.answers_by_path["/load"] = [httpx.Response(200, content=report)]
    monitor.set_upstreams({"s": [LOCAL]})
    assert _state(monitor) == ("unknown", 10)
    await _until(monitor, lambda: _state(monitor) == ("healthy", 8))


async def test_failing_upstream_returns_after_a_probe(
    monitor: UpstreamHealthMonitor, upstreams: Upstreams
) -> None:
    """Guards against new work for a crashed upstream, and against its loss."""
    upstreams.answers_by_path["/load"] = [
        httpx.ConnectError("refused"),
        httpx.Response(404),
    ]
    upstreams.answers_by_path["/health"] = [
        httpx.Response(200),
        httpx.ReadTimeout("silent"),
        httpx.Response(503),
        httpx.Response(200),
    ]
    monitor.set_upstreams({"s": [LOCAL]})
    await _until(monitor, lambda: _state(monitor) == ("failing", 0))
    await _until(monitor, lambda: _state(monitor) == ("healthy", 10))
    assert upstreams.calls.count(("u", "/health")) == 4


@pytest.mark.parametrize(
    ("error_type", "state"),
    [
        (UpstreamConnectError, "failing"),
        (UpstreamBrokenError, "failing"),
        (UpstreamMismatchError, "failing"),
        (UpstreamRefusedError, "unknown"),
    ],
)
async def test_failed_calls(
    monitor: UpstreamHealthMonitor,
    error_type: type[UpstreamError],
    state: str,
) -> None:
    monitor.set_upstreams({"s": [LOCAL]})
    monitor.on_failure("s", "u", error_type("", run=RunState.UNKNOWN))
    monitor.on_failure("s", "other", error_type("", run=RunState.UNKNOWN))
    assert _state(monitor)[0] == state


async def test_leaving_vm_gets_no_new_work(
    monitor: UpstreamHealthMonitor,
) -> None:
    """Guards against new work for upstreams listed before or after the VM."""
    monitor.set_leaving_vms(frozenset({"vm-u"}))
    monitor.set_upstreams({"s": [LOCAL, REMOTE]})
    assert _state(monitor) == ("leaving", 0)
    monitor.on_answer("s", "u", 0.1)
    monitor.set_leaving_vms(frozenset({"vm-far"}))
    assert _state(monitor) == ("unknown", 10)
    assert monitor.status_by_upstream["s", "far"].state == "leaving"


async def test_only_selected_local_upstreams_are_polled(
    monitor: UpstreamHealthMonitor, upstreams: Upstreams
) -> None:
    """Guards against polls that grow with the square of the fleet."""
    second = Upstream("second", "d", "http://second:1", 10)
    monitor.set_polled([("s", "second"), ("s", "far")])
    monitor.set_upstreams({"s": [LOCAL, REMOTE, second]})
    report = httpx.Response(200, content=b'{"running":1,"waiting":9}')
    upstreams.answers_by_path["/load"] = [report]
    status = monitor.status_by_upstream
    await _until(monitor, lambda: status["s", "second"].slots == 8)
    assert set(upstreams.calls) == {
        ("u", "/health"),
        ("second", "/health"),
        ("second", "/load"),
    }


async def test_document_changes(monitor: UpstreamHealthMonitor) -> None:
    """Guards against state of an upstream that another one has replaced."""
    monitor.set_upstreams({"s": [LOCAL]})
    monitor.on_answer("s", "u", 0.1)
    monitor.set_upstreams(
        {"s": [Upstream("u", "d", "http://u:1", 4, vm="vm-u")]}
    )
    assert _state(monitor) == ("healthy", 4)
    monitor.set_upstreams(
        {"s": [Upstream("u", "d", "http://u:2", 4, vm="vm-u")]}
    )
    assert _state(monitor) == ("unknown", 4)
    monitor.set_upstreams({})
    assert not monitor.status_by_upstream
