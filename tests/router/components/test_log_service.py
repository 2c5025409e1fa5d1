"""Tests the client of the log service."""

import asyncio
import dataclasses
from typing import Any

import httpx
import pytest

from lacewingspar_router.components.log_service import async_setup
from lacewingspar_router.components.log_service.errors import (
    LogAppendUnknownError,
    LogUnavailableError,
)
from lacewingspar_router.components.log_service.models import LOG_SERVICE


async def test_waiting_appends_share_one_request(make_app, fake_log) -> None:
    """Guards against one request per append and against wrong offsets."""
    log = make_app().get(LOG_SERVICE)
    fake_log.gate.clear()
    first = asyncio.create_task(log.async_append("s", [b"a"]))
    await asyncio.sleep(0.01)
    rest = [
        asyncio.create_task(log.async_append("s", [name, name]))
        for name in (b"b", b"c")
    ]
    await asyncio.sleep(0)
    fake_log.gate.set()
    assert await asyncio.gather(first, *rest) == [0, 1, 3]
    assert fake_log.batch_sizes == [1, 4]


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (httpx.ConnectError("refused"), LogUnavailableError),
        (httpx.ConnectTimeout("slow"), LogUnavailableError),
        (429, LogUnavailableError),
        (503, LogUnavailableError),
        (500, LogAppendUnknownError),
        (httpx.ReadTimeout("lost"), LogAppendUnknownError),
        (httpx.WriteError("lost"), LogAppendUnknownError),
        (httpx.RemoteProtocolError("closed"), LogAppendUnknownError),
    ],
)
async def test_append_failures(make_app, fake_log, fault, expected) -> None:
    """Guards against a lost reply that is reported as "not written"."""
    log = make_app().get(LOG_SERVICE)
    fake_log.append_fault = fault
    with pytest.raises(expected):
        await log.async_append("s", [b"a"])
    assert await log.async_append("s", [b"b"]) == 0


async def test_cancelled_caller_leaves_the_batch(make_app, fake_log) -> None:
    """Guards against a cancelled caller that fails the other appends."""
    log = make_app().get(LOG_SERVICE)
    fake_log.gate.clear()
    first = asyncio.create_task(log.async_append("s", [b"a"]))
    second = asyncio.create_task(log.async_append("s", [b"b"]))
    await asyncio.sleep(0.01)
    first.cancel()
    fake_log.gate.set()
    assert await second == 1


async def test_read_waits_for_a_record(make_app, fake_log) -> None:
    log = make_app().get(LOG_SERVICE)
    read = asyncio.create_task(log.async_read("s", 0, wait_seconds=5.0))
    await asyncio.sleep(0.01)
    fake_log.append("s", b"a")
    page = await read
    assert [r.data for r in page.records] == [b"a"]
    assert (page.next_offset, page.retention_seconds) == (1, 3600.0)


async def test_read_failure_is_unavailable(make_app, fake_log) -> None:
    log = make_app().get(LOG_SERVICE)
    fake_log.is_down = True
    with pytest.raises(LogUnavailableError):
        await log.async_read("s", 0, wait_seconds=0.0)


async def test_setup_uses_the_address_map(make_app, monkeypatch) -> None:
    """Guards against a client that connects to an untranslated address."""
    app = make_app()
    mapped = dataclasses.replace(
        app.settings, address_map={"log:1": "127.0.0.1:2"}
    )
    monkeypatch.setattr(app, "settings", mapped)
    await async_setup(app)
    client: Any = app.get(LOG_SERVICE)
    assert str(client._client.base_url) == "http://127.0.0.1:2"
