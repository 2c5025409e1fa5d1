"""Upstreams of all services in force."""

import asyncio
import ssl
from collections.abc import Callable, Mapping

import structlog

from lacewingspar_router.application import Application
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.upstreams.answer import HttpAnswer
from lacewingspar_router.components.upstreams.connections import (
    UpstreamConnections,
)
from lacewingspar_router.components.upstreams.const import FAILING_SECONDS
from lacewingspar_router.components.upstreams.errors import (
    UpstreamConnectError,
    UpstreamError,
    UpstreamInvalidCallError,
    UpstreamMismatchError,
    UpstreamRefusedError,
)
from lacewingspar_router.components.upstreams.health import (
    AnswerHealth,
    HealthState,
)
from lacewingspar_router.components.upstreams.models import (
    UpstreamCall,
    UpstreamStatus,
)
from lacewingspar_router.errors import RunState

_LOGGER = structlog.get_logger(__name__)

_UpstreamKey = tuple[str, str]

# A refusal says that the upstream works but has no room.
_NO_FAULT_OF_UPSTREAM = (UpstreamRefusedError, UpstreamInvalidCallError)


class HttpUpstreamPool:
    """Calls to upstreams and their health.

    Args:
        application: The application that holds the other components.
    """

    def __init__(self, application: Application) -> None:
        self._application = application
        self._configuration = application.get(CONFIGURATION)
        self._telemetry = application.get(TELEMETRY)
        self._ssl_context = ssl.create_default_context()
        self._listeners: list[Callable[[], None]] = []
        self._address_by_upstream: dict[_UpstreamKey, str] = {}
        self._slots_by_upstream: dict[_UpstreamKey, int] = {}
        self._health_by_upstream: dict[_UpstreamKey, AnswerHealth] = {}
        self._connections_by_address: dict[str, UpstreamConnections] = {}
        self._status_by_upstream: dict[_UpstreamKey, UpstreamStatus] = {}

    @property
    def status_by_upstream(self) -> Mapping[_UpstreamKey, UpstreamStatus]:
        """Return the status by (service, upstream id)."""
        return self._status_by_upstream

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change of a status."""
        self._listeners.append(listener)

    def apply_configuration(self) -> None:
        """Take over the upstreams of the documents in force."""
        addresses: dict[_UpstreamKey, str] = {}
        slots: dict[_UpstreamKey, int] = {}
        for name, document in self._configuration.documents_by_service.items():
            for upstream in document.upstreams:
                addresses[(name, upstream.id)] = upstream.address
                slots[(name, upstream.id)] = upstream.slots
        for key, address in addresses.items():
            if self._address_by_upstream.get(key) != address:
                self._health_by_upstream[key] = AnswerHealth()
        for key in self._health_by_upstream.keys() - addresses.keys():
            del self._health_by_upstream[key]
        self._address_by_upstream = addresses
        self._slots_by_upstream = slots
        self._publish_status()

    async def async_call(
        self, service: str, upstream_id: str, call: UpstreamCall
    ) -> HttpAnswer:
        """Send a call and wait for the head of the answer.

        Raises:
            UpstreamError: The call failed; its `run` attribute says whether
                the upstream may have run it.
        """
        key = (service, upstream_id)
        address = self._address_by_upstream.get(key)
        if address is None:
            raise UpstreamConnectError(
                f"no upstream {upstream_id} in service {service}",
                run=RunState.NOT_RUN,
            )

        def on_end(error: UpstreamError | None) -> None:
            self._note_end(key, error)

        try:
            return await self._connections(address).async_call(call, on_end)
        except UpstreamError as error:
            self._note_end(key, error)
            raise

    async def async_close(self) -> None:
        """Close all connections."""
        for connections in self._connections_by_address.values():
            await connections.async_close()
        self._connections_by_address = {}

    def _connections(self, address: str) -> UpstreamConnections:
        connections = self._connections_by_address.get(address)
        if connections is None:
            connections = UpstreamConnections(
                address,
                self._application.settings.address_map,
                self._ssl_context,
            )
            self._connections_by_address[address] = connections
        return connections

    def _note_end(self, key: _UpstreamKey, error: UpstreamError | None) -> None:
        """Note how a call ended in the upstream's health."""
        health = self._health_by_upstream.get(key)
        if isinstance(error, UpstreamMismatchError):
            self._telemetry.count(
                "answer_mismatch_total", service=key[0], upstream=key[1]
            )
        if health is None or isinstance(error, _NO_FAULT_OF_UPSTREAM):
            return
        before = health.state
        if error is None:
            health.note_success()
        else:
            health.note_failure(self._application.now())
            _LOGGER.warning(
                "upstream call failed",
                service=key[0],
                upstream=key[1],
                error=str(error),
                run=error.run,
            )
        if health.state is before:
            return
        self._publish_status()
        if health.state is HealthState.FAILING:
            asyncio.get_running_loop().call_later(
                FAILING_SECONDS, self._note_time, health
            )

    def _note_time(self, health: AnswerHealth) -> None:
        health.note_time(self._application.now())
        self._publish_status()

    def _publish_status(self) -> None:
        """Rebuild the statuses and tell the listeners of a change."""
        statuses = {
            key: UpstreamStatus(
                self._health_by_upstream[key].state,
                self._slots_by_upstream[key],
            )
            for key in self._address_by_upstream
        }
        if statuses == self._status_by_upstream:
            return
        self._status_by_upstream = statuses
        for listener in self._listeners:
            listener()
