"""Interface of the scheduler component."""

from dataclasses import dataclass
from typing import Protocol

from lacewingspar_core.messages import SlotId, SlotOutcome
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that needs a slot.

    Attributes:
        request_id: Identity of the request.
        service: Name of the service.
        workspace: Workspace of the caller.
        model: Model that the upstream must serve, or "" for any.
        request_class: Name of the request class.
        arrived_at: Arrival time on the application's clock, in seconds.
        deadline_at: Latest start of the response, on the same clock.
        excluded_upstreams: Upstreams that must not be used, because an attempt
            failed there or, for a suspect request, because they run other
            suspects.
    """

    request_id: str
    service: str
    workspace: str
    model: str
    request_class: str
    arrived_at: float
    deadline_at: float
    excluded_upstreams: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """A slot that is granted to one request.

    Attributes:
        slot: Identity of the slot allocation.
        service: Name of the service.
        workspace: Workspace that is charged.
        upstream_id: Upstream of the slot.
        request_class: Class of the request.
        bound_at: Time of the grant on the application's clock, in seconds.
    """

    slot: SlotId
    service: str
    workspace: str
    upstream_id: str
    request_class: str
    bound_at: float


class SlotScheduler(Protocol):
    """Grants slots to requests in fair order."""

    async def async_acquire(self, request: SlotRequest) -> SlotGrant:
        """Wait for a slot; cancelling the call withdraws the request.

        Raises:
            RequestRefusedError: The queue is full or the deadline cannot be
                met; the request was not sent.
        """

    def release(
        self, grant: SlotGrant, outcome: SlotOutcome, tokens: int = 0
    ) -> None:
        """Release a slot; only the first release of a grant has an effect.

        Args:
            grant: The grant that `async_acquire` returned.
            outcome: How the attempt ended at the upstream.
            tokens: Tokens that the upstream reported, or 0.
        """


SCHEDULER: ComponentKey[SlotScheduler] = ComponentKey("scheduler")
