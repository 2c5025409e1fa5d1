"""Requests in flight and the paths of recent requests."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

from lacewingspar_core.chart import load_chart
from lacewingspar_core.errors import ChartEventError
from lacewingspar_router.components.caller_api.const import (
    KEPT_PATHS,
    METRIC_CHART_ERRORS,
)
from lacewingspar_router.components.telemetry.models import Telemetry
from lacewingspar_router.errors import RunState

_LOGGER = structlog.get_logger(__name__)

_CHART = load_chart("request")


@dataclass(slots=True)
class RequestTrack:
    """Path of one request through this router.

    Attributes:
        request_id: Identity of the request.
        method: HTTP method.
        target: Path as the caller wrote it, without query.
        arrived_at: Arrival in seconds of the application's clock.
        service: Name of the service, once known.
        workspace: Workspace of the caller, once known.
        hops: Names of hops, their times in seconds of the application's
            clock, and the upstream, if any.
        state: State of the request chart.
        run: What is known about the run of the request.
        outcome: How the request ended, or "" while it is in flight.
        is_cut: Whether the router ends the request before its answer.
        outlives_caller: Whether the request runs on when the caller leaves.
    """

    request_id: str
    method: str
    target: str
    arrived_at: float
    service: str = ""
    workspace: str = ""
    hops: list[tuple[str, float, str]] = field(default_factory=list)
    state: str = _CHART.initial
    run: RunState = RunState.NOT_RUN
    outcome: str = ""
    is_cut: bool = False
    outlives_caller: bool = False

    def as_json(self) -> dict[str, Any]:
        """Return the path as JSON values, with times since arrival."""
        return {
            "request_id": self.request_id,
            "method": self.method,
            "target": self.target,
            "service": self.service,
            "workspace": self.workspace,
            "state": self.state,
            "run": self.run.value,
            "outcome": self.outcome or "in_flight",
            "hops": [
                {
                    "hop": hop,
                    "after_seconds": round(at - self.arrived_at, 6),
                    "upstream": upstream,
                }
                for hop, at, upstream in self.hops
            ],
        }


class InFlight:
    """Requests in flight at this router and the last ones that ended.

    Args:
        now: Returns the time in seconds of the application's clock.
        telemetry: Counters of this router.

    Attributes:
        is_cut: Whether the router has ended the requests in flight.
    """

    def __init__(self, now: Callable[[], float], telemetry: Telemetry) -> None:
        self.is_cut = False
        self._telemetry = telemetry
        self._now = now
        self._tracks: OrderedDict[str, RequestTrack] = OrderedDict()
        self._running: dict[str, tuple[RequestTrack, asyncio.Task[Any]]] = {}
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return len(self._running)

    def enter(self, request_id: str, method: str, target: str) -> RequestTrack:
        """Begin the path of a request that the current task handles."""
        track = RequestTrack(request_id, method, target, self._now())
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("requests are handled in tasks")
        self._running[request_id] = (track, task)
        self._empty.clear()
        return track

    def keep(self, track: RequestTrack) -> None:
        """Keep the path of a request that has passed the checks.

        Requests without a valid token are not kept, so that they cannot push
        the others out.
        """
        self._tracks[track.request_id] = track
        if len(self._tracks) > KEPT_PATHS:
            self._tracks.popitem(last=False)

    def hop(self, track: RequestTrack, name: str, upstream: str = "") -> None:
        """Note that a request has reached a hop."""
        track.hops.append((name, self._now(), upstream))

    def apply(self, track: RequestTrack, event: str) -> None:
        """Apply an event of the request chart.

        An event without a transition is a fault of the router that does not
        harm the request, so it is logged and counted.
        """
        try:
            track.state = _CHART.next_state(track.state, event)
        except ChartEventError as error:
            _LOGGER.error(
                "unexpected request event",
                request_id=track.request_id,
                error=str(error),
            )
            self._telemetry.count(
                METRIC_CHART_ERRORS, state=track.state, event=event
            )

    def leave(self, track: RequestTrack, outcome: str) -> None:
        """End the path of a request."""
        track.outcome = outcome
        self.hop(track, "end")
        self._running.pop(track.request_id, None)
        if not self._running:
            self._empty.set()

    def path(self, request_id: str) -> dict[str, Any] | None:
        """Return the path of a recent request as JSON values."""
        track = self._tracks.get(request_id)
        return None if track is None else track.as_json()

    async def async_wait_empty(self) -> None:
        """Wait until no request is in flight."""
        await self._empty.wait()

    async def async_abort_requests(self) -> int:
        """End all requests in flight, log each and return their number."""
        self.is_cut = True
        running = list(self._running.values())
        for track, task in running:
            track.is_cut = True
            _LOGGER.error(
                "request cut by shutdown",
                request_id=track.request_id,
                service=track.service,
                workspace=track.workspace,
                run=track.run,
                seconds=round(self._now() - track.arrived_at, 3),
            )
            task.cancel()
        tasks = [task for _, task in running]
        await asyncio.gather(*tasks, return_exceptions=True)
        return len(tasks)
