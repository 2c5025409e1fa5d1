"""Tests of chat requests and responses."""

from typing import Any

import pytest
import xxhash

from lacewingspar_standins.chat import (
    ChatMessage,
    ChatRequest,
    draw_token_count,
)


@pytest.mark.parametrize(
    ("contents", "expected"),
    [
        (["marker=a", "x marker=b.2 y"], "b.2"),
        (["marker=a", "marker=b marker=c"], "b"),
        (["marker=a", "none"], xxhash.xxh64_hexdigest(b"none")),
    ],
)
def test_marker_is_of_the_last_message(contents: Any, expected: str) -> None:
    messages = [ChatMessage("user", content) for content in contents]
    messages.append(ChatMessage("assistant", "marker=z"))
    assert ChatRequest("m", tuple(messages)).marker() == expected


def test_drawn_length_depends_only_on_seed_and_marker() -> None:
    """Guards against a resumed stream that changes its length."""
    first, again, other = (
        [draw_token_count(seed, f"m{n}", 64, 0.7) for n in range(50)]
        for seed in (1, 1, 2)
    )
    assert first == again != other
    assert min(first) >= 1
