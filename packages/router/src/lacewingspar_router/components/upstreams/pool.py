"""Upstreams of all active services."""

import asyncio
import ssl
from collections.abc import Callable, Collection, Mapping

import httpx
import structlog

from lacewingspar_router.addresses import map_url
from lacewingspar_router.application import Application
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.upstreams.connections import (
    UpstreamConnections,
)
from lacewingspar_router.components.upstreams.const import (
    MAX_REACHABILITY_CHECKS,
    UP_CHECK_TIMEOUT_SECONDS,
)
from lacewingspar_router.components.upstreams.errors import (
    UpstreamConnectError,
    UpstreamError,
    UpstreamMismatchError,
)
from lacewingspar_router.components.upstreams.health import (
    HEALTH_PATH,
    UpstreamHealthMonitor,
    UpstreamKey,
)
from lacewingspar_router.components.upstreams.models import (
    UpstreamCall,
    UpstreamStatus,
)
from lacewingspar_router.components.upstreams.response import (
    HttpUpstreamResponse,
)
from lacewingspar_router.components.vm_list.models import VM_LIST
from lacewingspar_router.errors import RunState
from lacewingspar_router.http_transport import CheckedTransport

_LOGGER = structlog.get_logger(__name__)


class HttpUpstreamPool:
    """Calls to upstreams and their health.

    Args:
        application: The application that holds the other components.
    """

    def __init__(self, application: Application) -> None:
        self._application = application
        self._configuration = application.get(CONFIGURATION)
        self._telemetry = application.get(TELEMETRY)
        self._vm_list = application.get(VM_LIST)
        self._ssl_context = ssl.create_default_context()
        self._address_by_upstream: dict[UpstreamKey, str] = {}
        self._data_centre_by_upstream: dict[UpstreamKey, str] = {}
        self._connections_by_address: dict[str, UpstreamConnections] = {}
        self._health_client = httpx.AsyncClient(
            transport=CheckedTransport(
                verify=self._ssl_context, trust_env=False
            ),
            trust_env=False,
        )
        self._monitor = UpstreamHealthMonitor(
            self._health_client,
            application.settings.data_centre,
            application.now,
            application.random,
            application.settings.address_map,
        )

    @property
    def status_by_upstream(self) -> Mapping[UpstreamKey, UpstreamStatus]:
        """Return the status by (service, upstream id)."""
        return self._monitor.status_by_upstream

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after every status change."""
        self._monitor.add_listener(listener)

    def set_polled(self, keys: Collection[UpstreamKey]) -> None:
        """Select the upstreams to poll for load."""
        self._monitor.set_polled(keys)

    def apply_configuration(self) -> None:
        """Apply the upstreams of the active documents."""
        documents = self._configuration.documents_by_service
        self._address_by_upstream = {
            (name, upstream.id): upstream.address
            for name, document in documents.items()
            for upstream in document.upstreams
        }
        self._data_centre_by_upstream = {
            (name, upstream.id): upstream.data_centre
            for name, document in documents.items()
            for upstream in document.upstreams
        }
        self._monitor.set_upstreams(
            {name: item.upstreams for name, item in documents.items()}
        )

    def apply_vm_list(self) -> None:
        """Apply the list of VMs that are about to leave."""
        self._monitor.set_leaving_vms(self._vm_list.leaving_vms)

    async def async_call(
        self, service: str, upstream_id: str, call: UpstreamCall
    ) -> HttpUpstreamResponse:
        """Send a call and wait for the response head.

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
        sent_at = self._application.now()
        latency_seconds = 0.0

        def on_end(error: UpstreamError | None) -> None:
            self._record_end(key, error, latency_seconds)

        try:
            response = await self._connections(address).async_call(call, on_end)
        except UpstreamError as error:
            self._record_end(key, error, latency_seconds)
            raise
        latency_seconds = self._application.now() - sent_at
        return response

    async def async_is_up(self, service: str, upstream_id: str) -> bool:
        """Return whether an upstream responds to HTTP requests."""
        address = self._address_by_upstream.get((service, upstream_id))
        if address is None:
            return False
        url = map_url(address, self._application.settings.address_map)
        try:
            await self._health_client.get(
                url + HEALTH_PATH, timeout=UP_CHECK_TIMEOUT_SECONDS
            )
        except (httpx.HTTPError, httpx.InvalidURL):
            return False
        return True

    async def async_is_reachable(self, service: str, upstream_id: str) -> bool:
        """Return whether the data centre of an upstream is reachable.

        Another data centre counts as reachable only if one of its other
        upstreams responds.
        """
        key = (service, upstream_id)
        data_centre = self._data_centre_by_upstream.get(key)
        if data_centre == self._application.settings.data_centre:
            return True
        address = self._address_by_upstream.get(key)
        others = [
            other
            for other, place in self._data_centre_by_upstream.items()
            if place == data_centre
            and self._address_by_upstream[other] != address
        ]
        responses = await asyncio.gather(
            *(
                self.async_is_up(*other)
                for other in others[:MAX_REACHABILITY_CHECKS]
            )
        )
        return any(responses)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._monitor.async_close()
        await self._health_client.aclose()
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

    def _record_end(
        self,
        key: UpstreamKey,
        error: UpstreamError | None,
        latency_seconds: float,
    ) -> None:
        """Record the end of a call in the health of the upstream."""
        if error is None:
            self._monitor.record_response(*key, latency_seconds)
            return
        if isinstance(error, UpstreamMismatchError):
            self._telemetry.count(
                "answer_mismatch_total", service=key[0], upstream=key[1]
            )
        _LOGGER.warning(
            "upstream call failed",
            service=key[0],
            upstream=key[1],
            error=str(error),
            run=error.run,
        )
        self._monitor.record_failure(*key, error)
