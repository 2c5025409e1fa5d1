"""Processor time and memory of another process, read from /proc."""

import os
import time
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the name of the program.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the memory of a process that is resident."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmRSS":
            return int(value.split()[0]) * 1024
    raise ProcessLookupError(pid)


class CpuMeter:
    """Share of a core that a process uses since the meter was made.

    Args:
        pid: The process.
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._cpu_at_start = cpu_seconds(pid)
        self._started_at = time.monotonic()

    def used_seconds(self) -> float:
        """Return the processor time since the start."""
        return cpu_seconds(self._pid) - self._cpu_at_start

    def elapsed_seconds(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_at
