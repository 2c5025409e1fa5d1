"""In-process deployment of a store, upstreams and routers."""

import asyncio
import dataclasses
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest
from tests.router.connections import async_open_connection

from lacewingspar_core.hand_over import HandOverController
from lacewingspar_core.messages import RouterState
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import hand_over
from lacewingspar_router.components.forwarding.load_monitor import LoadMonitor
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.hand_over_tokens import HAND_OVER_TOKENS
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.messages import (
    Response,
    ResponseEnd,
    ResponseHead,
)
from lacewingspar_router.main import setup_functions
from lacewingspar_router.settings import PlatformSettings, Settings
from lacewingspar_standins.deployed.documents import (
    HOST,
    KEY,
    LIMITS,
    manifest,
    request_bytes,
    route,
    upstream_entry,
)
from lacewingspar_standins.deployed.store import PlatformStore, StoreFaults
from lacewingspar_standins.deployed.upstream import Upstream
from lacewingspar_standins.ports import PortReservations
from lacewingspar_standins.server import running, split_address


def stream_bytes(events: int) -> bytes:
    """Return the body of a whole stream of an upstream."""
    return b"".join(
        b"id: %d\ndata: event %d\n\n" % (number, number)
        for number in range(1, events + 1)
    )


@dataclass(slots=True)
class ReceivedResponse:
    """Response as received by the caller.

    Attributes:
        status: HTTP status, or 0 if no response arrived.
        headers: Headers.
        body: Body received so far.
        is_complete: Whether the end of the body was received.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Caller:
    """Sends requests to one router.

    Attributes:
        address: Address of the router.
        response: What was received of the response to the last request.
    """

    ids = itertools.count(1)

    def __init__(self, address: str) -> None:
        self.address = address
        self.response = ReceivedResponse()

    async def call(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"",
        budget_ms: int = 3000,
        key: str | None = KEY,
        host: str = HOST,
        **headers: str,
    ) -> ReceivedResponse:
        """Send one request on a new connection."""
        request_id = headers.pop("x_attempt_id", f"a{next(self.ids)}")
        return await self.send(
            request_bytes(
                path,
                request_id,
                budget_ms,
                body,
                method=method,
                key=key,
                host=host,
                **headers,
            )
        )

    async def send(self, data: bytes) -> ReceivedResponse:
        """Send bytes on a new connection and return the response."""
        connection = await async_open_connection(self.address)
        connection.send(data)
        self.response = ReceivedResponse()
        try:
            return await receive(connection, self.response)
        finally:
            connection.abort()


async def receive(
    connection: ClientConnection, response: ReceivedResponse
) -> ReceivedResponse:
    """Receive a response, as far as it arrives."""
    try:
        while True:
            match await connection.async_next_event():
                case ResponseHead(status, pairs):
                    response.status = status
                    response.headers = {
                        name.decode(): value.decode("latin-1")
                        for name, value in pairs
                    }
                case ResponseEnd():
                    response.is_complete = True
                    return response
                case bytes() as chunk:
                    response.body += chunk
    except Exception:
        return response


class Deployment:
    """Starts and stops the store, upstreams and routers of a test.

    Attributes:
        host: Loopback address of the deployment, which no other one uses.
    """

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.store = PlatformStore(StoreFaults())
        self.store_address = ""
        self.upstream_by_id: dict[str, Upstream] = {}
        self.apps: list[Application] = []
        self._sequences = itertools.count(1)
        self._ports = PortReservations()
        stack.callback(self._ports.close)
        self.host = self._ports.host

    async def async_start(self) -> None:
        self.store_address = await self._stack.enter_async_context(
            running(self.store, self.host)
        )

    def publish(self, value: dict[str, Any]) -> None:
        """Write the operators' configuration to the store."""
        data = msgspec.json.encode(value)
        self.store.topic("keyed.op").append("config", data)

    async def add_upstream(
        self,
        upstream_id: str,
        service: str,
        data_centre: str = "dc-a",
        **options: Any,
    ) -> Upstream:
        """Start and register an upstream."""
        upstream = Upstream(upstream_id, **options)
        # It may be started again at this address after a crash.
        await upstream.async_start(*split_address(self._ports.reserve()))
        self._stack.push_async_callback(upstream.async_stop)
        self.upstream_by_id[upstream_id] = upstream
        self.register(upstream_id, service, data_centre=data_centre)
        return upstream

    async def restart_crashed(self, service: str) -> None:
        """Start a successor, with a new id, at the address of each crash."""
        for upstream_id, crashed in list(self.upstream_by_id.items()):
            successor_id = f"{upstream_id}+"
            if not crashed.crashes or successor_id in self.upstream_by_id:
                continue
            self.store.topic("keyed.servers").append(upstream_id, b"")
            successor = Upstream(successor_id, crashed.events)
            successor.faults = crashed.faults
            await successor.async_start(*split_address(crashed.address))
            self._stack.push_async_callback(successor.async_stop)
            self.upstream_by_id[successor_id] = successor
            self.register(successor_id, service)

    def register(
        self,
        upstream_id: str,
        service: str,
        state: str = "ready",
        data_centre: str = "dc-a",
        **changes: Any,
    ) -> None:
        """Write the directory entry of an upstream to the store."""
        entry = upstream_entry(
            service,
            self.upstream_by_id[upstream_id].address,
            next(self._sequences),
            state=state,
            zone=data_centre,
            **changes,
        )
        self.store.topic("keyed.servers").append(
            upstream_id, msgspec.json.encode(entry)
        )

    def received_ids(self) -> set[str]:
        """Return the ids of the requests that reached an upstream."""
        return {
            request.value_by_header["x-attempt-id"]
            for upstream in self.upstream_by_id.values()
            for request in upstream.received
        }

    def settings(
        self, name: str = "r1", data_centre: str = "dc-a", **changes: Any
    ) -> Settings:
        """Return the settings of a router with addresses of its own."""
        addresses = [self._ports.reserve() for _ in range(4)]
        platform: dict[str, Any] = {"stop_grace_seconds": 2.0}
        return Settings(
            router_id=name,
            data_centre=data_centre,
            caller_address=addresses[0],
            admin_address=addresses[1],
            peer_address=addresses[2],
            admin_token_sha256="0" * 64,
            log_service_url=f"http://{self.store_address}",
            vm_list_url=f"http://{self.store_address}",
            platform=PlatformSettings(
                metrics_address=addresses[3], **(platform | changes)
            ),
        )

    async def add_router(
        self,
        name: str = "r1",
        data_centre: str = "dc-a",
        *,
        address_map: dict[str, str] | None = None,
        **changes: Any,
    ) -> Caller:
        """Start a router and return a caller that uses it."""
        settings = dataclasses.replace(
            self.settings(name, data_centre, **changes),
            address_map=address_map or {},
        )
        self.apps.append(await self._async_start_router(settings))
        return Caller(settings.caller_address)

    async def restart_router(self, ended: Application) -> Application:
        """Start a router at the addresses of one that has ended."""
        app = await self._async_start_router(ended.settings)
        self.apps[self.apps.index(ended)] = app
        return app

    async def _async_start_router(self, settings: Settings) -> Application:
        app = Application(settings)
        self._stack.push_async_callback(app.async_stop)
        start = asyncio.create_task(app.async_start(setup_functions(settings)))
        self._stack.callback(start.cancel)
        await asyncio.wait({start}, timeout=1.0)
        return app


@pytest.fixture
def undelayed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the delays of the test machine from the limits of the routers."""
    record_delay = LoadMonitor._record_delay
    monkeypatch.setattr(
        LoadMonitor, "_record_delay", lambda self, _: record_delay(self, 0.0)
    )


@pytest.fixture
async def deployment(undelayed: None) -> AsyncIterator[Deployment]:
    del undelayed
    async with AsyncExitStack() as stack:
        made = Deployment(stack)
        await made.async_start()
        yield made


@pytest.fixture
async def served(deployment: Deployment) -> Deployment:
    """Provide a deployment with two upstreams of each service."""
    deployment.publish(manifest())
    for name in ("e1", "e2"):
        await deployment.add_upstream(name, "engines")
    for name in ("p1", "p2"):
        await deployment.add_upstream(name, "plain")
    return deployment


def knows_as_serving(app: Application, router_id: str) -> bool:
    """Return whether a router knows another one as serving."""
    record = app.get(PEERS).alive_by_router_id.get(router_id)
    return record is not None and record.state is RouterState.SERVING


class _FullHandOverController(HandOverController):
    """Controller of an overloaded router: hands over all requests."""

    def __init__(self) -> None:
        super().__init__()
        self.share = 1.0

    def record_loop_delay(self, seconds: float) -> None:
        del seconds


async def async_add_overloaded_router(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch, **changes: Any
) -> Caller:
    """Start an overloaded router and an idle neighbour.

    Args:
        deployment: Their deployment.
        monkeypatch: Replaces the controller of the overloaded one.
        **changes: Settings of both.

    Returns:
        A caller of the overloaded router.
    """
    with monkeypatch.context() as patch:
        patch.setattr(hand_over, "HandOverController", _FullHandOverController)
        caller = await deployment.add_router("r1", **changes)
    await deployment.add_router("r2", **changes)
    overloaded, neighbour = deployment.apps
    await until(lambda: knows_as_serving(overloaded, "r2"))
    tokens = overloaded.get(HAND_OVER_TOKENS)
    await until(lambda: tokens.target_of(neighbour.instance) is not None)
    return caller


@pytest.fixture
async def overloaded_caller(
    served: Deployment, monkeypatch: pytest.MonkeyPatch
) -> Caller:
    """Provide a caller of an overloaded router with an idle neighbour."""
    return await async_add_overloaded_router(served, monkeypatch)


async def async_running_first(upstreams: list[Upstream]) -> list[Upstream]:
    """Wait for a run at one of some upstreams, and sort that one first."""
    await until(lambda: any(upstream.running for upstream in upstreams))
    return sorted(upstreams, key=lambda upstream: not upstream.running)


async def until(condition: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


__all__ = [
    "HOST",
    "KEY",
    "LIMITS",
    "Caller",
    "Deployment",
    "ReceivedResponse",
    "Response",
    "async_running_first",
    "knows_as_serving",
    "manifest",
    "route",
    "stream_bytes",
    "until",
]
