"""Requests that were declined and may come back."""

from collections import OrderedDict

# Callers come back within a third of the time that they have, which is some
# seconds; the longest budgets are a minute.
REMEMBER_SECONDS = 20.0
# Bounds the memory; the oldest are forgotten first.
LARGEST_COUNT = 20_000


class DeclinedRequests:
    """Aims of declined requests, by workspace and identity.

    A caller counts the time from its first attempt. A request that comes back
    is therefore late, although it has just arrived.
    """

    def __init__(self) -> None:
        self._aim_at_by_request: OrderedDict[
            tuple[str, int], tuple[float, float]
        ] = OrderedDict()

    def note(
        self, workspace: str, identity: int, aim_at: float, now: float
    ) -> None:
        """Remember a declined request and its aim."""
        if not identity:
            return
        request = (workspace, identity)
        known = self._aim_at_by_request.pop(request, None)
        if known is not None:
            aim_at = min(aim_at, known[0])
        self._aim_at_by_request[request] = (aim_at, now)
        self._forget(now)

    def take(self, workspace: str, identity: int, now: float) -> float | None:
        """Return the aim of a request that has come back, or None."""
        self._forget(now)
        known = self._aim_at_by_request.pop((workspace, identity), None)
        return None if known is None else known[0]

    def _forget(self, now: float) -> None:
        requests = self._aim_at_by_request
        while requests:
            _, noted_at = next(iter(requests.values()))
            is_old = noted_at < now - REMEMBER_SECONDS
            if not is_old and len(requests) <= LARGEST_COUNT:
                return
            requests.popitem(last=False)
