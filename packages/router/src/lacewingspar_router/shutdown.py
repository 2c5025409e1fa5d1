"""Requests to shut this router down."""

import asyncio

from lacewingspar_router.application import ComponentKey


class Shutdown:
    """Says whether a graceful or an immediate end was asked for."""

    def __init__(self) -> None:
        self.graceful = asyncio.Event()
        self.immediate = asyncio.Event()

    def request_drain(self) -> None:
        """Ask for a graceful shutdown; repeats have no effect."""
        self.graceful.set()

    def handle_signal(self) -> None:
        """Ask for a graceful shutdown, or end one that is under way."""
        if self.graceful.is_set():
            self.immediate.set()
        self.graceful.set()


SHUTDOWN: ComponentKey[Shutdown] = ComponentKey("shutdown")
