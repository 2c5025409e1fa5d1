"""Keeps suspects apart from each other across the fleet."""

import asyncio
from collections.abc import Callable, Collection

from lacewingspar_core.messages import SuspectRun, SuspectRuns
from lacewingspar_core.suspects import (
    ANNOUNCEMENT_INTERVAL_SECONDS,
    RESERVATION_DELAY_SECONDS,
    SuspectTable,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.quarantine.const import (
    RECHECK_INTERVAL_SECONDS,
)
from lacewingspar_router.components.quarantine.errors import (
    NoUpstreamForSuspectError,
)


class SuspectRunGate:
    """Reserves upstreams so that no two suspects share one.

    Args:
        app: The application that holds the peers component.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._peers = app.get(PEERS)
        self._table_by_service: dict[str, SuspectTable] = {}
        self._changed = asyncio.Event()
        self._peers.subscribe(SuspectRuns, self._receive)

    async def async_wait(
        self,
        service: str,
        fingerprint: str,
        usable: Callable[[], Collection[str]],
        deadline_at: float,
    ) -> frozenset[str]:
        """Wait until a usable upstream is free of other suspects.

        Returns:
            Upstreams that run other suspects and must not be used.

        Raises:
            NoUpstreamForSuspectError: The deadline has passed.
        """
        table = self._table(service)
        while True:
            now = self._app.now()
            busy = table.reserved_upstreams(now)
            is_running = table.is_reserved(fingerprint, now)
            if not is_running and not busy.issuperset(usable()):
                return busy
            if now >= deadline_at:
                raise NoUpstreamForSuspectError(
                    f"no upstream of {service} was free of suspects"
                )
            await self._async_wait_change(deadline_at - now)

    async def async_reserve(self, service: str, run: SuspectRun) -> bool:
        """Reserve an upstream for a suspect.

        Waits for competing reservations of other routers before it decides.

        Returns:
            Whether the suspect may run.
        """
        table = self._table(service)
        if not table.reserve(run, self._app.now()):
            return False
        may_run = False
        try:
            self._announce(table)
            if len(self._peers.alive_by_router_id) > 1:
                await asyncio.sleep(RESERVATION_DELAY_SECONDS)
            may_run = not table.must_yield(run, self._app.now())
        finally:
            if not may_run:
                self.release(service, run)
        return may_run

    def release(self, service: str, run: SuspectRun) -> None:
        """End a reservation."""
        table = self._table(service)
        table.release(run)
        self._announce(table)
        self._notify()

    async def async_renew(self) -> None:
        """Repeat the announcements of own reservations until cancelled."""
        while True:
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_SECONDS)
            for table in self._table_by_service.values():
                if table.has_own_runs:
                    self._announce(table)

    def _table(self, service: str) -> SuspectTable:
        table = self._table_by_service.get(service)
        if table is None:
            table = SuspectTable(service, self._app.instance)
            self._table_by_service[service] = table
        return table

    def _announce(self, table: SuspectTable) -> None:
        message = table.publish()
        for router_id in self._peers.alive_by_router_id:
            if router_id != self._app.instance.router_id:
                self._peers.send(router_id, message)

    def _receive(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, SuspectRuns)
        table = self._table(message.service)
        table.merge(received.sender, message, self._app.now())
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_wait_change(self, limit_seconds: float) -> None:
        try:
            async with asyncio.timeout(
                min(RECHECK_INTERVAL_SECONDS, limit_seconds)
            ):
                await self._changed.wait()
        except TimeoutError:
            return
