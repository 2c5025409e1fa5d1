"""Requests to shut down this router."""

import asyncio

from lacewingspar_router.application import ComponentKey
from lacewingspar_router.settings import Settings

# Time between the end of the drain and the kill by the platform.
STOP_MARGIN_SECONDS = 0.6


class Shutdown:
    """Tracks whether a graceful or immediate shutdown was requested."""

    def __init__(self) -> None:
        self.graceful = asyncio.Event()
        self.immediate = asyncio.Event()

    def request_drain(self) -> None:
        """Request a graceful shutdown; repeated requests have no effect."""
        self.graceful.set()

    def handle_signal(self) -> None:
        """Request a graceful shutdown, or an immediate one if repeated."""
        if self.graceful.is_set():
            self.immediate.set()
        self.graceful.set()


def drain_limit_seconds(settings: Settings) -> float:
    """Return the maximum duration of a graceful shutdown."""
    if settings.platform is None:
        return settings.drain_limit_seconds
    grace = settings.platform.stop_grace_seconds - STOP_MARGIN_SECONDS
    return min(settings.drain_limit_seconds, grace)


SHUTDOWN: ComponentKey[Shutdown] = ComponentKey("shutdown")
