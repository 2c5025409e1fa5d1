"""Requests in flight and their end when a graceful shutdown ends early."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import structlog

from lacewingspar_core.event_stream import EventSequence
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import refusals
from lacewingspar_router.components.forwarding.models import Call
from lacewingspar_router.components.forwarding.request_recorder import (
    CallProgress,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.exchange import ServerExchange

_LOGGER = structlog.get_logger(__name__)


class RequestState(StrEnum):
    """State of a request in flight.

    Attributes:
        WAITING: No upstream works on it; it waits for admission.
        SENT: It was sent to an upstream; the caller has received nothing.
        HANDED_OVER: It was handed over to a neighbour; the caller has received
            nothing.
        RESPONDING: The response to the caller has started.
    """

    WAITING = "waiting"
    SENT = "sent"
    HANDED_OVER = "handed_over"
    RESPONDING = "responding"


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that this router handles.

    Attributes:
        call: The request.
        exchange: HTTP exchange with the caller.
        events: Events sent to the caller.
        progress: State of its forwarding, or None while a neighbour has it.
        may_have_run_elsewhere: Whether a neighbour that broke off may have run
            it.
        is_cut: Whether the shutdown has cut it.
        limit: Ends its handling when the shutdown cuts it.
    """

    call: Call
    exchange: ServerExchange
    events: EventSequence
    progress: CallProgress | None = None
    may_have_run_elsewhere: bool = False
    is_cut: bool = False
    limit: asyncio.Timeout = field(
        default_factory=lambda: asyncio.timeout(None)
    )

    @property
    def state(self) -> RequestState:
        """Return the state of the request."""
        if self.exchange.is_started:
            return RequestState.RESPONDING
        if self.progress is None:
            return RequestState.HANDED_OVER
        if self.progress.is_attempt_in_flight:
            return RequestState.SENT
        return RequestState.WAITING

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return self.progress is None or self.progress.history.may_have_run

    @property
    def forwarded_events(self) -> int | None:
        """Return the number of events sent to the caller, if known."""
        if self.progress is None and not self.call.route.is_resumable:
            # The events of a stream at a neighbour are relayed unread.
            return None
        return self.events.forwarded


class RequestsInFlight:
    """Tracks the requests in flight, to end them at the drain limit.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._telemetry = app.get(TELEMETRY)
        self._requests: set[InFlightRequest] = set()

    @asynccontextmanager
    async def async_track(
        self, call: Call, exchange: ServerExchange
    ) -> AsyncIterator[InFlightRequest]:
        """Track a request while it is handled.

        If the request is cut, its handling is cancelled.

        Raises:
            RequestRefusedError: The request was cut before its response
                started.
        """
        events = EventSequence(last_id=call.metadata.last_event_id)
        request = InFlightRequest(call, exchange, events)
        self._requests.add(request)
        try:
            async with request.limit:
                yield request
        except TimeoutError:
            if not request.is_cut:
                raise
            if not exchange.is_started:
                raise refusals.stopped(
                    may_have_run=request.may_have_run
                ) from None
        finally:
            self._requests.discard(request)

    def cut(self) -> int:
        """Cut all requests that were not cut before; return their number."""
        now = asyncio.get_running_loop().time()
        requests = [item for item in self._requests if not item.is_cut]
        for request in requests:
            request.is_cut = True
            request.limit.reschedule(now)
            self._record_cut(request)
        return len(requests)

    def _record_cut(self, request: InFlightRequest) -> None:
        now = self._app.now()
        call, started_at = request.call, self._app.drain_started_at
        self._telemetry.count(
            "requests_cut_total", service=call.service, state=request.state
        )
        _LOGGER.error(
            "request cut by shutdown",
            request_id=call.metadata.request_id,
            route=call.route.name,
            service=call.service,
            workspace=call.workspace,
            state=request.state,
            events=request.forwarded_events,
            age_ms=round((now - call.arrived_at) * 1000),
            since_signal_ms=(
                None if started_at is None else round((now - started_at) * 1000)
            ),
        )
