"""In-memory log service and other fakes for component tests."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, cast
from unittest import mock

import httpx
import msgspec
import pytest
from tests.router.conftest import settings

from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_core.platform import (
    AppendReply,
    AppendRequest,
    ReadReply,
    StoredRecord,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.log_service.client import HttpLogService
from lacewingspar_router.components.log_service.models import LOG_SERVICE
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.telemetry.models import TELEMETRY


class FakeLog:
    """Fake log service with injectable faults, as an httpx handler.

    Attributes:
        append_fault: Exception or HTTP status of the next append.
        is_written: Whether an append with a fault is written nevertheless.
        is_down: Whether connections are refused.
        gate: Appends wait until this event is set.
    """

    def __init__(self) -> None:
        self.records_by_stream: dict[str, list[StoredRecord]] = {}
        self.batch_sizes: list[int] = []
        self.first_retained = 0
        self.now_ms = int(time.time() * 1000)
        self.retention_ms = 3_600_000
        self.append_fault: Exception | int | None = None
        self.is_written = False
        self.is_down = False
        self.gate = asyncio.Event()
        self.gate.set()
        self._appended = asyncio.Event()

    async def __call__(self, request: httpx.Request) -> httpx.Response:
        if self.is_down:
            raise httpx.ConnectError("refused")
        stream = request.url.path.split("/")[2]
        if request.method == "POST":
            reply: Any = await self._append(stream, request)
        else:
            reply = await self._read(stream, request.url.params)
        if isinstance(reply, int):
            return httpx.Response(reply)
        return httpx.Response(200, content=msgspec.json.encode(reply))

    def append(self, stream: str, *data: bytes) -> int:
        records = self.records_by_stream.setdefault(stream, [])
        first = len(records)
        for offset, item in enumerate(data, first):
            records.append(StoredRecord(offset, self.now_ms, item))
        self._appended.set()
        self._appended = asyncio.Event()
        return first

    async def _append(self, stream: str, request: httpx.Request) -> Any:
        body = msgspec.json.decode(request.content, type=AppendRequest)
        await self.gate.wait()
        self.batch_sizes.append(len(body.records))
        fault, self.append_fault = self.append_fault, None
        first = 0
        if fault is None or self.is_written:
            first = self.append(stream, *body.records)
        if isinstance(fault, Exception):
            raise fault
        return fault or AppendReply(first)

    async def _read(self, stream: str, params: httpx.QueryParams) -> ReadReply:
        records = self.records_by_stream.setdefault(stream, [])
        start = max(int(params["from"]), self.first_retained)
        if len(records) <= start:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._appended.wait(), int(params["wait_ms"]) / 1000
                )
        page = tuple(records[start : start + int(params["limit"])])
        return ReadReply(
            self.first_retained, len(records), self.retention_ms, page
        )


class FakePeers:
    """Fake peer network between the applications of one test."""

    def __init__(self, app: Application, network: dict[str, Any]) -> None:
        self.app = app
        self.network = network
        self.handler_by_type: dict[type, Callable[[Any], None]] = {}
        self.listeners: list[Callable[[], None]] = []
        self.sent: list[tuple[str, Any]] = []
        self.offset_by_router_id: dict[str, int] = {}
        network[app.instance.router_id] = self

    def set_applied_offset_source(self, read: Callable[[], int]) -> None:
        del read

    @property
    def alive_by_router_id(self) -> dict[str, MemberRecord]:
        return {
            router_id: MemberRecord(
                peers.app.instance,
                peers.app.settings.data_centre,
                "tcp://127.0.0.1:1",
                RouterState.SERVING,
                1,
                self.offset_by_router_id.get(router_id, 0),
            )
            for router_id, peers in self.network.items()
        }

    def send(self, router_id: str, message: Any) -> None:
        self.sent.append((router_id, message))
        handler = self.network[router_id].handler_by_type.get(type(message))
        if handler:
            received = ReceivedMessage(
                self.app.instance, self.app.settings.data_centre, message
            )
            asyncio.get_running_loop().call_soon(handler, received)

    def add_listener(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def subscribe(self, message_type: type, handler: Any) -> None:
        self.handler_by_type[message_type] = handler


@pytest.fixture
async def fake_log() -> FakeLog:
    return FakeLog()


@pytest.fixture
async def make_app(
    fake_log: FakeLog,
) -> AsyncIterator[Callable[..., Application]]:
    """Return a function that creates an application with the fake log."""
    apps: list[Application] = []
    network: dict[str, Any] = {}

    def make(router_id: str = "r1", log: FakeLog = fake_log) -> Application:
        app = Application(
            settings(
                router_id=router_id,
                data_centre="dc1",
                log_service_url="http://log:1",
                vm_list_url="http://vms:1",
            )
        )
        client = httpx.AsyncClient(
            base_url="http://log:1", transport=httpx.MockTransport(log)
        )
        app.register(TELEMETRY, mock.Mock())
        app.register(PEERS, cast(Any, FakePeers(app, network)))
        app.register(LOG_SERVICE, HttpLogService(app, client))
        apps.append(app)
        return app

    yield make
    for app in apps:
        await app.async_stop()


@pytest.fixture
def until() -> Callable[[Callable[[], Any]], Awaitable[None]]:
    """Return a coroutine function that waits for a condition."""

    async def wait(condition: Callable[[], Any]) -> None:
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)

    return wait
