"""Model of the entry VMs of a data centre, their callers and a pool.

Time is simulated. Callers open connections through the platform's balancer,
which chooses by a hash of the caller among the VMs that are ready. A VM has a
fraction of a processor; work that it has taken and not done delays its event
loop.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.entry_limit import EntryLimit

TICK_SECONDS = 0.01
SAMPLE_SECONDS = 0.1
PROCESSOR_SHARE = 0.516
# Processor time of one connection, refusal, request and event of a stream:
# docs/incidents/callers-find-no-connection.md and docs/proof.md.
ACCEPT_SECONDS = 170e-6
REFUSE_SECONDS = 94e-6
BEGIN_SECONDS = 2e-3
EVENT_SECONDS = 80e-6
EVENTS = 24
EVENT_INTERVAL_SECONDS = 0.045
# Retry-After of a VM without room; a caller tries twice at most.
RETRY_SECONDS = (0.8, 1.6)
# Requests that the engines begin in a second; beyond it each workspace gets its
# even share.
POOL_REQUESTS_PER_SECOND = 300
# The platform asks each VM once a second, and takes one that was not ready
# twice out of rotation.
POLL_SECONDS = 1.0
MISSES = 2


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its load.

    Attributes:
        name: Name of the workspace.
        requests_per_second: Requests without repeats.
        hashes: Values of the balancer's hash that its callers have.
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


@dataclass(slots=True)
class EntryVm:
    """An entry VM with the decisions of a router."""

    name: str
    limit: EntryLimit = field(
        default_factory=lambda: EntryLimit(PROCESSOR_SHARE)
    )
    backlog_seconds: float = 0.0
    misses: int = 0
    streams: list[_Work] = field(default_factory=list)

    @property
    def is_ready(self) -> bool:
        """Return what the VM answers the balancer."""
        return True

    def offer(self, workspace: str, now: float) -> bool:
        """Return whether a request of a workspace is taken."""
        if not self.limit.begin(workspace):
            self.backlog_seconds += REFUSE_SECONDS
            return False
        self.backlog_seconds += BEGIN_SECONDS
        for number in range(1, EVENTS + 1):
            work = _Work(
                now + number * EVENT_INTERVAL_SECONDS,
                EVENT_SECONDS,
                workspace,
                number == EVENTS,
            )
            heapq.heappush(self.streams, work)
        return True

    def advance(self, now: float) -> None:
        """Do the work of one tick."""
        while self.streams and self.streams[0].due_at <= now:
            work = heapq.heappop(self.streams)
            self.backlog_seconds += work.seconds
            if work.is_last:
                self.limit.end(work.workspace)
        done = PROCESSOR_SHARE * TICK_SECONDS
        self.backlog_seconds = max(0.0, self.backlog_seconds - done)

    def sample(self, now: float) -> None:
        """Measure the delay of the event loop."""
        del now
        self.limit.note_delay(self.backlog_seconds / PROCESSOR_SHARE)


class DataCentre:
    """Entry VMs, balancer and callers of one data centre.

    Attributes:
        asked: Requests by second and workspace, without repeats.
        served: Requests taken by second and workspace.

    Args:
        vms: Number of entry VMs.
        workspaces: Workspaces whose callers are here.
    """

    def __init__(self, vms: int, workspaces: Sequence[Workspace]) -> None:
        self.vms = [EntryVm(f"vm-{number}") for number in range(vms)]
        self.asked: dict[int, Counter[str]] = {}
        self.served: dict[int, Counter[str]] = {}
        self._workspaces = workspaces
        self._random = random.Random(1)
        self._owed: dict[str, float] = {}
        self._returns: list[tuple[float, int, Workspace, str]] = []
        self._numbers = itertools.count()

    def run(self, seconds: float) -> None:
        """Play some seconds."""
        for tick in range(round(seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            if tick % round(POLL_SECONDS / TICK_SECONDS) == 0:
                for vm in self.vms:
                    vm.misses = 0 if vm.is_ready else vm.misses + 1
            for workspace in self._workspaces:
                self._ask(workspace, now)
            while self._returns and self._returns[0][0] <= now:
                _, _, workspace, caller = heapq.heappop(self._returns)
                self._try(self._new_connection(caller), workspace, now)
            for vm in self.vms:
                vm.advance(now)
                if tick % round(SAMPLE_SECONDS / TICK_SECONDS) == 0:
                    vm.sample(now)

    def least_share(self, workspace: str, window: int, start: int) -> float:
        """Return the smallest share of a workspace in some seconds in a row.

        It is what the workspace got, as a part of what it asked or of what the
        best served one got, whichever is less.
        """
        shares = []
        for first in range(start, max(self.served) - window + 2):
            seconds = range(first, first + window)
            got = sum(self.served[second][workspace] for second in seconds)
            owed = sum(
                min(
                    self.asked[second][workspace],
                    max(self.served[second].values()),
                )
                for second in seconds
            )
            shares.append(got / owed)
        return min(shares)

    def _ask(self, workspace: Workspace, now: float) -> None:
        owed = self._owed.get(workspace.name, 0.0)
        owed += workspace.requests_per_second * TICK_SECONDS
        self._owed[workspace.name] = owed % 1
        for _ in range(int(owed)):
            self.asked.setdefault(int(now), Counter())[workspace.name] += 1
            caller = self._random.choice(workspace.hashes)
            # First tries come on connections that were kept.
            vm = self._ranked(caller)[0]
            if not self._try(vm, workspace, now):
                at = now + self._random.uniform(*RETRY_SECONDS)
                number = next(self._numbers)
                heapq.heappush(self._returns, (at, number, workspace, caller))

    def _try(self, vm: EntryVm, workspace: Workspace, now: float) -> bool:
        served = self.served.setdefault(int(now), Counter())
        even = POOL_REQUESTS_PER_SECOND / len(self._workspaces)
        is_full = served.total() >= POOL_REQUESTS_PER_SECOND * (now % 1)
        if is_full and served[workspace.name] >= even * (now % 1):
            vm.backlog_seconds += BEGIN_SECONDS
            return False
        if not vm.offer(workspace.name, now):
            return False
        served[workspace.name] += 1
        return True

    def _new_connection(self, caller: str) -> EntryVm:
        ranked = self._ranked(caller)
        inside = [vm for vm in ranked if vm.misses < MISSES]
        if 2 * len(inside) < len(ranked):
            inside = ranked
        inside[0].backlog_seconds += ACCEPT_SECONDS
        return inside[0]

    def _ranked(self, caller: str) -> list[EntryVm]:
        return sorted(
            self.vms,
            key=lambda vm: xxhash.xxh64_intdigest(
                f"{caller}/{vm.name}".encode()
            ),
        )
