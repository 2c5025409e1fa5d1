"""Benchmark `bodies`: memory of a router that receives large bodies at once."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from typing import Annotated

import msgspec
import typer

from lacewingspar_standins.bench.process_usage import (
    peak_resident_bytes,
    resident_bytes,
)
from lacewingspar_standins.deployed.documents import (
    LIMITS,
    manifest,
    request_bytes,
    route,
    upstream_entry,
)
from lacewingspar_standins.deployed.store import PlatformStore, StoreFaults
from lacewingspar_standins.deployed.upstream import Upstream
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.server import running, split_address

MEGABYTE = 1_000_000
READY_SECONDS = 30.0
TIMEOUT_MS = 10_000
PATH = "/write/"
UPSTREAMS = 2
# Longer than it takes to receive the bodies, so that all are held together.
RUN_SECONDS = 1.0


def main(
    bodies: Annotated[int, typer.Option(help="Number of requests.")] = 20,
    megabytes: Annotated[int, typer.Option(help="Size of each body.")] = 4,
) -> None:
    """Measure the peak memory of a router that gets large bodies at once."""
    typer.echo(asyncio.run(async_measure(bodies, megabytes * MEGABYTE)))


async def async_measure(bodies: int, body_bytes: int) -> str:
    """Return the memory of a router and the responses of the requests."""
    async with AsyncExitStack() as stack, Fleet() as fleet:
        store = PlatformStore(StoreFaults())
        store_address = await stack.enter_async_context(
            running(store, fleet.host)
        )
        limits = LIMITS | {"maxBodyBytes": body_bytes}
        routes = [
            route(PATH, "non_idempotent", "plain", timeoutMs=TIMEOUT_MS),
        ]
        document = manifest(limits=limits, routes=routes)
        store.topic("keyed.op").append("config", msgspec.json.encode(document))
        for number in range(UPSTREAMS):
            upstream = Upstream(
                f"p{number}", response_delay_seconds=RUN_SECONDS
            )
            await upstream.async_start(fleet.host)
            stack.push_async_callback(upstream.async_stop)
            entry = upstream_entry("plain", upstream.address, number + 1)
            store.topic("keyed.servers").append(
                upstream.upstream_id, msgspec.json.encode(entry)
            )
        plan = fleet.plan_router("r0", "dc-a")
        url = f"http://{store_address}"
        router = await fleet.start_router(
            plan,
            log_url=url,
            vms_url=url,
            platform={"metrics_address": fleet.reserve_address()},
        )
        await router.wait_ready(plan.admin_address, READY_SECONDS, "/readyz")
        before = resident_bytes(router.process.pid)
        statuses = await asyncio.gather(
            *(
                _async_call(plan.caller_address, f"b{number}", body_bytes)
                for number in range(bodies)
            )
        )
        peak = peak_resident_bytes(router.process.pid)
    return (
        f"{bodies} bodies of {body_bytes / MEGABYTE:.1f} MB at once: "
        f"router at {before / MEGABYTE:.0f} MB, peak {peak / MEGABYTE:.0f} MB; "
        f"responses by status {dict(Counter(statuses))}"
    )


async def _async_call(address: str, request_id: str, body_bytes: int) -> int:
    """Send a request; return its status, or 0 without a response."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        writer.write(
            request_bytes(PATH, request_id, TIMEOUT_MS, bytes(body_bytes))
        )
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    except ConnectionError:
        return 0
    finally:
        writer.close()
