"""Processor time and memory of another process, read from /proc."""

import os
import time
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Field indexes in /proc/PID/stat, counted after the command name.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmRSS":
            return int(value.split()[0]) * 1024
    raise ProcessLookupError(pid)


class CpuMeter:
    """Measures the processor time of a process since construction.

    Args:
        pid: Process id.
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
