"""Quarantine of requests that crash upstreams."""

from lacewingspar_router.application import Application
from lacewingspar_router.components.quarantine.models import QUARANTINE
from lacewingspar_router.components.quarantine.registry import (
    CrashRegistry,
)
from lacewingspar_router.components.quarantine.suspects import SuspectRunGate


async def async_setup(app: Application) -> None:
    """Set up the crash records and their exchange with other routers."""
    gate = SuspectRunGate(app)
    app.register(QUARANTINE, CrashRegistry(app, gate))
    app.create_task(gate.async_renew(), "suspect runs")
