"""Slot that is used for one attempt."""

from lacewingspar_core.messages import SlotOutcome
from lacewingspar_router.components.quarantine.models import UpstreamRun
from lacewingspar_router.components.scheduler.models import (
    SlotGrant,
    SlotScheduler,
)


class SlotUse:
    """Holds a slot and releases it exactly once.

    Args:
        scheduler: Scheduler that granted the slot.
        grant: The grant.

    Attributes:
        upstream_id: Upstream of the slot.
        run: Run of the request at the upstream, once it has begun.
    """

    def __init__(self, scheduler: SlotScheduler, grant: SlotGrant) -> None:
        self.upstream_id = grant.upstream_id
        self.run: UpstreamRun | None = None
        self._scheduler = scheduler
        self._grant = grant
        self._is_released = False

    def release(self, outcome: SlotOutcome, tokens: int = 0) -> None:
        """Release the slot, unless it is released already."""
        if self._is_released:
            return
        self._is_released = True
        self._scheduler.release(self._grant, outcome, tokens)

    def cancel(self) -> None:
        """Release the slot as cancelled, unless it is released already."""
        self.release(SlotOutcome.CANCELLED)
