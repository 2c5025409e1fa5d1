"""Quarantine of requests that crash upstreams."""

import asyncio
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


@dataclass(slots=True, eq=False)
class GuardedRun:
    """A run of a request at an upstream, as a possible cause of a crash.

    Attributes:
        service: Service of the upstream.
        upstream_id: ID of the upstream.
        request_id: ID of the request.
        fingerprint: Fingerprint of the request.
        prompt_parts: Parts of its prompt that other requests may share.
        epoch: Number of known crashes of the upstream when the request was
            sent.
        has_output: Whether the upstream has begun to write its response.
    """

    service: str
    upstream_id: str
    request_id: str
    fingerprint: str
    prompt_parts: tuple[str, ...]
    epoch: int
    has_output: bool = False


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
        self._upstreams_being_checked: set[str] = set()

    def fingerprint_of(self, call: Call) -> str:
        """Return the fingerprint of a request."""
        request = call.request
        return fingerprint(
            call.service,
            f"{call.workspace} {call.metadata.host}{request.target}",
            request.body,
        )

    def check(self, call: Call, request_fingerprint: str) -> None:
        """Check that a request is not in quarantine.

        Raises:
            RequestRefusedError: The request has crashed upstreams and is in
                quarantine.
        """
        state = self._exchange.find_state(call.service)
        if state is None:
            return
        now = self._app.now()
        seconds = state.refused_until(request_fingerprint, now) - now
        if seconds > 0:
            self._telemetry.count("quarantined_total", service=call.service)
            raise refusals.quarantined(seconds)

    def begin(
        self, call: Call, request_fingerprint: str, upstream_id: str
    ) -> GuardedRun:
        """Record the start of a run."""
        state = self._exchange.find_state(call.service)
        epoch = 0 if state is None else state.epoch(upstream_id)
        metadata = call.metadata
        run = GuardedRun(
            call.service,
            upstream_id,
            metadata.request_id,
            request_fingerprint,
            tuple(part.name for part in metadata.shared_parts),
            epoch,
        )
        self._runs_by_upstream.setdefault(upstream_id, set()).add(run)
        return run

    def end(
        self, run: GuardedRun, upstream: UpstreamEntry, *, is_broken: bool
    ) -> None:
        """Record the end of a run, and check for a crash if it broke.

        Args:
            run: The run.
            upstream: Upstream of the run.
            is_broken: Whether the connection broke.
        """
        if is_broken:
            # Keep the run as a suspect: a crash breaks all runs of the upstream
            # at nearly the same time.
            loop = asyncio.get_running_loop()
            loop.call_later(
                const.CRASH_SUSPECT_RETENTION_SECONDS, self._discard_run, run
            )
            self._check_crash(run, upstream)
            return
        self._discard_run(run)

    def record_success(self, run: GuardedRun) -> None:
        """Record that a request got its complete response."""
        state = self._exchange.find_state(run.service)
        if state is not None:
            state.record_success(run.fingerprint, self._app.now())
            self._exchange.publish_soon(state)

    def _discard_run(self, run: GuardedRun) -> None:
        runs = self._runs_by_upstream.get(run.upstream_id)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self._runs_by_upstream[run.upstream_id]

    def _check_crash(self, run: GuardedRun, upstream: UpstreamEntry) -> None:
        if run.upstream_id in self._upstreams_being_checked:
            return
        self._upstreams_being_checked.add(run.upstream_id)
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
                self._record_crash(run)
        else:
            connection.abort()
        finally:
            self._upstreams_being_checked.discard(run.upstream_id)

    def _record_crash(self, run: GuardedRun) -> None:
        runs = self._runs_by_upstream.get(run.upstream_id, set()) | {run}
        fingerprints = {suspect.fingerprint for suspect in runs}
        epoch = max(suspect.epoch for suspect in runs)
        state = self._exchange.state(run.service)
        state.record_crash(
            run.upstream_id, epoch, fingerprints, self._app.now()
        )
        waiting = [suspect for suspect in runs if not suspect.has_output]
        _LOGGER.warning(
            "upstream crashed",
            upstream=run.upstream_id,
            service=run.service,
            suspects=len(fingerprints),
            without_output=[suspect.request_id for suspect in waiting][
                : const.MAX_LOGGED_SUSPECTS
            ],
            their_prompt_parts=sorted(
                {part for suspect in waiting for part in suspect.prompt_parts}
            )[: const.MAX_LOGGED_SUSPECTS],
        )
        self._exchange.publish(state)
