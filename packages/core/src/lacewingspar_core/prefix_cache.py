"""Model of the prefix cache of one engine."""

import itertools
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes:
        key: Identifier of the part, wherever it stands in a prompt.
        tokens: Length in tokens.
    """

    key: int
    tokens: int

    @property
    def name(self) -> str:
        """Return the identifier in hexadecimal, without leading zeros."""
        return f"{self.key:x}"


class PrefixCache:
    """LRU model of the prompt parts in the KV cache of an engine.

    The model is derived from the requests sent to the engine. Tokens that
    belong to only one request occupy the cache too and evict shared parts.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens = 0
        self._tokens_by_key: OrderedDict[int, int] = OrderedDict()
        self._own_keys = itertools.count(-1, -1)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that are cached."""
        cached = 0
        for part in parts:
            if part.key not in self._tokens_by_key:
                break
            cached += part.tokens
        return cached

    def record_use(
        self, parts: Sequence[PromptPart], own_tokens: int = 0
    ) -> None:
        """Record the cache use of a request that was sent.

        Args:
            parts: Leading parts of its prompt that other requests may share.
            own_tokens: Remaining tokens of its prompt and its response.
        """
        if own_tokens:
            self._tokens_by_key[next(self._own_keys)] = own_tokens
            self._tokens += own_tokens
        for part in parts:
            self._tokens += part.tokens - self._tokens_by_key.get(part.key, 0)
            self._tokens_by_key[part.key] = part.tokens
        # A part is useless without the parts before it, so the leading parts
        # are evicted last.
        for part in reversed(parts):
            self._tokens_by_key.move_to_end(part.key)
        while self._tokens > self._capacity_tokens and self._tokens_by_key:
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Remove all parts, as after a restart of the engine."""
        self._tokens_by_key.clear()
        self._tokens = 0
