"""Interface of the admission component."""

from dataclasses import dataclass
from typing import Protocol

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.prefix_cache import PromptPart
from lacewingspar_core.reported_load import LoadReport
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class RequestRequirements:
    """Resources and times that a request needs.

    Times are in seconds on the application's clock.

    Attributes:
        request_id: Identifier of the request in the log.
        service: Service that serves the request.
        workspace: Workspace of the caller, or "".
        shared_parts: Parts of the prompt that other requests may share.
        own_tokens: Number of prompt tokens outside the shared parts.
        output_tokens: Expected number of tokens of the response.
        priority: Priority of the route; 0 is the most urgent.
        arrived_at: Arrival time of the request.
        latency_target_at: Time at which the first chunk should arrive.
        deadline_at: Time by which the response must be complete.
        first_chunk_timeout_seconds: Time after arrival at which the caller
            gives up if it has not received the first chunk.
        identity: Hash that stays the same when the caller repeats the
            request.
    """

    request_id: str
    service: str
    workspace: str
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    priority: int
    arrived_at: float
    latency_target_at: float
    deadline_at: float
    first_chunk_timeout_seconds: float
    identity: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send a request to an upstream.

    Attributes:
        number: Number of the request; unique for this router process.
        service: Service of the request.
        upstream_id: Upstream that runs the request.
        fetch_from: Upstream from which to copy the shared parts of the prompt,
            or "".
        owner: Router that granted the request.
    """

    number: int
    service: str
    upstream_id: str
    fetch_from: str
    owner: str


class UpstreamAdmission(Protocol):
    """Decides when each request is sent, and to which upstream."""

    async def async_acquire(
        self, requirements: RequestRequirements, excluded: frozenset[str]
    ) -> Grant:
        """Wait for an upstream; cancelling the call withdraws the request.

        Args:
            requirements: Resources and times that the request needs.
            excluded: IDs of upstreams that must not be used.

        Raises:
            RequestRefusedError: The owner declined the request; it was not
                sent to an upstream.
        """

    def may_send(self, grant: Grant) -> bool:
        """Return whether the upstream of a grant still takes the request."""

    def record_load(self, grant: Grant, load: LoadReport) -> None:
        """Keep the load in a response for the next report to the owner."""

    def record_first_chunk(self, grant: Grant) -> None:
        """Report to the owner that the first chunk of the response arrived."""

    def end(
        self,
        grant: Grant,
        outcome: RunOutcome,
        *,
        is_unreachable: bool = False,
    ) -> None:
        """Report the end of a run to its owner; repeats have no effect."""


ADMISSION: ComponentKey[UpstreamAdmission] = ComponentKey("admission")
