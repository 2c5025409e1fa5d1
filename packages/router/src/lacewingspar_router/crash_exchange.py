"""Exchange of crash records with the other routers."""

import asyncio
from collections.abc import Callable

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import Quarantine
from lacewingspar_core.quarantine import QuarantineState
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.telemetry.models import TELEMETRY

# Changes that only clear suspects are collected for this long. After the crash
# of an engine each of its requests clears itself when it has run elsewhere.
CLEARING_DELAY_SECONDS = 0.5

METRIC_RECORDS = "quarantine_records_received_total"


class CrashExchange:
    """Sends changed crash records to all routers, and all to new ones.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        # Services without a known crash have no entry, so that their requests
        # skip the checks.
        self._state_by_service: dict[str, QuarantineState] = {}
        self._known_instances: set[RouterInstance] = set()
        self._scheduled_services: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._peers.subscribe(Quarantine, self._receive)
        self._peers.add_listener(self._send_to_new_routers)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after merging records of another router."""
        self._listeners.append(listener)

    def find_state(self, service: str) -> QuarantineState | None:
        """Return the records of a service, or None before its first crash."""
        return self._state_by_service.get(service)

    def state(self, service: str) -> QuarantineState:
        """Return the records of a service, which are created if missing."""
        state = self._state_by_service.get(service)
        if state is None:
            state = self._state_by_service[service] = QuarantineState(service)
        return state

    def publish(self, state: QuarantineState) -> None:
        """Send the changed records of a service to all routers."""
        message = state.publish(self._app.now())
        if message is None:
            return
        for router_id in self._peers.alive_by_router_id:
            if router_id != self._app.instance.router_id:
                self._peers.send(router_id, message)

    def publish_soon(self, state: QuarantineState) -> None:
        """Send the changed records within `CLEARING_DELAY_SECONDS`.

        All changes until then go out in one message to each router.
        """
        if state.service in self._scheduled_services:
            return
        self._scheduled_services.add(state.service)
        asyncio.get_running_loop().call_later(
            CLEARING_DELAY_SECONDS, self._publish_scheduled, state
        )

    def _publish_scheduled(self, state: QuarantineState) -> None:
        self._scheduled_services.discard(state.service)
        self.publish(state)

    def _receive(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, Quarantine)
        self.state(message.service).merge(message, self._app.now())
        self._telemetry.count(METRIC_RECORDS, len(message.crashes))
        for listener in self._listeners:
            listener()

    def _send_to_new_routers(self) -> None:
        """Send all records to routers that have become alive."""
        instances = {
            record.life for record in self._peers.alive_by_router_id.values()
        }
        new = instances - self._known_instances - {self._app.instance}
        self._known_instances = instances
        for state in self._state_by_service.values() if new else ():
            message = state.publish(self._app.now(), full=True)
            if message is None or not message.crashes:
                continue
            for instance in new:
                self._peers.send(instance.router_id, message)
