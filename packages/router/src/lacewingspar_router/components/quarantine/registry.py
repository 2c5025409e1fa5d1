"""Crash records of all services and the runs that they result from."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Iterator

import structlog

from lacewingspar_core.messages import SuspectRun
from lacewingspar_core.prompt_quarantine import (
    PartQuarantined,
    PartRefusal,
)
from lacewingspar_core.prompt_suspects import (
    PromptRun,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.quarantine.const import (
    ABANDONED_RUN_SECONDS,
    METRIC_CRASHES,
)
from lacewingspar_router.components.quarantine.models import (
    RequestIdentity,
    UpstreamRun,
)
from lacewingspar_router.components.quarantine.suspects import SuspectRunGate
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.upstreams.models import UPSTREAMS
from lacewingspar_router.crash_exchange import CrashExchange

_LOGGER = structlog.get_logger(__name__)

_STATE_FAILING = "failing"
_STATE_LEAVING = "leaving"


class CrashRegistry:
    """Decides which requests are suspects and which are quarantined.

    Args:
        app: The application that holds the other components.
        gate: Reserves upstreams for suspects.
    """

    def __init__(self, app: Application, gate: SuspectRunGate) -> None:
        self._app = app
        self._gate = gate
        self._telemetry = app.get(TELEMETRY)
        self._upstreams = app.get(UPSTREAMS)
        self._exchange = CrashExchange(app)
        self._runs_by_upstream: dict[tuple[str, str], set[UpstreamRun]] = {}
        self._broken_runs_by_check: dict[
            asyncio.Task[None], frozenset[UpstreamRun]
        ] = {}
        self._listeners: list[Callable[[], None]] = []
        self._exchange.add_listener(self._notify)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function whenever new crashes become known."""
        self._listeners.append(listener)

    def remaining_quarantine_seconds(self, identity: RequestIdentity) -> float:
        """Return the remaining quarantine of a request in seconds, or 0."""
        if self._exchange.find_state(identity.service) is None:
            return 0.0
        return self._exchange.refusal_seconds(
            identity.service,
            identity.fingerprint,
            identity.prompt,
            lambda: self._runs_of(identity),
        )

    def prompt_refusal(self, identity: RequestIdentity) -> PartRefusal | None:
        """Return why the prompt of a request is in quarantine, or None."""
        service = identity.service
        if self._exchange.find_state(service) is None:
            return None
        return self._exchange.find_refusal(
            service, identity.prompt, lambda: self._prompt_runs(service)
        )

    def quarantined_parts(self) -> dict[str, list[PartQuarantined]]:
        """Return the prompt parts in quarantine by service."""
        return self._exchange.quarantined_parts()

    def release_part(self, service: str, part: str) -> bool:
        """End the quarantine of a prompt part; return whether it was in it."""
        return self._exchange.release_part(service, part)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Return whether a request must not run beside other suspects."""
        state = self._exchange.find_state(identity.service)
        if state is None:
            return False
        return state.must_run_alone(identity.fingerprint, self._app.now())

    async def async_wait_for_crash_checks(
        self, identity: RequestIdentity
    ) -> None:
        """Wait for the running crash checks that involve a request."""
        checks = [
            check
            for check, runs in self._broken_runs_by_check.items()
            if any(_is_same_request(run.identity, identity) for run in runs)
        ]
        if checks:
            await asyncio.wait(checks)

    async def async_wait_for_free_upstream(
        self,
        identity: RequestIdentity,
        usable: Callable[[], Collection[str]],
        deadline_at: float,
    ) -> frozenset[str]:
        """Wait until an upstream is free of other suspects.

        Returns:
            Upstreams that run other suspects and must not be used.

        Raises:
            NoUpstreamForSuspectError: The deadline has passed.
        """
        return await self._gate.async_wait(
            identity.service, identity.fingerprint, usable, deadline_at
        )

    async def async_begin(
        self, identity: RequestIdentity, upstream_id: str
    ) -> UpstreamRun | None:
        """Record that a request is about to be sent to an upstream.

        Returns:
            The run, or None if a suspect must not run on this upstream now.
        """
        reservation = None
        if self.is_suspect(identity):
            reservation = SuspectRun(upstream_id, identity.fingerprint)
            if not await self._gate.async_reserve(
                identity.service, reservation
            ):
                return None
        state = self._exchange.find_state(identity.service)
        epoch = state.epoch(upstream_id) if state else 0
        run = UpstreamRun(
            identity,
            upstream_id,
            epoch,
            PromptRun(identity.prompt, self._app.now()),
            reservation,
        )
        key = (identity.service, upstream_id)
        self._runs_by_upstream.setdefault(key, set()).add(run)
        return run

    def start_crash_check(self, run: UpstreamRun) -> "asyncio.Task[None]":
        """Start a check whether the upstream of a broken run has crashed.

        A crash breaks all runs of an upstream, so they share the check that
        the first broken run starts.
        """
        if run.confirmation is not None:
            return run.confirmation
        key = (run.identity.service, run.upstream_id)
        runs = frozenset(self._runs_by_upstream.get(key, ())) | {run}
        check = self._app.create_task(
            self._async_confirm(key, runs, self._app.now()), "confirm crash"
        )
        for other in runs:
            other.confirmation = other.confirmation or check
        self._broken_runs_by_check[check] = runs
        check.add_done_callback(
            lambda done: self._broken_runs_by_check.pop(done, None)
        )
        return check

    def end(self, run: UpstreamRun, *, has_caller_left: bool) -> None:
        """Record the end of a run."""
        if run.is_complete and not run.may_not_have_run:
            self._record_success(run)
        if has_caller_left and not run.is_complete:
            asyncio.get_running_loop().call_later(
                ABANDONED_RUN_SECONDS, self._end_abandoned, run
            )
        else:
            self._discard(run)

    def _end_abandoned(self, run: UpstreamRun) -> None:
        """End an abandoned run; check for a crash if its upstream fails."""
        key = (run.identity.service, run.upstream_id)
        status = self._upstreams.status_by_upstream.get(key)
        if status is not None and status.state == _STATE_FAILING:
            self.start_crash_check(run)
        self._discard(run)

    def _discard(self, run: UpstreamRun) -> None:
        key = (run.identity.service, run.upstream_id)
        runs = self._runs_by_upstream.get(key)
        if runs is not None:
            runs.discard(run)
            if not runs:
                del self._runs_by_upstream[key]
        if run.reservation is not None:
            self._gate.release(run.identity.service, run.reservation)
            run.reservation = None

    def _record_success(self, run: UpstreamRun) -> None:
        identity = run.identity
        prompt = identity.prompt if run.proves_prompt else None
        state = self._exchange.record_success(
            identity.service, identity.fingerprint, prompt
        )
        if state.has_changed:
            self._exchange.publish(state)

    def _runs_of(
        self, identity: RequestIdentity
    ) -> Iterator[tuple[str, PromptRun]]:
        """Return the runs of all requests like one that are in flight."""
        return (
            (run.upstream_id, run.prompt_run)
            for runs in self._runs_by_upstream.values()
            for run in runs
            if run.confirmation is None
            and _is_same_request(run.identity, identity)
        )

    def _prompt_runs(self, service: str) -> Iterator[PromptRun]:
        """Return the runs of a service that are in flight."""
        return (
            run.prompt_run
            for (name, _), runs in self._runs_by_upstream.items()
            for run in runs
            if name == service
        )

    async def _async_confirm(
        self,
        key: tuple[str, str],
        runs: frozenset[UpstreamRun],
        broken_at: float,
    ) -> None:
        """Record a crash unless the upstream still responds.

        A broken connection or stream alone is no sign of a crash: upstreams
        that shut down break calls too, and more upstreams are replaced than
        crash. Without a crash, the other requests of the upstream are not
        suspects.
        """
        service, upstream_id = key
        status = self._upstreams.status_by_upstream.get(key)
        if status is None or status.state == _STATE_LEAVING:
            return
        if await self._upstreams.async_is_up(service, upstream_id):
            return
        # A partition breaks all calls to a data centre and makes all of its
        # upstreams unreachable, without any crash.
        if not await self._upstreams.async_is_reachable(service, upstream_id):
            return
        suspects = {
            run.identity.fingerprint for run in runs if not run.is_complete
        }
        _LOGGER.warning(
            "upstream crashed",
            service=service,
            upstream=upstream_id,
            suspects=sorted(suspects),
        )
        self._telemetry.count(
            METRIC_CRASHES, service=service, upstream=upstream_id
        )
        state = self._exchange.state(service)
        state.prompts.record_begun(self._prompt_runs(service), self._app.now())
        epoch = max(run.epoch for run in runs)
        state.record_crash(
            upstream_id,
            epoch,
            suspects,
            self._app.now(),
            [run.prompt_run for run in runs if not run.is_complete],
            broken_at,
            _last_sent(runs),
        )
        self._exchange.publish(state)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _last_sent(runs: Iterable[UpstreamRun]) -> dict[str, float]:
    """Return the latest time at which each request was sent."""
    by_time = sorted(runs, key=lambda run: run.prompt_run.sent_at)
    return {run.identity.fingerprint: run.prompt_run.sent_at for run in by_time}


def _is_same_request(one: RequestIdentity, other: RequestIdentity) -> bool:
    return one.service == other.service and one.fingerprint == other.fingerprint
