"""Test harness that runs stand-ins and routers as processes."""

import asyncio
import atexit
import contextlib
import os
import signal
import tempfile
import uuid
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Self

import httpx
import msgspec

from lacewingspar_core.documents import ServiceDocument, dump_document
from lacewingspar_standins.fleet_settings import (
    ADMIN_TOKEN,
    RouterPlan,
    router_settings,
)
from lacewingspar_standins.ports import PortReservations
from lacewingspar_standins.process import (
    FleetError,
    ManagedProcess,
    RouterProcess,
    StandInProcess,
    spawn,
)

STANDIN_MODULE = "lacewingspar_standins"
ROUTER_MODULE = "lacewingspar_router"
DEFAULT_READY_SECONDS = 30.0
DEFAULT_GRACE_SECONDS = 5.0
PUBLISH_TIMEOUT_SECONDS = 15.0


class Fleet:
    """Runs processes and ends all of them when its context exits.

    Attributes:
        host: Loopback address of its processes, which no other fleet uses.

    Args:
        folder: Folder for settings and logs; None creates a temporary one,
            which is removed on exit.
    """

    def __init__(self, folder: Path | None = None) -> None:
        self._stack = contextlib.ExitStack()
        self.folder = folder or Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._ports = PortReservations()
        self._stack.callback(self._ports.close)
        self.host = self._ports.host
        self._processes: list[ManagedProcess] = []

    async def __aenter__(self) -> Self:
        """Register an exit handler that kills processes left running."""
        atexit.register(self._kill_all)
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes."""
        try:
            await self.end_all()
        finally:
            self._kill_all()
            atexit.unregister(self._kill_all)
            self._stack.close()

    async def end_all(
        self, grace_seconds: float = DEFAULT_GRACE_SECONDS
    ) -> None:
        """End all processes, killing them after a grace period."""
        endings = [p.end(grace_seconds) for p in reversed(self._processes)]
        await asyncio.gather(*endings)

    def reserve_address(self) -> str:
        """Reserve a port until the context exits and return `host:port`."""
        return self._ports.reserve()

    async def start_standin(
        self,
        kind: str,
        *,
        name: str | None = None,
        module: str = STANDIN_MODULE,
        faults: Mapping[str, Any] | None = None,
        **options: Any,
    ) -> StandInProcess:
        """Start a stand-in and wait until it is listening.

        Args:
            kind: Command of the module, such as `engine`.
            name: Name of the process in the fleet.
            module: Module to run, by default that of `lacewingspar-standin`.
            faults: Faults from the start.
            **options: Options of the command, such as `step_ms=5`; a list or
                tuple repeats the option.
        """
        arguments = ["-m", module, kind]
        for key, value in ({"host": self.host} | options).items():
            values = value if isinstance(value, list | tuple) else [value]
            for item in values:
                arguments += [f"--{key.replace('_', '-')}", str(item)]
        if faults:
            arguments += ["--faults", msgspec.json.encode(faults).decode()]
        name = name or f"{kind}-{len(self._processes)}"
        log_file = self.folder / f"{name}.log"
        process = await spawn(log_file, arguments, reads_output=True)
        standin = StandInProcess(name, process, log_file)
        self._processes.append(standin)
        await standin.read_addresses()
        return standin

    async def start_module(
        self,
        name: str,
        arguments: Sequence[str],
        module: str = STANDIN_MODULE,
    ) -> ManagedProcess:
        """Start a Python module that does not announce an address.

        Args:
            name: Name of the process in the fleet.
            arguments: Command and options.
            module: Module to run, by default that of `lacewingspar-standin`.
        """
        log_file = self.folder / f"{name}.log"
        process = await spawn(
            log_file, ["-m", module, *arguments], reads_output=False
        )
        managed = ManagedProcess(name, process, log_file)
        self._processes.append(managed)
        return managed

    def plan_router(self, router_id: str, data_centre: str) -> RouterPlan:
        """Reserve the ports of a router and return its plan."""
        return RouterPlan(
            router_id,
            data_centre,
            caller_address=self.reserve_address(),
            admin_address=self.reserve_address(),
            peer_address=self.reserve_address(),
        )

    async def start_router(
        self,
        plan: RouterPlan,
        *,
        log_url: str,
        vms_url: str,
        peers: Sequence[RouterPlan] = (),
        **extra: Any,
    ) -> RouterProcess:
        """Start a router.

        The same plan may be used again after the router has ended.

        Args:
            plan: Name and addresses of the router.
            log_url: Base URL of the log service.
            vms_url: Base URL of the VM list.
            peers: Routers to contact first; the router itself is skipped.
            **extra: Further settings, such as `address_map`.
        """
        settings = router_settings(plan, log_url, vms_url, peers, extra)
        settings_file = self.folder / f"{plan.router_id}.json"
        settings_file.write_bytes(msgspec.json.encode(settings))
        arguments = ["-m", ROUTER_MODULE, "run", str(settings_file)]
        log_file = self.folder / f"{plan.router_id}.log"
        process = await spawn(log_file, arguments, reads_output=False)
        router = RouterProcess(plan.router_id, process, log_file)
        self._processes.append(router)
        return router

    async def publish(
        self,
        admin_address: str,
        document: ServiceDocument,
        base_version: int = 0,
        edit_id: str | None = None,
    ) -> dict[str, Any]:
        """Publish a service document through a router.

        Returns:
            The response of the administration API.

        Raises:
            FleetError: The router did not accept the document.
        """
        body = {
            "edit_id": edit_id or str(uuid.uuid4()),
            "base_version": base_version,
            "author": "fleet",
            "document": dump_document(document),
        }
        url = f"http://{admin_address}/v1/services/{document.service}"
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        async with httpx.AsyncClient(
            timeout=PUBLISH_TIMEOUT_SECONDS, trust_env=False
        ) as client:
            response = await client.put(url, json=body, headers=headers)
        if response.status_code != 200:
            raise FleetError(
                f"PUT {url} failed: {response.status_code} {response.text}"
            )
        accepted: dict[str, Any] = response.json()
        return accepted

    def _kill_all(self) -> None:
        """Kill the processes that still run, without an event loop."""
        for managed in self._processes:
            if managed.is_running:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(managed.process.pid, signal.SIGKILL)
