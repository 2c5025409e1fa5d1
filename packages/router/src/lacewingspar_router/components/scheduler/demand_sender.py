"""Sends the demand of a service at this router to the slot owners."""

import asyncio
from collections.abc import Callable

from lacewingspar_core.messages import AnyPeerMessage, Demand, DemandEntry
from lacewingspar_core.queueing import RequestQueue, WaitingRequest
from lacewingspar_router.components.scheduler import const

SendFunction = Callable[[str, AnyPeerMessage], int]

# From this many waiting requests on, a change of less than a quarter is left to
# the next full message, since it would not affect the owners' decisions.
_SMALL_QUEUE_REQUESTS = 4


class DemandSender:
    """Sends changes of the demand at once and the full demand periodically.

    Args:
        now: Returns the time in seconds.
        service: Name of the service.
        queue: Waiting requests.
        send: Sends a message to a router by its id and returns its size in
            bytes.
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
        self._reported_waiting: dict[tuple[str, str], int] = {}
        self._sequence = 0
        self._sent_at = 0.0
        self._full_due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def set_receivers(self, receivers: frozenset[str]) -> None:
        """Set the owners and report no demand to former owners."""
        former = self._receivers - receivers
        self._receivers = receivers
        for router_id in former:
            self._send(router_id, self._message(full=True, entries=()))
        self.send_full()

    def schedule_changes(self) -> None:
        """Send changes as soon as DEMAND_INTERVAL_SECONDS allows."""
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
        """Send the full demand to the owners if it is due."""
        if self._now() >= self._full_due_at:
            self.send_full()

    def send_full(self) -> None:
        """Send the full demand to the owners."""
        entries = self._queue.demand(self._now())
        self._reported_waiting = {
            (entry.workspace, entry.model): entry.waiting for entry in entries
        }
        sent_bytes = self._broadcast(self._message(full=True, entries=entries))
        self._full_due_at = self._now() + max(
            const.FULL_DEMAND_INTERVAL_SECONDS,
            sent_bytes / const.FULL_DEMAND_BYTES_PER_SECOND,
        )

    def record_accepted_offer(self, request: WaitingRequest) -> None:
        """Update the reported demand after an accepted offer.

        A single owner subtracts the request itself. With several owners, the
        others still need a demand message.
        """
        if len(self._receivers) != 1:
            return
        key = (request.workspace, request.model)
        self._reported_waiting[key] = max(
            0, self._reported_waiting.get(key, 0) - 1
        )

    def record_declined_offer(self, workspace: str) -> None:
        """Schedule the demand of a workspace to be sent again.

        The owner assumes no demand of the workspace after a declined offer.
        """
        for key in self._reported_waiting:
            if key[0] == workspace:
                self._reported_waiting[key] = 0
        asyncio.get_running_loop().call_later(
            const.DECLINED_DEMAND_DELAY_SECONDS, self.schedule_changes
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
            if _is_significant_change(
                self._reported_waiting.get(key, 0), entry.waiting
            )
        ]
        changes += [
            DemandEntry(workspace, model, 0, 0.0, 0.0)
            for (workspace, model), reported in self._reported_waiting.items()
            if reported and (workspace, model) not in current
        ]
        if not changes:
            return
        for entry in changes:
            key = (entry.workspace, entry.model)
            self._reported_waiting[key] = entry.waiting
        self._broadcast(self._message(full=False, entries=tuple(changes)))

    def _message(
        self, *, full: bool, entries: tuple[DemandEntry, ...]
    ) -> Demand:
        self._sequence += 1
        return Demand(self._service, self._sequence, full, entries)

    def _broadcast(self, demand: Demand) -> int:
        """Send a message to all owners and return the number of bytes sent."""
        return sum(
            self._send(router_id, demand) for router_id in self._receivers
        )


def _is_significant_change(reported: int, waiting: int) -> bool:
    """Return whether a change must be sent before the next full message."""
    change = abs(waiting - reported)
    if min(reported, waiting) < _SMALL_QUEUE_REQUESTS:
        return change > 0
    return change * 4 >= reported
