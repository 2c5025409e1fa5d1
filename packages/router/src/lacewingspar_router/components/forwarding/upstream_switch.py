"""Switch of a request to another upstream while its upstream is silent."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.attempt_rules import RULE_BY_RESULT, AttemptResult
from lacewingspar_core.routing import RouteKind
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import (
    ADMISSION,
    Grant,
    RequestRequirements,
)
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.attempt import AttemptEnd
from lacewingspar_router.components.forwarding.replacement import (
    Replacement,
    SendFunction,
)
from lacewingspar_router.components.forwarding.request_recorder import (
    REASON_ATTEMPTS,
    REASON_BUDGET,
    REASON_NO_RESUME_POINT,
    REASON_REMOVED,
    REASON_TIME,
    REASON_UNREACHABLE,
    REPLACED,
    CallProgress,
    RequestRecorder,
)
from lacewingspar_router.components.forwarding.requirements import (
    requirements_of,
    resumed,
    without_shared_parts,
)
from lacewingspar_router.components.forwarding.retry_budgets import RetryBudgets
from lacewingspar_router.components.forwarding.silence import (
    SilenceState,
    SilenceTracker,
    event_gap_limit,
    response_silence_limit,
)
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import ConnectionFailedError


@dataclass(slots=True)
class _WatchedAttempt:
    """An attempt whose upstream may be replaced.

    Attributes:
        connection: Connection to the upstream.
        upstream_id: ID of the upstream.
        tracker: Its silences.
        recorded: Outcomes of the present silence that were recorded.
    """

    connection: ClientConnection
    upstream_id: str
    tracker: SilenceTracker
    recorded: set[str] = field(default_factory=set)


class UpstreamSwitch:
    """Finds the upstreams of one request, and replaces one that is silent.

    A silent upstream may go on, so its attempt continues while a replacement is
    sought, and while the replacement may still refuse the request. The attempt
    is interrupted only if another upstream was granted and accepts a
    connection, the retry budget allows it, that upstream has responded or had
    the time to refuse, and the first one is still silent.

    Args:
        app: The application.
        retry_budgets: Retry budgets of the services.
        recorder: Records the decisions.
        progress: The request and its state.
        connection_pool: Returns the pool of connections to an address.
        upstreams_to_spare: Returns the upstreams to spare if the request may
            have crashed an upstream, otherwise None.
        send: Sends the request.
    """

    def __init__(
        self,
        app: Application,
        retry_budgets: RetryBudgets,
        recorder: RequestRecorder,
        progress: CallProgress,
        connection_pool: Callable[[str], ConnectionPool],
        upstreams_to_spare: Callable[[], frozenset[str] | None],
        send: SendFunction,
    ) -> None:
        self._app = app
        self._admission = app.get(ADMISSION)
        self._routing = app.get(ROUTING)
        self._retry_budgets = retry_budgets
        self._recorder = recorder
        self._progress = progress
        self._connection_pool = connection_pool
        self._upstreams_to_spare = upstreams_to_spare
        self._send = send
        self._initial_requirements = requirements_of(progress.call)
        self._watched: _WatchedAttempt | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._search: asyncio.Task[None] | None = None
        self._reserved: Grant | None = None
        self._replacement: Replacement | None = None
        self._refusal: RequestRefusedError | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether the upstream in use is silent beyond the limit."""
        return self._watched is not None and _is_silent(self._watched)

    @property
    def has_replacement(self) -> bool:
        """Return whether the next attempt has been sent and paid for."""
        return self._replacement is not None

    async def async_send(self, grant: Grant) -> AttemptEnd:
        """Run the attempt of a grant, or go on with the one that was sent."""
        replacement, self._replacement = self._replacement, None
        if replacement is None:
            return await self._send(grant, self)
        return await replacement.async_take_over()

    async def async_before_relay(self) -> None:
        """Relay the stream of the upstream in use at once."""

    async def async_next_grant(self) -> Grant:
        """Return the grant for the next attempt.

        Raises:
            RequestRefusedError: No other upstream is granted.
        """
        history = self._progress.history
        if self._replacement is not None:
            return self._replacement.grant
        try:
            if self._search is not None:
                await self._search
            refusal, self._refusal = self._refusal, None
            if refusal is not None:
                raise refusal
            grant, self._reserved = self._reserved, None
            if grant is not None:
                return grant
            spared = self._spared()
            if spared is not None:
                return await self._admission.async_acquire(
                    without_shared_parts(self._initial_requirements),
                    self._without(spared),
                )
            return await self._admission.async_acquire(
                self._requirements(), self._excluded()
            )
        except RequestRefusedError as error:
            if history.tried:
                self._progress.no_replacement = error.code
            raise

    def _spared(self) -> frozenset[str] | None:
        """Return the upstreams to spare by a retry that may crash its own."""
        if (
            self._progress.caller_response.exchange.is_started
            or not self._progress.history.tried
        ):
            return None
        return self._upstreams_to_spare()

    def _without(self, spared: frozenset[str]) -> frozenset[str]:
        """Return the excluded upstreams, with those to spare if any is left."""
        excluded = self._excluded()
        service = self._progress.call.service
        ready = self._routing.directory.ready_upstreams(service).keys()
        return excluded | spared if ready - excluded - spared else excluded

    def _excluded(self) -> frozenset[str]:
        """Return the upstreams that the next attempt must not use."""
        history = self._progress.history
        if not history.return_to:
            return history.excluded
        service = self._progress.call.service
        others = self._routing.directory.ready_upstreams(service).keys()
        return (history.tried | others) - {history.return_to}

    def watch(self, connection: ClientConnection) -> None:
        """Watch the upstream of an attempt that was just sent."""
        route = self._progress.call.route
        if not route.may_run_again:
            return
        connection.watch_progress()
        tracker = SilenceTracker(response_silence_limit(route))
        self._watched = _WatchedAttempt(
            connection, self._progress.upstream_id, tracker
        )
        self._check_after(tracker.limit_seconds)

    def record_first_chunk(self) -> None:
        """Apply the limit for gaps from now on."""
        route = self._progress.call.route
        if self._watched is None or route.kind is not RouteKind.STREAM:
            return
        tracker = self._watched.tracker
        limit = event_gap_limit(route)
        if limit < tracker.limit_seconds and not tracker.is_silent:
            self._check_after(limit)
        tracker.limit_seconds = limit

    def end_watch(self) -> None:
        """Stop watching; a search goes on for the next attempt."""
        watched, self._watched = self._watched, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if watched is not None and watched.tracker.is_silent:
            self._update(watched)

    def close(self) -> None:
        """Withdraw the search and give back a grant that was not used."""
        self.end_watch()
        self._withdraw()

    def _withdraw(self) -> None:
        if self._search is not None:
            self._search.cancel()
            self._search = None
        self._give_back_reserved()
        self._withdraw_replacement()

    def _give_back_reserved(self) -> None:
        if self._reserved is not None:
            self._admission.end(self._reserved, RunOutcome.CANCELLED)
            self._reserved = None

    def _withdraw_replacement(self) -> None:
        replacement, self._replacement = self._replacement, None
        if replacement is None:
            return
        replacement.cancel()
        grant = replacement.grant
        self._progress.history.record(
            AttemptResult.WITHDRAWN, grant.upstream_id
        )
        self._admission.end(grant, RunOutcome.CANCELLED)

    def _check_after(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        watched = self._watched
        assert watched is not None
        state = self._update(watched)
        if state is SilenceState.WENT_ON:
            self._withdraw()
        if watched.connection.has_failed:
            # The attempt ends, and a reserved grant is for the next one.
            return
        if state is SilenceState.SEARCH_DUE and self._search is None:
            self._start_search(watched)
        self._check_after(watched.tracker.check_after_seconds)

    def _update(self, watched: _WatchedAttempt) -> SilenceState:
        """Update the tracker and record the end of a silence."""
        state = watched.tracker.update(
            watched.connection.last_progress_at, time.monotonic()
        )
        if state is SilenceState.WENT_ON:
            watched.recorded.clear()
            self._progress.no_replacement = ""
            self._recorder.record_silence_end(
                self._progress, watched.tracker.silent_seconds
            )
        return state

    def _start_search(self, watched: _WatchedAttempt) -> None:
        obstacle = self._find_obstacle()
        if obstacle:
            self._record_no_replacement(watched, obstacle)
            return
        self._search = self._app.create_task(
            self._async_search(watched), "search for another upstream"
        )

    async def _async_search(self, watched: _WatchedAttempt) -> None:
        """Wait for another upstream and decide whether to use it."""
        try:
            await asyncio.sleep(const.SILENCE_CONFIRM_SECONDS)
            if self._watched is watched and not _is_silent(watched):
                return
            tried = self._progress.history.tried
            self._reserved = await self._admission.async_acquire(
                self._requirements(), tried | {watched.upstream_id}
            )
            await self._async_connect(self._reserved)
        except RequestRefusedError as error:
            if self._watched is watched:
                self._record_no_replacement(watched, error.code)
            else:
                self._refusal = error
        except ConnectionFailedError:
            self._give_back_unreachable()
            if self._watched is watched:
                self._record_no_replacement(watched, REASON_UNREACHABLE)
        else:
            if self._may_use_reserved(watched):
                await self._async_replace(watched)
        finally:
            if self._search is asyncio.current_task():
                self._search = None

    async def _async_connect(self, grant: Grant) -> None:
        """Keep a connection for a grant ready in its pool.

        Raises:
            ConnectionFailedError: No connection could be opened.
        """
        entry = self._routing.directory.entry_by_id.get(grant.upstream_id)
        if entry is not None:
            pool = self._connection_pool(entry.address)
            pool.release(await pool.async_acquire())

    def _give_back_unreachable(self) -> None:
        grant, self._reserved = self._reserved, None
        assert grant is not None
        self._progress.history.record(
            AttemptResult.UNREACHABLE, grant.upstream_id
        )
        self._admission.end(grant, RunOutcome.NOT_RUN, is_unreachable=True)

    def _may_use_reserved(self, watched: _WatchedAttempt) -> bool:
        """Return whether to send the request to the reserved upstream.

        If it is not used, the grant is given back. An attempt that has failed
        leaves it to the next one.
        """
        if self._watched is not watched or watched.connection.has_failed:
            return False
        if not _is_silent(watched):
            self._give_back_reserved()
            return False
        obstacle = self._find_obstacle(self._reserved)
        if not obstacle and not self._retry_budgets.try_spend(
            self._progress.call
        ):
            obstacle = REASON_BUDGET
        if obstacle:
            self._give_back_reserved()
            self._record_no_replacement(watched, obstacle)
        return not obstacle

    async def _async_replace(self, watched: _WatchedAttempt) -> None:
        """Send the request to the reserved upstream and leave the silent one.

        The silent one is kept until the other one responds, as that may refuse.
        """
        grant, self._reserved = self._reserved, None
        assert grant is not None
        replacement = self._replacement = Replacement(grant, self)
        replacement.start(
            self._app.create_task(
                self._send(grant, replacement),
                "replacement of a silent upstream",
            )
        )
        await replacement.async_wait_for_response(
            const.REPLACEMENT_RESPONSE_SECONDS
        )
        if (
            self._replacement is not replacement
            or self._watched is not watched
            or watched.connection.has_failed
        ):
            # The attempt ends, and the next one goes on with the replacement.
            return
        if not _is_silent(watched):
            self._withdraw_replacement()
        elif replacement.failure is not None:
            self._record_failed_replacement(watched, grant, replacement.failure)
        else:
            self._progress.no_replacement = ""
            self._record(watched, REPLACED)
            watched.connection.interrupt()

    def _record_failed_replacement(
        self, watched: _WatchedAttempt, grant: Grant, end: AttemptEnd
    ) -> None:
        """Record a replacement that has failed; the silent upstream is kept."""
        self._replacement = None
        self._progress.history.record(end.result, grant.upstream_id)
        self._admission.end(
            grant,
            RULE_BY_RESULT[end.result].outcome,
            is_unreachable=end.result is AttemptResult.UNREACHABLE,
        )
        self._recorder.record_failed_attempt(
            self._progress, grant.upstream_id, end
        )
        self._record_no_replacement(watched, end.result)

    def _find_obstacle(self, grant: Grant | None = None) -> str:
        """Return why no upstream may replace the present one, or ""."""
        call = self._progress.call
        if not self._progress.history.may_replace:
            return REASON_ATTEMPTS
        if not self._progress.caller_response.can_continue:
            return REASON_NO_RESUME_POINT
        time_left = call.deadline_at - self._app.now()
        if time_left < const.MIN_RETRY_TIME_LEFT_SECONDS:
            return REASON_TIME
        if not self._retry_budgets.allows_retry(call.service):
            return REASON_BUDGET
        if grant is not None and not self._is_usable(grant):
            return REASON_REMOVED
        return ""

    def _is_usable(self, grant: Grant) -> bool:
        directory = self._routing.directory.entry_by_id
        return grant.upstream_id in directory and self._admission.may_send(
            grant
        )

    def _record_no_replacement(
        self, watched: _WatchedAttempt, reason: str
    ) -> None:
        watched.tracker.postpone_search(time.monotonic())
        self._progress.no_replacement = reason
        self._record(watched, reason)

    def _record(self, watched: _WatchedAttempt, outcome: str) -> None:
        """Record an outcome once in each silence."""
        if outcome in watched.recorded:
            return
        watched.recorded.add(outcome)
        silent_seconds = time.monotonic() - watched.connection.last_progress_at
        self._recorder.record_silence(self._progress, silent_seconds, outcome)

    def _requirements(self) -> RequestRequirements:
        if not self._progress.caller_response.exchange.is_started:
            return self._initial_requirements
        return resumed(
            self._initial_requirements, self._progress.call, self._app.now()
        )


def _is_silent(watched: _WatchedAttempt) -> bool:
    seconds = time.monotonic() - watched.connection.last_progress_at
    return seconds >= watched.tracker.limit_seconds
