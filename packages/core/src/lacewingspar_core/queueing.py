"""Requests that wait at one router for a slot of one service."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from lacewingspar_core.documents import RequestClass
from lacewingspar_core.messages import DemandEntry

# Weight of a new measurement in the mean cost of a workspace and class.
COST_SMOOTHING = 0.2
# Weight of a new measurement in the mean time between two grants.
GRANT_INTERVAL_SMOOTHING = 0.2
# A deadline counts as out of reach only after this many grants, since the
# first ones say little about the rate.
GRANTS_BEFORE_PREDICTION = 8
# The prediction must exceed the deadline by this factor, since shares grow
# when other workspaces become idle.
PREDICTION_MARGIN = 1.5
# Advice on when to come back, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        request_id: Identity of the request.
        workspace: Workspace of the caller.
        model: Model that the upstream must serve, or "" for any.
        request_class: Name of its class.
        arrived_at: Arrival in seconds.
        deadline_at: Latest start of the answer in seconds.
        excluded_upstreams: Upstreams that must not be used.
    """

    request_id: str
    workspace: str
    model: str
    request_class: str
    arrived_at: float
    deadline_at: float
    excluded_upstreams: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request is refused before it was sent.

    Attributes:
        code: Machine-readable reason: `queue_full`, `deadline_unreachable`
            or `deadline_passed`.
        retry_after_seconds: When to come back.
    """

    code: str
    retry_after_seconds: float


@dataclass(slots=True)
class _GrantRate:
    """Mean time between two grants of a workspace while requests wait.

    Attributes:
        grants: Number of intervals measured.
        measured_from: Time from which the next interval counts.
        interval_seconds: Mean interval.
    """

    grants: int = 0
    measured_from: float = 0.0
    interval_seconds: float = 0.0

    def note_first_waiting(self, now: float) -> None:
        """Start to measure; time with an empty queue says nothing."""
        self.measured_from = now

    def note_grant(self, now: float) -> None:
        interval = now - self.measured_from
        self.measured_from = now
        self.grants += 1
        self.interval_seconds += GRANT_INTERVAL_SMOOTHING * (
            interval - self.interval_seconds
        )


class RequestQueue:
    """Waiting requests of one service at one router.

    A workspace has a queue of its own with a limit of its own. Within it the
    class with the lowest priority number goes first, then the earliest
    deadline; a request that has waited longer than its class allows goes
    before all others.
    """

    def __init__(self) -> None:
        self._requests_by_workspace: dict[str, dict[str, WaitingRequest]] = {}
        self._class_by_name: dict[str, RequestClass] = {}
        self._limit_by_workspace: dict[str, int] = {}
        self._rate_by_workspace: dict[str, _GrantRate] = {}
        self._cost_by_workspace_class: dict[tuple[str, str], float] = {}

    def configure(
        self,
        class_by_name: Mapping[str, RequestClass],
        limit_by_workspace: Mapping[str, int],
    ) -> None:
        """Take over classes and queue limits from the service document."""
        self._class_by_name = dict(class_by_name)
        self._limit_by_workspace = dict(limit_by_workspace)

    def add(self, request: WaitingRequest, now: float) -> Refusal | None:
        """Queue a request.

        Returns:
            None, or why the request is refused.
        """
        if request.deadline_at <= now:
            return Refusal("deadline_passed", MIN_RETRY_AFTER_SECONDS)
        queue = self._requests_by_workspace.setdefault(request.workspace, {})
        limit = self._limit_by_workspace.get(request.workspace, 0)
        if len(queue) >= limit:
            return Refusal("queue_full", self._drain_seconds(request.workspace))
        if self._is_out_of_reach(request, len(queue), now):
            return Refusal(
                "deadline_unreachable", self._drain_seconds(request.workspace)
            )
        if not queue:
            self._rate(request.workspace).note_first_waiting(now)
        queue[request.request_id] = request
        return None

    def remove(self, request: WaitingRequest) -> bool:
        """Withdraw a request and return whether it was waiting."""
        queue = self._requests_by_workspace.get(request.workspace, {})
        return queue.pop(request.request_id, None) is not None

    def pop_best(
        self,
        workspace: str,
        upstream_id: str,
        models: frozenset[str],
        now: float,
    ) -> WaitingRequest | None:
        """Take the request that should use a slot, or None without any.

        Args:
            workspace: Workspace that the slot was offered to.
            upstream_id: Upstream that has the slot.
            models: Models that the upstream serves.
            now: Time in seconds.
        """
        queue = self._requests_by_workspace.get(workspace, {})
        fitting = [
            request
            for request in queue.values()
            if upstream_id not in request.excluded_upstreams
            and (not request.model or request.model in models)
        ]
        if not fitting:
            return None
        best = min(fitting, key=lambda request: self._urgency(request, now))
        del queue[best.request_id]
        self._rate(workspace).note_grant(now)
        return best

    def expired(self, now: float) -> list[WaitingRequest]:
        """Take out the requests whose deadline has passed."""
        expired = [
            request
            for queue in self._requests_by_workspace.values()
            for request in queue.values()
            if request.deadline_at <= now
        ]
        for request in expired:
            self.remove(request)
        return expired

    def note_cost(
        self, workspace: str, request_class: str, used_seconds: float
    ) -> None:
        """Record the slot time that a request has used, in seconds."""
        key = (workspace, request_class)
        mean = self._cost_by_workspace_class.get(key, used_seconds)
        self._cost_by_workspace_class[key] = mean + COST_SMOOTHING * (
            used_seconds - mean
        )

    def estimate_seconds(self, workspace: str, request_class: str) -> float:
        """Return the mean measured cost in seconds, or 0 if none is known."""
        key = (workspace, request_class)
        return self._cost_by_workspace_class.get(key, 0.0)

    def demand(self, now: float) -> tuple[DemandEntry, ...]:
        """Return what waits, by workspace and model."""
        requests_by_key: dict[tuple[str, str], list[WaitingRequest]] = {}
        for request in self:
            key = (request.workspace, request.model)
            requests_by_key.setdefault(key, []).append(request)
        return tuple(
            self._entry(requests, now)
            for _, requests in sorted(requests_by_key.items())
        )

    def waiting_by_workspace(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        return {
            workspace: len(queue)
            for workspace, queue in self._requests_by_workspace.items()
            if queue
        }

    def __iter__(self) -> Iterator[WaitingRequest]:
        for queue in self._requests_by_workspace.values():
            yield from queue.values()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._requests_by_workspace.values())

    def _urgency(
        self, request: WaitingRequest, now: float
    ) -> tuple[bool, float, float]:
        """Return a key by which the most urgent request sorts first."""
        request_class = self._class_by_name.get(request.request_class)
        if request_class is None:
            return (True, 0.0, request.deadline_at)
        waited = now - request.arrived_at
        if waited >= request_class.max_wait_seconds:
            return (False, 0.0, request.arrived_at)
        return (True, float(request_class.priority), request.deadline_at)

    def _entry(self, requests: list[WaitingRequest], now: float) -> DemandEntry:
        first = min(requests, key=lambda request: self._urgency(request, now))
        oldest = min(request.arrived_at for request in requests)
        return DemandEntry(
            workspace=first.workspace,
            model=first.model,
            waiting=len(requests),
            oldest_wait_seconds=max(0.0, now - oldest),
            estimate_seconds=self.estimate_seconds(
                first.workspace, first.request_class
            ),
        )

    def _rate(self, workspace: str) -> _GrantRate:
        return self._rate_by_workspace.setdefault(workspace, _GrantRate())

    def _is_out_of_reach(
        self, request: WaitingRequest, ahead: int, now: float
    ) -> bool:
        rate = self._rate(request.workspace)
        if rate.grants < GRANTS_BEFORE_PREDICTION:
            return False
        expected_wait = ahead * rate.interval_seconds
        return expected_wait > PREDICTION_MARGIN * (request.deadline_at - now)

    def _drain_seconds(self, workspace: str) -> float:
        """Return how long the queue of a workspace takes to empty by half."""
        interval = self._rate(workspace).interval_seconds
        waiting = len(self._requests_by_workspace.get(workspace, {}))
        seconds = max(interval, interval * waiting / 2)
        return min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds)
        )
