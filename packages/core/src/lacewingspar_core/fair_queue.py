"""Waiting requests of one pool of upstreams, shared fairly by workspace."""

import heapq
from collections.abc import Iterator

from lacewingspar_core.admission_events import Admission, AdmissionKey


class FairQueue:
    """Start-time fair queueing over workspaces.

    Each workspace has a start tag, the service that it has received on a
    common scale of virtual time. The one with the lowest tag goes first. A
    workspace without waiting requests keeps no credit: its tag is raised to
    the virtual time when it comes back.

    Within a workspace the requests that can still be in time go first, then
    the rank of the route, then the time by which the first part of the answer
    is due. Without the first rule a queue that is a little too long makes
    everybody a little late.
    """

    def __init__(self) -> None:
        self._waiting_by_workspace: dict[
            str, dict[AdmissionKey, Admission]
        ] = {}
        self._cost_by_key: dict[AdmissionKey, float] = {}
        self._due_at_by_key: dict[AdmissionKey, float] = {}
        self._cost_by_workspace: dict[str, float] = {}
        self._finish_by_workspace: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._cost_by_key)

    def __contains__(self, key: AdmissionKey) -> bool:
        return key in self._cost_by_key

    def __iter__(self) -> Iterator[Admission]:
        for waiting in self._waiting_by_workspace.values():
            yield from waiting.values()

    @property
    def cost(self) -> float:
        """Return the cost of all waiting requests."""
        return sum(self._cost_by_workspace.values())

    @property
    def workspaces(self) -> int:
        """Return the number of workspaces with waiting requests."""
        return len(self._waiting_by_workspace)

    def cost_of(self, workspace: str) -> float:
        """Return the cost of a workspace's waiting requests."""
        return self._cost_by_workspace.get(workspace, 0.0)

    def cost_before(
        self, admission: Admission, due_at: float, in_time_from: float
    ) -> float:
        """Return the cost of what goes before in the same workspace.

        Args:
            admission: The request, which need not be queued.
            due_at: Time by which its first part is due.
            in_time_from: Earliest first part of a request that is sent now.
        """
        urgency = _urgency(admission, due_at, in_time_from)
        waiting = self._waiting_by_workspace.get(admission.workspace, {})
        return sum(
            self._cost_by_key[other.key]
            for other in waiting.values()
            if other.key != admission.key
            and self._urgency(other, in_time_from) <= urgency
        )

    def add(self, admission: Admission, cost: float, due_at: float) -> None:
        """Queue a request.

        Args:
            admission: The request.
            cost: Its cost in units of the pool's rate.
            due_at: Time by which its first part is due.
        """
        self._due_at_by_key[admission.key] = due_at
        waiting = self._waiting_by_workspace.setdefault(admission.workspace, {})
        waiting[admission.key] = admission
        self._cost_by_key[admission.key] = cost
        self._cost_by_workspace[admission.workspace] = (
            self.cost_of(admission.workspace) + cost
        )

    def remove(self, admission: Admission) -> None:
        """Take a request out of the queue."""
        workspace = admission.workspace
        waiting = self._waiting_by_workspace[workspace]
        del waiting[admission.key]
        cost = self._cost_by_key.pop(admission.key)
        del self._due_at_by_key[admission.key]
        if waiting:
            self._cost_by_workspace[workspace] -= cost
        else:
            del self._waiting_by_workspace[workspace]
            del self._cost_by_workspace[workspace]

    def find(self, key: AdmissionKey) -> Admission | None:
        """Return a waiting request."""
        for waiting in self._waiting_by_workspace.values():
            if key in waiting:
                return waiting[key]
        return None

    def due_at(self, key: AdmissionKey) -> float:
        """Return the time by which a waiting request's first part is due."""
        return self._due_at_by_key[key]

    def in_turn(self) -> list[str]:
        """Return the waiting workspaces, the next one first."""
        return sorted(self._waiting_by_workspace, key=self._start_tag)

    def most_urgent(
        self, workspace: str, count: int, in_time_from: float
    ) -> list[Admission]:
        """Return the next requests of a workspace, the most urgent first.

        Args:
            workspace: The workspace.
            count: Largest number of requests.
            in_time_from: Earliest first part of a request that is sent now.
        """
        waiting = self._waiting_by_workspace.get(workspace, {})
        return heapq.nsmallest(
            count,
            waiting.values(),
            key=lambda admission: self._urgency(admission, in_time_from),
        )

    def charge(self, workspace: str, cost: float) -> None:
        """Account for service that a workspace gets now."""
        start = self._start_tag(workspace)
        self._finish_by_workspace[workspace] = start + cost
        self._virtual_time = max(
            self._virtual_time,
            min(
                (self._start_tag(name) for name in self._waiting_by_workspace),
                default=start,
            ),
        )
        if len(self._finish_by_workspace) > 2 * self.workspaces + 64:
            self._forget_idle()

    def _urgency(
        self, admission: Admission, in_time_from: float
    ) -> tuple[bool, int, float]:
        due_at = self._due_at_by_key[admission.key]
        return _urgency(admission, due_at, in_time_from)

    def _start_tag(self, workspace: str) -> float:
        finish = self._finish_by_workspace.get(workspace, 0.0)
        return max(finish, self._virtual_time)

    def _forget_idle(self) -> None:
        """Forget tags that the virtual time has passed."""
        self._finish_by_workspace = {
            name: finish
            for name, finish in self._finish_by_workspace.items()
            if finish > self._virtual_time
        }


def _urgency(
    admission: Admission, due_at: float, in_time_from: float
) -> tuple[bool, int, float]:
    """Return a key by which the most urgent request sorts first."""
    return (due_at < in_time_from, admission.priority, due_at)
