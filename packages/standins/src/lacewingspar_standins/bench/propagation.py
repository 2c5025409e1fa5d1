"""Benchmark `propagation`: time until an edit is active at every router."""

import asyncio
import statistics
import time
from dataclasses import replace
from typing import Annotated

import httpx
import typer

from lacewingspar_standins.bench.deployment import (
    SERVICE_CHAT,
    SHAPES_BY_NAME,
    Deployment,
    deployed,
)
from lacewingspar_standins.fleet_settings import ADMIN_TOKEN, workspace_entry

STEP_MS = 10.0
POLL_SECONDS = 0.005
# Exceeds the propagation time that operators are promised.
PROPAGATION_TIMEOUT_SECONDS = 30.0


def main(
    deployment: Annotated[str, typer.Option(help="a or b")] = "b",
    edits: Annotated[int, typer.Option(help="Number of edits.")] = 20,
    cut_platform: Annotated[
        bool,
        typer.Option(help="Disconnect the last data centre from the platform."),
    ] = False,
) -> None:
    """Measure how long an accepted edit takes to be active everywhere."""
    times = asyncio.run(async_propagation(deployment, edits, cut_platform))
    typer.echo(
        f"{len(times)} edits, deployment {deployment}, "
        f"last data centre cut off from the platform: {cut_platform}; "
        f"active everywhere after median {statistics.median(times):.3f} s, "
        f"longest {max(times):.3f} s"
    )


async def async_propagation(
    name: str, edits: int, cut_platform: bool
) -> list[float]:
    """Return the seconds from publication until active at all routers."""
    shape = SHAPES_BY_NAME[name]
    workspaces = (workspace_entry("ws-01"),)
    async with (
        deployed(shape, workspaces, step_ms=STEP_MS) as deployment,
        httpx.AsyncClient(
            headers={"authorization": f"Bearer {ADMIN_TOKEN}"}, trust_env=False
        ) as client,
    ):
        if cut_platform:
            await deployment.set_platform_unreachable(
                shape.data_centres[-1], unreachable=True
            )
        return [
            await _async_edit(deployment, client, number)
            for number in range(edits)
        ]


async def _async_edit(
    deployment: Deployment, client: httpx.AsyncClient, number: int
) -> float:
    """Publish an edit and wait until it is active everywhere."""
    admin = deployment.plans[0].admin_address
    response = await client.get(f"http://{admin}/v1/services/{SERVICE_CHAT}")
    weight = 1.0 + number / 100
    document = replace(
        deployment.documents[SERVICE_CHAT],
        workspaces=(workspace_entry("ws-01", weight=weight),),
    )
    started_at = time.monotonic()
    accepted = await deployment.fleet.publish(
        admin, document, response.json()["version"]
    )
    async with asyncio.timeout(PROPAGATION_TIMEOUT_SECONDS):
        await asyncio.gather(
            *(
                _async_wait_for(client, plan.admin_address, accepted["version"])
                for plan in deployment.plans
            )
        )
    return time.monotonic() - started_at


async def _async_wait_for(
    client: httpx.AsyncClient, admin: str, version: int
) -> None:
    url = f"http://{admin}/v1/services/{SERVICE_CHAT}"
    while True:
        response = await client.get(url)
        if response.json()["version"] >= version:
            return
        await asyncio.sleep(POLL_SECONDS)
