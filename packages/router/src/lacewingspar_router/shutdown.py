"""Requests to shut down this router."""

import asyncio

from lacewingspar_router.application import ComponentKey


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


SHUTDOWN: ComponentKey[Shutdown] = ComponentKey("shutdown")
