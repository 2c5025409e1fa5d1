"""Tests of the prefix cache model and the linear fit."""

import pytest

from lacewingspar_core.linear_fit import LinearFit
from lacewingspar_core.prefix_cache import PrefixCache, PromptPart

A, B, C = (PromptPart(key, 100) for key in (1, 2, 3))


@pytest.mark.parametrize(
    ("used", "requested", "cached"),
    [
        ([(A, B)], (A, B), 200),
        ([(A, B)], (A, C), 100),
        ([(A, B)], (B,), 100),
        ([(A, B)], (C, A), 0),
        ([(A,), (B,), (C,)], (A,), 0),
        ([(A, B), (A, C)], (A, B), 100),
    ],
)
def test_cached_parts_are_the_leading_ones_last_used(
    used: list[tuple[PromptPart, ...]],
    requested: tuple[PromptPart, ...],
    cached: int,
) -> None:
    """Guards against parts that count as cached after their eviction."""
    cache = PrefixCache(200)
    for parts in used:
        cache.record_use(parts)
    assert cache.cached_tokens(requested) == cached


def test_unshared_tokens_evict_shared_parts() -> None:
    """Guards against parts that count as cached long after their eviction.

    Load: a part is used once, and further requests don't contain it.
    """
    cache = PrefixCache(1000)
    cache.record_use((A,), own_tokens=300)
    assert cache.cached_tokens((A,)) == 100
    cache.record_use((), own_tokens=500)
    assert cache.cached_tokens((A,)) == 100
    cache.record_use((B,), own_tokens=500)
    assert cache.cached_tokens((A,)) == 0
    assert cache.cached_tokens((B,)) == 100


def test_restart_clears_the_cache() -> None:
    cache = PrefixCache(200)
    cache.record_use((A, B))
    cache.clear()
    assert cache.cached_tokens((A, B)) == 0


def test_fit_finds_the_line_behind_a_wrong_prior() -> None:
    fit = LinearFit(slope=1e-3, intercept=0.0, prior_x=1000.0)
    for step in range(400):
        tokens = float(step % 10 * 1000)
        fit.add(tokens, 0.04 + tokens / 80_000)
    assert fit.slope == pytest.approx(1 / 80_000, rel=0.01)
    assert fit.intercept == pytest.approx(0.04, rel=0.02)
    assert fit.at(8000.0) == pytest.approx(0.14, rel=0.01)
