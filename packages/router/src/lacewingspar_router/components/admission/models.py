"""Interface of the admission component."""

from dataclasses import dataclass
from typing import Protocol

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.prefix_memory import PromptPart
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs.

    Attributes:
        request_id: Identity of the request, for the log.
        service: Service that serves it.
        workspace: Workspace of the caller, or "".
        shared_parts: Parts of the prompt that other requests may share.
        own_tokens: Further tokens of the prompt.
        output_tokens: Expected tokens of the answer.
        priority: Rank of the route; 0 is the most urgent.
        arrived_at: Arrival in seconds of the application's clock.
        aim_at: Time by which the first part of the answer should be there.
        deadline_at: Time by which the whole answer must be there.
        patience_seconds: Time from the arrival after which the caller gives up
            if the first part is not there.
        identity: Hash that is the same when the caller sends the request
            again.
    """

    request_id: str
    service: str
    workspace: str
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    priority: int
    arrived_at: float
    aim_at: float
    deadline_at: float
    patience_seconds: float
    identity: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send a request to an upstream.

    Attributes:
        number: Number of the grant in this router's life.
        upstream_id: The upstream.
        fetch_from: Upstream to copy shared parts of the prompt from, or "".
        owner: Router that granted it.
    """

    number: int
    upstream_id: str
    fetch_from: str
    owner: str


class UpstreamAdmission(Protocol):
    """Decides which request goes to which upstream, and when."""

    async def async_acquire(
        self, demand: Demand, excluded: frozenset[str]
    ) -> Grant:
        """Wait for an upstream; cancelling the call withdraws the request.

        Args:
            demand: What the request needs.
            excluded: Upstreams that must not be used.

        Raises:
            RequestRefusedError: The request is refused; it was not sent.
        """

    def note_first_part(self, grant: Grant) -> None:
        """Tell that the first part of the answer has come."""

    def end(
        self,
        grant: Grant,
        outcome: RunOutcome,
        *,
        is_unreachable: bool = False,
    ) -> None:
        """Tell how the run ended; repeats have no effect."""


ADMISSION: ComponentKey[UpstreamAdmission] = ComponentKey("admission")
