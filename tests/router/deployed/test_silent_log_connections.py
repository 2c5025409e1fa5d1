"""Routers whose open connections to the log service fall silent."""

import asyncio

from tests.router.deployed.conftest import Deployment, manifest, until

from lacewingspar_router.application import Application
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_standins.link import Link, LinkFaults

# Bound from the operators for a change.
APPLY_SECONDS = 2.0


def has_version(app: Application, version: int) -> bool:
    """Return whether a configuration is active."""
    configuration = app.get(ROUTING).configuration
    return configuration is not None and configuration.version == version


async def test_configuration_is_read_after_its_connection_fell_silent(
    served: Deployment,
) -> None:
    """Guards against a reader that waits for a read that has no end.

    Its reads of the other topic go on, so that it would confirm a state that
    it does not have.
    """
    link = Link(served.store_address, LinkFaults())
    async with link.listening(served.host, 0) as served.store_address:
        await served.add_router()
        [app] = served.apps
        served.publish(manifest(2))
        await until(lambda: has_version(app, 2))
        # The next read of the configuration has just begun.
        await asyncio.sleep(const.CONFIGURATION_READ_PAUSE_SECONDS + 0.05)
        link.faults = LinkFaults(silent=True)
        link.faults_changed()
        await asyncio.sleep(0.5)
        served.publish(manifest(3))
        await until(lambda: has_version(app, 3), APPLY_SECONDS)
