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
        request_class: Name of the request's class.
        arrived_at: Arrival in seconds of the application's clock.
        deadline_at: Latest start of the answer on the same clock.
        excluded_upstreams: Upstreams that must not be used, because the
            request failed there before.
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
    """A slot that a request may use once.

    Attributes:
        slot: Identity of the slot use.
        service: Name of the service.
        workspace: Workspace that is charged.
        upstream_id: Upstream that has the slot.
        request_class: Class of the request.
        bound_at: Start of the use in seconds of the application's clock.
    """

    slot: SlotId
    service: str
    workspace: str
    upstream_id: str
    request_class: str
    bound_at: float


class SlotScheduler(Protocol):
    """Gives slots to requests in fair order."""

    async def async_acquire(self, request: SlotRequest) -> SlotGrant:
        """Wait for a slot; cancelling the call withdraws the request.

        Raises:
            RequestRefusedError: The queue is full or the deadline cannot be
                met; the request was not sent.
        """

    def release(
        self, grant: SlotGrant, outcome: SlotOutcome, tokens: int = 0
    ) -> None:
        """Give a slot back exactly once.

        Args:
            grant: The grant that `async_acquire` returned.
            outcome: How the use ended as far as the upstream is concerned.
            tokens: Tokens that the upstream reported, or 0.
        """


SCHEDULER: ComponentKey[SlotScheduler] = ComponentKey("scheduler")
