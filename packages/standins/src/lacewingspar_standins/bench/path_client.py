"""HTTP client of the benchmark `path`."""

import asyncio
import random
import time
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

import msgspec

from lacewingspar_standins.bench.rig import WORKSPACE
from lacewingspar_standins.bench.stamps import (
    HEADER_ARRIVED,
    HEADER_SENT,
    event_stamps,
)
from lacewingspar_standins.chat import END_OF_STREAM, ChatMessage, ChatRequest
from lacewingspar_standins.fleet_settings import token_of
from lacewingspar_standins.http_client import (
    Connection,
    ConnectionPool,
    encode_request,
)

_EVENT_PREFIX = b"data: "
# The last event and the end marker carry no token.
_EVENTS_WITHOUT_TOKEN = 2
ERROR_PAUSE_SECONDS = 0.1


class PathError(Exception):
    """A response is incomplete or invalid."""


@dataclass(slots=True)
class Times:
    """Transit times between client and engine, in milliseconds.

    Attributes:
        whole: Both directions, for non-streaming responses.
        first_event: Both directions, for the first event of a stream.
        event: From the engine to the client, for each chunk of a stream.
    """

    whole: list[float] = field(default_factory=list)
    first_event: list[float] = field(default_factory=list)
    event: list[float] = field(default_factory=list)


class PathClient:
    """Sends chat requests to one address.

    Args:
        address: Target address as `host:port`.
        model: Model of the requests.

    Attributes:
        times: Transit times.
        responses: Number of complete responses.
        events: Number of token events received.
        errors: Errors of failed requests in closed loops.
    """

    def __init__(self, address: str, model: str) -> None:
        self.times = Times()
        self.responses = 0
        self.events = 0
        self.errors: list[str] = []
        self._address = address
        self._model = model
        self._pool = ConnectionPool()

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def whole(self, tokens: int) -> None:
        """Send a request with a non-streaming response."""
        connection = await self._pool.acquire(self._address)
        try:
            started_ns = time.monotonic_ns()
            await self._send(connection, tokens, stream=False)
            async for _ in connection.parts():
                pass
            ended_ns = time.monotonic_ns()
            arrived_ns = int(connection.headers[HEADER_ARRIVED])
            sent_ns = int(connection.headers[HEADER_SENT])
            transit_ns = arrived_ns - started_ns + ended_ns - sent_ns
            self.times.whole.append(transit_ns / 1e6)
            self.responses += 1
        finally:
            self._pool.release(self._address, connection)

    async def stream(self, tokens: int) -> None:
        """Send a request with an event stream as response."""
        async for _ in self.parts(tokens):
            pass

    async def parts(self, tokens: int) -> AsyncGenerator[None, None]:
        """Send a request and yield at each chunk of its event stream.

        Raises:
            PathError: The stream is incomplete.
        """
        connection = await self._pool.acquire(self._address)
        try:
            started_ns = time.monotonic_ns()
            await self._send(connection, tokens, stream=True)
            arrived_ns = int(connection.headers[HEADER_ARRIVED])
            request_transit_ms = (arrived_ns - started_ns) / 1e6
            count = 0
            last = b""
            async for part in connection.parts():
                delays = _delays_ms(part)
                if count == 0 and delays:
                    self.times.first_event.append(
                        request_transit_ms + delays[0]
                    )
                self.times.event += delays
                arrived = part.count(_EVENT_PREFIX)
                count += arrived
                self.events += arrived
                last = part
                yield
            if not last.endswith(END_OF_STREAM):
                raise PathError("stream ended without its end marker")
            if count != tokens + _EVENTS_WITHOUT_TOKEN:
                raise PathError(f"{count} events for {tokens} tokens")
            self.responses += 1
        finally:
            self._pool.release(self._address, connection)

    async def _send(
        self, connection: Connection, tokens: int, *, stream: bool
    ) -> None:
        chat = ChatRequest(
            model=self._model,
            messages=(ChatMessage("user", "marker=bench"),),
            stream=stream,
            max_tokens=tokens,
        )
        headers = {
            "content-type": "application/json",
            "authorization": f"Bearer {token_of(WORKSPACE)}",
        }
        data = encode_request(
            "POST",
            "/v1/chat/completions",
            self._address,
            headers,
            msgspec.json.encode(chat),
        )
        await connection.exchange(data)
        if connection.status != 200:
            body = b"".join([part async for part in connection.parts()])
            raise PathError(f"{connection.status} {body[:300]!r}")


async def run_open_loop(
    client: PathClient, plan: "OpenLoop", *, stream: bool
) -> None:
    """Send requests at random times with random numbers of tokens."""
    generator = random.Random(plan.seed)
    due_at = time.monotonic()
    ends_at = due_at + plan.seconds
    async with asyncio.TaskGroup() as group:
        while True:
            due_at += generator.expovariate(plan.requests_per_second)
            tokens = generator.randint(
                plan.mean_tokens // 2, plan.mean_tokens * 3 // 2
            )
            if due_at >= ends_at:
                return
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            send = client.stream if stream else client.whole
            group.create_task(send(tokens))


async def run_closed_loop(
    client: PathClient,
    *,
    clients: int,
    seconds: float,
    tokens: int,
    stream: bool,
) -> None:
    """Run several clients that each send one request at a time."""
    ends_at = time.monotonic() + seconds

    async def run_client() -> None:
        while time.monotonic() < ends_at:
            try:
                await (client.stream if stream else client.whole)(tokens)
            except PathError as error:
                client.errors.append(str(error))
                await asyncio.sleep(ERROR_PAUSE_SECONDS)

    async with asyncio.TaskGroup() as group:
        for _ in range(clients):
            group.create_task(run_client())


@dataclass(frozen=True, slots=True)
class OpenLoop:
    """Load with random arrival times.

    Attributes:
        seed: Seed of the times and numbers of tokens.
        seconds: Duration.
        requests_per_second: Mean rate.
        mean_tokens: Mean number of tokens.
    """

    seed: int
    seconds: float
    requests_per_second: float
    mean_tokens: int


def _delays_ms(part: bytes) -> list[float]:
    now_ns = time.monotonic_ns()
    return [(now_ns - stamp) / 1e6 for stamp in event_stamps(part)]
