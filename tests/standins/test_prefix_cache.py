"""Tests of the prefix cache."""

from typing import Any

import pytest

from lacewingspar_standins.prefix_cache import CacheOptions, PrefixCache

PROMPT = [f"w{number}" for number in range(64)]


@pytest.mark.parametrize(
    ("words", "cached"),
    [
        (PROMPT, 64),
        (PROMPT[:40], 32),
        (PROMPT[:16] + ["other"] * 48, 16),
        (["other", *PROMPT[1:]], 0),
        (PROMPT[16:32], 0),
        ([], 0),
    ],
)
def test_only_a_common_prefix_is_cached(words: list[str], cached: int) -> None:
    """Guards against hits for blocks that follow a different prefix."""
    cache = PrefixCache(CacheOptions())
    assert cache.use(PROMPT) == 0
    assert cache.use(words) == cached


def test_full_memory_evicts_the_end_of_the_oldest_prompt() -> None:
    """Guards against keeping blocks whose prefix was evicted."""
    cache = PrefixCache(CacheOptions(blocks=5))
    cache.use(PROMPT)
    cache.use(["x"] * 32)
    assert cache.use(PROMPT) == 48


def test_events_are_delayed_and_have_gaps(clock: Any) -> None:
    options = CacheOptions(event_delay_seconds=2, event_loss=0.5, seed=3)
    cache = PrefixCache(options, clock)
    for number in range(40):
        cache.use([f"p{number}"] * 16)
    assert cache.events_from(0).events == ()
    clock.return_value += 2
    reply = cache.events_from(0)
    sequences = [event.sequence for event in reply.events]
    assert 10 < len(sequences) < 30
    assert sequences == sorted(set(sequences))
    assert cache.events_from(reply.next_sequence).events == ()
