"""Test failures of real processes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
import pytest
from tests.e2e.conftest import WAIT_TIMEOUT_SECONDS

from lacewingspar_core.documents import dump_document
from lacewingspar_standins.bench.deployment import SERVICE_CHAT
from lacewingspar_standins.bench.fault_edits import (
    admin_client,
    read_versions,
)


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.05)


async def test_call_of_a_killed_router_never_runs_again(caller: Any) -> None:
    """Guards against a second run after the first router was killed."""
    async with caller() as fleet:
        first = asyncio.create_task(fleet.call(0, "k", work_ms=1000))

        async def has_run() -> bool:
            return await fleet.runs("k") == 1

        await wait_until(has_run)
        plan = fleet.deployment.plans[0]
        fleet.deployment.routers[plan.router_id].kill()
        with pytest.raises(httpx.TransportError):
            await first
        codes: list[str] = []

        async def is_unknown() -> bool:
            response = await fleet.call(1, "k")
            error = response.json()["error"]
            assert (response.status_code, error["run"]) == (409, "unknown")
            codes.append(error["code"])
            return codes[-1] == "outcome_unknown"

        await wait_until(is_unknown)
        assert set(codes) <= {"in_progress", "outcome_unknown"}
        assert (await fleet.call(2, "k")).status_code == 409
        assert await fleet.runs("k") == 1


async def test_log_outage_refuses_only_calls_with_a_key(caller: Any) -> None:
    """Guards against wrong run states and unused engines in a log outage."""
    async with caller() as fleet:
        await fleet.deployment.log.inject(outage=True)
        for router in range(3):
            response = await fleet.call(router, "k")
            error = response.json()["error"]
            assert response.status_code == 503
            assert error["code"] == "claims_unavailable"
            assert error["run"] == "not_run"
            assert int(response.headers["retry-after"]) >= 1
            assert (await fleet.chat(router)).status_code == 200
            assert (await fleet.call(router, None)).status_code == 200
        assert await fleet.runs("k") == 0
        await fleet.deployment.log.inject(outage=False)

        async def succeeds() -> bool:
            return (await fleet.call(0, "k")).status_code == 200

        await wait_until(succeeds)
        assert await fleet.runs("k") == 1


async def test_lost_append_reply_leaves_one_run(caller: Any) -> None:
    """Guards against losing or duplicating a claim after a lost reply."""
    async with caller() as fleet:
        log = fleet.deployment.log
        # Delays reads, so that the router notices the lost reply before it
        # reads the claim back.
        await log.inject(lose_replies=2, read_delay_ms=300)
        first = await fleet.call(0, "k")
        assert first.status_code == 200

        async def is_replayed() -> bool:
            response = await fleet.call(2, "k")
            if response.status_code == 200:
                assert response.content == first.content
            return response.status_code == 200

        await wait_until(is_replayed)
        assert (await log.get("/faults"))["lose_replies"] == 0
        assert await fleet.runs("k") == 1


async def test_configuration_reaches_all_and_survives(caller: Any) -> None:
    """Guards against routers that miss or lose an accepted edit.

    One data centre cannot reach the platform, and one of its routers restarts
    during a log outage.
    """
    async with caller() as fleet, admin_client(5.0) as client:
        deployment = fleet.deployment
        document = dump_document(deployment.documents[SERVICE_CHAT])
        document["workspaces"][0]["queue_limit"] = 7
        first, *_, remote = deployment.plans
        versions = await read_versions(client, first)
        await deployment.set_platform_unreachable(
            remote.data_centre, unreachable=True
        )
        url = f"http://{first.admin_address}/v1/services/{SERVICE_CHAT}"
        body = {
            "edit_id": "edit",
            "base_version": versions[SERVICE_CHAT],
            "author": "operator",
            "document": document,
        }
        response = await client.put(url, json=body)
        assert response.status_code == 200
        version = response.json()["version"]

        async def is_active(plan: Any) -> bool:
            found = await read_versions(client, plan)
            return found is not None and found[SERVICE_CHAT] == version

        for plan in deployment.plans:
            await wait_until(lambda plan=plan: is_active(plan))
        await deployment.log.inject(outage=True)
        router = deployment.routers[remote.router_id]
        router.kill()
        await router.wait()
        router = await deployment.start_router(remote)
        await router.wait_ready(remote.admin_address, WAIT_TIMEOUT_SECONDS)
        assert await is_active(remote)
