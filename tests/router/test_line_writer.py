"""Tests that log lines are written without blocking."""

import os
from collections.abc import Iterator

import msgspec
import pytest

from lacewingspar_router.components.telemetry.line_writer import (
    BURST_LINES,
    LINES_PER_SECOND,
    RESERVED_LINES,
    LineWriter,
)

LINE = "x" * 200


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def read_lines(descriptor: int) -> list[bytes]:
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return data.splitlines()


def test_lines_beyond_the_rate_are_dropped_and_counted(
    pipe: tuple[int, int],
) -> None:
    """Guards against log lines that use up the processor in an outage."""
    now = 0.0
    writer = LineWriter(pipe[1], "r1", lambda: now)
    lines: list[bytes] = []
    for number in range(int(BURST_LINES) + 500):
        writer.write(f"line {number}")
        if number % 100 == 0:
            lines += read_lines(pipe[0])
    lines += read_lines(pipe[0])
    assert len(lines) == BURST_LINES
    assert writer.dropped == 500
    now = 1 / LINES_PER_SECOND
    writer.write("after")
    notice, after = read_lines(pipe[0])
    assert msgspec.json.decode(notice)["count"] == 500
    assert after == b"after"


def test_reader_that_does_not_read_blocks_nothing(
    pipe: tuple[int, int],
) -> None:
    """Guards against a router that blocks when its log is not read."""
    now = 0.0
    writer = LineWriter(pipe[1], "r1", lambda: now)
    for _ in range(900):
        writer.write(LINE)
    assert writer.dropped > 0
    lines = read_lines(pipe[0])
    writer.write("last")
    lines += read_lines(pipe[0])
    assert lines[-1] == b"last"
    # Every line but the one about dropped lines is complete.
    assert {line for line in lines if line[:1] == b"x"} == {LINE.encode()}


@pytest.mark.parametrize(
    ("is_about_request", "lines"),
    [(True, BURST_LINES - RESERVED_LINES), (False, BURST_LINES)],
)
def test_rate_limit_reserves_lines_about_the_router(
    pipe: tuple[int, int], is_about_request: bool, lines: float
) -> None:
    """Guards against lines about requests that displace all others."""
    now = 0.0
    writer = LineWriter(pipe[1], "r1", lambda: now)
    for _ in range(int(lines)):
        assert writer.has_capacity(is_about_request=is_about_request)
        writer.write("x")
    assert not writer.has_capacity(is_about_request=is_about_request)
    now += 2 / LINES_PER_SECOND
    assert writer.has_capacity(is_about_request=is_about_request)
