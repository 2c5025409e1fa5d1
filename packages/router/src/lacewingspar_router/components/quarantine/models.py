"""Interface of the quarantine component."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from lacewingspar_core.messages import SuspectRun
from lacewingspar_core.quarantine import fingerprint
from lacewingspar_router.application import ComponentKey


@dataclass(slots=True, eq=False)
class Subject:
    """What identifies a request to the quarantine.

    Attributes:
        service: Name of the service.
        path: Path at the upstream with query string.
        body: Request body.
    """

    service: str
    path: str
    body: bytes
    _fingerprint: str = ""

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint, which is computed only when needed."""
        if not self._fingerprint:
            self._fingerprint = fingerprint(self.service, self.path, self.body)
        return self._fingerprint


@dataclass(slots=True, eq=False)
class UpstreamRun:
    """A request in flight on an upstream.

    Attributes:
        subject: The request.
        upstream_id: The upstream.
        epoch: Number of its crashes known when the request was sent.
        reservation: Reservation of the upstream if the request is a suspect.
        is_complete: Whether the whole answer has arrived.
        confirmation: Check whether the upstream has crashed, if it began.
    """

    subject: Subject
    upstream_id: str
    epoch: int
    reservation: SuspectRun | None = None
    is_complete: bool = False
    confirmation: asyncio.Task[None] | None = None


class CrashQuarantine(Protocol):
    """Requests that crash upstreams, as known to the fleet."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after new crashes have become known."""

    def refused_seconds(self, subject: Subject) -> float:
        """Return how long a request is still refused, or 0."""

    def is_suspect(self, subject: Subject) -> bool:
        """Return whether a request must run apart from other suspects."""

    async def async_wait_confirmed(self, subject: Subject) -> None:
        """Wait for checks whether this request has crashed an upstream."""

    async def async_busy_upstreams(
        self,
        subject: Subject,
        usable: Callable[[], Collection[str]],
        deadline_at: float,
    ) -> frozenset[str]:
        """Wait until a suspect may run and return what it must not use.

        Args:
            subject: The suspect.
            usable: Returns the upstreams that could run it now.
            deadline_at: Latest end of the wait on the application's clock.

        Raises:
            NoUpstreamForSuspectError: The deadline has passed.
        """

    async def async_begin(
        self, subject: Subject, upstream_id: str
    ) -> UpstreamRun | None:
        """Note that a request is about to be sent.

        Returns:
            The run, or None if a suspect must not run on this upstream now.
        """

    def on_break(self, run: UpstreamRun) -> "asyncio.Task[None]":
        """Begin to check whether the upstream of a broken run has crashed."""

    def end(self, run: UpstreamRun, *, is_left: bool) -> None:
        """Note the end of a run.

        Args:
            run: The run; `is_complete` tells whether it has succeeded.
            is_left: Whether the caller has left, so that the upstream may
                still be busy with the request.
        """


QUARANTINE: ComponentKey[CrashQuarantine] = ComponentKey("quarantine")
