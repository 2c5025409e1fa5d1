"""Chat requests, responses and events of the engine stand-in."""

import math
import random
import re
import time
from typing import Any

import msgspec
import xxhash

# A word `marker=TEXT` in the last user message sets the response's marker.
MARKER_PATTERN = re.compile(r"marker=([A-Za-z0-9_.-]{1,64})")
END_OF_STREAM = b"data: [DONE]\n\n"


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of the conversation."""

    role: str
    content: str


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/chat/completions`.

    Attributes:
        model: Name of the model.
        messages: The conversation.
        stream: Whether to respond with server-sent events.
        max_tokens: Number of tokens to generate, or None for a random one.
        resume_from: Number of tokens that the client already has.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    resume_from: int = 0

    def words(self) -> list[str]:
        """Return the words of the prompt, which stand for its tokens."""
        return [
            word
            for message in self.messages
            for word in (message.role, *message.content.split())
        ]

    def marker(self) -> str:
        """Return the text that each token of the response repeats."""
        contents = [m.content for m in self.messages if m.role == "user"]
        last = contents[-1] if contents else ""
        match = MARKER_PATTERN.search(last)
        return (
            match.group(1) if match else xxhash.xxh64_hexdigest(last.encode())
        )


def draw_token_count(
    seed: int, marker: str, median: float, sigma: float
) -> int:
    """Return a lognormally distributed number of tokens, at least 1.

    The number depends only on seed, marker and distribution, so that a stream
    resumed on another engine with the same options has the same length.
    """
    generator = random.Random(f"{seed}/{marker}")
    return max(1, round(generator.lognormvariate(math.log(median), sigma)))


def usage(
    prompt_tokens: int, cached_tokens: int, completion_tokens: int
) -> dict[str, Any]:
    """Return the `usage` object of a response."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


class ResponseFormat:
    """Encodes a response as one JSON document or as events.

    Args:
        response_id: Id of the completion.
        model: Name of the model.
        marker: Text that each token repeats.
    """

    def __init__(self, response_id: str, model: str, marker: str) -> None:
        self._head = {
            "id": response_id,
            "created": int(time.time()),
            "model": model,
        }
        self._marker = marker
        event = self._event({"content": "\0"}, None)
        # Only the token differs between events, so the rest is encoded once.
        prefix, suffix = event.split(b"\\u0000")
        self._prefix = prefix + marker.encode() + b":"
        self._suffix = b" " + suffix

    def token_events(self, first: int, end: int) -> list[bytes]:
        """Return the events of the tokens `first` to `end - 1`."""
        return [
            b"%b%d%b" % (self._prefix, number, self._suffix)
            for number in range(first, end)
        ]

    def last_event(self, usage_value: dict[str, Any]) -> bytes:
        """Return the final event, which carries the usage."""
        return self._event({}, "stop", usage=usage_value)

    def whole(
        self, first: int, end: int, usage_value: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the body of a response without streaming."""
        content = "".join(
            f"{self._marker}:{number} " for number in range(first, end)
        )
        message = {"role": "assistant", "content": content}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return {
            **self._head,
            "object": "chat.completion",
            "choices": [choice],
            "usage": usage_value,
        }

    def _event(
        self, delta: dict[str, Any], finish_reason: str | None, **more: Any
    ) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        value = {
            **self._head,
            "object": "chat.completion.chunk",
            "choices": [choice],
            **more,
        }
        return b"data: " + msgspec.json.encode(value) + b"\n\n"
