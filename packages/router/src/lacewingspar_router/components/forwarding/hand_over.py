"""Hands requests over to other routers of the data centre."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

import structlog

from lacewingspar_core.hand_over import (
    HandOverShare,
    Neighbour,
    NeighbourLoads,
    helpful_neighbours,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT, Call
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.client import async_read_body, async_read_head
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.connection_pool import ConnectionPool
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ConnectionFailedError,
    InvalidAnswerError,
)
from lacewingspar_router.http1.exchange import ServerExchange
from lacewingspar_router.http1.messages import Response, ResponseHead
from lacewingspar_router.http_headers import end_to_end_headers, header_value

_LOGGER = structlog.get_logger(__name__)

_STATUS_REFUSED = 503
_REPLACED_HEADERS = frozenset({b"content-length"})


class HandOverOutcome(StrEnum):
    """How a request that was handed over ended.

    Attributes:
        ANSWERED: The answer was passed on.
        NOT_TAKEN: The other router accepts no connection, or has no room.
        BROKEN: The connection to it broke.
        DEADLINE_PASSED: No answer came in time.
        CANCELLED: The caller has left.
    """

    ANSWERED = "answered"
    NOT_TAKEN = "not_taken"
    BROKEN = "broken"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"


class HandOver:
    """Lets other routers forward what this one has no processor time for.

    Attributes:
        share: Part of the new requests that is handed over.

    Args:
        app: The application.
        note_refusal: Called with a request, the code of its refusal at another
            router, and when its caller may come back, in seconds.
    """

    def __init__(
        self, app: Application, note_refusal: Callable[[Call, str, float], None]
    ) -> None:
        self.share = HandOverShare()
        self._note_refusal = note_refusal
        self._app = app
        self._wire = app.get(WIRE_FORMAT)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        assert app.settings.platform is not None
        self._loads = NeighbourLoads(
            const.HAND_OVER_DESCRIPTOR_FRACTION
            * app.settings.platform.descriptor_limit
        )
        self._pool_by_address: dict[str, ConnectionPool] = {}
        self._neighbours: list[Neighbour] | None = None
        self._peers.add_listener(self._forget_neighbours)
        self._peers.set_busy_source(lambda: self.share.is_busy)

    @property
    def under_way(self) -> int:
        """Return the number of requests at other routers."""
        return self._loads.under_way

    def choose(self, call: Call) -> Neighbour | None:
        """Return the router that is to forward a request, or None for this one.

        A request is handed over once at most.
        """
        if call.fields.handed_over_after_seconds is not None:
            return None
        if not self.share.take_next():
            return None
        return self._loads.choose(self._known_neighbours(), self._app.now())

    async def async_run(
        self, exchange: ServerExchange, call: Call, neighbour: Neighbour
    ) -> bool:
        """Let a neighbour answer a request.

        Returns:
            Whether it has answered. If not, the request has not run there, or
            may run again.

        Raises:
            RequestRefusedError: Its answer did not come, and the request may
                have run.
        """
        outcome = HandOverOutcome.CANCELLED
        self._loads.begin(neighbour.router_id)
        left = call.deadline_at - self._app.now()
        try:
            async with asyncio.timeout(left + const.HAND_OVER_GRACE_SECONDS):
                outcome = await self._async_exchange(exchange, call, neighbour)
        except TimeoutError as error:
            outcome = HandOverOutcome.DEADLINE_PASSED
            self._loads.skip(neighbour.router_id, self._app.now())
            if not exchange.is_started:
                raise refusals.deadline_passed(may_have_run=True) from error
        finally:
            self._loads.end(neighbour.router_id)
            self._note_end(call, neighbour, outcome)
        match outcome:
            case HandOverOutcome.NOT_TAKEN:
                return False
            case HandOverOutcome.BROKEN if not exchange.is_started:
                if call.route.may_run_again:
                    return False
                raise refusals.attempts_failed(
                    "hand_over_broken", may_have_run=True
                )
            case _:
                return True

    def drop_stale_connections(self) -> None:
        """Close connections to routers that are not used any more."""
        addresses = {item.address for item in self._known_neighbours()}
        for address, pool in list(self._pool_by_address.items()):
            pool.drop_stale()
            if pool.is_empty and address not in addresses:
                del self._pool_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()

    async def _async_exchange(
        self, exchange: ServerExchange, call: Call, neighbour: Neighbour
    ) -> HandOverOutcome:
        """Send a request and pass its answer on."""
        pool = self._pool_by_address.get(neighbour.address)
        if pool is None:
            pool = ConnectionPool(
                neighbour.address, const.HAND_OVER_IDLE_CONNECTIONS
            )
            self._pool_by_address[neighbour.address] = pool
        try:
            connection = await pool.async_take(const.SINGLE_RUN_IDLE_SECONDS)
        except ConnectionFailedError:
            self._loads.skip(neighbour.router_id, self._app.now())
            return HandOverOutcome.NOT_TAKEN
        is_complete = False
        try:
            waited = self._app.now() - call.arrived_at
            connection.send(self._wire.router_request(call.request, waited))
            head = await async_read_head(connection)
            refused = await self._async_relay(exchange, call, connection, head)
            is_complete = True
        except (ConnectionBrokenError, InvalidAnswerError) as error:
            self._loads.skip(neighbour.router_id, self._app.now())
            _LOGGER.warning(
                "router that took a request over has failed",
                request_id=call.fields.request_id,
                neighbour=neighbour.router_id,
                is_started=exchange.is_started,
                reason=str(error),
            )
            return HandOverOutcome.BROKEN
        finally:
            if is_complete:
                pool.give_back(connection)
            else:
                connection.abort()
        if refused is not None:
            self._loads.skip(neighbour.router_id, self._app.now())
            return HandOverOutcome.NOT_TAKEN
        return HandOverOutcome.ANSWERED

    async def _async_relay(
        self,
        exchange: ServerExchange,
        call: Call,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> Response | None:
        """Pass an answer on, or return the refusal of a router without room."""
        headers = end_to_end_headers(head.headers, _REPLACED_HEADERS)
        if any(name == b"content-length" for name, _ in head.headers):
            response = await async_read_body(
                connection, head, const.LARGEST_ANSWER_BYTES
            )
            if refusals.is_of_router(response.status, response.body):
                return response
            self._learn_from(call, response)
            exchange.answer(response.status, headers, response.body)
            return None
        exchange.start(head.status, headers, length=None)
        await connection.async_pass_body(exchange, None, None)
        exchange.finish()
        return None

    def _learn_from(self, call: Call, response: Response) -> None:
        """Note the refusal of a request that another router has taken over."""
        seconds = header_value(response.headers, b"retry-after")
        if response.status == _STATUS_REFUSED and seconds is not None:
            code = refusals.code_of(response.body)
            self._note_refusal(call, code, float(seconds))

    def _note_end(
        self, call: Call, neighbour: Neighbour, outcome: HandOverOutcome
    ) -> None:
        self._telemetry.count("hand_overs_total", outcome=outcome)
        _LOGGER.info(
            "request handed over",
            request_id=call.fields.request_id,
            workspace=call.workspace,
            neighbour=neighbour.router_id,
            share=self.share.share,
            outcome=outcome,
            duration_ms=round((self._app.now() - call.arrived_at) * 1000),
        )

    def _known_neighbours(self) -> list[Neighbour]:
        if self._neighbours is None:
            self._neighbours = helpful_neighbours(
                self._app.life.router_id,
                self._app.settings.data_centre,
                self._peers.alive_by_router_id,
            )
        return self._neighbours

    def _forget_neighbours(self) -> None:
        self._neighbours = None
