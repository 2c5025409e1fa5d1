"""Routers whose open connections to other routers fall silent."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

import pytest
from tests.router.deployed.conftest import (
    Deployment,
    knows_as_serving,
    manifest,
    until,
)

from lacewingspar_core.log_readers import ReaderAssignment, ReaderRank
from lacewingspar_router.application import Application
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_standins.link import Link, LinkFaults

NAMES = ("r0", "r1", "r2", "r3")
ASSIGNMENT = ReaderAssignment.of(dict.fromkeys(NAMES, "dc-a"))
NAME_BY_RANK = {ASSIGNMENT.rank_of(name, "dc-a"): name for name in NAMES}
# Bound from the operators for a change, without the time for which routers
# whose connections fall silent are excused.
APPLY_SECONDS = 2.0


@dataclass
class CutOff:
    """A router of a fleet, with links to the others.

    Attributes:
        app: The router.
        link_by_name: Links that its connections to the others use.
    """

    app: Application
    link_by_name: dict[str, Link]

    def silence(self, names: set[str]) -> None:
        """Silence its open connections to some routers."""
        for name in names:
            link = self.link_by_name[name]
            link.faults = LinkFaults(silent=True)
            link.faults_changed()

    def has(self, version: int, draining_id: str) -> bool:
        """Return whether it knows a version and that an upstream drains."""
        view = self.app.get(ROUTING)
        ready = view.directory.ready_upstreams("plain")
        return (
            view.configuration is not None
            and view.configuration.version == version
            and draining_id not in ready
        )

    def metrics(self) -> str:
        """Return its metrics."""
        _, text = self.app.get(TELEMETRY).render()
        return text.decode()


async def add_cut_off_router(
    stack: AsyncExitStack, served: Deployment, rank: ReaderRank
) -> CutOff:
    """Start a fleet in which one router uses links to the others."""
    own_name = NAME_BY_RANK[rank]
    link_by_name: dict[str, Link] = {}
    address_map: dict[str, str] = {}
    for name in NAMES:
        if name == own_name:
            continue
        await served.add_router(name)
        address = served.apps[-1].settings.peer_address
        link_by_name[name] = Link(address, LinkFaults())
        address_map[address] = await stack.enter_async_context(
            link_by_name[name].listening(served.host, 0)
        )
    await served.add_router(own_name, address_map=address_map)
    await until(
        lambda: all(
            knows_as_serving(app, name)
            for app in served.apps
            for name in NAMES
            if name != app.instance.router_id
        ),
        10.0,
    )
    await asyncio.sleep(2 * const.FOLLOWER_TIMEOUT_SECONDS)
    return CutOff(served.apps[-1], link_by_name)


async def test_lost_request_for_confirmed_state_is_counted(
    served: Deployment,
) -> None:
    """Guards against a follower that is behind without a trace of it."""
    async with AsyncExitStack() as stack:
        cut_off = await add_cut_off_router(stack, served, ReaderRank.FOLLOWER)
        cut_off.silence(set(cut_off.link_by_name))
        served.publish(manifest(7))
        await until(
            lambda: const.METRIC_LOST_STATE_REQUESTS in cut_off.metrics(),
            APPLY_SECONDS,
        )


@pytest.mark.parametrize(
    ("rank", "is_only_reader_silent"),
    [
        (ReaderRank.FOLLOWER, False),
        (ReaderRank.FOLLOWER, True),
        (ReaderRank.FIRST_RELAY, False),
    ],
)
async def test_changes_arrive_in_time_over_silent_connections(
    served: Deployment, rank: ReaderRank, is_only_reader_silent: bool
) -> None:
    """Guards against a router that hears of changes and cannot get them."""
    async with AsyncExitStack() as stack:
        cut_off = await add_cut_off_router(stack, served, rank)
        cut_off.silence(
            {ASSIGNMENT.reader}
            if is_only_reader_silent
            else set(cut_off.link_by_name)
        )
        await asyncio.sleep(0.3)
        served.publish(manifest(7))
        served.register("p1", "plain", "draining")
        await until(lambda: cut_off.has(7, "p1"), APPLY_SECONDS)
        # Another router has what the reader cannot be asked for.
        has_read = const.METRIC_READS_OF_LACKED_STATE in cut_off.metrics()
        assert has_read is not is_only_reader_silent
