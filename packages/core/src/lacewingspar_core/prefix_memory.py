"""Model of the prompt parts that one engine keeps in its memory."""

import itertools
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, which other prompts may share.

    Attributes:
        key: Hash of the part and of all parts before it.
        tokens: Length in tokens.
    """

    key: int
    tokens: int


class PrefixMemory:
    """Parts that an engine has read, the least recently used first.

    The model follows what was sent to the engine. What belongs to one request
    alone stays in the memory as well, and pushes shared parts out.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens = 0
        self._tokens_by_key: OrderedDict[int, int] = OrderedDict()
        self._unshared_keys = itertools.count(-1, -1)

    def held_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that are held."""
        held = 0
        for part in parts:
            if part.key not in self._tokens_by_key:
                break
            held += part.tokens
        return held

    def note_use(
        self, parts: Sequence[PromptPart], unshared_tokens: int = 0
    ) -> None:
        """Note that a request was sent.

        Args:
            parts: Leading parts of its prompt that others may share.
            unshared_tokens: Further tokens of its prompt and its answer.
        """
        if unshared_tokens:
            self._tokens_by_key[next(self._unshared_keys)] = unshared_tokens
            self._tokens += unshared_tokens
        for part in parts:
            self._tokens += part.tokens - self._tokens_by_key.get(part.key, 0)
            self._tokens_by_key[part.key] = part.tokens
        # A part is of no use without those before it, so that these count as
        # used later.
        for part in reversed(parts):
            self._tokens_by_key.move_to_end(part.key)
        while self._tokens > self._capacity_tokens and self._tokens_by_key:
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget all parts, as after a restart of the engine."""
        self._tokens_by_key.clear()
        self._tokens = 0
