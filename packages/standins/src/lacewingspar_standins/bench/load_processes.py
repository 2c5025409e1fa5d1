"""Runs load generators in separate processes."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lacewingspar_standins.fleet import Fleet
from lacewingspar_standins.load_options import LoadOptions
from lacewingspar_standins.load_result import LoadResult
from lacewingspar_standins.process import FleetError, ManagedProcess


@dataclass(slots=True)
class LoadProcess:
    """A load generator in its own process.

    Attributes:
        name: Name of the process.
        process: The process.
        output: File to which it writes its result.
    """

    name: str
    process: ManagedProcess
    output: Path

    async def result(self) -> LoadResult:
        """Wait until the load generator exits and return its result.

        Raises:
            FleetError: The load generator exited with an error.
        """
        if await self.process.wait() != 0:
            raise FleetError(f"{self.name}: {self.process.log_tail()}")
        data = await asyncio.to_thread(self.output.read_bytes)
        return msgspec.json.decode(data, type=LoadResult)


async def start_load(
    fleet: Fleet, name: str, options: LoadOptions
) -> LoadProcess:
    """Start a load generator in its own process."""
    options_file = fleet.folder / f"{name}.options.json"
    options_file.write_bytes(msgspec.json.encode(options))
    result_file = fleet.folder / f"{name}.result.json"
    process = await fleet.start_module(
        name, ["load", str(options_file), "--output", str(result_file)]
    )
    return LoadProcess(name, process, result_file)
