"""Injects planned faults into a deployment and reverts them."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from lacewingspar_core.platform import Vm, VmList, VmState
from lacewingspar_standins.bench.deployment import Deployment, data_centre_of
from lacewingspar_standins.bench.fault_edits import (
    STATUS_ACCEPTED,
    Edit,
    async_conflicting_edits,
)
from lacewingspar_standins.bench.fault_plan import FaultKind, PlannedFault
from lacewingspar_standins.fleet_settings import RouterPlan
from lacewingspar_standins.process import StandInProcess

LEAVING_GRACE_SECONDS = 3.0
SLOW_LOG_DELAY_MS = 400.0
LOST_REPLIES_PERIOD_SECONDS = 0.3
EDITS_PERIOD_SECONDS = 1.0
# Exceeds the longest request of the load, including retries.
SHUTDOWN_LIMIT_SECONDS = 90.0
ABORT_LOG_EVENT = "request cut by shutdown"
POLL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class GracefulShutdown:
    """A graceful shutdown.

    Attributes:
        address: Caller address of the router.
        began_at: Wall clock at the signal, in seconds since the Unix epoch.
        ended_at: Wall clock at the end of the process.
    """

    address: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class FaultObservations:
    """Violations and shutdowns seen while injecting faults.

    Attributes:
        aborted_requests: Requests aborted by a graceful shutdown, and failed
            shutdowns.
        late_requests: Requests sent to a leaving upstream after the time limit.
        both_accepted: Pairs of conflicting edits that were both accepted.
        edits: All edits.
        shutdowns: Graceful shutdowns.
    """

    aborted_requests: list[str] = field(default_factory=list)
    late_requests: list[str] = field(default_factory=list)
    both_accepted: list[str] = field(default_factory=list)
    edits: list[Edit] = field(default_factory=list)
    shutdowns: list[GracefulShutdown] = field(default_factory=list)


class FaultInjector:
    """Injects faults and records what they reveal.

    Args:
        deployment: The deployment.
        seed: Seed of the edits.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.observed = FaultObservations()
        self._deployment = deployment
        self._generator = random.Random(f"edits/{seed}")
        self._plan_by_router = {p.router_id: p for p in deployment.plans}
        self._leaving: set[str] = set()
        self._action_by_kind: dict[
            FaultKind, Callable[[PlannedFault], Awaitable[None]]
        ] = {
            FaultKind.ROUTER_KILLED: self._router_killed,
            FaultKind.ROUTER_FROZEN: self._router_frozen,
            FaultKind.ROUTER_TERMINATED: self._router_terminated,
            FaultKind.DATA_CENTRE_ISOLATED: self._data_centre_isolated,
            FaultKind.PLATFORM_UNREACHABLE: self._platform_unreachable,
            FaultKind.LINKS_SILENT: self._links_silent,
            FaultKind.LOG_OUTAGE: self._log_outage,
            FaultKind.LOG_SLOW: self._log_slow,
            FaultKind.LOG_REPLIES_LOST: self._log_replies_lost,
            FaultKind.UPSTREAM_KILLED: self._upstream_killed,
            FaultKind.UPSTREAM_LEAVING: self._upstream_leaving,
            FaultKind.CONFLICTING_EDITS: self._conflicting_edits,
        }

    async def async_apply(self, fault: PlannedFault) -> None:
        """Inject a fault for its duration, then revert it."""
        await self._action_by_kind[fault.kind](fault)

    async def async_list_vms(self) -> None:
        """Publish the VM list."""
        vms = tuple(
            Vm(
                name,
                data_centre_of(name),
                VmState.LEAVING if name in self._leaving else VmState.LIVE,
            )
            for name in self._deployment.upstreams
        )
        await self._deployment.vms.put("/vms", VmList(vms))

    def _plan(self, fault: PlannedFault) -> RouterPlan:
        return self._plan_by_router[fault.target]

    async def _router_killed(self, fault: PlannedFault) -> None:
        router = self._deployment.routers[fault.target]
        router.kill()
        await router.wait()
        await asyncio.sleep(fault.seconds)
        await self._deployment.start_router(self._plan(fault))

    async def _router_frozen(self, fault: PlannedFault) -> None:
        router = self._deployment.routers[fault.target]
        router.stop()
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            router.resume()

    async def _router_terminated(self, fault: PlannedFault) -> None:
        router = self._deployment.routers[fault.target]
        lines_before = _find_abort_lines(
            router.log_file.read_text(errors="replace")
        )
        began_at = time.time()
        router.terminate()
        try:
            async with asyncio.timeout(SHUTDOWN_LIMIT_SECONDS):
                status = await router.wait()
        except TimeoutError:
            router.kill()
            status = await router.wait()
        address = self._plan(fault).caller_address
        self.observed.shutdowns.append(
            GracefulShutdown(address, began_at, time.time())
        )
        lines = _find_abort_lines(router.log_file.read_text(errors="replace"))
        self.observed.aborted_requests += lines[len(lines_before) :]
        if status != 0:
            self.observed.aborted_requests.append(
                f"{fault}: exit status {status}"
            )
        await asyncio.sleep(fault.seconds)
        await self._deployment.start_router(self._plan(fault))

    async def _data_centre_isolated(self, fault: PlannedFault) -> None:
        await self._deployment.set_data_centre_isolated(
            fault.target, isolated=True
        )
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            await self._deployment.set_data_centre_isolated(
                fault.target, isolated=False
            )

    async def _platform_unreachable(self, fault: PlannedFault) -> None:
        await self._deployment.set_platform_unreachable(
            fault.target, unreachable=True
        )
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            await self._deployment.set_platform_unreachable(
                fault.target, unreachable=False
            )

    async def _links_silent(self, fault: PlannedFault) -> None:
        """Silently drop the traffic of a data centre's open connections."""
        for names, link in self._deployment.links.items():
            if fault.target in names:
                await link.inject(silent=True)
        await asyncio.sleep(fault.seconds)

    async def _log_outage(self, fault: PlannedFault) -> None:
        await self._deployment.log.inject(outage=True)
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            await self._deployment.log.inject(outage=False)

    async def _log_slow(self, fault: PlannedFault) -> None:
        log = self._deployment.log
        await log.inject(
            delay_ms=SLOW_LOG_DELAY_MS, reply_delay_ms=SLOW_LOG_DELAY_MS
        )
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            await log.inject(delay_ms=0, reply_delay_ms=0)

    async def _log_replies_lost(self, fault: PlannedFault) -> None:
        ends_at = time.monotonic() + fault.seconds
        try:
            while time.monotonic() < ends_at:
                await self._deployment.log.inject(lose_replies=2)
                await asyncio.sleep(LOST_REPLIES_PERIOD_SECONDS)
        finally:
            await self._deployment.log.inject(lose_replies=0)

    async def _upstream_killed(self, fault: PlannedFault) -> None:
        upstream = self._deployment.upstreams[fault.target]
        upstream.kill()
        await upstream.wait()
        await asyncio.sleep(fault.seconds)
        await self._deployment.start_upstream(fault.target)

    async def _upstream_leaving(self, fault: PlannedFault) -> None:
        upstream = self._deployment.upstreams[fault.target]
        self._leaving.add(fault.target)
        await self.async_list_vms()
        try:
            await self._async_wait_listed(fault.target)
            await asyncio.sleep(LEAVING_GRACE_SECONDS)
            before = await _async_count_received(upstream)
            await asyncio.sleep(fault.seconds)
            after = await _async_count_received(upstream)
        finally:
            self._leaving.discard(fault.target)
            await self.async_list_vms()
        if after > before:
            self.observed.late_requests.append(
                f"{fault}: {after - before} requests later than "
                f"{LEAVING_GRACE_SECONDS:.0f} s"
            )

    async def _async_wait_listed(self, name: str) -> None:
        """Wait until the VM list shows that a VM is leaving."""
        while True:
            response = await self._deployment.vms.get("/vms")
            vms = msgspec.convert(response, VmList).vms
            if any(v.name == name and v.state is VmState.LEAVING for v in vms):
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _conflicting_edits(self, fault: PlannedFault) -> None:
        ends_at = time.monotonic() + fault.seconds
        while time.monotonic() < ends_at:
            edits = await async_conflicting_edits(
                self._deployment, self._generator
            )
            accepted = [e for e in edits if e.status == STATUS_ACCEPTED]
            if len(accepted) > 1:
                self.observed.both_accepted.append(str(accepted))
            self.observed.edits += edits
            await asyncio.sleep(EDITS_PERIOD_SECONDS)


def _find_abort_lines(text: str) -> list[str]:
    return [line for line in text.splitlines() if ABORT_LOG_EVENT in line]


async def _async_count_received(upstream: StandInProcess) -> int:
    """Return the number of requests that an upstream has received."""
    path = "/stats" if upstream.name.startswith("engine") else "/_runs"
    return msgspec.convert((await upstream.get(path))["arrived"], int)
