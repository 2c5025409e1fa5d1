"""Quarantine of requests that crash upstreams."""

import asyncio
import math
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

import structlog

from lacewingspar_core.prompt_suspects import (
    Prompt,
    PromptRun,
    prompt_of,
)
from lacewingspar_core.quarantine import fingerprint
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.models import Call
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.crash_exchange import CrashExchange
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import ConnectionFailedError

_LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True, eq=False)
class GuardedRequest:
    """What a crash of an upstream may be caused by.

    Attributes:
        request_id: ID of the request.
        service: Service of the request.
        fingerprint: Fingerprint of the whole request.
        prompt: Its prompt.
    """

    request_id: str
    service: str
    fingerprint: str
    prompt: Prompt


@dataclass(slots=True, eq=False)
class GuardedRun:
    """A run of a request at an upstream, as a possible cause of a crash.

    Attributes:
        request: The request.
        upstream_id: ID of the upstream.
        epoch: Number of known crashes of the upstream when the request was
            sent.
        prompt_run: Progress of the run.
        is_continuation: Whether it continues a stream.
        broken_at: Time at which the connection broke, or infinity.
    """

    request: GuardedRequest
    upstream_id: str
    epoch: int
    prompt_run: PromptRun
    is_continuation: bool
    broken_at: float = float("inf")


class CrashGuard:
    """Detects upstream crashes and refuses the requests that cause them.

    Crash records are shared with the other routers. An upstream counts as
    crashed if a connection to it breaks and its address refuses the next
    connection. If the address does not respond at all, it may just be
    unreachable.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._telemetry = app.get(TELEMETRY)
        self._exchange = CrashExchange(app)
        self._runs_by_upstream: dict[str, set[GuardedRun]] = {}
        self._check_by_upstream: dict[str, asyncio.Task[None]] = {}

    def request_of(self, call: Call) -> GuardedRequest:
        """Return what a request may crash upstreams with."""
        request, metadata = call.request, call.metadata
        return GuardedRequest(
            metadata.request_id,
            call.service,
            fingerprint(
                call.service,
                f"{call.workspace} {metadata.host}{request.target}",
                request.body,
            ),
            prompt_of(
                call.workspace, (part.name for part in metadata.shared_parts)
            ),
        )

    def check(self, request: GuardedRequest) -> None:
        """Check that neither a request nor a part of it is in quarantine.

        Raises:
            RequestRefusedError: It has crashed upstreams.
        """
        service = request.service
        if self._exchange.find_state(service) is None:
            return
        seconds = self._exchange.refusal_seconds(
            service,
            request.fingerprint,
            request.prompt,
            lambda: self._runs_of(request),
        )
        if seconds > 0:
            self._telemetry.count("quarantined_total", service=service)
            raise refusals.quarantined(seconds)
        refusal = self._exchange.find_refusal(
            service, request.prompt, lambda: self._prompt_runs(service)
        )
        if refusal is not None:
            self._telemetry.count("quarantined_prompts_total", service=service)
            raise refusals.prompt_quarantined(refusal)

    def may_send(self, request: GuardedRequest) -> bool:
        """Return whether no quarantine was imposed since the last check."""
        try:
            self.check(request)
        except RequestRefusedError:
            return False
        return True

    async def async_wait_for_check(self, upstream_id: str) -> None:
        """Wait for the check whether an upstream has crashed, if it runs."""
        check = self._check_by_upstream.get(upstream_id)
        if check is not None:
            await asyncio.wait({check})

    def upstreams_to_spare(
        self, request: GuardedRequest
    ) -> frozenset[str] | None:
        """Return the upstreams that a request should not endanger.

        They continue streams of upstreams that have broken off.

        Returns:
            IDs of the upstreams, or None if the request is not suspected of a
            crash.
        """
        state = self._exchange.find_state(request.service)
        if state is None or not state.prompts.has_suspect(request.prompt):
            return None
        return frozenset(
            upstream_id
            for upstream_id, runs in self._runs_by_upstream.items()
            if any(run.is_continuation for run in runs)
        )

    def begin(
        self,
        request: GuardedRequest,
        upstream_id: str,
        *,
        is_continuation: bool,
    ) -> GuardedRun:
        """Record a run that is about to start.

        Args:
            request: The request.
            upstream_id: ID of the upstream.
            is_continuation: Whether it continues a stream.
        """
        state = self._exchange.find_state(request.service)
        epoch = 0 if state is None else state.epoch(upstream_id)
        run = GuardedRun(
            request,
            upstream_id,
            epoch,
            PromptRun(request.prompt),
            is_continuation,
        )
        self._runs_by_upstream.setdefault(upstream_id, set()).add(run)
        return run

    def record_sent(self, run: GuardedRun) -> None:
        """Record that a request was sent."""
        run.prompt_run.sent_at = self._app.now()

    def record_output(self, run: GuardedRun) -> None:
        """Record that a response began to arrive."""
        run.prompt_run.first_output_at = self._app.now()

    def end(
        self, run: GuardedRun, pool: ConnectionPool, *, is_broken: bool
    ) -> None:
        """Record the end of a run, and check for a crash if it broke.

        Args:
            run: The run.
            pool: Connections to its upstream.
            is_broken: Whether the connection broke.
        """
        if is_broken:
            run.broken_at = self._app.now()
            # Keep the run as a suspect: a crash breaks all runs of the upstream
            # at nearly the same time.
            loop = asyncio.get_running_loop()
            loop.call_later(
                const.CRASH_SUSPECT_RETENTION_SECONDS, self._discard_run, run
            )
            self._check_crash(run, pool)
            return
        self._discard_run(run)

    def record_response(self, run: GuardedRun, status: int) -> None:
        """Record that a request got its complete response.

        Args:
            run: The run.
            status: Status of the response. An error does not prove the prompt,
                as the upstream may not have run it.
        """
        request = run.request
        prompt = request.prompt if status < HTTPStatus.BAD_REQUEST else None
        state = self._exchange.record_success(
            request.service, request.fingerprint, prompt
        )
        if state.has_changed:
            self._exchange.publish_soon(state)

    def _prompt_runs(self, service: str) -> Iterator[PromptRun]:
        """Return the runs of a service that are in flight."""
        return (
            run.prompt_run
            for runs in self._runs_by_upstream.values()
            for run in runs
            if run.request.service == service
        )

    def _runs_of(
        self, request: GuardedRequest
    ) -> Iterator[tuple[str, PromptRun]]:
        """Return the runs of all requests like one that are in flight."""
        return (
            (run.upstream_id, run.prompt_run)
            for runs in self._runs_by_upstream.values()
            for run in runs
            if run.request.fingerprint == request.fingerprint
            and run.broken_at == math.inf
        )

    def _discard_run(self, run: GuardedRun) -> None:
        runs = self._runs_by_upstream.get(run.upstream_id)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self._runs_by_upstream[run.upstream_id]

    def _check_crash(self, run: GuardedRun, pool: ConnectionPool) -> None:
        if run.upstream_id in self._check_by_upstream:
            return
        self._check_by_upstream[run.upstream_id] = self._app.create_task(
            self._async_check_crash(run, pool), "check for a crash"
        )

    async def _async_check_crash(
        self, run: GuardedRun, pool: ConnectionPool
    ) -> None:
        try:
            if await async_has_crashed(pool):
                self._record_crash(run)
        finally:
            del self._check_by_upstream[run.upstream_id]

    def _record_crash(self, run: GuardedRun) -> None:
        runs = {
            suspect
            for suspect in self._runs_by_upstream.get(run.upstream_id, ())
            if suspect.prompt_run.sent_at != math.inf
        } | {run}
        sent_at_by_fingerprint: dict[str, float] = {}
        for suspect in sorted(runs, key=lambda item: item.prompt_run.sent_at):
            name = suspect.request.fingerprint
            sent_at_by_fingerprint[name] = suspect.prompt_run.sent_at
        epoch = max(suspect.epoch for suspect in runs)
        broken_at = min(suspect.broken_at for suspect in runs)
        service = run.request.service
        state = self._exchange.state(service)
        state.prompts.record_begun(self._prompt_runs(service), self._app.now())
        state.record_crash(
            run.upstream_id,
            epoch,
            sent_at_by_fingerprint,
            self._app.now(),
            [suspect.prompt_run for suspect in runs],
            broken_at,
            sent_at_by_fingerprint,
        )
        waiting = [
            suspect.request
            for suspect in runs
            if suspect.prompt_run.begun_at(broken_at) is None
        ]
        _LOGGER.warning(
            "upstream crashed",
            upstream=run.upstream_id,
            service=service,
            suspects=len(sent_at_by_fingerprint),
            without_output=[request.request_id for request in waiting][
                : const.MAX_LOGGED_SUSPECTS
            ],
            their_prompt_parts=sorted(
                {part for request in waiting for part in request.prompt.parts}
            )[: const.MAX_LOGGED_SUSPECTS],
        )
        self._exchange.publish(state)


async def async_has_crashed(pool: ConnectionPool) -> bool:
    """Return whether an upstream that has closed a connection has crashed.

    Its address then refuses the next connection. If that is accepted, it is
    kept for the next request.
    """
    await asyncio.sleep(const.CRASH_CHECK_DELAY_SECONDS)
    try:
        connection = await async_connect(pool.address)
    except ConnectionFailedError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    pool.release(connection)
    return False
