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

from lacewingspar_core.documents import Upstream
from lacewingspar_core.platform import LoadReport
from lacewingspar_core.upstream_health import (
    STATE_FAILING,
    STATE_HEALTHY,
    STATE_UNKNOWN,
    AnswerOk,
    BrokenAnswer,
    ConnectFailure,
    HealthEvent,
    LoadReported,
    ProbeFailed,
    ProbeSucceeded,
    Removed,
    ReportsStopped,
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
class _Watched:
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
        self._watched_by_key: dict[UpstreamKey, _Watched] = {}
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
        for key, watched in list(self._watched_by_key.items()):
            upstream = listed.get(key)
            if upstream is None or not _is_same(watched.upstream, upstream):
                self._remove(watched)
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
        for watched in list(self._watched_by_key.values()):
            self._apply(watched, self._vm_event(watched.upstream))

    def on_answer(
        self, service: str, upstream_id: str, latency_seconds: float
    ) -> None:
        """Record a complete response.

        Args:
            service: Name of the service.
            upstream_id: Upstream that sent the response.
            latency_seconds: Time from sending the call to the response head.
        """
        watched = self._watched_by_key.get((service, upstream_id))
        if watched is not None:
            self._apply(watched, AnswerOk(latency_seconds))

    def on_failure(
        self, service: str, upstream_id: str, error: UpstreamError
    ) -> None:
        """Record a failed call; a refusal by the upstream is not a failure."""
        watched = self._watched_by_key.get((service, upstream_id))
        if watched is None:
            return
        match error:
            case UpstreamConnectError():
                self._apply(watched, ConnectFailure())
            case UpstreamBrokenError() | UpstreamMismatchError():
                self._apply(watched, BrokenAnswer())
            case _:
                return

    async def async_close(self) -> None:
        """Cancel all tasks."""
        tasks = [w.task for w in self._watched_by_key.values() if w.task]
        self._watched_by_key.clear()
        self._status_by_key.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_or_update(self, key: UpstreamKey, upstream: Upstream) -> None:
        watched = self._watched_by_key.get(key)
        if watched is not None:
            watched.upstream = upstream
            watched.health = with_slots(watched.health, upstream.slots)
            self._update_status(watched)
            return
        now = self._now()
        watched = _Watched(
            key=key,
            upstream=upstream,
            url=map_url(upstream.address, self._address_map),
            health=new_health(upstream.slots, now),
            next_poll_at=now,
        )
        event = self._vm_event(upstream)
        watched.health = self._next_health(watched, event)
        self._watched_by_key[key] = watched
        self._update_status(watched)
        watched.task = asyncio.create_task(
            self._async_watch(watched), name=f"health {key[0]}/{key[1]}"
        )

    def _remove(self, watched: _Watched) -> None:
        del self._watched_by_key[watched.key]
        self._status_by_key.pop(watched.key, None)
        if watched.task is not None:
            watched.task.cancel()
        _LOGGER.info(
            "upstream removed",
            upstream=watched.key,
            state=self._next_health(watched, Removed()).state,
        )

    def _set_polled_flags(self) -> None:
        for key, watched in self._watched_by_key.items():
            is_selected = self._polled is None or key in self._polled
            is_polled = is_selected and self._is_local(watched)
            if is_polled != watched.is_polled:
                watched.is_polled = is_polled
                watched.wake.set()

    def _is_local(self, watched: _Watched) -> bool:
        return watched.upstream.data_centre == self._data_centre

    def _vm_event(self, upstream: Upstream) -> HealthEvent:
        return VmLeaving() if upstream.vm in self._leaving_vms else VmLive()

    def _next_health(
        self, watched: _Watched, event: HealthEvent
    ) -> UpstreamHealth:
        return apply_event(watched.health, event, self._now(), self._random)

    def _apply(self, watched: _Watched, event: HealthEvent) -> None:
        before = watched.health
        watched.health = self._next_health(watched, event)
        if watched.health.state != before.state:
            _LOGGER.info(
                "upstream state changed",
                upstream=watched.key,
                before=before.state,
                after=watched.health.state,
                reason=event.NAME,
            )
            watched.wake.set()
        if self._update_status(watched):
            self._notify()

    def _update_status(self, watched: _Watched) -> bool:
        """Update the published status and return whether it changed."""
        health = watched.health
        status = UpstreamStatus(state=health.state, slots=health.slots)
        if self._status_by_key.get(watched.key) == status:
            return False
        self._status_by_key[watched.key] = status
        return True

    def _notify(self) -> None:
        for listener in list(self._listeners):
            try:
                listener()
            except Exception:
                _LOGGER.exception("upstream status listener failed")

    async def _async_watch(self, watched: _Watched) -> None:
        """Probe and poll one upstream whenever it is due."""
        while True:
            try:
                await self._async_wait_until_due(watched)
                await self._async_visit(watched)
            except Exception:
                _LOGGER.exception("health check failed", upstream=watched.key)
                await asyncio.sleep(LOAD_POLL_SECONDS)

    async def _async_wait_until_due(self, watched: _Watched) -> None:
        while True:
            watched.wake.clear()
            due_at, now = self._due_at(watched), self._now()
            if due_at is not None and due_at <= now:
                return
            delay = None if due_at is None else due_at - now
            with suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await watched.wake.wait()

    def _due_at(self, watched: _Watched) -> float | None:
        """Return the time of the next probe or poll, or None."""
        due = [self._probe_due_at(watched), self._poll_due_at(watched)]
        return min((time for time in due if time is not None), default=None)

    def _probe_due_at(self, watched: _Watched) -> float | None:
        is_failing = watched.health.state == STATE_FAILING
        if is_failing or self._is_local(watched):
            return watched.health.next_probe_at
        return None

    def _poll_due_at(self, watched: _Watched) -> float | None:
        has_load = watched.health.state in (STATE_UNKNOWN, STATE_HEALTHY)
        return watched.next_poll_at if watched.is_polled and has_load else None

    async def _async_visit(self, watched: _Watched) -> None:
        probe_at = self._probe_due_at(watched)
        if probe_at is not None and probe_at <= self._now():
            await self._async_probe(watched)
            return
        jitter = self._random.uniform(1 - LOAD_POLL_JITTER, 1.0)
        watched.next_poll_at = self._now() + LOAD_POLL_SECONDS * jitter
        event = await self._async_read_load(watched)
        if event is not None:
            self._apply(watched, event)
        if are_reports_overdue(watched.health, self._now()):
            self._apply(watched, ReportsStopped())

    async def _async_probe(self, watched: _Watched) -> None:
        try:
            response = await self._client.get(
                watched.url + HEALTH_PATH, timeout=REQUEST_TIMEOUT_SECONDS
            )
        except (httpx.HTTPError, httpx.InvalidURL):
            self._apply(watched, ProbeFailed())
            return
        is_up = response.status_code < FIRST_FAILURE_STATUS
        self._apply(watched, ProbeSucceeded() if is_up else ProbeFailed())

    async def _async_read_load(self, watched: _Watched) -> HealthEvent | None:
        """Poll the load and return the event, or None without a report."""
        try:
            response = await self._client.get(
                watched.url + LOAD_PATH, timeout=REQUEST_TIMEOUT_SECONDS
            )
            response.raise_for_status()
            report = msgspec.json.decode(response.content, type=LoadReport)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return ConnectFailure()
        except (httpx.HTTPError, httpx.InvalidURL, msgspec.MsgspecError):
            return None
        return LoadReported(
            running=report.running,
            waiting=report.waiting,
            age_seconds=report.age_ms / 1000,
        )


def _is_same(before: Upstream, after: Upstream) -> bool:
    return (before.address, before.data_centre, before.vm) == (
        after.address,
        after.data_centre,
        after.vm,
    )
