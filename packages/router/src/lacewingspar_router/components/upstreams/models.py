"""Interface of the upstreams component."""

from collections.abc import AsyncIterator, Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """An HTTP call to one upstream.

    Attributes:
        request_id: Id that the upstream must echo in the response.
        method: HTTP method.
        path: Path with query string.
        headers: Headers without hop-by-hop headers.
        body: Request body.
        silent_after_seconds: Read timeout: the call fails if no data arrives
            for this long.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    silent_after_seconds: float


class UpstreamResponse(Protocol):
    """A response whose head was received and checked.

    Attributes:
        status: HTTP status code.
        headers: Headers without hop-by-hop headers.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises:
            UpstreamError: The body ended early or timed out.
        """

    async def async_close(self) -> None:
        """Close the response and cancel the call if it is still running."""


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status of one upstream as known to this router.

    Attributes:
        state: State in the upstream health state chart: `unknown`, `healthy`,
            `failing`, `leaving` or `gone`.
        slots: Number of requests that the upstream may currently run at once.
    """

    state: str
    slots: int


class UpstreamPool(Protocol):
    """Calls to upstreams and their health."""

    async def async_call(
        self, service: str, upstream_id: str, call: UpstreamCall
    ) -> UpstreamResponse:
        """Send a call and wait for the response head.

        Raises:
            UpstreamError: The call failed; its `run` attribute says whether
                the upstream may have run it.
        """

    async def async_is_up(self, service: str, upstream_id: str) -> bool:
        """Return whether an upstream responds to HTTP requests."""

    async def async_is_reachable(self, service: str, upstream_id: str) -> bool:
        """Return whether the data centre of an upstream is reachable."""

    @property
    def status_by_upstream(self) -> Mapping[tuple[str, str], UpstreamStatus]:
        """Return the status by (service, upstream id)."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after every status change."""

    def set_polled(self, keys: Collection[tuple[str, str]]) -> None:
        """Select the upstreams to poll for load.

        Upstreams of other data centres are never polled.

        Args:
            keys: Upstreams by (service, upstream id).
        """


UPSTREAMS: ComponentKey[UpstreamPool] = ComponentKey("upstreams")
