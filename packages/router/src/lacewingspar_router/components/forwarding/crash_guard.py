"""Keeps requests that crash upstreams away from further ones."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import structlog

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.quarantine import fingerprint
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.models import Call
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.crash_exchange import CrashExchange
from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.errors import ConnectionFailedError

_LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class GuardedRun:
    """A request that was sent to an upstream.

    Attributes:
        service: Service of the upstream.
        upstream_id: The upstream.
        fingerprint: Fingerprint of the request.
        epoch: Number of the upstream's known crashes when it was sent.
    """

    service: str
    upstream_id: str
    fingerprint: str
    epoch: int


class CrashGuard:
    """Crash records of all services, shared with the other routers.

    An upstream has crashed if a connection to it breaks and its address
    refuses the next one. An address that does not answer at all may only be
    cut off.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._telemetry = app.get(TELEMETRY)
        self._exchange = CrashExchange(app)
        self._runs_by_upstream: dict[str, Counter[GuardedRun]] = {}
        self._checked_upstreams: set[str] = set()

    def mark_of(self, call: Call) -> str:
        """Return the fingerprint of a request."""
        request = call.request
        return fingerprint(
            call.service,
            f"{call.workspace} {call.fields.host}{request.target}",
            request.body,
        )

    def check(self, call: Call, mark: str) -> None:
        """Check that a request is not in quarantine.

        Raises:
            RequestRefusedError: The request has crashed upstreams.
        """
        state = self._exchange.known_state(call.service)
        if state is None:
            return
        now = self._app.now()
        seconds = state.refused_until(mark, now) - now
        if seconds > 0:
            self._telemetry.count("quarantined_total", service=call.service)
            raise refusals.quarantined(seconds)

    def begin(self, call: Call, mark: str, upstream_id: str) -> GuardedRun:
        """Note that a request is sent."""
        state = self._exchange.known_state(call.service)
        epoch = 0 if state is None else state.epoch(upstream_id)
        run = GuardedRun(call.service, upstream_id, mark, epoch)
        self._runs_by_upstream.setdefault(upstream_id, Counter())[run] += 1
        return run

    def end(
        self, run: GuardedRun, upstream: UpstreamEntry, *, is_broken: bool
    ) -> None:
        """Note the end of a run.

        Args:
            run: The run.
            upstream: Its upstream.
            is_broken: Whether the connection broke.
        """
        if is_broken:
            # The other runs of a crash break within moments of this one.
            loop = asyncio.get_running_loop()
            loop.call_later(const.CRASH_MEMORY_SECONDS, self._forget, run)
            self._check_crash(run, upstream)
            return
        self._forget(run)

    def note_success(self, run: GuardedRun) -> None:
        """Note that a request was answered completely."""
        state = self._exchange.known_state(run.service)
        if state is not None:
            state.on_success(run.fingerprint, self._app.now())
            self._exchange.publish(state)

    def _forget(self, run: GuardedRun) -> None:
        runs = self._runs_by_upstream.get(run.upstream_id)
        if runs is None:
            return
        runs[run] -= 1
        if runs[run] <= 0:
            del runs[run]
        if not runs:
            del self._runs_by_upstream[run.upstream_id]

    def _check_crash(self, run: GuardedRun, upstream: UpstreamEntry) -> None:
        if run.upstream_id in self._checked_upstreams:
            return
        self._checked_upstreams.add(run.upstream_id)
        self._app.create_task(
            self._async_check_crash(run, upstream), "check for a crash"
        )

    async def _async_check_crash(
        self, run: GuardedRun, upstream: UpstreamEntry
    ) -> None:
        try:
            await asyncio.sleep(const.CRASH_CHECK_DELAY_SECONDS)
            connection = await async_connect(upstream.address)
        except ConnectionFailedError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._note_crash(run)
        else:
            connection.abort()
        finally:
            self._checked_upstreams.discard(run.upstream_id)

    def _note_crash(self, run: GuardedRun) -> None:
        runs = self._runs_by_upstream.get(run.upstream_id, Counter())
        marks = {item.fingerprint for item in runs} | {run.fingerprint}
        epoch = max([item.epoch for item in runs] + [run.epoch])
        state = self._exchange.state(run.service)
        state.on_crash(run.upstream_id, epoch, marks, self._app.now())
        _LOGGER.warning(
            "upstream crashed",
            upstream=run.upstream_id,
            service=run.service,
            suspects=len(marks),
        )
        self._exchange.publish(state)
