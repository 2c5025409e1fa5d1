"""Control traffic, processor time and memory of routers."""

import asyncio
import os
import time
from pathlib import Path

import httpx
import msgspec

from lacewingspar_standins.bench.deployment import Deployment

METRIC_SENT_BYTES = "lacewingspar_peer_sent_bytes"
METRIC_RECEIVED_BYTES = "lacewingspar_peer_received_bytes"
_USER_TIME_FIELD = 13
_SYSTEM_TIME_FIELD = 14
_RESIDENT_PAGES_FIELD = 23


class RouterCounters(msgspec.Struct, frozen=True):
    """A reading of one router's counters.

    Attributes:
        at_seconds: Time of the reading.
        sent_bytes: Bytes sent to other routers, by message type.
        received_bytes: Bytes received from other routers, by message type.
        cpu_seconds: Processor time of the process.
        memory_bytes: Resident memory of the process.
    """

    at_seconds: float
    sent_bytes: dict[str, float]
    received_bytes: dict[str, float]
    cpu_seconds: float
    memory_bytes: int


class RouterFigures(msgspec.Struct, frozen=True):
    """Figures of one router.

    Attributes:
        sent_bytes_per_second: Control traffic sent.
        received_bytes_per_second: Control traffic received.
        sent_by_type: Control traffic sent by message type, in bytes a second.
        cpu_share: Processor time as a fraction of one core.
        memory_bytes: Resident memory at the end.
    """

    sent_bytes_per_second: float
    received_bytes_per_second: float
    sent_by_type: dict[str, float]
    cpu_share: float
    memory_bytes: int


async def read_router_counters(
    deployment: Deployment,
) -> dict[str, RouterCounters]:
    """Read the counters of the running routers, by router id."""
    counters: dict[str, RouterCounters] = {}
    async with httpx.AsyncClient(trust_env=False) as client:
        for plan in deployment.plans:
            router = deployment.routers[plan.router_id]
            if not router.is_running:
                continue
            response = await client.get(f"http://{plan.admin_address}/metrics")
            process = await asyncio.to_thread(read_process, router.process.pid)
            counters[plan.router_id] = RouterCounters(
                at_seconds=time.monotonic(),
                sent_bytes=metric_by_type(response.text, METRIC_SENT_BYTES),
                received_bytes=metric_by_type(
                    response.text, METRIC_RECEIVED_BYTES
                ),
                cpu_seconds=process[0],
                memory_bytes=process[1],
            )
    return counters


def router_figures(
    before: RouterCounters, after: RouterCounters
) -> RouterFigures:
    """Compute the figures between two readings."""
    seconds = after.at_seconds - before.at_seconds
    sent = _rates(before.sent_bytes, after.sent_bytes, seconds)
    received = _rates(before.received_bytes, after.received_bytes, seconds)
    return RouterFigures(
        sent_bytes_per_second=sum(sent.values()),
        received_bytes_per_second=sum(received.values()),
        sent_by_type=sent,
        cpu_share=(after.cpu_seconds - before.cpu_seconds) / seconds,
        memory_bytes=after.memory_bytes,
    )


def metric_by_type(page: str, name: str) -> dict[str, float]:
    """Return the sums of a metric by its label `type`."""
    values: dict[str, float] = {}
    for line in page.splitlines():
        if line.startswith(name + "{"):
            label = line.partition('type="')[2].partition('"')[0]
            value = float(line.rpartition(" ")[2])
            values[label] = values.get(label, 0.0) + value
    return values


def _rates(
    before: dict[str, float], after: dict[str, float], seconds: float
) -> dict[str, float]:
    return {
        name: (value - before.get(name, 0.0)) / seconds
        for name, value in after.items()
    }


def read_process(pid: int) -> tuple[float, int]:
    """Return processor time in seconds and resident memory in bytes."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The second field, the command in parentheses, may contain spaces.
    fields = ["", "", *text.rpartition(")")[2].split()]
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    cpu_seconds = ticks / os.sysconf("SC_CLK_TCK")
    pages = int(fields[_RESIDENT_PAGES_FIELD])
    return cpu_seconds, pages * os.sysconf("SC_PAGE_SIZE")
