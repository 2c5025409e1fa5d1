"""Model of the entry VMs of a data centre, their callers and a pool.

Time is simulated. Callers open connections through the platform's balancer,
which chooses a VM by a hash of the caller. A VM has a fraction of a processor;
work that it has taken and not done delays its event loop.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from lacewingspar_core.entry_limit import EntryLimit
from lacewingspar_core.hand_over import (
    HandOverShare,
    Neighbour,
    NeighbourLoads,
)
from lacewingspar_core.recent_declines import RecentDeclines

TICK_SECONDS = 0.01
SAMPLE_SECONDS = 0.1
PROCESSOR_SHARE = 0.516
# Processor time of one connection, refusal, request and event of a stream:
# docs/incidents/callers-find-no-connection.md and docs/proof.md.
ACCEPT_SECONDS = 170e-6
REFUSE_SECONDS = 94e-6
BEGIN_SECONDS = 2e-3
EVENT_SECONDS = 80e-6
# The same for a request that another VM forwards.
RELAY_BEGIN_SECONDS = 0.7e-3
RELAY_EVENT_SECONDS = 40e-6
EVENTS = 24
EVENT_INTERVAL_SECONDS = 0.045
# Retry-After of a VM without room; a caller tries twice at most.
RETRY_SECONDS = (0.8, 1.6)
# Requests that the engines begin in a second; beyond it each workspace gets its
# even share.
POOL_REQUESTS_PER_SECOND = 300
POOL_BURST = 30
# Processor time of a request that the pool declines.
DECLINE_SECONDS = 1e-3


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
    helper: str


@dataclass(slots=True)
class EntryVm:
    """An entry VM with the decisions of a router."""

    name: str
    limit: EntryLimit = field(
        default_factory=lambda: EntryLimit(PROCESSOR_SHARE)
    )
    backlog_seconds: float = 0.0
    streams: list[_Work] = field(default_factory=list)
    declines: RecentDeclines = field(
        default_factory=lambda: RecentDeclines(random.Random(1).uniform)
    )
    share: HandOverShare = field(default_factory=HandOverShare)
    neighbours: NeighbourLoads = field(default_factory=NeighbourLoads)

    def offer(
        self, workspace: str, others: Sequence["EntryVm"], now: float
    ) -> bool:
        """Return whether a request of a workspace is taken."""
        if not self.limit.begin(workspace):
            return False
        if self.share.take_next():
            vm_by_name = {vm.name: vm for vm in others if not vm.share.is_busy}
            neighbour = self.neighbours.choose(
                [Neighbour(name, "") for name in vm_by_name], now
            )
            if neighbour is not None:
                helper = vm_by_name[neighbour.router_id]
                if helper.limit.begin(workspace):
                    self._begin_relay(workspace, helper, now)
                    return True
                self.neighbours.skip(helper.name, now)
        self.backlog_seconds += BEGIN_SECONDS
        self._add_stream(workspace, EVENT_SECONDS, "", now)
        return True

    def _begin_relay(
        self, workspace: str, helper: "EntryVm", now: float
    ) -> None:
        self.neighbours.begin(helper.name)
        self.backlog_seconds += RELAY_BEGIN_SECONDS
        self._add_stream(workspace, RELAY_EVENT_SECONDS, helper.name, now)
        helper.backlog_seconds += BEGIN_SECONDS
        helper._add_stream(workspace, EVENT_SECONDS, "", now)

    def _add_stream(
        self, workspace: str, seconds: float, helper: str, now: float
    ) -> None:
        for number in range(1, EVENTS + 1):
            work = _Work(
                now + number * EVENT_INTERVAL_SECONDS,
                seconds,
                workspace,
                number == EVENTS,
                helper,
            )
            heapq.heappush(self.streams, work)

    def advance(self, now: float) -> None:
        """Do the work of one tick."""
        while self.streams and self.streams[0].due_at <= now:
            work = heapq.heappop(self.streams)
            self.backlog_seconds += work.seconds
            if work.is_last:
                self.limit.end(work.workspace)
                if work.helper:
                    self.neighbours.end(work.helper)
        done = PROCESSOR_SHARE * TICK_SECONDS
        self.backlog_seconds = max(0.0, self.backlog_seconds - done)

    def sample(self) -> None:
        """Measure the delay of the event loop."""
        delay = self.backlog_seconds / PROCESSOR_SHARE
        self.limit.note_delay(delay)
        self.share.note_delay(delay)


class Pool:
    """Engines that give each workspace its even share when they are full.

    Args:
        workspaces: Names of the workspaces.
    """

    def __init__(self, workspaces: Sequence[str]) -> None:
        self._room = 0.0
        self._room_by_workspace = dict.fromkeys(workspaces, 0.0)
        self._filled_at = 0.0

    def grants(self, workspace: str, now: float) -> bool:
        """Return whether a request of a workspace is begun."""
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
        self._pool = Pool([item.name for item in workspaces])
        self._random = random.Random(1)
        self._owed: dict[str, float] = {}
        self._returns: list[tuple[float, int, Workspace, str]] = []
        self._numbers = itertools.count()

    def run(self, seconds: float) -> None:
        """Play some seconds."""
        for tick in range(round(seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            for workspace in self._workspaces:
                self._ask(workspace, now)
            while self._returns and self._returns[0][0] <= now:
                _, _, workspace, caller = heapq.heappop(self._returns)
                self._try(self._new_connection(caller), workspace, now)
            for vm in self.vms:
                vm.advance(now)
                if tick % round(SAMPLE_SECONDS / TICK_SECONDS) == 0:
                    vm.sample()

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
        is_known = vm.declines.retry_after(workspace.name, "", 1.0, now)
        if is_known is not None or not vm.limit.has_room(workspace.name):
            vm.backlog_seconds += REFUSE_SECONDS
            return False
        if not self._pool.grants(workspace.name, now):
            vm.backlog_seconds += DECLINE_SECONDS
            vm.declines.note(workspace.name, "", 1.0, now)
            return False
        others = [item for item in self.vms if item is not vm]
        if not vm.offer(workspace.name, others, now):
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
