"""Requests that are refused before they are queued."""

from dataclasses import replace
from typing import Any

import pytest
from tests.router.conftest import AUTHORIZED, OTHER_TOKEN, routed

from lacewingspar_router.application import LifeCycle
from lacewingspar_router.components.caller_api.const import MAX_HEADER_BYTES

CHAT = "/v1/chat/completions"
MODEL = b'{"model": "small"}'

# Method, path, additional headers, body, expected status and code.
REFUSALS: list[tuple[str, str, dict[str, str], bytes, int, str]] = [
    ("POST", CHAT, {"authorization": ""}, MODEL, 401, "token_missing"),
    ("POST", CHAT, {"authorization": "Basic x"}, MODEL, 401, "token_missing"),
    ("POST", CHAT, {"authorization": "Bearer x"}, MODEL, 401, "token_unknown"),
    ("GET", "/v1/models", {"authorization": ""}, b"", 401, "token_missing"),
    ("POST", CHAT, {}, b'{"model": "none"}', 404, "unknown_model"),
    ("GET", "/services/none/x", {}, b"", 404, "unknown_service"),
    ("GET", "/services//x", {}, b"", 404, "unknown_service"),
    ("GET", "/services/other/", {}, b"", 403, "workspace_not_in_service"),
    ("POST", CHAT, {}, b"x" * 1001, 413, "body_too_large"),
    ("PUT", "/services/swap/x", {}, b"x" * 1001, 413, "body_too_large"),
    (
        "POST",
        CHAT,
        {"x": "y" * MAX_HEADER_BYTES},
        MODEL,
        431,
        "headers_too_large",
    ),
    ("POST", CHAT, {}, b'{"model": ', 400, "bad_body"),
    ("POST", CHAT, {}, b"\xff", 400, "bad_body"),
    ("POST", CHAT, {}, b'{"model": 3}', 400, "bad_body"),
    ("POST", CHAT, {}, b"[]", 400, "bad_body"),
    ("POST", CHAT, {}, b'{"model": ""}', 400, "bad_body"),
    ("POST", CHAT, {"x-deadline-ms": "0"}, MODEL, 400, "bad_deadline"),
    ("POST", CHAT, {"x-deadline-ms": "1.5"}, MODEL, 400, "bad_deadline"),
    ("POST", CHAT, {"x-deadline-ms": "9" * 99}, MODEL, 400, "bad_deadline"),
    ("POST", CHAT, {"x-cost-hint": "nan"}, MODEL, 400, "bad_cost_hint"),
    ("POST", CHAT, {"x-cost-hint": "inf"}, MODEL, 400, "bad_cost_hint"),
    ("POST", CHAT, {"x-cost-hint": "-1"}, MODEL, 400, "bad_cost_hint"),
    (
        "POST",
        CHAT,
        {"x-request-class": "?"},
        MODEL,
        400,
        "unknown_request_class",
    ),
    ("POST", CHAT, {"idempotency-key": ""}, MODEL, 400, "bad_idempotency_key"),
    (
        "POST",
        CHAT,
        {"idempotency-key": "a b"},
        MODEL,
        400,
        "bad_idempotency_key",
    ),
    (
        "POST",
        CHAT,
        {"idempotency-key": "k" * 256},
        MODEL,
        400,
        "bad_idempotency_key",
    ),
    ("GET", CHAT, {}, b"", 405, "method_not_allowed"),
    ("GET", "/other", {}, b"", 404, "unknown_path"),
    ("POST", "/services/swap/x/%2e%2e/pay", {}, b"", 400, "bad_path"),
]


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "code"), REFUSALS
)
async def test_refused_before_anything_is_queued(
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    status: int,
    code: str,
) -> None:
    """Guards against an invalid request that takes a slot or has run."""
    async with routed(ports=(9,)) as router:
        documents = router.configuration.documents_by_service
        documents["other"] = replace(
            documents["swap"], service="other", workspaces=()
        )
        router.proxy.apply_configuration()
        response = await router.client.request(
            method, path, headers=AUTHORIZED | headers, content=body
        )
        error = response.json()["error"]
        assert (response.status_code, error["code"]) == (status, code)
        assert error["run"] == "not_run"
        assert error["request_id"] == response.headers["x-request-id"]
        assert response.headers["traceparent"]
        assert router.scheduler.requests == []
        assert router.proxy.in_flight_count == 0


@pytest.mark.parametrize(
    ("life_cycle", "is_ready", "code"),
    [
        (LifeCycle.STARTING, True, "not_ready"),
        (LifeCycle.SERVING, False, "not_ready"),
        (LifeCycle.DRAINING, True, "draining"),
    ],
)
@pytest.mark.parametrize("path", [CHAT, "/services/swap/", "/v1/models"])
async def test_refused_while_not_serving(
    life_cycle: LifeCycle, is_ready: bool, code: str, path: str
) -> None:
    """Guards against requests at a router that is starting or stopping."""
    async with routed(ports=(9,)) as router:
        router.application.life_cycle = life_cycle
        router.configuration.is_ready = is_ready
        response = await router.client.post(path, headers=AUTHORIZED)
        assert (response.status_code, response.json()["error"]["code"]) == (
            503,
            code,
        )
        assert int(response.headers["retry-after"]) >= 1
        assert response.headers["connection"] == "close"


async def test_token_that_is_withdrawn_is_refused_at_once() -> None:
    """Guards against an access index of an outdated configuration."""
    async with routed(ports=(9,)) as router:
        documents: Any = router.configuration.documents_by_service
        for name, document in documents.items():
            documents[name] = replace(document, workspaces=())
        for listener in router.configuration.listeners:
            listener()
        router.proxy.apply_configuration()
        response = await router.chat()
        assert response.json()["error"]["code"] == "token_unknown"


async def test_model_list_shows_the_callers_models_only() -> None:
    async with routed(ports=(9,)) as router:
        response = await router.client.get("/v1/models", headers=AUTHORIZED)
        assert [item["id"] for item in response.json()["data"]] == ["small"]
        other = {"authorization": f"Bearer {OTHER_TOKEN}"}
        response = await router.client.get("/v1/models", headers=other)
        assert response.status_code == 401
