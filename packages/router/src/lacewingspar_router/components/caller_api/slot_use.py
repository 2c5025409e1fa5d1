"""Use of one slot by one attempt."""

from lacewingspar_core.messages import SlotOutcome
from lacewingspar_router.components.quarantine.models import UpstreamRun
from lacewingspar_router.components.scheduler.models import (
    SlotGrant,
    SlotScheduler,
)


class SlotUse:
    """Gives a slot back exactly once.

    Args:
        scheduler: Scheduler that granted the slot.
        grant: The grant.

    Attributes:
        upstream_id: Upstream that has the slot.
        run: Run of the request that uses the slot.
    """

    def __init__(self, scheduler: SlotScheduler, grant: SlotGrant) -> None:
        self.upstream_id = grant.upstream_id
        self.run: UpstreamRun | None = None
        self._scheduler = scheduler
        self._grant = grant
        self._is_released = False

    def release(self, outcome: SlotOutcome, tokens: int = 0) -> None:
        """Give the slot back unless that was done before."""
        if self._is_released:
            return
        self._is_released = True
        self._scheduler.release(self._grant, outcome, tokens)

    def cancel(self) -> None:
        """Give the slot back unused unless that was done before."""
        self.release(SlotOutcome.CANCELLED)
