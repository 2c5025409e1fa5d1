"""Fair queue of the waiting requests of one pool."""

import heapq
from collections.abc import Iterator

from lacewingspar_core.admission_events import Admission, AdmissionKey


class FairQueue:
    """Start-time fair queue over workspaces.

    Each workspace has a start tag: the service that it has received, on a
    common scale of virtual time. The workspace with the lowest tag goes first.
    An idle workspace earns no credit: its tag is raised to the virtual time
    when it becomes active again.

    Within a workspace, requests that can still meet their due time go first,
    then those of routes with a higher priority, then those that are due
    earlier. Without the first rule, a slightly overlong queue makes every
    request slightly late.
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
    def total_cost(self) -> float:
        """Return the cost of all waiting requests."""
        return sum(self._cost_by_workspace.values())

    @property
    def workspace_count(self) -> int:
        """Return the number of workspaces with waiting requests."""
        return len(self._waiting_by_workspace)

    def workspace_cost(self, workspace: str) -> float:
        """Return the cost of a workspace's waiting requests."""
        return self._cost_by_workspace.get(workspace, 0.0)

    def cost_ahead(
        self,
        admission: Admission,
        due_at: float,
        earliest_first_chunk_at: float,
    ) -> float:
        """Return the cost of the requests ahead in the same workspace.

        Args:
            admission: The request, which need not be queued.
            due_at: Time by which its first chunk is due.
            earliest_first_chunk_at: Earliest time of the first chunk of a
                request that is sent now.
        """
        urgency = _urgency(admission, due_at, earliest_first_chunk_at)
        waiting = self._waiting_by_workspace.get(admission.workspace, {})
        return sum(
            self._cost_by_key[other.key]
            for other in waiting.values()
            if other.key != admission.key
            and self._urgency(other, earliest_first_chunk_at) <= urgency
        )

    def add(self, admission: Admission, cost: float, due_at: float) -> None:
        """Queue a request.

        Args:
            admission: The request.
            cost: Its cost: prompt tokens of an engine, or calls.
            due_at: Time by which its first chunk is due.
        """
        self._due_at_by_key[admission.key] = due_at
        waiting = self._waiting_by_workspace.setdefault(admission.workspace, {})
        waiting[admission.key] = admission
        self._cost_by_key[admission.key] = cost
        self._cost_by_workspace[admission.workspace] = (
            self.workspace_cost(admission.workspace) + cost
        )

    def remove(self, admission: Admission) -> None:
        """Remove a request from the queue."""
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
        """Return the waiting request with a key, or None."""
        for waiting in self._waiting_by_workspace.values():
            if key in waiting:
                return waiting[key]
        return None

    def due_at(self, key: AdmissionKey) -> float:
        """Return the time by which a request's first chunk is due."""
        return self._due_at_by_key[key]

    def workspaces_in_order(self) -> list[str]:
        """Return the workspaces with waiting requests in scheduling order."""
        return sorted(self._waiting_by_workspace, key=self._start_tag)

    def most_urgent(
        self, workspace: str, count: int, earliest_first_chunk_at: float
    ) -> list[Admission]:
        """Return the next requests of a workspace, the most urgent first.

        Args:
            workspace: The workspace.
            count: Maximum number of requests.
            earliest_first_chunk_at: Earliest time of the first chunk of a
                request that is sent now.
        """
        waiting = self._waiting_by_workspace.get(workspace, {})
        return heapq.nsmallest(
            count,
            waiting.values(),
            key=lambda admission: self._urgency(
                admission, earliest_first_chunk_at
            ),
        )

    def charge(self, workspace: str, cost: float) -> None:
        """Charge the cost of a granted request to a workspace."""
        start = self._start_tag(workspace)
        self._finish_by_workspace[workspace] = start + cost
        self._virtual_time = max(
            self._virtual_time,
            min(
                (self._start_tag(name) for name in self._waiting_by_workspace),
                default=start,
            ),
        )
        if len(self._finish_by_workspace) > 2 * self.workspace_count + 64:
            self._prune_tags()

    def _urgency(
        self, admission: Admission, earliest_first_chunk_at: float
    ) -> tuple[bool, int, float]:
        due_at = self._due_at_by_key[admission.key]
        return _urgency(admission, due_at, earliest_first_chunk_at)

    def _start_tag(self, workspace: str) -> float:
        finish = self._finish_by_workspace.get(workspace, 0.0)
        return max(finish, self._virtual_time)

    def _prune_tags(self) -> None:
        """Remove finish tags that the virtual time has passed."""
        self._finish_by_workspace = {
            name: finish
            for name, finish in self._finish_by_workspace.items()
            if finish > self._virtual_time
        }


def _urgency(
    admission: Admission, due_at: float, earliest_first_chunk_at: float
) -> tuple[bool, int, float]:
    """Return a sort key that puts the most urgent request first."""
    return (due_at < earliest_first_chunk_at, admission.priority, due_at)
