"""Tests of the cache of overload declines."""

import pytest

from lacewingspar_core.decline_cache import (
    DECLINE_CACHE_SECONDS,
    MAX_RETRY_AFTER_FRACTION,
    RETRY_JITTER_FRACTION,
    DeclineCache,
)


def cached_decline() -> DeclineCache:
    cache = DeclineCache(max)
    cache.record("large", "review", 0.4, 10.0)
    return cache


@pytest.mark.parametrize(
    ("workspace", "route", "age_seconds", "is_known"),
    [
        ("large", "review", 0.0, True),
        ("large", "review", 0.9 * DECLINE_CACHE_SECONDS, True),
        ("large", "review", DECLINE_CACHE_SECONDS, False),
        ("large", "chat", 0.0, False),
        ("small", "review", 0.0, False),
    ],
)
def test_decline_holds_for_its_workspace_and_route_for_a_moment(
    workspace: str, route: str, age_seconds: float, *, is_known: bool
) -> None:
    found = cached_decline().retry_after(
        workspace, route, 8.0, 10.0 + age_seconds
    )
    assert (found is not None) == is_known


@pytest.mark.parametrize(
    ("remaining_seconds", "expected"),
    [
        (8.0, 0.4 * (1 + RETRY_JITTER_FRACTION)),
        (1.0, MAX_RETRY_AFTER_FRACTION * 1.0),
    ],
)
def test_caller_comes_back_in_the_time_that_it_has(
    remaining_seconds: float, expected: float
) -> None:
    found = cached_decline().retry_after(
        "large", "review", remaining_seconds, 10.0
    )
    assert found == pytest.approx(expected)


def test_expired_declines_are_removed() -> None:
    cache = cached_decline()
    assert not cache.is_empty(10.0)
    assert cache.is_empty(10.0 + DECLINE_CACHE_SECONDS)
    assert cache.is_empty(10.0)
