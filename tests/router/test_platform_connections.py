"""Connections to the platform that end before anything is sent."""

import asyncio
import socket
from unittest import mock

import pytest
from tests.router.ending_connections import (
    ENDING_LOOPS,
    End,
    run_on_ending_loop,
)

from lacewingspar_router.application import Application
from lacewingspar_router.components import log_service, vm_list
from lacewingspar_router.components.log_service.errors import (
    LogUnavailableError,
)
from lacewingspar_router.components.log_service.models import LOG_SERVICE
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.vm_list import poller as poller_module
from lacewingspar_router.settings import Settings

POLLS_SECONDS = 5.0


def application(port: int) -> Application:
    """Return an application whose platform listens on a port."""
    app = Application(
        Settings(
            "r",
            "d",
            *["127.0.0.1:0"] * 3,
            admin_token_sha256="0" * 64,
            log_service_url=f"http://127.0.0.1:{port}",
            vm_list_url=f"http://127.0.0.1:{port}",
        )
    )
    app.register(TELEMETRY, mock.Mock())
    return app


@ENDING_LOOPS
def test_vm_list_is_polled_again_after_a_connection_that_ended(
    base: type[asyncio.BaseEventLoop],
    end: End,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a router that never hears again which VMs leave."""
    monkeypatch.setattr(poller_module, "POLL_INTERVAL_SECONDS", 0.01)
    opened = []

    async def count(peer: socket.socket, transport: asyncio.Transport) -> None:
        opened.append(peer)
        await end(peer, transport)

    async def async_run(port: int) -> None:
        app = application(port)
        await app.async_start([("vm_list", vm_list.async_setup)])
        try:
            async with asyncio.timeout(POLLS_SECONDS):
                while len(opened) < 2:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        finally:
            await app.async_stop()

    run_on_ending_loop(base, count, async_run)


@ENDING_LOOPS
def test_log_over_a_connection_that_ended_is_unavailable(
    base: type[asyncio.BaseEventLoop], end: End
) -> None:
    """Guards against an append that may have been written, if none was sent."""

    async def async_run(port: int) -> None:
        app = application(port)
        await log_service.async_setup(app)
        log = app.get(LOG_SERVICE)
        try:
            with pytest.raises(LogUnavailableError):
                await log.async_append("s", [b"a"])
            with pytest.raises(LogUnavailableError):
                await log.async_read("s", 0, wait_seconds=0.0)
        finally:
            await app.async_stop()

    run_on_ending_loop(base, end, async_run)
