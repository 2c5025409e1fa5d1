"""Processes of the fleet harness."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import httpx
import msgspec

ANNOUNCE_TIMEOUT_SECONDS = 30.0
REQUEST_TIMEOUT_SECONDS = 10.0
SHOWN_LOG_BYTES = 2000


class FleetError(Exception):
    """A process of the fleet did not do what was asked."""


class ManagedProcess:
    """A process that the harness has started.

    Attributes:
        name: Name, unique in the fleet.
        log_file: File that receives its output.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, log_file: Path
    ) -> None:
        self.name = name
        self.log_file = log_file
        self.process = process

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended; it may be stopped."""
        return self.process.returncode is None

    def kill(self) -> None:
        """End the process at once."""
        self._send(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to shut down."""
        self._send(signal.SIGTERM)

    def stop(self) -> None:
        """Freeze the process."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process continue."""
        self._send(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait for the end and return the exit status."""
        return await self.process.wait()

    async def end(self, grace_seconds: float) -> None:
        """Shut the process down, by force after a grace period."""
        if self.is_running:
            self.terminate()
            # A frozen process acts on the signal only when it continues.
            self.resume()
        try:
            async with asyncio.timeout(grace_seconds):
                await self.wait()
        except TimeoutError:
            self.kill()
            await self.wait()

    def end_of_log(self) -> str:
        """Return the last part of the output, for error messages."""
        data = self.log_file.read_bytes()[-SHOWN_LOG_BYTES:]
        return data.decode(errors="replace")

    def _send(self, number: signal.Signals) -> None:
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


class StandInProcess(ManagedProcess):
    """A stand-in.

    Attributes:
        address: Address as `host:port`.
        control_address: Address of `/faults`.
        address_by_name: All announced addresses; a link group announces one
            for each target.
    """

    address = ""
    control_address = ""
    address_by_name: Mapping[str, str] = MappingProxyType({})

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    async def read_addresses(self) -> None:
        """Wait until the stand-in announces its addresses.

        Raises:
            FleetError: It ended before or took too long.
        """
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS):
                line = await self.process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            raise FleetError(
                f"{self.name} announced no address: {self.end_of_log()}"
            )
        addresses = msgspec.json.decode(line, type=dict[str, str])
        self.address_by_name = addresses
        self.address = addresses["address"]
        self.control_address = addresses.get("control_address", self.address)

    async def inject(self, **faults: object) -> dict[str, object]:
        """Change faults and return those in force."""
        answer = await self._request("POST", "/faults", faults)
        return msgspec.json.decode(answer, type=dict[str, object])

    async def get(self, path: str) -> dict[str, object]:
        """Read a JSON resource such as `/stats` or `/_runs`."""
        answer = await self._request("GET", path, None)
        return msgspec.json.decode(answer, type=dict[str, object])

    async def put(self, path: str, value: object) -> None:
        """Replace a JSON resource such as `/vms`."""
        await self._request("PUT", path, value)

    async def _request(self, method: str, path: str, value: object) -> bytes:
        content = None if value is None else msgspec.json.encode(value)
        url = f"http://{self.control_address}{path}"
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_SECONDS, trust_env=False
        ) as client:
            answer = await client.request(method, url, content=content)
        if answer.status_code != 200:
            raise FleetError(f"{method} {url}: {answer.text}")
        return answer.content


class RouterProcess(ManagedProcess):
    """A router."""

    async def wait_ready(
        self, admin_address: str, seconds: float, path: str = "/ready"
    ) -> None:
        """Wait until the router says that it is ready.

        Args:
            admin_address: Where it says so.
            seconds: Longest time to wait.
            path: Path of its answer.

        Raises:
            FleetError: The router has ended or the time is over.
        """
        await self._wait_for(f"http://{admin_address}{path}", seconds)

    async def wait_live(self, admin_address: str, seconds: float) -> None:
        """Wait until `GET /live` succeeds.

        Raises:
            FleetError: The router has ended or the time is over.
        """
        await self._wait_for(f"http://{admin_address}/live", seconds)

    async def _wait_for(self, url: str, seconds: float) -> None:
        try:
            async with (
                asyncio.timeout(seconds),
                httpx.AsyncClient(trust_env=False) as client,
            ):
                while self.is_running:
                    with contextlib.suppress(httpx.TransportError):
                        answer = await client.get(url)
                        if answer.status_code == 200:
                            return
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass
        state = "not answered" if self.is_running else "ended"
        raise FleetError(f"{self.name} has {state} {url}: {self.end_of_log()}")


async def spawn(
    log_file: Path, arguments: list[str], *, reads_output: bool
) -> asyncio.subprocess.Process:
    """Start a Python module with its output appended to a file.

    Args:
        log_file: Receives the error output, and the standard output unless
            `reads_output`.
        arguments: Arguments of the interpreter.
        reads_output: Whether the caller reads the standard output.
    """
    with log_file.open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if reads_output else log,
            stderr=log,
        )
