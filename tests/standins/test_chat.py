"""Chat requests and answers."""

import pytest

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
        (["marker=a", "none"], None),
    ],
)
def test_marker_comes_from_the_last_user_message(
    contents: list[str], expected: str | None
) -> None:
    messages = [ChatMessage("user", content) for content in contents]
    messages.append(ChatMessage("assistant", "marker=z"))
    marker = ChatRequest("m", tuple(messages)).marker()
    assert marker not in {"a", "z"}
    assert expected in {None, marker}


def test_drawn_length_depends_only_on_seed_and_marker() -> None:
    """Guards against a resumed stream of another length."""
    counts = [draw_token_count(1, f"m{n}", 64, 0.7) for n in range(50)]
    again = [draw_token_count(1, f"m{n}", 64, 0.7) for n in range(50)]
    other = [draw_token_count(2, f"m{n}", 64, 0.7) for n in range(50)]
    assert counts == again
    assert counts != other
    assert min(counts) >= 1
