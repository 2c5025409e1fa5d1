"""Samples of what routers and upstreams report during the load."""

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import httpx

from lacewingspar_standins.demo.small_fleet import SmallFleet
from lacewingspar_standins.fleet_settings import ADMIN_TOKEN, RouterPlan

SAMPLE_SECONDS = 0.25
READY_POLL_SECONDS = 0.1
SENT_BYTES_METRIC = "lacewingspar_peer_sent_bytes"


@dataclass(slots=True)
class Sample:
    """State of the fleet at one moment.

    Attributes:
        at: Monotonic clock in seconds.
        served: Served slot-seconds by service and workspace, over all routers.
        waiting: Waiting requests by service and workspace.
        slots: Slots of the running upstreams by service.
        used: Slots in use by service, as reported by the upstreams.
        sent_bytes: Control bytes that each router has sent.
    """

    at: float
    served: dict[str, Counter[str]] = field(default_factory=dict)
    waiting: dict[str, Counter[str]] = field(default_factory=dict)
    slots: Counter[str] = field(default_factory=Counter)
    used: Counter[str] = field(default_factory=Counter)
    sent_bytes: dict[str, int] = field(default_factory=dict)


class Sampler:
    """Reads samples until cancelled.

    Args:
        small_fleet: The fleet.

    Attributes:
        samples: Samples read so far.
        ready_addresses: Caller addresses of the ready routers, or the last
            ones if none is ready.
    """

    def __init__(self, small_fleet: SmallFleet) -> None:
        self.samples: list[Sample] = []
        self.ready_addresses = list(small_fleet.caller_addresses)
        self._small_fleet = small_fleet
        self._accounts_by_router: dict[str, dict[str, Any]] = {}
        self._client = httpx.AsyncClient(timeout=2.0, trust_env=False)

    async def run(self) -> None:
        """Read samples and readiness until cancelled."""
        async with self._client, asyncio.TaskGroup() as group:
            group.create_task(self._watch_ready())
            while True:
                self.samples.append(await self._sample())
                await asyncio.sleep(SAMPLE_SECONDS)

    async def _watch_ready(self) -> None:
        """Poll which routers are ready, like the platform's balancer."""
        plans = self._small_fleet.plans.values()
        while True:
            ready = await asyncio.gather(*(self._is_ready(p) for p in plans))
            addresses = [
                plan.caller_address
                for plan, is_ready in zip(plans, ready, strict=True)
                if is_ready
            ]
            # Without a ready router, keep the last addresses, so that requests
            # still get a response or a connection error.
            self.ready_addresses = addresses or self.ready_addresses
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _is_ready(self, plan: RouterPlan) -> bool:
        response = await self._get(f"http://{plan.admin_address}/ready")
        return response is not None and response.status_code == 200

    async def _sample(self) -> Sample:
        sample = Sample(time.monotonic())
        plans = self._small_fleet.plans
        upstreams = self._small_fleet.upstreams
        await asyncio.gather(
            *(self._add_router(sample, name) for name in plans),
            *(self._add_upstream(sample, *key) for key in upstreams),
        )
        for accounts in self._accounts_by_router.values():
            for service, served in accounts.items():
                of_service = sample.served.setdefault(service, Counter())
                for workspace, seconds in served.items():
                    of_service[workspace] += seconds
        return sample

    async def _add_router(self, sample: Sample, router_id: str) -> None:
        base = f"http://{self._small_fleet.plans[router_id].admin_address}"
        accounts = await self._get(f"{base}/v1/accounts")
        status = await self._get(f"{base}/v1/status")
        metrics = await self._get(f"{base}/metrics")
        if accounts is None or status is None or metrics is None:
            return
        # Kept after the router ends, because its accounts still count.
        self._accounts_by_router[router_id] = accounts.json()["accounts"]
        for service, state in status.json()["scheduler"].items():
            waiting = sample.waiting.setdefault(service, Counter())
            waiting.update(state["waiting_here"])
        for line in metrics.text.splitlines():
            name, _, value = line.rpartition(" ")
            if name.partition("{")[0] == SENT_BYTES_METRIC:
                # Sums the lines of all message types.
                previous = sample.sent_bytes.get(router_id, 0)
                sample.sent_bytes[router_id] = previous + int(float(value))

    async def _add_upstream(
        self, sample: Sample, service: str, upstream_id: str
    ) -> None:
        standin = self._small_fleet.upstreams[(service, upstream_id)]
        if not standin.is_running:
            return
        response = await self._get(f"{standin.url}/load")
        if response is None:
            return
        sample.slots[service] += self._small_fleet.slots_of(service)
        sample.used[service] += response.json()["running"]

    async def _get(self, url: str) -> httpx.Response | None:
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        with contextlib.suppress(httpx.TransportError):
            return await self._client.get(url, headers=headers)
        return None


def fairness_gap(
    samples: list[Sample], service: str, weights: dict[str, float]
) -> float | None:
    """Return the largest difference in weighted service of two workspaces.

    Only periods in which both workspaces always had waiting requests count.

    Returns:
        The gap in weighted slot-seconds, or None if no two workspaces were
        backlogged together.
    """
    gap: float | None = None
    names = sorted(weights)
    for number, first in enumerate(names):
        for second in names[number + 1 :]:
            pair = (first, second)
            for period in _backlogged_periods(samples, service, pair):
                differences = [
                    sample.served[service][first] / weights[first]
                    - sample.served[service][second] / weights[second]
                    for sample in period
                ]
                spread = max(differences) - min(differences)
                gap = spread if gap is None else max(gap, spread)
    return gap


def utilisation(samples: list[Sample], service: str) -> float | None:
    """Return the fraction of slots in use while work waited, or None."""
    used = slots = 0
    for before, sample in itertools.pairwise(samples):
        is_backlogged = all(
            sum(item.waiting.get(service, Counter()).values())
            for item in (before, sample)
        )
        if is_backlogged:
            used += min(sample.used[service], sample.slots[service])
            slots += sample.slots[service]
    return used / slots if slots else None


def control_bytes_per_second(samples: list[Sample]) -> dict[str, float]:
    """Return the control bytes that each router sent per second."""
    first_by_router: dict[str, tuple[float, int]] = {}
    rate_by_router: dict[str, float] = {}
    for sample in samples:
        for router_id, sent in sample.sent_bytes.items():
            first_at, first_sent = first_by_router.setdefault(
                router_id, (sample.at, sent)
            )
            if sample.at > first_at:
                rate_by_router[router_id] = (sent - first_sent) / (
                    sample.at - first_at
                )
    return rate_by_router


def _backlogged_periods(
    samples: list[Sample], service: str, pair: tuple[str, str]
) -> list[list[Sample]]:
    """Return runs of samples in which both workspaces were backlogged."""
    periods: list[list[Sample]] = [[]]
    for sample in samples:
        waiting = sample.waiting.get(service, Counter())
        if service in sample.served and all(waiting[name] for name in pair):
            periods[-1].append(sample)
        elif periods[-1]:
            periods.append([])
    return [period for period in periods if len(period) > 1]
