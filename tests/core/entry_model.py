"""Simulation of the entry VMs of a data centre, their callers and a pool.

Callers open connections through the platform's load balancer, which chooses a
VM by a hash of the caller. A VM has a fraction of a CPU core; its backlog of
work delays its event loop.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.decline_cache import DeclineCache
from lacewingspar_core.hand_over import (
    HandOverController,
    Neighbour,
    NeighbourLoads,
)
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.router_concurrency_limit import RouterConcurrencyLimit

TICK_SECONDS = 0.01
SAMPLE_SECONDS = 0.1
PROCESSOR_SHARE = 0.516
# CPU time of one connection, refusal, request and stream event, from
# docs/incidents/callers-find-no-connection.md and docs/proof.md.
ACCEPT_SECONDS = 170e-6
REFUSE_SECONDS = 94e-6
BEGIN_SECONDS = 2e-3
EVENT_SECONDS = 80e-6
# CPU time at this VM for a request that is handed over to another VM.
RELAY_BEGIN_SECONDS = 0.7e-3
RELAY_EVENT_SECONDS = 40e-6
EVENTS = 24
EVENT_INTERVAL_SECONDS = 0.045
# Range of the Retry-After of a full VM; a caller makes at most two attempts.
RETRY_SECONDS = (0.8, 1.6)
# Requests that the engines start per second; above that rate each workspace
# gets an equal share.
POOL_REQUESTS_PER_SECOND = 300
POOL_BURST = 30
# CPU time of a burst. Streams that break off have delayed the event loops of
# idle VMs by 20 to 70 ms.
BURST_SECONDS = 25e-3
# CPU time of a request that the pool declines.
DECLINE_SECONDS = 1e-3


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its load.

    Attributes:
        name: Name of the workspace.
        requests_per_second: Rate of requests, not counting retries.
        hashes: Hash keys of its callers at the load balancer.
    """

    name: str
    requests_per_second: float
    hashes: tuple[str, ...]


@dataclass(order=True, slots=True)
class _Work:
    due_at: float
    seconds: float
    workspace: str
    is_last: bool
    neighbour_vm: str


@dataclass(slots=True)
class EntryVm:
    """An entry VM that uses the router's admission and hand-over logic."""

    name: str
    limit: RouterConcurrencyLimit = field(
        default_factory=lambda: RouterConcurrencyLimit(PROCESSOR_SHARE)
    )
    backlog_seconds: float = 0.0
    streams: list[_Work] = field(default_factory=list)
    decline_cache: DeclineCache = field(
        default_factory=lambda: DeclineCache(random.Random(1).uniform)
    )
    controller: HandOverController = field(default_factory=HandOverController)
    neighbours: NeighbourLoads = field(default_factory=NeighbourLoads)

    def try_accept(
        self, workspace: str, others: Sequence["EntryVm"], now: float
    ) -> bool:
        """Accept a request of a workspace if possible, and return whether."""
        if not self.limit.try_acquire(workspace):
            return False
        if self.controller.should_hand_over_next():
            vm_by_name = {
                vm.name: vm for vm in others if not vm.controller.is_busy
            }
            neighbour = self.neighbours.choose(
                [Neighbour(RouterInstance(name, 1)) for name in vm_by_name],
                now,
            )
            if neighbour is not None:
                neighbour_vm = vm_by_name[neighbour.router_id]
                if neighbour_vm.limit.try_acquire(workspace):
                    self._begin_relay(workspace, neighbour_vm, now)
                    return True
                self.neighbours.exclude(neighbour_vm.name, now)
        self.backlog_seconds += BEGIN_SECONDS
        self._add_stream(workspace, EVENT_SECONDS, "", now)
        return True

    def _begin_relay(
        self, workspace: str, neighbour_vm: "EntryVm", now: float
    ) -> None:
        self.neighbours.begin(neighbour_vm.name)
        self.backlog_seconds += RELAY_BEGIN_SECONDS
        self._add_stream(workspace, RELAY_EVENT_SECONDS, neighbour_vm.name, now)
        neighbour_vm.backlog_seconds += BEGIN_SECONDS
        neighbour_vm._add_stream(workspace, EVENT_SECONDS, "", now)

    def _add_stream(
        self, workspace: str, seconds: float, neighbour_vm: str, now: float
    ) -> None:
        for number in range(1, EVENTS + 1):
            work = _Work(
                now + number * EVENT_INTERVAL_SECONDS,
                seconds,
                workspace,
                number == EVENTS,
                neighbour_vm,
            )
            heapq.heappush(self.streams, work)

    def advance(self, now: float) -> None:
        """Process the work of one tick."""
        while self.streams and self.streams[0].due_at <= now:
            work = heapq.heappop(self.streams)
            self.backlog_seconds += work.seconds
            if work.is_last:
                self.limit.release(work.workspace)
                if work.neighbour_vm:
                    self.neighbours.end(work.neighbour_vm)
        done = PROCESSOR_SHARE * TICK_SECONDS
        self.backlog_seconds = max(0.0, self.backlog_seconds - done)

    def sample(self) -> None:
        """Record the simulated delay of the event loop."""
        delay = self.backlog_seconds / PROCESSOR_SHARE
        self.limit.record_loop_delay(delay)
        self.controller.record_loop_delay(delay)


class Pool:
    """Engines that give each workspace an equal share when they are full.

    Args:
        workspaces: Names of the workspaces.
    """

    def __init__(self, workspaces: Sequence[str]) -> None:
        self._room = 0.0
        self._room_by_workspace = dict.fromkeys(workspaces, 0.0)
        self._filled_at = 0.0

    def grants(self, workspace: str, now: float) -> bool:
        """Start a request of a workspace if possible, and return whether."""
        gained = POOL_REQUESTS_PER_SECOND * (now - self._filled_at)
        self._filled_at = now
        own = self._room_by_workspace
        self._room = min(POOL_BURST, self._room + gained)
        for name in own:
            own[name] = min(POOL_BURST, own[name] + gained / len(own))
        if self._room < 1 and own[workspace] < 1:
            return False
        self._room = max(0.0, self._room - 1)
        own[workspace] = max(0.0, own[workspace] - 1)
        return True


class DataCentre:
    """Entry VMs, load balancer and callers of one data centre.

    Attributes:
        sent: Requests by second and workspace, not counting retries.
        served: Accepted requests by second and workspace.

    Args:
        vms: Number of entry VMs.
        workspaces: Workspaces with callers in the data centre.
    """

    def __init__(self, vms: int, workspaces: Sequence[Workspace]) -> None:
        self.vms = [EntryVm(f"vm-{number}") for number in range(vms)]
        self.sent: dict[int, Counter[str]] = {}
        self.served: dict[int, Counter[str]] = {}
        self._workspaces = workspaces
        self._pool = Pool([item.name for item in workspaces])
        self._random = random.Random(1)
        self._credit: dict[str, float] = {}
        self._retries: list[tuple[float, int, Workspace, str]] = []
        self._sequence = itertools.count()

    def run(self, seconds: float, burst_at: float = math.inf) -> None:
        """Simulate a number of seconds.

        Args:
            seconds: Length of the simulation.
            burst_at: Time at which all VMs get a burst of work at once, such as
                when the streams of several upstreams break off.
        """
        for tick in range(round(seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            if burst_at <= now < burst_at + TICK_SECONDS:
                for vm in self.vms:
                    vm.backlog_seconds += BURST_SECONDS
            for workspace in self._workspaces:
                self._ask(workspace, now)
            while self._retries and self._retries[0][0] <= now:
                _, _, workspace, caller = heapq.heappop(self._retries)
                self._try(self._new_connection(caller), workspace, now)
            for vm in self.vms:
                vm.advance(now)
                if tick % round(SAMPLE_SECONDS / TICK_SECONDS) == 0:
                    vm.sample()

    def min_share(self, workspace: str, window: int, start: int) -> float:
        """Return the smallest share of a workspace over all time windows.

        The share is the ratio of its served requests to the smaller of its
        sent requests and the served requests of the best served workspace.

        Args:
            workspace: Name of the workspace.
            window: Length of a window in seconds.
            start: First second of the first window.
        """
        shares = []
        for first in range(start, max(self.served) - window + 2):
            seconds = range(first, first + window)
            got = sum(self.served[second][workspace] for second in seconds)
            credit = sum(
                min(
                    self.sent[second][workspace],
                    max(self.served[second].values()),
                )
                for second in seconds
            )
            shares.append(got / credit)
        return min(shares)

    def _ask(self, workspace: Workspace, now: float) -> None:
        credit = self._credit.get(workspace.name, 0.0)
        credit += workspace.requests_per_second * TICK_SECONDS
        self._credit[workspace.name] = credit % 1
        for _ in range(int(credit)):
            self.sent.setdefault(int(now), Counter())[workspace.name] += 1
            caller = self._random.choice(workspace.hashes)
            # First attempts use connections that are already open.
            vm = self._ranked(caller)[0]
            if not self._try(vm, workspace, now):
                at = now + self._random.uniform(*RETRY_SECONDS)
                number = next(self._sequence)
                heapq.heappush(self._retries, (at, number, workspace, caller))

    def _try(self, vm: EntryVm, workspace: Workspace, now: float) -> bool:
        served = self.served.setdefault(int(now), Counter())
        cached_retry_after = vm.decline_cache.retry_after(
            workspace.name, "", 1.0, now
        )
        if cached_retry_after is not None or not vm.limit.has_room(
            workspace.name
        ):
            vm.backlog_seconds += REFUSE_SECONDS
            return False
        if not self._pool.grants(workspace.name, now):
            vm.backlog_seconds += DECLINE_SECONDS
            vm.decline_cache.record(workspace.name, "", 1.0, now)
            return False
        others = [item for item in self.vms if item is not vm]
        if not vm.try_accept(workspace.name, others, now):
            return False
        served[workspace.name] += 1
        return True

    def _new_connection(self, caller: str) -> EntryVm:
        vm = self._ranked(caller)[0]
        vm.backlog_seconds += ACCEPT_SECONDS
        return vm

    def _ranked(self, caller: str) -> list[EntryVm]:
        return sorted(
            self.vms,
            key=lambda vm: xxhash.xxh64_intdigest(
                f"{caller}/{vm.name}".encode()
            ),
        )
