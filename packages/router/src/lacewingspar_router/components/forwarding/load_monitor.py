"""Measures what a router has too little of: processor time or descriptors."""

import asyncio
import resource
import socket

import structlog

from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const
from lacewingspar_router.components.forwarding.entry import Entry
from lacewingspar_router.components.forwarding.hand_over import HandOver
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.server import Http1Server

_LOGGER = structlog.get_logger(__name__)


class LoadMonitor:
    """Writes one line a second about the load of this router.

    It also lets the limit of requests follow the delay of the event loop.

    Args:
        app: The application.
        callers: Server that accepts the connections of callers.
        entry: Takes and refuses requests.
        hand_over: Hands requests over to other routers.
    """

    def __init__(
        self,
        app: Application,
        callers: Http1Server,
        entry: Entry,
        hand_over: HandOver,
    ) -> None:
        self._hand_over = hand_over
        self._now = app.now
        self._telemetry = app.get(TELEMETRY)
        self._callers = callers
        self._entry = entry
        self._limit = entry.limit
        self._is_limited = False
        self._largest_delay_seconds = 0.0
        self._reported_at = app.now()
        self._reported_accepted = 0
        self._reported_processor_seconds = _processor_seconds()

    async def async_run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self._now() + const.DELAY_SAMPLE_SECONDS
            await asyncio.sleep(const.DELAY_SAMPLE_SECONDS)
            self._note_delay(max(0.0, self._now() - due_at))
            if self._now() >= self._reported_at + const.LOAD_LINE_SECONDS:
                self._report()

    def _note_delay(self, seconds: float) -> None:
        self._largest_delay_seconds = max(self._largest_delay_seconds, seconds)
        limit = self._limit
        limit.note_delay(seconds)
        self._hand_over.share.note_delay(seconds)
        self._telemetry.gauge("event_loop_delay_seconds", seconds)
        self._telemetry.gauge("requests_under_way", limit.active)
        if self._is_limited == limit.is_full:
            return
        self._is_limited = not self._is_limited
        _LOGGER.info(
            "requests limited" if self._is_limited else "requests not limited",
            limit=limit.limit,
            under_way=limit.active,
            loop_delay_ms=round(seconds * 1000),
        )

    def _report(self) -> None:
        """Write the line about the time since the last one."""
        now, processor_seconds = self._now(), _processor_seconds()
        accepted = self._callers.accepted_connections
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
            handed_over=self._hand_over.under_way,
            hand_over_share=self._hand_over.share.share,
            descriptors=descriptors,
            largest_loop_delay_ms=round(self._largest_delay_seconds * 1000),
            processor_ms=round(
                (processor_seconds - self._reported_processor_seconds) * 1000
            ),
            interval_ms=round((now - self._reported_at) * 1000),
            offered=self._entry.offered.total,
            offered_by_workspace=self._entry.offered.take_largest(),
            refused=self._entry.refused.total,
            refused_by_workspace=self._entry.refused.take_largest(),
        )
        self._reported_at = now
        self._reported_accepted = accepted
        self._reported_processor_seconds = processor_seconds
        self._largest_delay_seconds = 0.0


def _open_descriptors() -> int:
    """Return the number of the lowest free descriptor of a socket.

    The system hands out the lowest one, so about as many are in use. Counting
    them would read a directory with one entry for each.
    """
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            return probe.fileno()
    except OSError as error:
        _LOGGER.warning("no descriptor is free", reason=str(error))
        return -1


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
