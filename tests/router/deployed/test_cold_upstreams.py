"""Upstreams that are cold after a start."""

import asyncio
import itertools
from typing import Any
from unittest import mock

import pytest
from tests.core.engine_model import entry
from tests.core.test_cold_pacing import SERVICE, most_in_a_second
from tests.router.deployed.conftest import Deployment, manifest, until
from tests.router.deployed.notice_calls import async_load, served_share

from lacewingspar_core.cold_pacing import LIST_LAG_SECONDS, SEND_BURST
from lacewingspar_router.components.admission import cold_upstreams
from lacewingspar_router.components.admission.models import Grant
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.hand_over_tokens import (
    HAND_OVER_TOKENS,
    HandOverTokens,
)
from lacewingspar_router.settings import PlatformSettings
from lacewingspar_standins.deployed.upstream import Upstream
from lacewingspar_standins.server import split_address

COLD_SECONDS = 2.0
COLD_PER_SECOND = 4.0
SETTINGS: dict[str, Any] = {"cold_rate_factor": 1.5, "cold_rate_allowance": 5}
BOUND = 11
PATH = "/read/"


def cold_manifest(cold_per_second: float) -> dict[str, Any]:
    services = manifest()["services"]
    for service in services:
        service["coldStartS"] = COLD_SECONDS
        service["coldPerS"] = cold_per_second
    return manifest(services=services)


async def async_routers_that_know(
    deployment: Deployment, routers: int, **settings: Any
) -> list[Any]:
    """Start routers and wait until they know each other and the upstream."""
    callers = [
        await deployment.add_router(f"r{n}", **settings) for n in range(routers)
    ]
    for app in deployment.apps:
        await until(
            lambda app=app: (
                len(app.get(PEERS).alive_by_router_id) == routers
                and app.get(ROUTING).is_ready
            )
        )
    return callers


def times_of(upstream: Upstream) -> list[float]:
    return [request.at for request in upstream.received]


@pytest.mark.parametrize(
    ("cold_per_second", "settings", "is_limited"),
    [
        (COLD_PER_SECOND, SETTINGS, True),
        (0.0, SETTINGS, False),
        (COLD_PER_SECOND, {}, False),
    ],
    ids=["limited", "no rate configured", "no settings"],
)
async def test_cold_upstream_gets_no_more_than_permitted(
    deployment: Deployment,
    cold_per_second: float,
    settings: dict[str, Any],
    is_limited: bool,
) -> None:
    """Guards against a crash of an upstream that comes back cold.

    Load: three routers with two busy callers each, about 100 requests/s.
    """
    deployment.publish(cold_manifest(cold_per_second))
    upstream = await deployment.add_upstream("p1", "plain")
    callers = await async_routers_that_know(deployment, 3, **settings)
    await asyncio.sleep(LIST_LAG_SECONDS)
    deployment.register(
        "p1", "plain", born=2, coldRemainingMs=1000 * COLD_SECONDS
    )
    directories = [app.get(ROUTING).directory for app in deployment.apps]
    await until(
        lambda: all(item.entry_by_id["p1"].born_ms == 2 for item in directories)
    )
    await async_load(callers, PATH, 0.9 * COLD_SECONDS)
    most = most_in_a_second(times_of(upstream))
    assert (most <= BOUND) is is_limited
    assert len(upstream.received) >= COLD_PER_SECOND
    await asyncio.sleep(0.5 * COLD_SECONDS)
    upstream.received.clear()
    responses = await async_load(callers, PATH, 1.0)
    assert len(upstream.received) > BOUND
    assert served_share(responses) >= 0.9


async def test_restart_without_an_entry_behind_a_circuit_breaker(
    deployment: Deployment,
) -> None:
    """Guards against full load before the entry of a restart arrives."""
    deployment.publish(cold_manifest(COLD_PER_SECOND))
    upstream = await deployment.add_upstream("p1", "plain")
    callers = await async_routers_that_know(deployment, 3, **SETTINGS)
    await asyncio.sleep(LIST_LAG_SECONDS)
    await upstream.async_stop()
    await async_load(callers, PATH, 0.3)
    restarted = Upstream("p1")
    await restarted.async_start(*split_address(upstream.address))
    try:
        await async_load(callers, PATH, COLD_SECONDS)
        assert len(restarted.received) >= COLD_PER_SECOND
        assert most_in_a_second(times_of(restarted)) <= BOUND
    finally:
        await restarted.async_stop()


class Limits:
    """Limits of one router at a simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        known = {"a": entry("a")}
        routing = mock.Mock(directory_age_seconds=0.0)
        routing.directory.entry_by_id = known
        routing.configuration.service_by_name = {"models": SERVICE}
        peers = mock.Mock(alive_by_router_id={"r1": None})
        parts: dict[Any, Any] = {
            ROUTING: routing,
            PEERS: peers,
            TELEMETRY: mock.Mock(),
            HAND_OVER_TOKENS: HandOverTokens(),
        }
        app: Any = mock.Mock(get=parts.__getitem__)
        app.settings.platform = PlatformSettings("192.0.2.1:1", **SETTINGS)
        app.now = lambda: self.now
        self.limits = cold_upstreams.ColdUpstreamLimits(app, mock.Mock())
        self._numbers = itertools.count()
        self.limits.refresh()

    def grant(self) -> Grant:
        return Grant(next(self._numbers), "models", "a", "", "r2")


@pytest.mark.parametrize(
    ("late_seconds", "sent"), [(0.05, 8), (0.2, SEND_BURST)]
)
def test_requests_permitted_earlier_and_sent_late_form_no_burst(
    late_seconds: float, sent: int
) -> None:
    """Guards against permissions of a second that are all used at its end."""
    router = Limits()
    grants = [router.grant() for _ in range(8)]
    router.now = 10.0
    assert all(router.limits.try_send(grant) for grant in grants)
    router.limits.upstreams.state("a").suspect(10.0, router.now)
    router.now += late_seconds
    late = [grant for grant in grants if router.limits.try_send(grant)]
    assert len(late) <= sent
    for grant in grants:
        router.limits.end(grant, is_unreachable=False)
    router.now += 5.0
    again = [router.limits.try_send(router.grant()) for _ in range(8)]
    assert sum(again) == SEND_BURST
