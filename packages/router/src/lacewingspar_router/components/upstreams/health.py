"""Health monitoring of upstreams by load reports, probes and calls."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType

import httpx
import msgspec
import structlog

from lacewingspar_core.decoding import DECODE_ERRORS
from lacewingspar_core.documents import Upstream
from lacewingspar_core.platform import LoadReport
from lacewingspar_core.upstream_health import (
    STATE_FAILING,
    STATE_HEALTHY,
    STATE_UNKNOWN,
    ConnectFailure,
    HealthEvent,
    LoadReported,
    ProbeFailed,
    ProbeSucceeded,
    Removed,
    ReportsStopped,
    ResponseBroken,
    ResponseCompleted,
    UpstreamHealth,
    VmLeaving,
    VmLive,
    apply_event,
    are_reports_overdue,
    new_health,
    with_slots,
)
from lacewingspar_router.addresses import map_url
from lacewingspar_router.components.upstreams.errors import (
    UpstreamBrokenError,
    UpstreamConnectError,
    UpstreamError,
    UpstreamMismatchError,
)
from lacewingspar_router.components.upstreams.models import UpstreamStatus

LOAD_PATH = "/load"
HEALTH_PATH = "/health"
LOAD_POLL_SECONDS = 1.0
# Fraction of the interval by which polls are spread.
LOAD_POLL_JITTER = 0.1
# Shorter than the time after which missing load reports freeze the slot limit.
REQUEST_TIMEOUT_SECONDS = 2.0
# A lower status, such as 404 without a health resource, shows that the upstream
# is running.
FIRST_FAILURE_STATUS = 500

UpstreamKey = tuple[str, str]

_LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True, eq=False)
class _MonitoredUpstream:
    """A monitored upstream and its state."""

    key: UpstreamKey
    upstream: Upstream
    url: str
    health: UpstreamHealth
    next_poll_at: float
    is_polled: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


class UpstreamHealthMonitor:
    """Monitors all upstreams, each in a separate task.

    Only upstreams of the same data centre are polled for load, and probed while
    their state is unknown. Upstreams of other data centres are only probed
    after a failure.

    Args:
        client: HTTP client for polls and probes, separate from the one for
            requests, whose connections may all be in use.
        data_centre: Data centre of this router.
        now: Returns the time in seconds.
        random: Generator for jitter.
        address_map: Replacement `host:port` by original `host:port`.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        data_centre: str,
        now: Callable[[], float],
        random: Random,
        address_map: Mapping[str, str],
    ) -> None:
        self._client = client
        self._data_centre = data_centre
        self._now = now
        self._random = random
        self._address_map = address_map
        self._monitored_by_key: dict[UpstreamKey, _MonitoredUpstream] = {}
        self._status_by_key: dict[UpstreamKey, UpstreamStatus] = {}
        self._polled: frozenset[UpstreamKey] | None = None
        self._leaving_vms: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []

    @property
    def status_by_upstream(self) -> Mapping[UpstreamKey, UpstreamStatus]:
        """Return a live view of the status by (service, upstream id).

        Removed upstreams have no status.
        """
        return MappingProxyType(self._status_by_key)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change of a status."""
        self._listeners.append(listener)

    def set_upstreams(
        self, upstreams_by_service: Mapping[str, Iterable[Upstream]]
    ) -> None:
        """Monitor exactly these upstreams.

        An upstream whose address, data centre or VM has changed is treated as a
        new one.
        """
        listed = {
            (service, upstream.id): upstream
            for service, upstreams in upstreams_by_service.items()
            for upstream in upstreams
        }
        before = dict(self._status_by_key)
        for key, monitored in list(self._monitored_by_key.items()):
            upstream = listed.get(key)
            if upstream is None or not _is_same_upstream(
                monitored.upstream, upstream
            ):
                self._remove(monitored)
        for key, upstream in listed.items():
            self._add_or_update(key, upstream)
        self._set_polled_flags()
        if self._status_by_key != before:
            self._notify()

    def set_polled(self, keys: Collection[UpstreamKey] | None) -> None:
        """Select the upstreams to poll for load.

        Upstreams of other data centres are never polled.

        Args:
            keys: Upstreams by (service, upstream id), such as those in the
                router's own shards, or None for all.
        """
        polled = None if keys is None else frozenset(keys)
        if polled != self._polled:
            self._polled = polled
            self._set_polled_flags()

    def set_leaving_vms(self, leaving_vms: frozenset[str]) -> None:
        """Update the health of upstreams by the VMs that are about to leave."""
        self._leaving_vms = leaving_vms
        for monitored in list(self._monitored_by_key.values()):
            self._apply(monitored, self._vm_event(monitored.upstream))

    def record_response(
        self, service: str, upstream_id: str, latency_seconds: float
    ) -> None:
        """Record a complete response.

        Args:
            service: Name of the service.
            upstream_id: Upstream that sent the response.
            latency_seconds: Time from sending the call to the response head.
        """
        monitored = self._monitored_by_key.get((service, upstream_id))
        if monitored is not None:
            self._apply(monitored, ResponseCompleted(latency_seconds))

    def record_failure(
        self, service: str, upstream_id: str, error: UpstreamError
    ) -> None:
        """Record a failed call; a refusal by the upstream is not a failure."""
        monitored = self._monitored_by_key.get((service, upstream_id))
        if monitored is None:
            return
        match error:
            case UpstreamConnectError():
                self._apply(monitored, ConnectFailure())
            case UpstreamBrokenError() | UpstreamMismatchError():
                self._apply(monitored, ResponseBroken())
            case _:
                return

    async def async_close(self) -> None:
        """Cancel all tasks."""
        tasks = [
            item.task for item in self._monitored_by_key.values() if item.task
        ]
        self._monitored_by_key.clear()
        self._status_by_key.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_or_update(self, key: UpstreamKey, upstream: Upstream) -> None:
        monitored = self._monitored_by_key.get(key)
        if monitored is not None:
            monitored.upstream = upstream
            monitored.health = with_slots(monitored.health, upstream.slots)
            self._update_status(monitored)
            return
        now = self._now()
        monitored = _MonitoredUpstream(
            key=key,
            upstream=upstream,
            url=map_url(upstream.address, self._address_map),
            health=new_health(upstream.slots, now),
            next_poll_at=now,
        )
        event = self._vm_event(upstream)
        monitored.health = self._next_health(monitored, event)
        self._monitored_by_key[key] = monitored
        self._update_status(monitored)
        monitored.task = asyncio.create_task(
            self._async_watch(monitored), name=f"health {key[0]}/{key[1]}"
        )

    def _remove(self, monitored: _MonitoredUpstream) -> None:
        del self._monitored_by_key[monitored.key]
        self._status_by_key.pop(monitored.key, None)
        if monitored.task is not None:
            monitored.task.cancel()
        _LOGGER.info(
            "upstream removed",
            upstream=monitored.key,
            state=self._next_health(monitored, Removed()).state,
        )

    def _set_polled_flags(self) -> None:
        for key, monitored in self._monitored_by_key.items():
            is_selected = self._polled is None or key in self._polled
            is_polled = is_selected and self._is_local(monitored)
            if is_polled != monitored.is_polled:
                monitored.is_polled = is_polled
                monitored.wake.set()

    def _is_local(self, monitored: _MonitoredUpstream) -> bool:
        return monitored.upstream.data_centre == self._data_centre

    def _vm_event(self, upstream: Upstream) -> HealthEvent:
        return VmLeaving() if upstream.vm in self._leaving_vms else VmLive()

    def _next_health(
        self, monitored: _MonitoredUpstream, event: HealthEvent
    ) -> UpstreamHealth:
        return apply_event(monitored.health, event, self._now(), self._random)

    def _apply(self, monitored: _MonitoredUpstream, event: HealthEvent) -> None:
        before = monitored.health
        monitored.health = self._next_health(monitored, event)
        if monitored.health.state != before.state:
            _LOGGER.info(
                "upstream state changed",
                upstream=monitored.key,
                before=before.state,
                after=monitored.health.state,
                reason=event.NAME,
            )
            monitored.wake.set()
        if self._update_status(monitored):
            self._notify()

    def _update_status(self, monitored: _MonitoredUpstream) -> bool:
        """Update the published status and return whether it changed."""
        health = monitored.health
        status = UpstreamStatus(state=health.state, slots=health.slots)
        if self._status_by_key.get(monitored.key) == status:
            return False
        self._status_by_key[monitored.key] = status
        return True

    def _notify(self) -> None:
        for listener in list(self._listeners):
            try:
                listener()
            except Exception:
                _LOGGER.exception("upstream status listener failed")

    async def _async_watch(self, monitored: _MonitoredUpstream) -> None:
        """Probe and poll one upstream whenever it is due."""
        while True:
            try:
                await self._async_wait_until_due(monitored)
                await self._async_visit(monitored)
            except Exception:
                _LOGGER.exception("health check failed", upstream=monitored.key)
                await asyncio.sleep(LOAD_POLL_SECONDS)

    async def _async_wait_until_due(
        self, monitored: _MonitoredUpstream
    ) -> None:
        while True:
            monitored.wake.clear()
            due_at, now = self._due_at(monitored), self._now()
            if due_at is not None and due_at <= now:
                return
            delay = None if due_at is None else due_at - now
            with suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await monitored.wake.wait()

    def _due_at(self, monitored: _MonitoredUpstream) -> float | None:
        """Return the time of the next probe or poll, or None."""
        due = [self._probe_due_at(monitored), self._poll_due_at(monitored)]
        return min((time for time in due if time is not None), default=None)

    def _probe_due_at(self, monitored: _MonitoredUpstream) -> float | None:
        is_failing = monitored.health.state == STATE_FAILING
        if is_failing or self._is_local(monitored):
            return monitored.health.next_probe_at
        return None

    def _poll_due_at(self, monitored: _MonitoredUpstream) -> float | None:
        has_load = monitored.health.state in (STATE_UNKNOWN, STATE_HEALTHY)
        return (
            monitored.next_poll_at if monitored.is_polled and has_load else None
        )

    async def _async_visit(self, monitored: _MonitoredUpstream) -> None:
        probe_at = self._probe_due_at(monitored)
        if probe_at is not None and probe_at <= self._now():
            await self._async_probe(monitored)
            return
        jitter = self._random.uniform(1 - LOAD_POLL_JITTER, 1.0)
        monitored.next_poll_at = self._now() + LOAD_POLL_SECONDS * jitter
        event = await self._async_read_load(monitored)
        if event is not None:
            self._apply(monitored, event)
        if are_reports_overdue(monitored.health, self._now()):
            self._apply(monitored, ReportsStopped())

    async def _async_probe(self, monitored: _MonitoredUpstream) -> None:
        try:
            response = await self._client.get(
                monitored.url + HEALTH_PATH, timeout=REQUEST_TIMEOUT_SECONDS
            )
        except (httpx.HTTPError, httpx.InvalidURL):
            self._apply(monitored, ProbeFailed())
            return
        is_up = response.status_code < FIRST_FAILURE_STATUS
        self._apply(monitored, ProbeSucceeded() if is_up else ProbeFailed())

    async def _async_read_load(
        self, monitored: _MonitoredUpstream
    ) -> HealthEvent | None:
        """Poll the load and return the event, or None without a report."""
        try:
            response = await self._client.get(
                monitored.url + LOAD_PATH, timeout=REQUEST_TIMEOUT_SECONDS
            )
            response.raise_for_status()
            report = msgspec.json.decode(response.content, type=LoadReport)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return ConnectFailure()
        except (httpx.HTTPError, httpx.InvalidURL, *DECODE_ERRORS):
            return None
        return LoadReported(
            running=report.running,
            waiting=report.waiting,
            age_seconds=report.age_ms / 1000,
        )


def _is_same_upstream(before: Upstream, after: Upstream) -> bool:
    return (before.address, before.data_centre, before.vm) == (
        after.address,
        after.data_centre,
        after.vm,
    )
