"""Tests the administration API."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import httpx
import msgspec
import pytest
from tests.router.conftest import Router, routed, served

from lacewingspar_core.documents import dump_document
from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_core.prompt_suspects import (
    CRASHES_UNTIL_REFUSED,
    PromptRun,
    prompt_of,
)
from lacewingspar_router.application import LifeCycle
from lacewingspar_router.components.admin_api import admin_app
from lacewingspar_router.components.caller_api.models import CALLER_API
from lacewingspar_router.components.configuration.models import (
    PublishAccepted,
    PublishConflict,
    PublishResult,
    PublishUnknown,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.quarantine.models import QUARANTINE
from lacewingspar_router.shutdown import SHUTDOWN, Shutdown

ADMIN = {"authorization": "Bearer admin"}


@dataclass
class FakePeers:
    alive_by_router_id: dict[str, MemberRecord]


@dataclass
class Admin:
    router: Router
    client: httpx.AsyncClient


@pytest.fixture
async def admin() -> AsyncIterator[Admin]:
    async with routed(ports=(9,)) as router:
        application = router.application
        record = MemberRecord(
            application.instance, "dc-a", "tcp://x:1", RouterState.SERVING, 1, 2
        )
        application.register(PEERS, FakePeers({"router-0": record}))  # type: ignore[arg-type]
        application.register(CALLER_API, router.proxy)
        application.register(SHUTDOWN, Shutdown())
        async with (
            served(admin_app(application)) as port,
            httpx.AsyncClient(
                base_url=f"http://127.0.0.1:{port}",
                trust_env=False,
                headers=ADMIN,
            ) as client,
        ):
            yield Admin(router, client)


def edit(admin: Admin, **changes: Any) -> dict[str, Any]:
    document = dump_document(
        admin.router.configuration.documents_by_service["swap"]
    )
    body = {"edit_id": "e", "base_version": 2, "author": "a"}
    return body | {"document": document} | changes


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (PublishAccepted(7), 200),
        (PublishConflict(5, "other", "bo"), 409),
        (PublishUnknown("e"), 202),
    ],
)
async def test_publish_reports_what_happened_to_the_edit(
    admin: Admin, result: PublishResult, status: int
) -> None:
    """Guards against a conflict or lost reply that is shown as accepted."""
    admin.router.configuration.publish_result = result
    response = await admin.client.put("/v1/services/swap", json=edit(admin))
    assert response.status_code == status
    assert response.json() == msgspec.to_builtins(result)


async def test_publish_lists_all_problems(admin: Admin) -> None:
    """Guards against a response that names only the first mistake."""
    document = edit(admin)["document"] | {"service": "other", "kind": "x"}
    body = edit(admin, document=document)
    response = await admin.client.put("/v1/services/swap", json=body)
    assert response.status_code == 422
    assert {item["path"] for item in response.json()["problems"]} == {
        "service",
        "kind",
    }


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/v1/services"),
        ("GET", "/v1/status"),
        ("GET", "/schema/openapi.json"),
        ("POST", "/v1/drain"),
        ("GET", "/v1/quarantine"),
        ("DELETE", "/v1/quarantine/chat/part"),
    ],
)
@pytest.mark.parametrize("authorization", ["", "Bearer other", "Basic admin"])
async def test_token_is_needed(
    admin: Admin, method: str, path: str, authorization: str
) -> None:
    """Guards against access without the administration token."""
    headers = {"authorization": authorization}
    response = await admin.client.request(method, path, headers=headers)
    assert response.status_code == 401
    assert not admin.router.application.get(SHUTDOWN).graceful.is_set()


async def test_status_names_routers_upstreams_and_versions(
    admin: Admin,
) -> None:
    status = (await admin.client.get("/v1/status")).json()
    assert [item["router_id"] for item in status["routers"]] == ["router-0"]
    assert len(status["upstreams"]) == 2
    assert status["versions"] == {"chat": 1, "swap": 2}


async def test_prompt_part_in_quarantine_is_shown_and_released(
    admin: Admin,
) -> None:
    """Guards against a wrong verdict that an operator cannot end."""
    registry: Any = admin.router.application.get(QUARANTINE)
    state = registry._exchange.state("chat")
    prompt = prompt_of("alpha", ["shared"])
    for number in range(CRASHES_UNTIL_REFUSED):
        at = admin.router.application.now() - 10.0 + number
        run = PromptRun(prompt, at - 0.1)
        state.record_crash(f"u{number}", 0, (), at, [run])
    shown = (await admin.client.get("/v1/quarantine")).json()["parts"]
    assert [item["part"] for item in shown["chat"]] == ["shared"]
    path = "/v1/quarantine/chat/shared"
    assert (await admin.client.delete(path)).status_code == 200
    assert (await admin.client.get("/v1/quarantine")).json() == {"parts": {}}
    assert (await admin.client.delete(path)).status_code == 404


async def test_schema_and_metrics_are_served(admin: Admin) -> None:
    schema = (await admin.client.get("/schema/openapi.json")).json()
    assert "/v1/services/{name}" in schema["paths"]
    metrics = await admin.client.get("/metrics")
    assert "lacewingspar_requests_in_flight 0" in metrics.text


async def test_drain_makes_the_router_not_ready_at_once(admin: Admin) -> None:
    """Guards against a load balancer that keeps sending requests."""
    assert (await admin.client.get("/ready")).status_code == 200
    assert (await admin.client.post("/v1/drain")).status_code == 202
    assert (await admin.client.get("/ready")).status_code == 503
    assert (await admin.client.get("/live")).status_code == 200


@pytest.mark.parametrize("state", [LifeCycle.STARTING, LifeCycle.DRAINING])
async def test_ready_only_while_serving(admin: Admin, state: LifeCycle) -> None:
    admin.router.application.life_cycle = state
    assert (await admin.client.get("/ready")).status_code == 503


@pytest.mark.parametrize(
    ("path", "code"),
    [
        ("/v1/services/none", "unknown_service"),
        ("/v1/requests/none", "unknown_request"),
        ("/v1/none", "http_404"),
    ],
)
async def test_unknown_names_get_a_reason(
    admin: Admin, path: str, code: str
) -> None:
    response = await admin.client.get(path)
    assert response.status_code == 404
    assert response.json()["error"]["code"] == code
