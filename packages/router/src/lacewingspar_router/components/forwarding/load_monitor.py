"""Measurement of the router's load: event loop delay and descriptors."""

import asyncio
import resource
import socket

import structlog

from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.hand_over import HandOver
from lacewingspar_router.components.forwarding.load_shedding import LoadShedder
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.server import Http1Server
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)


class LoadMonitor:
    """Logs the load of this router once a second.

    It also adjusts the request limit and the hand-over share to the delay of
    the event loop.

    Args:
        app: The application.
        callers: Server for the connections of callers.
        load_shedder: Limits the requests in flight.
        hand_over: Hands requests over to other routers.
    """

    def __init__(
        self,
        app: Application,
        callers: Http1Server,
        load_shedder: LoadShedder,
        hand_over: HandOver,
    ) -> None:
        self._hand_over = hand_over
        self._now = app.now
        self._guard = LoopGuard(app, "load monitor")
        self._telemetry = app.get(TELEMETRY)
        self._callers = callers
        self._load_shedder = load_shedder
        self._limit = load_shedder.limit
        self._is_limited = False
        self._largest_delay_seconds = 0.0
        self._reported_at = app.now()
        self._reported_accepted = 0
        self._reported_processor_seconds = _processor_seconds()

    async def async_run(self) -> None:
        """Measure and log the load until cancelled."""
        while True:
            due_at = self._now() + const.LOOP_DELAY_SAMPLE_INTERVAL_SECONDS
            await asyncio.sleep(const.LOOP_DELAY_SAMPLE_INTERVAL_SECONDS)
            with self._guard:
                self._measure(max(0.0, self._now() - due_at))

    def _measure(self, loop_delay_seconds: float) -> None:
        self._record_delay(loop_delay_seconds)
        self._hand_over.prepare()
        if self._now() >= self._reported_at + const.LOAD_LOG_INTERVAL_SECONDS:
            self._log_load()

    def _record_delay(self, seconds: float) -> None:
        self._largest_delay_seconds = max(self._largest_delay_seconds, seconds)
        limit = self._limit
        limit.record_loop_delay(seconds)
        self._hand_over.controller.record_loop_delay(seconds)
        self._telemetry.gauge("event_loop_delay_seconds", seconds)
        self._telemetry.gauge("requests_under_way", limit.active)
        if self._is_limited == limit.is_full:
            return
        self._is_limited = not self._is_limited
        _LOGGER.info(
            "request limit reached"
            if self._is_limited
            else "below request limit",
            limit=limit.limit,
            under_way=limit.active,
            loop_delay_ms=round(seconds * 1000),
        )

    def _log_load(self) -> None:
        """Log the load since the last call."""
        now, processor_seconds = self._now(), _processor_seconds()
        accepted = self._callers.accepted_connection_count
        connections = len(self._callers.connections)
        descriptors = _open_descriptors()
        self._telemetry.gauge("caller_connections", connections)
        self._telemetry.gauge("caller_connections_accepted", accepted)
        self._telemetry.gauge("open_descriptors", descriptors)
        _LOGGER.info(
            "router load",
            accepted=accepted - self._reported_accepted,
            connections=connections,
            under_way=self._limit.active,
            handed_over=self._hand_over.in_flight,
            hand_over_share=self._hand_over.controller.share,
            descriptors=descriptors,
            largest_loop_delay_ms=round(self._largest_delay_seconds * 1000),
            processor_ms=round(
                (processor_seconds - self._reported_processor_seconds) * 1000
            ),
            interval_ms=round((now - self._reported_at) * 1000),
            offered=self._load_shedder.offered.total,
            offered_by_workspace=self._load_shedder.offered.pop_largest(),
            refused=self._load_shedder.refused.total,
            refused_by_workspace=self._load_shedder.refused.pop_largest(),
        )
        self._reported_at = now
        self._reported_accepted = accepted
        self._reported_processor_seconds = processor_seconds
        self._largest_delay_seconds = 0.0


def _open_descriptors() -> int:
    """Estimate the number of open file descriptors.

    A new socket gets the lowest free descriptor, so its number is close to the
    number in use. An exact count would read a directory with one entry for
    each open descriptor.

    Returns:
        The estimate, or -1 if no descriptor is free.
    """
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            return probe.fileno()
    except OSError as error:
        _LOGGER.warning("no free file descriptor", reason=str(error))
        return -1


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
