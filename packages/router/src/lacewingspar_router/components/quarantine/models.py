"""Interface of the quarantine component."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from lacewingspar_core.messages import SuspectRun
from lacewingspar_core.prompt_quarantine import (
    PartQuarantined,
    PartRefusal,
)
from lacewingspar_core.prompt_suspects import (
    Prompt,
    PromptRun,
    prompt_of,
)
from lacewingspar_core.quarantine import fingerprint
from lacewingspar_router.application import ComponentKey
from lacewingspar_router.components.quarantine.message_parts import (
    message_parts,
)

_DECLINING_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
    }
)


@dataclass(slots=True, eq=False)
class RequestIdentity:
    """Identifies a request in the quarantine.

    Attributes:
        service: Name of the service.
        path: Path at the upstream, including the query string.
        body: Request body.
        workspace: Workspace of the caller.
    """

    service: str
    path: str
    body: bytes
    workspace: str = ""
    _fingerprint: str = ""
    _prompt: Prompt | None = None

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint, computed on first use."""
        if not self._fingerprint:
            self._fingerprint = fingerprint(self.service, self.path, self.body)
        return self._fingerprint

    @property
    def prompt(self) -> Prompt:
        """Return the prompt, parsed on first use."""
        if self._prompt is None:
            self._prompt = prompt_of(self.workspace, message_parts(self.body))
        return self._prompt


@dataclass(slots=True, eq=False)
class UpstreamRun:
    """A request in flight on an upstream.

    Attributes:
        identity: The request.
        upstream_id: The upstream.
        epoch: Number of known crashes of the upstream when the request was
            sent.
        reservation: Reservation of the upstream if the request is a suspect.
        prompt_run: Progress of the run.
        is_complete: Whether the whole response has arrived.
        proves_prompt: Whether the response is one to its prompt, not an error.
        may_not_have_run: Whether the response may be that of an upstream which
            has not run the request.
        confirmation: Check whether the upstream has crashed, once started.
    """

    identity: RequestIdentity
    upstream_id: str
    epoch: int
    prompt_run: PromptRun
    reservation: SuspectRun | None = None
    is_complete: bool = False
    proves_prompt: bool = False
    may_not_have_run: bool = False
    confirmation: asyncio.Task[None] | None = None

    def record_response(self, status: int) -> None:
        """Record that the whole response has arrived."""
        self.is_complete = True
        self.proves_prompt = status < HTTPStatus.BAD_REQUEST
        self.may_not_have_run = (
            status in _DECLINING_STATUSES
            or status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )


class CrashQuarantine(Protocol):
    """Tracks requests that crash upstreams, across the fleet."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function whenever new crashes become known."""

    def remaining_quarantine_seconds(self, identity: RequestIdentity) -> float:
        """Return the remaining quarantine of a request in seconds, or 0."""

    def prompt_refusal(self, identity: RequestIdentity) -> PartRefusal | None:
        """Return why the prompt of a request is in quarantine, or None."""

    def quarantined_parts(self) -> dict[str, list[PartQuarantined]]:
        """Return the prompt parts in quarantine by service."""

    def release_part(self, service: str, part: str) -> bool:
        """End the quarantine of a prompt part; return whether it was in it."""

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Return whether a request must not run beside other suspects."""

    async def async_wait_for_crash_checks(
        self, identity: RequestIdentity
    ) -> None:
        """Wait for the running crash checks that involve a request."""

    async def async_wait_for_free_upstream(
        self,
        identity: RequestIdentity,
        usable: Callable[[], Collection[str]],
        deadline_at: float,
    ) -> frozenset[str]:
        """Wait until an upstream is free of other suspects.

        Args:
            identity: The suspect that is to run.
            usable: Returns the upstreams that could run it now.
            deadline_at: Latest end of the wait on the application's clock.

        Returns:
            Upstreams that run other suspects and must not be used.

        Raises:
            NoUpstreamForSuspectError: The deadline has passed.
        """

    async def async_begin(
        self, identity: RequestIdentity, upstream_id: str
    ) -> UpstreamRun | None:
        """Record that a request is about to be sent to an upstream.

        Returns:
            The run, or None if a suspect must not run on this upstream now.
        """

    def start_crash_check(self, run: UpstreamRun) -> "asyncio.Task[None]":
        """Start a check whether the upstream of a broken run has crashed."""

    def end(self, run: UpstreamRun, *, has_caller_left: bool) -> None:
        """Record the end of a run.

        Args:
            run: The run; it has succeeded if `is_complete` is set.
            has_caller_left: Whether the caller has disconnected, so that the
                upstream may still be processing the request.
        """


QUARANTINE: ComponentKey[CrashQuarantine] = ComponentKey("quarantine")
