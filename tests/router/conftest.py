"""In-process fakes and a router that listens on a free port."""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpx

from lacewingspar_core.documents import ServiceDocument, validate_document
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import SlotId, SlotOutcome
from lacewingspar_router.application import Application, LifeCycle
from lacewingspar_router.components import quarantine, telemetry, upstreams
from lacewingspar_router.components.caller_api import caller_app
from lacewingspar_router.components.caller_api.proxy import CallerProxy
from lacewingspar_router.components.claims.models import (
    CLAIMS,
    ClaimAnswered,
    ClaimDecision,
    ClaimGranted,
)
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
    PublishAccepted,
    PublishResult,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.scheduler.models import (
    SCHEDULER,
    SlotGrant,
    SlotRequest,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.vm_list.models import VM_LIST
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http_server import HttpServer
from lacewingspar_router.settings import Settings

TOKEN = "token-of-alpha"
OTHER_TOKEN = "token-of-beta"
AUTHORIZED = {"authorization": f"Bearer {TOKEN}"}
NO_PORT = "127.0.0.1:0"

Upstream = Callable[[Any, Any, Any], Awaitable[None]]


def sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "router_id": "router-0",
        "data_centre": "dc-a",
        "caller_address": NO_PORT,
        "admin_address": NO_PORT,
        "peer_address": NO_PORT,
        "admin_token_sha256": sha256("admin"),
        "log_service_url": "http://127.0.0.1:9",
        "vm_list_url": "http://127.0.0.1:9",
    }
    return Settings(**(values | changes))


def document(service: str, kind: str, ports: list[int]) -> ServiceDocument:
    models = ["small"] if kind == "model" else []
    value = {
        "service": service,
        "kind": kind,
        "upstreams": [
            {
                "id": f"upstream-{number}",
                "data_centre": "dc-a",
                "address": f"http://127.0.0.1:{port}",
                "slots": 4,
                "models": models,
            }
            for number, port in enumerate(ports)
        ],
        "workspaces": [{"name": "alpha", "token_sha256": [sha256(TOKEN)]}],
        "non_idempotent": [{"method": "POST", "path_prefix": "/pay"}],
        "limits": {"body_bytes": 1000, "silent_after_seconds": 5},
    }
    return validate_document(value).unwrap()


@dataclass
class FakeConfiguration:
    documents_by_service: dict[str, ServiceDocument]
    version_by_service: dict[str, int] = field(default_factory=dict)
    is_ready: bool = True
    applied_offset: int = 0
    listeners: list[Callable[[], None]] = field(default_factory=list)
    publish_result: PublishResult = field(
        default_factory=lambda: PublishAccepted(7)
    )

    def add_listener(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    async def async_publish(self, **_edit: Any) -> PublishResult:
        return self.publish_result


class FakeVmList:
    """A VM list without leaving VMs."""

    leaving_vms: frozenset[str] = frozenset()

    def add_listener(self, listener: Callable[[], None]) -> None:
        del listener


class FakeScheduler:
    """Immediately grants the first upstream not excluded and not full."""

    def __init__(self, configuration: FakeConfiguration) -> None:
        self.configuration = configuration
        self.requests: list[SlotRequest] = []
        self.released: list[tuple[str, SlotOutcome, int]] = []
        self.full_upstreams: set[str] = set()
        # If given, requests set this event and then wait forever for a slot.
        self.hold: asyncio.Event | None = None

    async def async_acquire(self, request: SlotRequest) -> SlotGrant:
        self.requests.append(request)
        if self.hold is not None:
            self.hold.set()
            await asyncio.Event().wait()
        pool = self.configuration.documents_by_service[request.service]
        unusable = request.excluded_upstreams | self.full_upstreams
        for upstream in pool.upstreams:
            if upstream.id not in unusable:
                slot = SlotId(RouterInstance("router-0", 1), len(self.requests))
                return SlotGrant(
                    slot,
                    request.service,
                    request.workspace,
                    upstream.id,
                    request.request_class,
                    0.0,
                )
        raise RequestRefusedError(503, "no_upstream", "no upstream is left")

    def release(
        self, grant: SlotGrant, outcome: SlotOutcome, tokens: int = 0
    ) -> None:
        self.released.append((grant.upstream_id, outcome, tokens))


class FakePeers:
    """A fleet without other routers."""

    alive_by_router_id: dict[str, Any] = {}

    def subscribe(self, message_type: Any, handler: Any) -> None:
        del message_type, handler

    def add_listener(self, listener: Callable[[], None]) -> None:
        del listener


@dataclass
class FakeClaims:
    decision: ClaimDecision = field(
        default_factory=lambda: ClaimGranted(3, float("inf"))
    )
    may: bool = True
    release_confirmed: bool = True
    released: int = 0
    released_after_sending: int = 0
    was_released: asyncio.Event = field(default_factory=asyncio.Event)
    outcomes: list[ClaimAnswered] = field(default_factory=list)

    async def async_claim(self, **_call: Any) -> ClaimDecision:
        return self.decision

    def may_send(self, _claim: ClaimGranted) -> bool:
        return self.may

    async def async_release(
        self, _claim: ClaimGranted, *, was_sent: bool = False
    ) -> bool:
        self.released += 1
        self.released_after_sending += was_sent
        self.was_released.set()
        return self.release_confirmed

    def record_outcome(
        self, _claim: ClaimGranted, response: ClaimAnswered
    ) -> None:
        self.outcomes.append(response)


@dataclass
class Router:
    application: Application
    configuration: FakeConfiguration
    scheduler: FakeScheduler
    claims: FakeClaims
    proxy: CallerProxy
    client: httpx.AsyncClient

    async def chat(
        self, headers: Mapping[str, str] | None = None
    ) -> httpx.Response:
        return await self.client.post(
            "/v1/chat/completions",
            json={"model": "small"},
            headers={**AUTHORIZED, **(headers or {})},
        )


def responding(
    *parts: bytes,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
    response_request_id: str | None = None,
    is_complete: bool = True,
    hold: asyncio.Event | None = None,
    calls: list[Any] | None = None,
    called: asyncio.Event | None = None,
) -> Upstream:
    """Return an upstream app that sends a complete or truncated body.

    Args:
        parts: Chunks of the body.
        status: HTTP status code.
        headers: Additional response headers.
        response_request_id: Request id of the response, by default the one of
            the request.
        is_complete: Whether the app finishes the body.
        hold: Awaited after the chunks are sent.
        calls: Collects the ASGI scopes of the requests.
        called: Set when a request arrives.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await receive()
        if scope["path"] in ("/health", "/load"):
            # Health probes and load polls are not recorded as calls.
            await send({"type": "http.response.start", "status": 404})
            await send({"type": "http.response.body"})
            return
        if calls is not None:
            calls.append(scope)
        if called is not None:
            called.set()
        request_id = dict(scope["headers"])[b"x-request-id"]
        if response_request_id is not None:
            request_id = response_request_id.encode()
        sent = [(n.encode(), v.encode()) for n, v in (headers or {}).items()]
        sent.append((b"x-request-id", request_id))
        await send(
            {"type": "http.response.start", "status": status, "headers": sent}
        )
        for part in parts:
            await send(
                {"type": "http.response.body", "body": part, "more_body": True}
            )
        if hold is not None:
            await hold.wait()
        if is_complete:
            await send({"type": "http.response.body"})

    return app


def events(*parts: bytes, **options: Any) -> Upstream:
    """Return an upstream that sends an event stream."""
    headers = {"content-type": "text/event-stream; charset=utf-8"}
    return responding(*parts, headers=headers, **options)


@asynccontextmanager
async def served(app: Any) -> AsyncIterator[int]:
    server = HttpServer(app, NO_PORT)
    await server.async_start()
    try:
        yield server.port
    finally:
        await server.async_stop(abort=True)


@asynccontextmanager
async def routed(
    *upstream_apps: Upstream,
    ports: tuple[int, ...] = (),
    claims: FakeClaims | None = None,
) -> AsyncIterator[Router]:
    """Run a router with the given upstream apps and upstream ports."""
    async with AsyncExitStack() as stack:
        used = [
            *[await stack.enter_async_context(served(a)) for a in upstream_apps]
        ]
        used = [*ports, *used]
        configuration = FakeConfiguration(
            {
                "chat": document("chat", "model", used),
                "swap": document("swap", "plain", used),
            },
            {"chat": 1, "swap": 2},
        )
        application = Application(settings())
        await telemetry.async_setup(application)
        scheduler = FakeScheduler(configuration)
        claims = claims or FakeClaims()
        application.register(CONFIGURATION, configuration)
        application.register(SCHEDULER, scheduler)
        application.register(CLAIMS, claims)
        application.register(VM_LIST, FakeVmList())
        application.register(PEERS, FakePeers())
        await upstreams.async_setup(application)
        await quarantine.async_setup(application)
        proxy = CallerProxy(application)
        proxy.apply_configuration()
        application.life_cycle = LifeCycle.SERVING
        stack.push_async_callback(application.async_stop)
        port = await stack.enter_async_context(served(caller_app(proxy)))
        client = await stack.enter_async_context(
            httpx.AsyncClient(
                base_url=f"http://127.0.0.1:{port}", trust_env=False
            )
        )
        yield Router(
            application, configuration, scheduler, claims, proxy, client
        )
        # Every request must follow the state chart of requests.
        _, metrics = application.get(TELEMETRY).render()
        assert b"request_chart_errors_total" not in metrics
