"""Requests in flight and the progress of recent requests."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

from lacewingspar_core.chart import load_chart
from lacewingspar_core.errors import ChartEventError
from lacewingspar_router.components.caller_api.const import (
    MAX_RECENT_PATHS,
    METRIC_CHART_ERRORS,
)
from lacewingspar_router.components.telemetry.models import Telemetry
from lacewingspar_router.errors import RunState

_LOGGER = structlog.get_logger(__name__)

_CHART = load_chart("request")


@dataclass(slots=True)
class RequestTrack:
    """Progress of one request through this router.

    Attributes:
        request_id: Identity of the request.
        method: HTTP method.
        target: Path of the request URL, without the query.
        arrived_at: Arrival time on the application's clock, in seconds.
        service: Name of the service, once known.
        workspace: Workspace of the caller, once known.
        hops: Processing steps as (name, time on the application's clock in
            seconds, upstream or "").
        state: State in the request state chart.
        run: Whether an upstream has run the request, as far as known.
        outcome: How the request ended, or "" while it is in flight.
        is_cut: Whether a shutdown of the router cancelled the request.
        outlives_caller: Whether the request continues if the caller
            disconnects.
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
        """Return the progress as JSON values, with times since arrival."""
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


class InFlightRequests:
    """Requests in flight at this router and recently finished ones.

    Args:
        now: Returns the time in seconds of the application's clock.
        telemetry: Metrics of this router.

    Attributes:
        is_cut: Whether a shutdown has cancelled the requests in flight.
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

    def begin(self, request_id: str, method: str, target: str) -> RequestTrack:
        """Register a request that the current task handles."""
        track = RequestTrack(request_id, method, target, self._now())
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a request must be handled in an asyncio task")
        self._running[request_id] = (track, task)
        self._empty.clear()
        return track

    def retain(self, track: RequestTrack) -> None:
        """Retain the progress of a valid request for later queries.

        The number of retained requests is limited. Requests without a valid
        token are not retained, so that they cannot displace others.
        """
        self._tracks[track.request_id] = track
        if len(self._tracks) > MAX_RECENT_PATHS:
            self._tracks.popitem(last=False)

    def record_hop(
        self, track: RequestTrack, name: str, upstream: str = ""
    ) -> None:
        """Record that a request has reached a processing step."""
        track.hops.append((name, self._now(), upstream))

    def apply_event(self, track: RequestTrack, event: str) -> None:
        """Apply an event to the state of a request.

        An event without a transition is a bug in the router. It does not
        affect the request, so it is only logged and counted.
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

    def end(self, track: RequestTrack, outcome: str) -> None:
        """Record the outcome of a request that is no longer in flight."""
        track.outcome = outcome
        self.record_hop(track, "end")
        self._running.pop(track.request_id, None)
        if not self._running:
            self._empty.set()

    def path(self, request_id: str) -> dict[str, Any] | None:
        """Return the progress of a recent request as JSON, if retained."""
        track = self._tracks.get(request_id)
        return None if track is None else track.as_json()

    async def async_wait_empty(self) -> None:
        """Wait until no request is in flight."""
        await self._empty.wait()

    async def async_abort_requests(self) -> int:
        """Cancel and log all requests in flight and return their number."""
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
