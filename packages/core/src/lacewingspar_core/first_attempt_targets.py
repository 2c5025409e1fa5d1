"""Latency targets of declined requests that callers may retry."""

from collections import OrderedDict

# Callers retry within a third of their remaining time budget, which is a few
# seconds; the longest budgets are one minute.
RETENTION_SECONDS = 20.0
# Bounds the memory use; the oldest entries are evicted first.
MAX_REQUESTS = 20_000


class FirstAttemptTargets:
    """Latency targets of declined requests by workspace and identity.

    Callers measure latency from their first attempt, so a retry keeps the
    target of the first attempt and may be late when it arrives.
    """

    def __init__(self) -> None:
        self._target_by_request: OrderedDict[
            tuple[str, int], tuple[float, float]
        ] = OrderedDict()

    def record(
        self,
        workspace: str,
        identity: int,
        latency_target_at: float,
        now: float,
    ) -> None:
        """Store the latency target of a declined request."""
        if not identity:
            return
        request = (workspace, identity)
        known = self._target_by_request.pop(request, None)
        if known is not None:
            latency_target_at = min(latency_target_at, known[0])
        self._target_by_request[request] = (latency_target_at, now)
        self._prune(now)

    def pop_target(
        self, workspace: str, identity: int, now: float
    ) -> float | None:
        """Remove and return the target of a retried request, or None."""
        self._prune(now)
        known = self._target_by_request.pop((workspace, identity), None)
        return None if known is None else known[0]

    def _prune(self, now: float) -> None:
        requests = self._target_by_request
        while requests:
            _, declined_at = next(iter(requests.values()))
            is_old = declined_at < now - RETENTION_SECONDS
            if not is_old and len(requests) <= MAX_REQUESTS:
                return
            requests.popitem(last=False)
