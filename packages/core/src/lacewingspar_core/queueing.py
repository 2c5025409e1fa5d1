"""Queue of the requests that wait at one router for slots of one service."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from lacewingspar_core.documents import RequestClass
from lacewingspar_core.messages import DemandEntry

# Weight of a new measurement in the mean cost of a workspace and class.
COST_SMOOTHING_FACTOR = 0.2
# Weight of a new measurement in the mean time between two grants.
GRANT_INTERVAL_SMOOTHING_FACTOR = 0.2
# Deadlines are checked against the predicted wait only after this many grants,
# since the first intervals say little about the rate.
MIN_GRANTS_FOR_PREDICTION = 8
# A request is refused only if its predicted wait exceeds the time to its
# deadline by this factor, since the wait shrinks when other workspaces become
# idle.
PREDICTION_MARGIN_FACTOR = 1.5
# Bounds of the Retry-After value of refused requests.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        request_id: Id of the request.
        workspace: Workspace of the caller.
        model: Model that the upstream must serve, or "" for any.
        request_class: Name of the request class.
        arrived_at: Arrival time in seconds.
        deadline_at: Latest time at which the response may start, in seconds.
        excluded_upstreams: Upstreams that must not serve the request.
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
    """Refusal of a request that was not sent.

    Attributes:
        code: Machine-readable reason: `queue_full`, `deadline_unreachable`
            or `deadline_passed`.
        retry_after_seconds: Time after which the caller may retry.
    """

    code: str
    retry_after_seconds: float


@dataclass(slots=True)
class _GrantIntervals:
    """Mean time between two grants to a workspace while requests wait.

    Attributes:
        grants: Number of intervals measured.
        measured_from: Start of the current interval in seconds.
        interval_seconds: Mean interval.
    """

    grants: int = 0
    measured_from: float = 0.0
    interval_seconds: float = 0.0

    def start_interval(self, now: float) -> None:
        """Start an interval when the queue stops being empty.

        Time with an empty queue says nothing about the rate of grants.
        """
        self.measured_from = now

    def record_grant(self, now: float) -> None:
        interval = now - self.measured_from
        self.measured_from = now
        self.grants += 1
        self.interval_seconds += GRANT_INTERVAL_SMOOTHING_FACTOR * (
            interval - self.interval_seconds
        )


class RequestQueue:
    """Waiting requests of one service at one router.

    Each workspace has its own queue and queue limit. Requests are ordered by
    the priority of their class, lowest number first, and then by deadline. A
    request that has waited longer than its class allows goes before these.
    """

    def __init__(self) -> None:
        self._requests_by_workspace: dict[str, dict[str, WaitingRequest]] = {}
        self._class_by_name: dict[str, RequestClass] = {}
        self._limit_by_workspace: dict[str, int] = {}
        self._rate_by_workspace: dict[str, _GrantIntervals] = {}
        self._cost_by_workspace_class: dict[tuple[str, str], float] = {}

    def configure(
        self,
        class_by_name: Mapping[str, RequestClass],
        limit_by_workspace: Mapping[str, int],
    ) -> None:
        """Set the request classes and queue limits of the service document."""
        self._class_by_name = dict(class_by_name)
        self._limit_by_workspace = dict(limit_by_workspace)

    def add(self, request: WaitingRequest, now: float) -> Refusal | None:
        """Queue a request or refuse it.

        Returns:
            The refusal, or None if the request was queued.
        """
        if request.deadline_at <= now:
            return Refusal("deadline_passed", MIN_RETRY_AFTER_SECONDS)
        queue = self._requests_by_workspace.setdefault(request.workspace, {})
        limit = self._limit_by_workspace.get(request.workspace, 0)
        if len(queue) >= limit:
            return Refusal("queue_full", self._drain_seconds(request.workspace))
        if self._is_deadline_unreachable(request, len(queue), now):
            return Refusal(
                "deadline_unreachable", self._drain_seconds(request.workspace)
            )
        if not queue:
            self._rate(request.workspace).start_interval(now)
        queue[request.request_id] = request
        return None

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request and return whether it was waiting."""
        queue = self._requests_by_workspace.get(request.workspace, {})
        return queue.pop(request.request_id, None) is not None

    def pop_best(
        self,
        workspace: str,
        upstream_id: str,
        models: frozenset[str],
        now: float,
    ) -> WaitingRequest | None:
        """Remove and return the most urgent request that can use a slot.

        Args:
            workspace: Workspace to which the slot was offered.
            upstream_id: Upstream that has the slot.
            models: Models that the upstream serves.
            now: Time in seconds.

        Returns:
            The request, or None if none can use the slot.
        """
        queue = self._requests_by_workspace.get(workspace, {})
        eligible = [
            request
            for request in queue.values()
            if upstream_id not in request.excluded_upstreams
            and (not request.model or request.model in models)
        ]
        if not eligible:
            return None
        best = min(
            eligible, key=lambda request: self._priority_key(request, now)
        )
        del queue[best.request_id]
        self._rate(workspace).record_grant(now)
        return best

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for queue in self._requests_by_workspace.values()
            for request in queue.values()
            if request.deadline_at <= now
        ]
        for request in expired:
            self.remove(request)
        return expired

    def record_cost(
        self, workspace: str, request_class: str, used_seconds: float
    ) -> None:
        """Update the mean cost with the slot time of a completed request."""
        key = (workspace, request_class)
        mean = self._cost_by_workspace_class.get(key, used_seconds)
        self._cost_by_workspace_class[key] = mean + COST_SMOOTHING_FACTOR * (
            used_seconds - mean
        )

    def estimate_seconds(self, workspace: str, request_class: str) -> float:
        """Return the mean measured slot time of a request, or 0 if unknown."""
        key = (workspace, request_class)
        return self._cost_by_workspace_class.get(key, 0.0)

    def demand(self, now: float) -> tuple[DemandEntry, ...]:
        """Return the demand entries of all waiting requests.

        Each entry covers one workspace and model.
        """
        requests_by_key: dict[tuple[str, str], list[WaitingRequest]] = {}
        for request in self:
            key = (request.workspace, request.model)
            requests_by_key.setdefault(key, []).append(request)
        return tuple(
            self._demand_entry(requests, now)
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

    def _priority_key(
        self, request: WaitingRequest, now: float
    ) -> tuple[bool, float, float]:
        """Return a sort key that puts the most urgent request first."""
        request_class = self._class_by_name.get(request.request_class)
        if request_class is None:
            return (True, 0.0, request.deadline_at)
        waited = now - request.arrived_at
        if waited >= request_class.max_wait_seconds:
            return (False, 0.0, request.arrived_at)
        return (True, float(request_class.priority), request.deadline_at)

    def _demand_entry(
        self, requests: list[WaitingRequest], now: float
    ) -> DemandEntry:
        first = min(
            requests, key=lambda request: self._priority_key(request, now)
        )
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

    def _rate(self, workspace: str) -> _GrantIntervals:
        return self._rate_by_workspace.setdefault(workspace, _GrantIntervals())

    def _is_deadline_unreachable(
        self, request: WaitingRequest, requests_ahead: int, now: float
    ) -> bool:
        rate = self._rate(request.workspace)
        if rate.grants < MIN_GRANTS_FOR_PREDICTION:
            return False
        expected_wait = requests_ahead * rate.interval_seconds
        return expected_wait > PREDICTION_MARGIN_FACTOR * (
            request.deadline_at - now
        )

    def _drain_seconds(self, workspace: str) -> float:
        """Return the expected time until half of a queue is served.

        The result is at least one mean grant interval and is clamped to the
        bounds of the Retry-After value.
        """
        interval = self._rate(workspace).interval_seconds
        waiting = len(self._requests_by_workspace.get(workspace, {}))
        seconds = max(interval, interval * waiting / 2)
        return min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds)
        )
