"""Tells the owners of a service which requests wait at this router."""

import asyncio
from collections.abc import Callable

from lacewingspar_core.messages import AnyPeerMessage, Demand, DemandEntry
from lacewingspar_core.queueing import RequestQueue, WaitingRequest
from lacewingspar_router.components.scheduler import const

SendFunction = Callable[[str, AnyPeerMessage], int]

# Above this many waiting requests, a change of less than a quarter is not
# told to the owners at once, since it would not change their choice.
_SMALL_QUEUE = 4


class DemandSender:
    """Sends changed demand at once and all demand now and then.

    Args:
        now: Returns the time in seconds.
        service: Name of the service.
        queue: Requests that wait.
        send: Sends a message to a router by its id and returns its bytes.
    """

    def __init__(
        self,
        now: Callable[[], float],
        service: str,
        queue: RequestQueue,
        send: SendFunction,
    ) -> None:
        self._now = now
        self._service = service
        self._queue = queue
        self._send = send
        self._receivers: frozenset[str] = frozenset()
        self._waiting_told: dict[tuple[str, str], int] = {}
        self._sequence = 0
        self._sent_at = 0.0
        self._full_due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def set_receivers(self, receivers: frozenset[str]) -> None:
        """Set the owners, and tell former ones that nothing waits."""
        former = self._receivers - receivers
        self._receivers = receivers
        for router_id in former:
            self._send(router_id, self._message(full=True, entries=()))
        self.send_full()

    def changed(self) -> None:
        """Tell the owners soon, and at once if that is not too often."""
        if self._timer is not None:
            return
        elapsed = self._now() - self._sent_at
        delay = const.DEMAND_INTERVAL_SECONDS - elapsed
        if delay <= 0:
            self._send_changes()
            return
        self._timer = asyncio.get_running_loop().call_later(
            delay, self._send_changes
        )

    def send_full_if_due(self) -> None:
        """Tell the owners everything that waits, if that is due."""
        if self._now() >= self._full_due_at:
            self.send_full()

    def send_full(self) -> None:
        """Tell the owners everything that waits."""
        entries = self._queue.demand(self._now())
        self._waiting_told = {
            (entry.workspace, entry.model): entry.waiting for entry in entries
        }
        sent_bytes = self._broadcast(self._message(full=True, entries=entries))
        self._full_due_at = self._now() + max(
            const.FULL_DEMAND_INTERVAL_SECONDS,
            sent_bytes / const.FULL_DEMAND_BYTES_PER_SECOND,
        )

    def note_accepted(self, request: WaitingRequest) -> None:
        """Count what the only owner learns from an accepted offer."""
        if len(self._receivers) != 1:
            return
        key = (request.workspace, request.model)
        self._waiting_told[key] = max(0, self._waiting_told.get(key, 0) - 1)

    def note_declined(self, workspace: str) -> None:
        """Tell the demand of a workspace again after a while.

        After a declined offer the owner takes it for zero.
        """
        for key in self._waiting_told:
            if key[0] == workspace:
                self._waiting_told[key] = 0
        asyncio.get_running_loop().call_later(
            const.DECLINED_DEMAND_DELAY_SECONDS, self.changed
        )

    def _send_changes(self) -> None:
        self._timer = None
        now = self._now()
        self._sent_at = now
        current = {
            (entry.workspace, entry.model): entry
            for entry in self._queue.demand(now)
        }
        changes = [
            entry
            for key, entry in current.items()
            if _is_worth_telling(self._waiting_told.get(key, 0), entry.waiting)
        ]
        changes += [
            DemandEntry(workspace, model, 0, 0.0, 0.0)
            for (workspace, model), told in self._waiting_told.items()
            if told and (workspace, model) not in current
        ]
        if not changes:
            return
        for entry in changes:
            key = (entry.workspace, entry.model)
            self._waiting_told[key] = entry.waiting
        self._broadcast(self._message(full=False, entries=tuple(changes)))

    def _message(
        self, *, full: bool, entries: tuple[DemandEntry, ...]
    ) -> Demand:
        self._sequence += 1
        return Demand(self._service, self._sequence, full, entries)

    def _broadcast(self, demand: Demand) -> int:
        """Send a message to all owners and return the bytes sent."""
        return sum(
            self._send(router_id, demand) for router_id in self._receivers
        )


def _is_worth_telling(told: int, waiting: int) -> bool:
    """Return whether owners should hear of a change before the next report."""
    change = abs(waiting - told)
    if min(told, waiting) < _SMALL_QUEUE:
        return change > 0
    return change * 4 >= told
