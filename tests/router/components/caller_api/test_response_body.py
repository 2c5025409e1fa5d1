"""Buffering of response bodies."""

import pytest

from lacewingspar_router.components.caller_api.response_body import (
    CompleteEventBuffer,
)


@pytest.mark.parametrize(
    ("parts", "passed", "held"),
    [
        ([b"data: 1\n\n"], [b"data: 1\n\n"], b""),
        ([b"data: 1\r\n\r\n"], [b"data: 1\r\n\r\n"], b""),
        ([b"data: 1\n\nda"], [b"data: 1\n\n"], b"da"),
        ([b"da", b"ta: 1\n\n"], [b"", b"data: 1\n\n"], b""),
        ([b"data: 1\n", b"\n", b"x"], [b"", b"data: 1\n\n", b""], b"x"),
        ([b""], [b""], b""),
    ],
)
def test_only_complete_events_are_released(
    parts: list[bytes], passed: list[bytes], held: bytes
) -> None:
    """An error event must not follow an incomplete event."""
    buffer = CompleteEventBuffer()
    assert [buffer.push(part) for part in parts] == passed
    assert buffer.flush() == held
