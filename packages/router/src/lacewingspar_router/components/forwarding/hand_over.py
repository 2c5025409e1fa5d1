"""Hand-over of requests to other routers of the data centre."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

import structlog

from lacewingspar_core.event_stream import EventSequence, EventSizeError
from lacewingspar_core.hand_over import (
    HandOverController,
    Neighbour,
    NeighbourLoads,
    eligible_neighbours,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT, Call
from lacewingspar_router.components.forwarding.stopping import InFlightRequest
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.hand_over_tokens import (
    HAND_OVER_TOKENS,
    HandOverTarget,
)
from lacewingspar_router.http1.client import async_read_body, async_read_head
from lacewingspar_router.http1.client_connection import (
    BodySink,
    ClientConnection,
)
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ConnectionFailedError,
    InvalidResponseError,
)
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import Response, ResponseHead
from lacewingspar_router.http_headers import end_to_end_headers, header_value

_LOGGER = structlog.get_logger(__name__)

_STATUS_REFUSED = 503
_REPLACED_HEADERS = frozenset({b"content-length"})
# Statuses of requests that exceed a limit of a connection.
_LIMIT_STATUSES = frozenset({408, 413, 431})
_CONNECTION_HEADERS = frozenset({b"content-length", b"connection"})


class HandOverOutcome(StrEnum):
    """Outcome of a hand-over.

    Attributes:
        RESPONDED: The response was relayed.
        NOT_TAKEN: The neighbour accepted no connection or refused the request.
        BROKEN: The connection to the neighbour broke.
        DEADLINE_PASSED: The response was not complete at the deadline.
        CANCELLED: The caller disconnected.
        CUT: The shutdown of this router ended the request.
    """

    RESPONDED = "answered"
    NOT_TAKEN = "not_taken"
    BROKEN = "broken"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    CUT = "cut_by_shutdown"


class HandOver:
    """Hands requests over to neighbours when this router lacks processor time.

    Attributes:
        controller: Controls the fraction of new requests to hand over.

    Args:
        app: The application.
        record_decline: Called when a neighbour's response is a refusal, with
            the request, the code of the refusal and the time in seconds after
            which the caller may retry.
    """

    def __init__(
        self,
        app: Application,
        record_decline: Callable[[Call, str, float], None],
    ) -> None:
        self.controller = HandOverController()
        self._record_decline = record_decline
        self._app = app
        self._wire_format = app.get(WIRE_FORMAT)
        self._peers = app.get(PEERS)
        self._tokens = app.get(HAND_OVER_TOKENS)
        self._telemetry = app.get(TELEMETRY)
        assert app.settings.platform is not None
        self._neighbour_loads = NeighbourLoads(
            const.HAND_OVER_DESCRIPTOR_FRACTION
            * app.settings.platform.descriptor_limit
        )
        self._pool_by_address: dict[str, ConnectionPool] = {}
        self._neighbours: list[Neighbour] | None = None
        self._peers.add_listener(self._clear_neighbours)
        self._peers.set_busy_source(lambda: self.controller.is_busy)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight at neighbours."""
        return self._neighbour_loads.in_flight

    def choose(self, call: Call) -> Neighbour | None:
        """Choose the neighbour to hand a request over to.

        A request is handed over at most once. One with the method HEAD is not:
        a refusal to it has no body, which would tell that it was not taken.

        Returns:
            The neighbour, or None if this router forwards the request itself.
        """
        if (
            call.request.is_head
            or call.metadata.handed_over_after_seconds is not None
        ):
            return None
        if not self.controller.should_hand_over_next():
            return None
        self.prepare()
        return self._neighbour_loads.choose(
            [
                item
                for item in self._known_neighbours()
                if self._target_of(item)
            ],
            self._app.now(),
        )

    def prepare(self) -> None:
        """Read the tokens of neighbours, if some are missing and needed."""
        if self.controller.share > 0 and not all(
            self._target_of(item) for item in self._known_neighbours()
        ):
            self._tokens.request_refresh()

    def _target_of(self, neighbour: Neighbour) -> HandOverTarget | None:
        return self._tokens.target_of(neighbour.instance)

    async def async_run(
        self, request: InFlightRequest, neighbour: Neighbour
    ) -> bool:
        """Hand a request over to a neighbour and relay its response.

        Args:
            request: The request.
            neighbour: Router to hand the request over to.

        Returns:
            Whether the response has ended. If not, the neighbour did not take
            the request, may have run it before it broke off, or broke off a
            stream that can be resumed.

        Raises:
            RequestRefusedError: The deadline passed before the response
                started, and the request may have run.
        """
        exchange, call, events = request.exchange, request.call, request.events
        outcome = HandOverOutcome.CANCELLED
        self._neighbour_loads.begin(neighbour.router_id)
        remaining_seconds = call.deadline_at - self._app.now()
        try:
            async with asyncio.timeout(
                remaining_seconds + const.HAND_OVER_DEADLINE_GRACE_SECONDS
            ):
                outcome = await self._async_exchange(
                    exchange, call, neighbour, events
                )
        except TimeoutError as error:
            outcome = HandOverOutcome.DEADLINE_PASSED
            self._neighbour_loads.exclude(neighbour.router_id, self._app.now())
            if not exchange.is_started:
                raise refusals.deadline_passed(may_have_run=True) from error
        finally:
            self._neighbour_loads.end(neighbour.router_id)
            if request.is_cut and outcome is HandOverOutcome.CANCELLED:
                outcome = HandOverOutcome.CUT
            self._record_end(call, neighbour, outcome)
        match outcome:
            case HandOverOutcome.NOT_TAKEN:
                return False
            case HandOverOutcome.BROKEN if exchange.is_started:
                return not call.route.is_resumable
            case HandOverOutcome.BROKEN:
                request.may_have_run_elsewhere = True
                return False
            case _:
                return True

    def close_stale_connections(self) -> None:
        """Close idle connections to neighbours that are no longer used."""
        addresses = {
            target.address
            for neighbour in self._known_neighbours()
            if (target := self._target_of(neighbour))
        }
        for address, pool in list(self._pool_by_address.items()):
            pool.close_expired()
            if pool.is_empty and address not in addresses:
                del self._pool_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()

    async def _async_exchange(
        self,
        exchange: ServerExchange,
        call: Call,
        neighbour: Neighbour,
        events: EventSequence,
    ) -> HandOverOutcome:
        """Send a request and relay the response."""
        target = self._target_of(neighbour)
        if target is None:
            return HandOverOutcome.NOT_TAKEN
        pool = self._connection_pool(target.address)
        try:
            connection = await pool.async_acquire(
                const.NON_REPEATABLE_MAX_IDLE_SECONDS
            )
        except ConnectionFailedError:
            self._neighbour_loads.exclude(neighbour.router_id, self._app.now())
            return HandOverOutcome.NOT_TAKEN
        is_reusable = False
        try:
            waited = self._app.now() - call.arrived_at
            connection.send(
                self._wire_format.encode_handed_over_request(
                    call.request,
                    target.token,
                    waited,
                    call.configuration_version,
                )
            )
            head = await async_read_head(connection)
            refused = await self._async_relay_response(
                exchange, call, connection, head, events
            )
            is_reusable = True
        except (
            ConnectionBrokenError,
            InvalidResponseError,
            EventSizeError,
        ) as error:
            self._record_broken(call, neighbour, exchange, error)
            return HandOverOutcome.BROKEN
        finally:
            if is_reusable:
                pool.release(connection)
            else:
                connection.abort()
        if refused is not None:
            self._neighbour_loads.exclude(neighbour.router_id, self._app.now())
            return HandOverOutcome.NOT_TAKEN
        return HandOverOutcome.RESPONDED

    def _connection_pool(self, address: str) -> ConnectionPool:
        """Return the pool of connections to an address."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = self._pool_by_address[address] = ConnectionPool(
                address, const.HAND_OVER_MAX_IDLE_CONNECTIONS
            )
        return pool

    def _record_broken(
        self,
        call: Call,
        neighbour: Neighbour,
        exchange: ServerExchange,
        error: Exception,
    ) -> None:
        """Log a broken exchange, and exclude a router that did not respond.

        A router also closes the connection of a response that its upstream
        breaks off. If the router itself is lost, the next request notices.
        """
        _LOGGER.warning(
            "response of a request that was handed over broke off",
            request_id=call.metadata.request_id,
            neighbour=neighbour.router_id,
            is_started=exchange.is_started,
            reason=str(error),
        )
        if not exchange.is_started:
            self._neighbour_loads.exclude(neighbour.router_id, self._app.now())

    async def _async_relay_response(
        self,
        exchange: ServerExchange,
        call: Call,
        connection: ClientConnection,
        head: ResponseHead,
        events: EventSequence,
    ) -> Response | None:
        """Relay a response, or return it if the router refused the request."""
        headers = end_to_end_headers(head.headers, _REPLACED_HEADERS)
        if any(name == b"content-length" for name, _ in head.headers):
            response = await async_read_body(
                connection, head, const.MAX_BUFFERED_RESPONSE_BYTES
            )
            if _is_not_taken(response):
                return response
            self._record_neighbour_decline(call, response)
            exchange.send_response(response.status, headers, response.body)
            return None
        exchange.start(head.status, headers, length=None)
        sink: BodySink = exchange
        if call.route.is_resumable:
            events.begin_run(events.resume_point)
            sink = _EventSink(exchange, events)
        await connection.async_stream_body(sink)
        if events.early_end:
            raise InvalidResponseError(events.early_end)
        exchange.finish()
        return None

    def _record_neighbour_decline(self, call: Call, response: Response) -> None:
        """Report a neighbour's refusal that has a retry time."""
        seconds = header_value(response.headers, b"retry-after")
        if response.status == _STATUS_REFUSED and seconds is not None:
            code = refusals.refusal_code(response.body)
            self._record_decline(call, code, float(seconds))

    def _record_end(
        self, call: Call, neighbour: Neighbour, outcome: HandOverOutcome
    ) -> None:
        self._telemetry.count("hand_overs_total", outcome=outcome)
        _LOGGER.info(
            "request handed over",
            request_id=call.metadata.request_id,
            workspace=call.workspace,
            neighbour=neighbour.router_id,
            share=self.controller.share,
            outcome=outcome,
            duration_ms=round((self._app.now() - call.arrived_at) * 1000),
        )

    def _known_neighbours(self) -> list[Neighbour]:
        if self._neighbours is None:
            self._neighbours = eligible_neighbours(
                self._app.instance.router_id,
                self._app.settings.data_centre,
                self._peers.alive_by_router_id,
            )
        return self._neighbours

    def _clear_neighbours(self) -> None:
        self._neighbours = None


def _is_not_taken(response: Response) -> bool:
    """Return whether a router refused a request that others can serve.

    A request that exceeds a limit of the router's connections is refused
    without any header that concerns the request.
    """
    if response.status in _LIMIT_STATUSES:
        return {name for name, _ in response.headers} <= _CONNECTION_HEADERS
    return refusals.is_router_refusal(response.status, response.body)


class _EventSink:
    """Relays complete events, so that another router can resume the stream."""

    def __init__(self, exchange: ServerExchange, events: EventSequence) -> None:
        self._exchange = exchange
        self._events = events

    def write(self, data: bytes) -> bool:
        """Relay the events that a chunk completes."""
        ready = self._events.push(data)
        return not ready or self._exchange.write(ready)

    async def async_drain(self) -> None:
        """Wait until the caller can take more data."""
        await self._exchange.async_drain()
