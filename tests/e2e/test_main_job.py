"""Test the main flows of the demo with real processes."""

import asyncio
import json
from typing import Any

import httpx
import openai
import pytest

from lacewingspar_standins.demo.small_fleet import (
    MODEL,
    SERVICE_PLAIN,
    SmallFleet,
)
from lacewingspar_standins.demo.verdict import (
    check_duplicates,
    check_not_run,
    check_responses,
    check_served,
    read_runs,
)
from lacewingspar_standins.fleet_settings import token_of
from lacewingspar_standins.load import run_load
from lacewingspar_standins.load_options import LoadOptions, WorkspaceLoad

pytestmark = pytest.mark.asyncio(loop_scope="module")

HEADERS = {"authorization": f"Bearer {token_of('alpha')}"}
MAX_TRIES = 100


def chat(marker: str, tokens: int) -> dict[str, Any]:
    return {
        "model": MODEL,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"marker={marker}"}],
    }


def check_stream(
    lines: list[str], marker: str, tokens: int, request_id: str
) -> None:
    """Check that a stream is complete and belongs to its request."""
    data = [line.removeprefix("data: ") for line in lines if line]
    assert data[-1] == "[DONE]"
    events = [json.loads(item) for item in data[:-1]]
    assert {event["id"] for event in events} == {request_id}
    texts = [event["choices"][0]["delta"].get("content") for event in events]
    expected = [f"{marker}:{number} " for number in range(tokens)]
    assert [text for text in texts if text] == expected
    assert events[-1]["usage"]["completion_tokens"] == tokens


def url_of(small_fleet: SmallFleet, router_id: str, path: str) -> str:
    return f"http://{small_fleet.plans[router_id].caller_address}{path}"


async def test_streamed_chat_response_is_complete(
    small_fleet: SmallFleet, http: httpx.AsyncClient
) -> None:
    """Guards against incomplete, mixed-up or malformed streams."""
    url = url_of(small_fleet, "east-router-1", "/v1/chat/completions")
    async with http.stream(
        "POST", url, json=chat("m1", 20), headers=HEADERS
    ) as response:
        assert response.status_code == 200
        assert response.headers["content-type"].startswith("text/event-stream")
        lines = [line async for line in response.aiter_lines()]
    check_stream(lines, "m1", 20, response.headers["x-request-id"])


@pytest.mark.parametrize("stream", [True, False])
async def test_stock_chat_client_works_unchanged(
    small_fleet: SmallFleet, stream: bool
) -> None:
    """Guards against responses that a common client cannot parse."""
    base_url = url_of(small_fleet, "west-router-1", "/v1")
    async with openai.AsyncOpenAI(
        base_url=base_url, api_key=token_of("alpha"), max_retries=0
    ) as client:
        assert [model.id async for model in client.models.list()] == [MODEL]
        marker = f"stock-{stream}"
        response: Any = await client.chat.completions.create(
            model=MODEL,
            max_tokens=5,
            stream=stream,
            messages=[{"role": "user", "content": f"marker={marker}"}],
        )
        if stream:
            texts = [
                part.choices[0].delta.content or "" async for part in response
            ]
        else:
            texts = [response.choices[0].message.content]
    expected = [f"{marker}:{number}" for number in range(5)]
    assert "".join(texts).split() == expected


async def test_stock_chat_client_reads_refusals(
    small_fleet: SmallFleet,
) -> None:
    base_url = url_of(small_fleet, "west-router-1", "/v1")
    async with openai.AsyncOpenAI(
        base_url=base_url, api_key="unknown", max_retries=0
    ) as client:
        with pytest.raises(openai.AuthenticationError) as raised:
            await client.models.list()
    body: Any = raised.value.body
    assert body["run"] == "not_run"


async def test_keyed_call_repeated_at_another_router_runs_once(
    small_fleet: SmallFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a second run when a caller switches routers."""
    headers = {**HEADERS, "idempotency-key": "order-1"}
    responses = []
    for router_id in ("east-router-1", "west-router-1"):
        url = url_of(small_fleet, router_id, f"/services/{SERVICE_PLAIN}/pay")
        for _ in range(MAX_TRIES):
            response = await http.post(url, json={"sum": 1}, headers=headers)
            # The other router may not have read the outcome yet.
            if response.status_code != 409:
                break
            assert response.json()["error"]["code"] == "in_progress"
            await asyncio.sleep(0.05)
        responses.append(response)
    first, second = responses
    assert first.status_code == second.status_code == 200
    assert second.json() == first.json()
    assert second.headers["idempotent-replayed"] == "true"
    runs = await read_runs(small_fleet)
    assert runs.by_key["alpha/order-1"] == 1


async def test_mixed_load_gets_correct_responses(
    small_fleet: SmallFleet,
) -> None:
    """Guards against duplicates, mixed-up responses and starvation."""
    options = LoadOptions(
        addresses=small_fleet.caller_addresses,
        workspaces=tuple(
            WorkspaceLoad(name=name, token=token_of(name), concurrency=count)
            for name, count in (("alpha", 4), ("beta", 2))
        ),
        max_requests=15,
        max_seconds=60,
        chat_share=0.5,
        keyed_share=0.5,
        model=MODEL,
        plain_path=f"/services/{SERVICE_PLAIN}/work",
        median_tokens=8,
    )
    result = await run_load(options)
    runs = await read_runs(small_fleet)
    for check in (
        check_responses(result),
        check_duplicates(result, runs),
        check_not_run(result, runs),
        check_served(result),
    ):
        assert check.failures == (), check.name
    assert result.count("ok") == 30


async def test_terminated_router_finishes_its_stream(
    small_fleet: SmallFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a graceful shutdown that aborts a stream."""
    router_id = "east-router-2"
    await small_fleet.add_router(router_id, "east")
    router = small_fleet.routers[router_id]
    url = url_of(small_fleet, router_id, "/v1/chat/completions")
    async with http.stream(
        "POST", url, json=chat("m2", 100), headers=HEADERS
    ) as response:
        lines = response.aiter_lines()
        received = [await anext(lines)]
        router.terminate()
        received += [line async for line in lines]
    check_stream(received, "m2", 100, response.headers["x-request-id"])
    assert await router.wait() == 0
    assert b"request cut by shutdown" not in router.log_file.read_bytes()
