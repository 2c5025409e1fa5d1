"""Callers of the fault soak, and what they have seen."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from lacewingspar_router.http1.client import async_connect
from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.http1.errors import (
    ConnectionBrokenError,
    ConnectionFailedError,
    InvalidResponseError,
)
from lacewingspar_router.http1.messages import ResponseEnd, ResponseHead
from lacewingspar_standins.deployed.documents import request_bytes

# Paths by weight. Those that flip exist in every other configuration.
WEIGHT_BY_PATH = {
    "/stream/": 4,
    "/stream-once/": 2,
    "/read/": 4,
    "/write/": 4,
    "/flip-0/": 1,
    "/flip-1/": 1,
}
# Paths whose requests must not run twice.
SINGLE_RUN_PATHS = frozenset({"/stream-once/", "/write/"})
# Part of the callers that leave before their answer.
LEAVING_FRACTION = 0.06
# Time between two requests of one caller, in seconds.
LONGEST_PAUSE_SECONDS = 0.12
# Callers wait this much longer than the deadline that they give.
OVERTIME_SECONDS = 2.0
CONNECT_SECONDS = 1.0


@dataclass(slots=True)
class SeenCall:
    """A request and its answer, as its caller has seen them.

    Attributes:
        request_id: Identity of the request.
        path: Path.
        router_id: Router that it was sent to.
        sent_at: Time of sending in seconds of the event loop.
        deadline_seconds: Time that the caller gave.
        ended_at: Time of the end, or infinity.
        left_at: Time at which the caller left, or infinity.
        status: Status, or 0 without an answer.
        headers: Headers in lower case.
        body: Body as far as it came.
        is_complete: Whether the end of the answer came.
    """

    request_id: str
    path: str
    router_id: str
    sent_at: float
    deadline_seconds: float
    ended_at: float = float("inf")
    left_at: float = float("inf")
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def is_closed_unanswered(self) -> bool:
        """Return whether the connection ended without a whole answer."""
        return not self.is_complete and self.left_at == float("inf")


class SoakCallers:
    """Callers that keep their connections until these are closed.

    Attributes:
        calls: All requests so far.

    Args:
        address_by_router_id: Addresses for callers.
        seed: Seed of the load.
    """

    def __init__(self, address_by_router_id: dict[str, str], seed: int) -> None:
        self._address_by_router_id = address_by_router_id
        self._seed = seed
        self._numbers = itertools.count(1)
        self.calls: list[SeenCall] = []

    async def async_run(self, callers: int) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self._async_caller(number))

    async def _async_caller(self, number: int) -> None:
        generator = random.Random(self._seed * 1000 + number)
        router_ids = sorted(self._address_by_router_id)
        while True:
            router_id = generator.choice(router_ids)
            connection = await self._async_connect(router_id)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            try:
                while await self._async_call(connection, router_id, generator):
                    pause = generator.uniform(0, LONGEST_PAUSE_SECONDS)
                    await asyncio.sleep(pause)
            finally:
                connection.abort()

    async def _async_connect(self, router_id: str) -> ClientConnection | None:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                return await async_connect(
                    self._address_by_router_id[router_id]
                )
        except (ConnectionFailedError, TimeoutError):
            return None

    async def _async_call(
        self,
        connection: ClientConnection,
        router_id: str,
        generator: random.Random,
    ) -> bool:
        """Send one request; return whether the connection may be kept."""
        loop = asyncio.get_running_loop()
        path = generator.choices(
            list(WEIGHT_BY_PATH), list(WEIGHT_BY_PATH.values())
        )[0]
        call = SeenCall(
            request_id=f"s{self._seed}-{next(self._numbers)}",
            path=path,
            router_id=router_id,
            sent_at=loop.time(),
            deadline_seconds=generator.choice((1.0, 2.0, 4.0)),
        )
        self.calls.append(call)
        patience = call.deadline_seconds + OVERTIME_SECONDS
        if generator.random() < LEAVING_FRACTION:
            patience = generator.uniform(0.0, 0.05)
        connection.send(
            request_bytes(
                call.path,
                call.request_id,
                round(call.deadline_seconds * 1000),
                call.request_id.encode(),
            )
        )
        try:
            async with asyncio.timeout(patience):
                await _async_read(connection, call)
        except TimeoutError:
            call.left_at = loop.time()
        except (ConnectionBrokenError, InvalidResponseError):
            call.ended_at = loop.time()
        else:
            call.ended_at = loop.time()
        if not call.is_complete or call.headers.get("connection") == "close":
            return False
        return connection.complete_exchange()


async def _async_read(connection: ClientConnection, call: SeenCall) -> None:
    while True:
        match await connection.async_next_event():
            case ResponseHead(status, pairs):
                call.status = status
                call.headers = {
                    name.decode(): value.decode() for name, value in pairs
                }
            case ResponseEnd():
                call.is_complete = True
                return
            case bytes() as part:
                call.body += part
