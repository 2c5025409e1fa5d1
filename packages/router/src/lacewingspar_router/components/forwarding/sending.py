"""Sending of requests to upstreams."""

from http import HTTPStatus

import structlog

from lacewingspar_core.attempt_rules import AttemptResult
from lacewingspar_core.directory import UpstreamEntry, UpstreamState
from lacewingspar_core.memory_budget import MemoryBudget
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import ADMISSION, Grant
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.attempt import (
    Attempt,
    AttemptEnd,
    AttemptHooks,
)
from lacewingspar_router.components.forwarding.crash_guard import (
    CrashGuard,
    GuardedRequest,
    GuardedRun,
    async_has_crashed,
)
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT
from lacewingspar_router.components.forwarding.replacement import (
    AttemptObserver,
)
from lacewingspar_router.components.forwarding.request_recorder import (
    CallProgress,
)
from lacewingspar_router.components.routing.models import (
    ROUTING,
    UPSTREAM_AVAILABILITY,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool

_LOGGER = structlog.get_logger(__name__)


class UpstreamSender:
    """Sends requests to upstreams and keeps the connections to them.

    Attributes:
        response_memory: Bounds the bodies of responses that are being read.

    Args:
        app: The application.
        crash_guard: Learns which requests run where.
    """

    def __init__(self, app: Application, crash_guard: CrashGuard) -> None:
        assert app.settings.platform is not None
        self._app = app
        self._routing = app.get(ROUTING)
        self._admission = app.get(ADMISSION)
        self._availability = app.get(UPSTREAM_AVAILABILITY)
        self._telemetry = app.get(TELEMETRY)
        self._wire_format = app.get(WIRE_FORMAT)
        self._crash_guard = crash_guard
        self._pool_by_address: dict[str, ConnectionPool] = {}
        self.response_memory = MemoryBudget(
            round(
                const.RESPONSE_MEMORY_FRACTION
                * app.settings.platform.memory_budget_bytes
            )
        )

    def connection_pool(self, address: str) -> ConnectionPool:
        """Return the pool of connections to an address."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = self._pool_by_address[address] = ConnectionPool(address)
        return pool

    def close_stale_connections(self) -> None:
        """Close stale connections and those to upstreams that leave."""
        entries = self._routing.directory.entry_by_id.values()
        addresses = {entry.address for entry in entries}
        addresses_in_use = {
            entry.address
            for entry in entries
            if entry.state is UpstreamState.READY
        }
        for address, pool in list(self._pool_by_address.items()):
            pool.close_expired()
            if address not in addresses_in_use:
                pool.close()
            if address not in addresses:
                del self._pool_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()

    async def async_send(
        self,
        progress: CallProgress,
        grant: Grant,
        guarded: GuardedRequest,
        observer: AttemptObserver,
    ) -> AttemptEnd:
        """Send a request to an upstream and relay the response.

        Args:
            progress: The request and its state.
            grant: Grant for the upstream to use.
            guarded: The request, as a possible cause of a crash.
            observer: Follows the attempt.
        """
        entries = self._routing.directory.entry_by_id
        upstream = entries.get(grant.upstream_id)
        if upstream is None:
            return AttemptEnd(
                AttemptResult.UNREACHABLE,
                "upstream was removed from the directory",
            )
        pool = self.connection_pool(upstream.address)
        run = self._crash_guard.begin(
            guarded,
            upstream.upstream_id,
            is_continuation=progress.caller_response.exchange.is_started,
        )
        attempt = Attempt(
            progress.call,
            upstream,
            pool,
            self._wire_format,
            progress.caller_response,
            self._app.now,
            self._attempt_hooks(progress, grant, upstream, run, observer),
            self.response_memory,
        )
        source = self._copy_source(grant)
        is_broken = False
        try:
            end = await attempt.async_run(
                "" if source is None else source.address
            )
            is_broken = end.result is AttemptResult.BROKEN
        finally:
            self._crash_guard.end(run, pool, is_broken=is_broken)
        if end.result is AttemptResult.RESPONDED:
            status = HTTPStatus.OK if not end.response else end.response.status
            self._crash_guard.record_response(run, status)
        return end

    def _copy_source(self, grant: Grant) -> UpstreamEntry | None:
        """Return the upstream to copy prompt parts from, unless evacuated."""
        directory = self._routing.directory
        source = directory.entry_by_id.get(grant.fetch_from)
        if source is None or directory.is_evacuated(source):
            return None
        return source

    def _attempt_hooks(
        self,
        progress: CallProgress,
        grant: Grant,
        upstream: UpstreamEntry,
        run: GuardedRun,
        observer: AttemptObserver,
    ) -> AttemptHooks:
        """Return the functions that one attempt calls on its way."""
        pool = self.connection_pool(upstream.address)

        def may_send() -> bool:
            return self._admission.may_send(
                grant
            ) and self._crash_guard.may_send(run.request)

        def record_sent(connection: ClientConnection) -> None:
            self._crash_guard.record_sent(run)
            observer.watch(connection)

        def record_first_chunk() -> None:
            self._crash_guard.record_output(run)
            observer.record_first_chunk()
            self._admission.record_first_chunk(grant)

        return AttemptHooks(
            may_send=may_send,
            on_sent=record_sent,
            on_notice=lambda notice: self._availability.record(
                upstream, notice
            ),
            on_load=lambda load: self._admission.record_load(grant, load),
            on_first_chunk=record_first_chunk,
            on_surplus_data=lambda: self._record_surplus_data(
                progress, upstream
            ),
            async_before_relay=observer.async_before_relay,
            async_has_crashed=lambda: async_has_crashed(pool),
        )

    def _record_surplus_data(
        self, progress: CallProgress, upstream: UpstreamEntry
    ) -> None:
        """Record that an upstream sent data behind a complete response."""
        service = progress.call.service
        self._telemetry.count("surplus_data_total", service=service)
        _LOGGER.warning(
            "data behind the end of a response",
            request_id=progress.call.metadata.request_id,
            upstream=upstream.upstream_id,
            service=service,
        )
