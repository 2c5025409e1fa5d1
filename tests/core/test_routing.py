"""Tests of route matching and target selection."""

import pytest

from lacewingspar_core.routing import (
    Route,
    RouteKind,
    RouteTable,
    RouteTarget,
    choose_target,
)


def make_route(
    host: str = "a.example", prefix: str = "/", **weights: float
) -> Route:
    targets = tuple(RouteTarget(name, w) for name, w in weights.items())
    return Route(
        name=host + prefix,
        host=host,
        path_prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        targets=targets or (RouteTarget("s", 1.0),),
        timeout_seconds=1.0,
        latency_target_seconds=0.1,
        priority=0,
        attempt_limit=2,
        is_public=False,
        is_resumable=False,
        event_gap_target_seconds=0.3,
    )


TABLE = RouteTable.of(
    [
        make_route(prefix="/"),
        make_route(prefix="/x/"),
        make_route(prefix="/x/y/"),
        make_route(host="b.example", prefix="/z/"),
    ]
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/", "a.example/"),
        ("a.example", "/x", "a.example/"),
        ("a.example", "/x/", "a.example/x/"),
        ("a.example", "/x/yz", "a.example/x/"),
        ("a.example", "/x/y/z/q", "a.example/x/y/"),
        ("b.example", "/z/1", "b.example/z/"),
        ("b.example", "/", None),
        ("c.example", "/x/", None),
        ("a.example", "", None),
    ],
)
def test_longest_prefix_of_the_host_wins(
    host: str, path: str, expected: str | None
) -> None:
    """A prefix must not match another host or part of a path segment."""
    route = TABLE.match(host, path)
    assert (route and route.name) == expected


def test_targets_get_their_shares_and_requests_keep_their_target() -> None:
    """The same request id must always select the same service."""
    route = make_route(s=3.0, t=1.0)
    chosen = [choose_target(route, f"id-{n}") for n in range(4000)]
    assert chosen == [choose_target(route, f"id-{n}") for n in range(4000)]
    assert 0.70 < chosen.count("s") / len(chosen) < 0.80
