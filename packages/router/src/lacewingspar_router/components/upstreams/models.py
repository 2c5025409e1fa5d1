"""Interface of the upstreams component."""

from collections.abc import AsyncIterator, Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """An HTTP call to one upstream.

    Attributes:
        request_id: Identity that the upstream must repeat.
        method: HTTP method.
        path: Path with query string.
        headers: Headers without hop-by-hop headers.
        body: Request body.
        silent_after_seconds: An answer that delivers nothing for this long
            counts as failed.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    silent_after_seconds: float


class UpstreamAnswer(Protocol):
    """An answer whose head has been received and checked.

    Attributes:
        status: HTTP status code.
        headers: Headers without hop-by-hop headers.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def body(self) -> AsyncIterator[bytes]:
        """Return the body in parts as they arrive.

        Raises:
            UpstreamError: The body ended early or went silent.
        """

    async def async_close(self) -> None:
        """Close the call, which cancels it if it still runs."""


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What this router knows about one upstream.

    Attributes:
        state: State of the upstream health chart: `unknown`, `healthy`,
            `failing`, `leaving` or `gone`.
        slots: Number of requests that it may run at once now.
    """

    state: str
    slots: int


class UpstreamPool(Protocol):
    """Calls to upstreams and their health."""

    async def async_call(
        self, service: str, upstream_id: str, call: UpstreamCall
    ) -> UpstreamAnswer:
        """Send a call and wait for the head of the answer.

        Raises:
            UpstreamError: The call failed; its `run` attribute says whether
                the upstream may have run it.
        """

    async def async_is_up(self, service: str, upstream_id: str) -> bool:
        """Return whether an upstream answers HTTP requests."""

    async def async_is_reachable(self, service: str, upstream_id: str) -> bool:
        """Return whether the network to an upstream's data centre works."""

    @property
    def status_by_upstream(self) -> Mapping[tuple[str, str], UpstreamStatus]:
        """Return the status by (service, upstream id)."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change of a status."""

    def set_polled(self, keys: Collection[tuple[str, str]]) -> None:
        """Poll only these upstreams of the own data centre for load.

        Args:
            keys: Upstreams by (service, upstream id).
        """


UPSTREAMS: ComponentKey[UpstreamPool] = ComponentKey("upstreams")
