"""ASGI application that handles all requests of callers."""

import asyncio
import uuid
from typing import Any

import structlog

from lacewingspar_router.application import Application, LifeCycle
from lacewingspar_router.components.caller_api.access import AccessIndex
from lacewingspar_router.components.caller_api.calls import CallRunner
from lacewingspar_router.components.caller_api.checks import (
    async_check_request,
    workspaces_of_caller,
)
from lacewingspar_router.components.caller_api.const import (
    RETRY_AFTER_STATE_SECONDS,
)
from lacewingspar_router.components.caller_api.errors import CallerGoneError
from lacewingspar_router.components.caller_api.exchange import (
    Exchange,
    Receive,
    Send,
)
from lacewingspar_router.components.caller_api.in_flight import (
    InFlightRequests,
    RequestTrack,
)
from lacewingspar_router.components.caller_api.refusals import (
    internal_error,
    router_stopped,
)
from lacewingspar_router.components.caller_api.targets import read_target
from lacewingspar_router.components.configuration.models import (
    CONFIGURATION,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError, RunState
from lacewingspar_router.http1.body_memory import BodyMemory
from lacewingspar_router.http_headers import (
    TRACE_PARENT_HEADER,
    header_value,
)

_LOGGER = structlog.get_logger(__name__)

_EVENT_BY_OUTCOME = {"replayed": "replay", "interrupted": "fail"}


class CallerProxy:
    """Handles the requests of callers.

    Args:
        application: The application that holds the other components.
    """

    def __init__(self, application: Application) -> None:
        self._application = application
        self._configuration = application.get(CONFIGURATION)
        self._telemetry = application.get(TELEMETRY)
        self.in_flight = InFlightRequests(application.now, self._telemetry)
        self._calls = CallRunner(application, self.in_flight)
        self._index = AccessIndex({})
        # Bounds the bodies of all requests.
        self.body_memory = BodyMemory()
        self.body_memory.record_evictions = self._record_evictions

    def _record_evictions(self, count: int) -> None:
        self._telemetry.count("callers_evicted_total", count)

    def apply_configuration(self) -> None:
        """Update the access index and the retry budgets."""
        documents = self._configuration.documents_by_service
        self._index = AccessIndex(documents)
        self._calls.retries.retain_workspaces(
            {
                workspace.name
                for document in documents.values()
                for workspace in document.workspaces
            }
        )

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests without a complete response."""
        return self.in_flight.count

    def request_path(self, request_id: str) -> dict[str, Any] | None:
        """Return the progress of a recent request as JSON, if retained."""
        return self.in_flight.path(request_id)

    async def async_abort_requests(self) -> int:
        """Cancel and log all requests in flight and return their number."""
        return await self.in_flight.async_abort_requests()

    async def async_handle(
        self, scope: Any, receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(
            scope, receive, send, uuid.uuid4().hex, self.body_memory
        )
        track = self.in_flight.begin(
            exchange.request_id, scope["method"], scope["path"]
        )
        outcome = "failed"
        try:
            with self._telemetry.span(
                "caller",
                trace_parent=header_value(
                    exchange.headers, TRACE_PARENT_HEADER
                ),
                request_id=exchange.request_id,
            ) as trace_parent:
                exchange.trace_parent = trace_parent
                outcome = await self._async_respond(exchange, track)
        finally:
            exchange.close()
            self.in_flight.end(track, outcome)
            self._telemetry.count(
                "requests_total",
                service=track.service,
                workspace=track.workspace,
                outcome=outcome,
            )

    async def _async_respond(
        self, exchange: Exchange, track: RequestTrack
    ) -> str:
        """Respond to one request and return its outcome."""
        try:
            outcome = await self._async_process(exchange, track)
            self.in_flight.apply_event(track, _end_event(track, outcome))
            return outcome
        except RequestRefusedError as error:
            track.run = error.run
            self.in_flight.apply_event(track, _refusal_event(track))
            if not exchange.is_started:
                await exchange.async_refuse(error)
            return error.code
        except CallerGoneError:
            self.in_flight.apply_event(track, "cancel")
            return "caller_gone"
        except asyncio.CancelledError:
            self.in_flight.apply_event(track, "cancel")
            if not track.is_cut:
                return "caller_gone"
            if exchange.is_started:
                await exchange.async_interrupt("this router stopped")
            else:
                await exchange.async_refuse(router_stopped(track.run))
            return "cut"
        except Exception:
            _LOGGER.exception("request failed", request_id=exchange.request_id)
            self.in_flight.apply_event(track, "fail")
            if not exchange.is_started:
                await exchange.async_refuse(internal_error(track.run))
            return "internal_error"

    async def _async_process(
        self, exchange: Exchange, track: RequestTrack
    ) -> str:
        self._check_state()
        target = read_target(exchange.scope)
        index = self._index
        workspaces = workspaces_of_caller(exchange, index)
        if target.is_model_list:
            await exchange.async_read_body(0)
            track.run = RunState.RAN
            await exchange.async_send_json(200, _model_list(index, workspaces))
            return "completed"
        request = await async_check_request(
            exchange, target, index, workspaces, track.arrived_at
        )
        track.service = request.document.service
        track.workspace = request.workspace.name
        self.in_flight.retain(track)
        watcher = asyncio.create_task(
            _async_cancel_when_disconnected(
                exchange, track, asyncio.current_task()
            )
        )
        try:
            return await self._calls.async_run(request, exchange, track)
        finally:
            watcher.cancel()

    def _check_state(self) -> None:
        """Raise a refusal unless the router serves requests."""
        life_cycle = self._application.life_cycle
        if life_cycle in (LifeCycle.DRAINING, LifeCycle.STOPPED):
            raise RequestRefusedError(
                503,
                "draining",
                "this router is shutting down",
                retry_after_seconds=RETRY_AFTER_STATE_SECONDS,
            )
        if life_cycle is LifeCycle.STARTING or not self._configuration.is_ready:
            raise RequestRefusedError(
                503,
                "not_ready",
                "this router has no configuration yet",
                retry_after_seconds=RETRY_AFTER_STATE_SECONDS,
            )


async def _async_cancel_when_disconnected(
    exchange: Exchange, track: RequestTrack, task: asyncio.Task[Any] | None
) -> None:
    """Cancel a request when its caller disconnects."""
    await exchange.async_wait_disconnected()
    must_run_on = exchange.is_finished or track.outlives_caller
    if task is not None and not must_run_on:
        task.cancel()


def _end_event(track: RequestTrack, outcome: str) -> str:
    """Return the state chart event for the end of a response."""
    if track.state == "received":
        return "answer_here"
    return _EVENT_BY_OUTCOME.get(outcome, "answer_ended")


def _refusal_event(track: RequestTrack) -> str:
    """Return the state chart event for a refusal."""
    if track.state != "releasing":
        return "refuse"
    return "claim_released" if track.run is RunState.NOT_RUN else "fail"


def _model_list(index: AccessIndex, workspaces: Any) -> dict[str, Any]:
    return {
        "object": "list",
        "data": [
            {"id": model, "object": "model", "owned_by": service}
            for service in sorted(workspaces)
            for model in index.models_of(service)
        ],
    }
