"""Prompt-prefix cache of the engine stand-in and its event feed."""

import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

WORDS_PER_BLOCK = 16
MAX_KEPT_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache.

    Attributes:
        sequence: Position in the feed, starting at 0; a gap is a lost event.
        kind: `stored` or `evicted`.
        blocks: Hashes of the blocks.
    """

    sequence: int
    kind: str
    blocks: tuple[str, ...]


class CacheEventReply(msgspec.Struct, frozen=True):
    """Response body of `GET /cache_events?from=N`.

    Attributes:
        next_sequence: Value of `from` for the next read.
        events: Visible events.
    """

    next_sequence: int
    events: tuple[CacheEvent, ...]


def block_hashes(words: Sequence[str]) -> tuple[str, ...]:
    """Return the hash of each full block, chained with the previous hash."""
    hashes: list[str] = []
    previous = ""
    full = len(words) - len(words) % WORDS_PER_BLOCK
    for start in range(0, full, WORDS_PER_BLOCK):
        block = " ".join(words[start : start + WORDS_PER_BLOCK])
        previous = xxhash.xxh64_hexdigest(f"{previous}/{block}".encode())
        hashes.append(previous)
    return tuple(hashes)


@dataclass(frozen=True, slots=True)
class CacheOptions:
    """Options of the cache.

    Attributes:
        blocks: Capacity in blocks.
        event_delay_seconds: Delay until an event becomes visible.
        event_loss: Probability that an event is lost, from 0 to 1.
        seed: Seed of the random event losses.
    """

    blocks: int = 4096
    event_delay_seconds: float = 0.5
    event_loss: float = 0.05
    seed: int = 1


class PrefixCache:
    """Cache of prompt blocks with least-recently-used eviction."""

    def __init__(
        self,
        options: CacheOptions,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._options = options
        self._clock = clock
        self._random = random.Random(options.seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._next_sequence = 0

    def use(self, words: Sequence[str]) -> int:
        """Look up a prompt and store its blocks.

        Returns:
            The number of leading words that were cached.
        """
        hashes = block_hashes(words)
        hits = 0
        while hits < len(hashes) and hashes[hits] in self._blocks:
            hits += 1
        # The first block becomes the most recently used, so that eviction
        # starts at the end of a prompt. A block without its predecessors
        # could never be hit.
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        self._record("stored", hashes[hits:])
        excess = max(0, len(self._blocks) - self._options.blocks)
        evicted = [self._blocks.popitem(last=False)[0] for _ in range(excess)]
        self._record("evicted", evicted)
        return hits * WORDS_PER_BLOCK

    def events_from(self, sequence: int) -> CacheEventReply:
        """Return the visible events from a sequence number on."""
        visible_before = self._clock() - self._options.event_delay_seconds
        events = tuple(
            event
            for at, event in self._events
            if at <= visible_before and event.sequence >= sequence
        )
        next_sequence = events[-1].sequence + 1 if events else sequence
        return CacheEventReply(next_sequence, events)

    def _record(self, kind: str, blocks: Sequence[str]) -> None:
        if not blocks:
            return
        event = CacheEvent(self._next_sequence, kind, tuple(blocks))
        self._next_sequence += 1
        if self._random.random() >= self._options.event_loss:
            self._events.append((self._clock(), event))
