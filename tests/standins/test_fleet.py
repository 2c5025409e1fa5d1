"""Tests of the fleet harness."""

import asyncio
import os
import ssl
import subprocess
import threading
from pathlib import Path
from typing import Any

import httpx
import msgspec
import pytest

from lacewingspar_router.settings import load_settings
from lacewingspar_standins.bench.deployment import PROCESS_MODULE
from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.fleet_settings import RouterPlan, router_settings
from lacewingspar_standins.process import FleetError, RouterProcess, spawn


async def test_all_processes_end_with_the_fleet(tmp_path: Path) -> None:
    """Guards against processes that keep running after a failed test."""
    pids: list[int] = []

    async def use_fleet() -> None:
        async with Fleet(tmp_path) as fleet:
            log = await fleet.start_standin("log", faults={"outage": True})
            suspended = await fleet.start_standin("vms", lag_ms=0)
            link = await fleet.start_standin("link", target=log.address)
            pids.extend(p.process.pid for p in (log, suspended, link))
            assert (await link.inject(cut=True))["cut"]
            assert (await log.get("/faults"))["outage"]
            async with httpx.AsyncClient(trust_env=False) as client:
                with pytest.raises(httpx.TransportError):
                    await client.get(f"{link.url}/faults")
            log.kill()
            assert await log.wait() == -9
            suspended.stop()
            raise KeyError

    with pytest.raises(KeyError):
        await use_fleet()
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


async def test_processes_of_a_fleet_listen_on_its_own_address(
    tmp_path: Path,
) -> None:
    """Guards against a fleet that uses the stand-ins of another one."""
    async with Fleet(tmp_path) as fleet, Fleet(tmp_path) as other:
        log = await fleet.start_standin("log")
        engine = await fleet.start_standin("engine", module=PROCESS_MODULE)
        plan = fleet.plan_router("r0", "dc")
        addresses = {log.address, engine.address, plan.peer_address}
        hosts = {address.rpartition(":")[0] for address in addresses}
        assert hosts == {fleet.host}
        assert fleet.host not in {other.host, "127.0.0.1"}


async def test_crash_marker_ends_the_engine(tmp_path: Path) -> None:
    async with Fleet(tmp_path) as fleet:
        engine = await fleet.start_standin(
            "engine", model=["a", "b"], faults={"crash_marker": "boom"}
        )
        messages = [{"role": "user", "content": "go boom"}]
        async with httpx.AsyncClient(trust_env=False) as client:
            with pytest.raises(httpx.TransportError):
                await client.post(
                    f"{engine.url}/v1/chat/completions",
                    json={"model": "b", "messages": messages},
                )
        assert await engine.wait() == 3


async def test_standin_that_cannot_start_is_an_error(tmp_path: Path) -> None:
    async with Fleet(tmp_path) as fleet:
        with pytest.raises(FleetError, match="nonsense"):
            await fleet.start_standin("log", nonsense=1)


def test_settings_match_the_schema_of_the_router(tmp_path: Path) -> None:
    """Guards against settings that routers reject."""
    plans = [
        RouterPlan(f"r{n}", "dc", *(f"127.0.0.1:{n}{p}" for p in (1, 2, 3)))
        for n in range(1, 4)
    ]
    settings_file = tmp_path / "settings.json"
    extra = {"log_level": "debug"}
    value = router_settings(plans[0], "http://l", "http://v", plans, extra)
    settings_file.write_bytes(msgspec.json.encode(value))
    settings = load_settings(settings_file)
    assert [peer.router_id for peer in settings.peers] == ["r2", "r3"]
    assert settings.log_level == "debug"


async def test_event_loop_runs_while_a_process_starts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against responses that a soak sees late beside a start."""
    has_run = threading.Event()
    seen: list[bool] = []

    class SlowStart(subprocess.Popen[bytes]):
        def __init__(self, *args: Any, **options: Any) -> None:
            seen.append(has_run.wait(2.0))
            super().__init__(*args, **options)

    monkeypatch.setattr(subprocess, "Popen", SlowStart)
    asyncio.get_running_loop().call_later(0.05, has_run.set)
    process = await spawn(tmp_path / "log", ["-c", ""], reads_output=False)
    assert await process.wait() == 0
    assert seen == [True]


async def test_process_of_a_cancelled_start_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[subprocess.Popen[bytes]] = []
    is_cancelled = threading.Event()

    class SlowStart(subprocess.Popen[bytes]):
        def __init__(self, *args: Any, **options: Any) -> None:
            is_cancelled.wait(2.0)
            super().__init__(*args, **options)
            started.append(self)

    monkeypatch.setattr(subprocess, "Popen", SlowStart)
    arguments = ["-c", "import time; time.sleep(60)"]
    start = asyncio.create_task(
        spawn(tmp_path / "log", arguments, reads_output=False)
    )
    await asyncio.sleep(0.05)
    start.cancel()
    is_cancelled.set()
    with pytest.raises(asyncio.CancelledError):
        await start
    assert started[0].wait(5.0) == -9


async def test_wait_for_a_router_reads_no_certificates(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against responses that a soak sees late beside a start."""
    created: list[None] = []
    create = ssl.create_default_context

    def record(*args: Any, **options: Any) -> ssl.SSLContext:
        created.append(None)
        return create(*args, **options)

    monkeypatch.setattr(ssl, "create_default_context", record)
    process = await spawn(tmp_path / "log", ["-c", ""], reads_output=False)
    router = RouterProcess("r1", process, tmp_path / "log")
    with pytest.raises(FleetError):
        await router.wait_ready("127.0.0.1:1", 5.0)
    assert not created
