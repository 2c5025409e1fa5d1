"""Processes of the fleet harness."""

import asyncio
import contextlib
import os
import signal
import ssl
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import httpx
import msgspec

ANNOUNCE_TIMEOUT_SECONDS = 30.0
REQUEST_TIMEOUT_SECONDS = 10.0
LOG_TAIL_BYTES = 2000
# Interval at which a process is checked for its end.
END_CHECK_SECONDS = 0.02
# Processes are reached without TLS. The default context of a client would read
# all certificate authorities, which holds up the event loop of the caller.
_NO_AUTHORITIES = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class FleetError(Exception):
    """A process of the fleet failed to start, respond or accept a request."""


class StartedProcess:
    """A child process.

    It replaces the one of asyncio, which is started in the event loop and holds
    it up until the kernel has run the child for the first time.

    Args:
        process: The process.
    """

    def __init__(self, process: "subprocess.Popen[bytes]") -> None:
        self._process = process
        self.pid = process.pid

    @property
    def returncode(self) -> int | None:
        """Return the exit status, or None if the process runs."""
        return self._process.poll()

    async def wait(self) -> int:
        """Wait until the process ends and return its exit status."""
        while (status := self.returncode) is None:  # noqa: ASYNC110
            await asyncio.sleep(END_CHECK_SECONDS)
        return status

    async def read_line(self) -> bytes:
        """Return the next line of the output, or b"" at its end."""
        assert self._process.stdout is not None
        return await asyncio.to_thread(self._process.stdout.readline)

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()


class ManagedProcess:
    """A process started by the harness.

    Attributes:
        name: Name, unique in the fleet.
        log_file: File that receives the output of the process.
    """

    def __init__(
        self, name: str, process: StartedProcess, log_file: Path
    ) -> None:
        self.name = name
        self.log_file = log_file
        self.process = process

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended; it may be suspended."""
        return self.process.returncode is None

    def kill(self) -> None:
        """Kill the process."""
        self._send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to shut down."""
        self._send_signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Tell the process that its settings file has changed."""
        self._send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Suspend the process."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait until the process ends and return its exit status."""
        return await self.process.wait()

    async def end(self, grace_seconds: float) -> None:
        """Shut down the process, killing it after a grace period."""
        if self.is_running:
            self.terminate()
            # A suspended process handles the signal only after it resumes.
            self.resume()
        try:
            async with asyncio.timeout(grace_seconds):
                await self.wait()
        except TimeoutError:
            self.kill()
            await self.wait()

    def log_tail(self) -> str:
        """Return the last bytes of the log file, for error messages."""
        data = self.log_file.read_bytes()[-LOG_TAIL_BYTES:]
        return data.decode(errors="replace")

    def _send_signal(self, number: signal.Signals) -> None:
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


class StandInProcess(ManagedProcess):
    """A stand-in.

    Attributes:
        address: Address of the service as `host:port`.
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
            FleetError: The process ended or exceeded the timeout.
        """
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS):
                line = await self.process.read_line()
        except TimeoutError:
            line = b""
        if not line:
            raise FleetError(
                f"{self.name} did not announce an address: {self.log_tail()}"
            )
        addresses = msgspec.json.decode(line, type=dict[str, str])
        self.address_by_name = addresses
        self.address = addresses["address"]
        self.control_address = addresses.get("control_address", self.address)

    async def inject(self, **faults: object) -> dict[str, object]:
        """Change faults and return the active fault set."""
        response = await self._request("POST", "/faults", faults)
        return msgspec.json.decode(response, type=dict[str, object])

    async def get(self, path: str) -> dict[str, object]:
        """Read a JSON resource such as `/stats` or `/_runs`."""
        response = await self._request("GET", path, None)
        return msgspec.json.decode(response, type=dict[str, object])

    async def put(self, path: str, value: object) -> None:
        """Replace a JSON resource such as `/vms`."""
        await self._request("PUT", path, value)

    async def _request(self, method: str, path: str, value: object) -> bytes:
        content = None if value is None else msgspec.json.encode(value)
        url = f"http://{self.control_address}{path}"
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_SECONDS, trust_env=False
        ) as client:
            response = await client.request(method, url, content=content)
        if response.status_code != 200:
            raise FleetError(f"{method} {url} failed: {response.text}")
        return response.content


class RouterProcess(ManagedProcess):
    """A router."""

    async def wait_ready(
        self, admin_address: str, seconds: float, path: str = "/ready"
    ) -> None:
        """Wait until the router reports that it is ready.

        Args:
            admin_address: Address of the administration API.
            seconds: Maximum time to wait.
            path: Path of the readiness check.

        Raises:
            FleetError: The router ended or the time elapsed.
        """
        await self._wait_for(f"http://{admin_address}{path}", seconds)

    async def wait_live(self, admin_address: str, seconds: float) -> None:
        """Wait until `GET /live` succeeds.

        Raises:
            FleetError: The router ended or the time elapsed.
        """
        await self._wait_for(f"http://{admin_address}/live", seconds)

    async def _wait_for(self, url: str, seconds: float) -> None:
        try:
            async with (
                asyncio.timeout(seconds),
                httpx.AsyncClient(
                    trust_env=False, verify=_NO_AUTHORITIES
                ) as client,
            ):
                while self.is_running:
                    with contextlib.suppress(httpx.TransportError):
                        response = await client.get(url)
                        if response.status_code == 200:
                            return
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass
        state = "did not respond" if self.is_running else "ended"
        raise FleetError(
            f"{self.name} {state}, polling {url}: {self.log_tail()}"
        )


async def spawn(
    log_file: Path, arguments: list[str], *, reads_output: bool
) -> StartedProcess:
    """Start a Python interpreter with its output appended to a file.

    Args:
        log_file: File that receives the standard error, and the standard output
            unless `reads_output`.
        arguments: Arguments of the interpreter.
        reads_output: Whether the caller reads the standard output.
    """
    start = asyncio.create_task(
        asyncio.to_thread(
            _start, log_file, arguments, reads_output=reads_output
        )
    )
    try:
        return await asyncio.shield(start)
    except asyncio.CancelledError:
        # Nobody else knows the process.
        (await start).kill()
        raise


def _start(
    log_file: Path, arguments: list[str], *, reads_output: bool
) -> StartedProcess:
    with log_file.open("ab") as log:
        return StartedProcess(
            subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if reads_output else log,
                stderr=log,
            )
        )
