"""Tests of headers of callers with any value."""

import asyncio
import os
import re

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from tests.router.connections import async_open_connection
from tests.router.deployed.conftest import (
    Caller,
    Deployment,
    ReceivedResponse,
    knows_as_serving,
    receive,
    until,
)

from lacewingspar_router.http1.client_connection import ClientConnection
from lacewingspar_router.platform import names
from lacewingspar_standins.deployed.documents import request_bytes

# Headers that the router reads, beside those that frame a request.
HEADERS = sorted(
    names.ROUTER_HEADERS - {b"content-length"}
    | {
        names.HEADER_REQUEST_ID,
        names.HEADER_TOKEN_COUNTS,
        names.HEADER_OUTPUT_ESTIMATE,
        names.HEADER_PROMPT_PARTS,
        b"host",
        b"connection",
    }
)
# A longer run by hand sets the number of examples, which are then random.
EXAMPLES = os.environ.get("HEADER_EXAMPLES")
# An upstream that has no event after a caller's last one fails.
STATUSES_OF_FAILURES = {names.HEADER_LAST_EVENT_ID: (0, 500)}
DIGITS = b"9" * 6000
LARGE_IDS = b"f" * 17 + b":10," + b"1" + b"0" * 16 + b":10,2:10"


def request_with(header: bytes, value: bytes, path: str = "/stream/x") -> bytes:
    """Return a request in which a header has some value."""
    data = request_bytes(path, "a-header", 3000)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [
        line
        for line in head.split(b"\r\n")
        if line.partition(b":")[0].lower() != header
    ]
    lines.append(header + b": " + value)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def async_exchange(
    connection: ClientConnection, data: bytes
) -> ReceivedResponse:
    """Send a request on a connection and return the response."""
    connection.send(data)
    return await asyncio.wait_for(receive(connection, ReceivedResponse()), 10)


async def async_call_twice(
    caller: Caller, data: bytes
) -> tuple[ReceivedResponse, ReceivedResponse]:
    """Send a request and a sound one, on one connection unless it closes."""
    connection = await async_open_connection(caller.address)
    first = await async_exchange(connection, data)
    if first.headers.get("connection") == "close":
        connection.abort()
        connection = await async_open_connection(caller.address)
    second = await async_exchange(
        connection, request_bytes("/read/x", "a-next", 3000, method="GET")
    )
    connection.abort()
    return first, second


@pytest.fixture
async def callers(served: Deployment) -> list[Caller]:
    """Provide the callers of two routers, of which one owns each pool."""
    made = [await served.add_router(name) for name in ("r1", "r2")]
    first, second = served.apps
    await until(
        lambda: knows_as_serving(first, "r2") and knows_as_serving(second, "r1")
    )
    return made


@pytest.mark.parametrize(
    ("header", "value", "status"),
    [
        (names.HEADER_TOKEN_COUNTS, "²,¹".encode("latin-1"), 400),
        (names.HEADER_TOKEN_COUNTS, DIGITS + b",1", 400),
        (names.HEADER_TOKEN_COUNTS, b"1," + DIGITS, 400),
        (names.HEADER_TOKEN_COUNTS, b"1,-1", 400),
        (names.HEADER_TOKEN_COUNTS, b"1_0,1", 400),
        (names.HEADER_TOKEN_COUNTS, b"9" * 30 + b",1", 400),
        (names.HEADER_TOKEN_COUNTS, b"10,20", 200),
        (names.HEADER_TOKEN_COUNTS, b" 10 , 20 ", 200),
        (names.HEADER_TOKEN_COUNTS, b"10", 200),
        (names.HEADER_TOKEN_COUNTS, b"", 200),
        (names.HEADER_TIME_LEFT_MS, DIGITS, 400),
        (names.HEADER_TIME_LEFT_MS, b"nan", 400),
        (names.HEADER_TIME_LEFT_MS, b"-1", 400),
        (names.HEADER_TIME_LEFT_MS, b"soon", 400),
        (names.HEADER_TIME_LEFT_MS, b"1500.5", 200),
        (names.HEADER_TIME_LEFT_MS, b"", 200),
        (names.HEADER_PROMPT_PARTS, b"1:" + DIGITS, 400),
        (names.HEADER_PROMPT_PARTS, b"1:-10,2:10", 400),
        (names.HEADER_PROMPT_PARTS, b"1:10,-2:10,3:1", 400),
        (names.HEADER_PROMPT_PARTS, b"1:10,part:10", 400),
        (names.HEADER_PROMPT_PARTS, b"1:" + b"9" * 30 + b",2:1", 400),
        (names.HEADER_PROMPT_PARTS, LARGE_IDS, 200),
        (names.HEADER_PROMPT_PARTS, b"1:10, 2:20", 200),
        (names.HEADER_OUTPUT_ESTIMATE, DIGITS, 200),
        (names.HEADER_OUTPUT_ESTIMATE, b"9" * 30, 200),
        (names.HEADER_OUTPUT_ESTIMATE, b"\xb2", 200),
        (names.HEADER_HANDED_OVER_MS, DIGITS, 200),
        (names.HEADER_CONFIGURATION_VERSION, DIGITS, 200),
    ],
)
async def test_numbers_are_read_refused_or_left_aside(
    served: Deployment,
    callers: list[Caller],
    header: bytes,
    value: bytes,
    status: int,
) -> None:
    """Guards against numbers that end their request with an empty 500."""
    for caller in callers:
        first, second = await async_call_twice(
            caller, request_with(header, value)
        )
        assert (first.status, second.status) == (status, 200)
        if status == 400:
            assert header in first.body
            assert first.headers["x-attempt-id"] == "a-header"
    assert status == 200 or served.received_ids() == {"a-next"}


NUMBERS = (
    st.integers(min_value=-(10**20), max_value=10**20).map(str)
    | st.floats().map(str)
    | st.integers(min_value=1, max_value=6000).map("9".__mul__)
    | st.sampled_from(["²", "1_0", "+1", "0x1", " ", "1e400", "f" * 17])
)
LISTS = st.lists(
    st.lists(NUMBERS, min_size=1, max_size=2).map(":".join), max_size=3
).map(",".join)
VALUES = (
    st.binary(max_size=60)
    | NUMBERS.map(lambda text: text.encode("latin-1"))
    | LISTS.map(lambda text: text.encode("latin-1"))
).map(lambda value: re.sub(rb"[\r\n]", b"", value)[:8000])


@settings(
    max_examples=int(EXAMPLES or 100),
    derandomize=EXAMPLES is None,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(header=st.sampled_from(HEADERS), value=VALUES)
async def test_any_header_value_gets_a_response(
    callers: list[Caller], header: bytes, value: bytes
) -> None:
    """Guards against header values that end their request with an error."""
    data = request_with(header, value)
    for caller in callers:
        first, second = await async_call_twice(caller, data)
        assert first.status not in STATUSES_OF_FAILURES.get(
            header, (0, 500, 502)
        )
        assert second.status == 200
