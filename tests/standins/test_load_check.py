"""Tests of the response checks of the load generator."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from lacewingspar_standins.chat import END_OF_STREAM, ResponseFormat, usage
from lacewingspar_standins.http_client import ClientError
from lacewingspar_standins.load_check import (
    ErrorEventError,
    StreamCheck,
    check_plain,
    check_whole_chat,
)
from lacewingspar_standins.load_options import PlannedRequest

PLANNED = PlannedRequest("m", "/", {}, b"body", tokens=4, is_stream=True)
GOOD = ResponseFormat("r1", "model", "m")
OTHER_ID = ResponseFormat("r2", "model", "m")
OTHER_MARKER = ResponseFormat("r1", "model", "other")
USAGE = usage(3, 0, 4)
WITH_USAGE = GOOD.last_event(USAGE)
LAST = [WITH_USAGE, END_OF_STREAM]
ERROR = b'data: {"error": {"code": "cut", "run": "unknown"}}\n\n'


def tokens(
    first: int, end: int, response_format: ResponseFormat = GOOD
) -> list[bytes]:
    return response_format.token_events(first, end)


def outcome_of(check: Callable[[], None]) -> str:
    try:
        check()
    except ClientError as error:
        return error.outcome
    return "ok"


@pytest.mark.parametrize("part_bytes", [1, 100, 100_000])
@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([*tokens(0, 4), *LAST], "ok"),
        ([*tokens(0, 3), *LAST], "wrong_answer"),
        ([*tokens(0, 5), *LAST], "wrong_answer"),
        ([*tokens(1, 4), *LAST], "wrong_answer"),
        ([*tokens(0, 2), *tokens(1, 4), *LAST], "wrong_answer"),
        ([*tokens(0, 3), *tokens(3, 4, OTHER_MARKER), *LAST], "wrong_answer"),
        ([*tokens(0, 3), *tokens(3, 4, OTHER_ID), *LAST], "wrong_answer"),
        ([*tokens(0, 4), WITH_USAGE], "wrong_answer"),
        ([*tokens(0, 4), END_OF_STREAM], "wrong_answer"),
        ([*tokens(0, 4), *LAST, WITH_USAGE], "wrong_answer"),
        ([*tokens(0, 4), *LAST, b"data: "], "wrong_answer"),
        ([b"data: {\n\n"], "wrong_answer"),
        ([*tokens(0, 2), ERROR], "error_event:cut"),
    ],
)
def test_stream(events: list[bytes], expected: str, part_bytes: int) -> None:
    """Guards against overlooking mixed-up or incomplete responses."""
    data = b"".join(events)

    def check() -> None:
        stream = StreamCheck(PLANNED, "r1")
        for start in range(0, len(data), part_bytes):
            stream.feed(data[start : start + part_bytes])
        stream.finish()

    assert outcome_of(check) == expected


def test_error_event_carries_the_run_state() -> None:
    with pytest.raises(ErrorEventError) as caught:
        StreamCheck(PLANNED, "r1").feed(ERROR)
    assert caught.value.error.run == "unknown"


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (GOOD.whole(0, 4, USAGE), "ok"),
        (GOOD.whole(0, 3, USAGE), "wrong_answer"),
        (GOOD.whole(0, 4, usage(3, 0, 3)), "wrong_answer"),
        (OTHER_ID.whole(0, 4, USAGE), "wrong_answer"),
        (OTHER_MARKER.whole(0, 4, USAGE), "wrong_answer"),
        ({}, "wrong_answer"),
    ],
)
def test_whole_response_of_the_request(value: Any, expected: str) -> None:
    body = msgspec.json.encode(value)
    outcome = outcome_of(lambda: check_whole_chat(PLANNED, "r1", body))
    assert outcome == expected


@pytest.mark.parametrize("body", [b"{}", b"[]", b'{"digest": "0"}', b""])
def test_plain_response_to_another_body_is_wrong(body: bytes) -> None:
    assert outcome_of(lambda: check_plain(PLANNED, body)) == "wrong_answer"
