"""CPU time and memory usage of a process, read from /proc."""

import os
import time
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Indexes of the fields of /proc/PID/stat that follow the command name.
_USER_TICKS_INDEX = 11
_SYSTEM_TICKS_INDEX = 12


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in user and kernel mode."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    # The command name may contain spaces and parentheses.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_INDEX]) + int(fields[_SYSTEM_TICKS_INDEX])
    return ticks / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process.

    Raises:
        ProcessLookupError: The process has no memory, such as a zombie.
    """
    return _status_bytes(pid, "VmRSS")


def peak_resident_bytes(pid: int) -> int:
    """Return the largest resident set size that a process has had.

    Raises:
        ProcessLookupError: The process has no memory, such as a zombie.
    """
    return _status_bytes(pid, "VmHWM")


def _status_bytes(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) * 1024
    raise ProcessLookupError(pid)


class CpuMeter:
    """Measures the CPU time that a process uses from construction on.

    Args:
        pid: Id of the process.
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._cpu_seconds_at_start = cpu_seconds(pid)
        self._started_at = time.monotonic()

    def used_seconds(self) -> float:
        """Return the CPU time used since construction."""
        return cpu_seconds(self._pid) - self._cpu_seconds_at_start

    def elapsed_seconds(self) -> float:
        """Return the time elapsed since construction."""
        return time.monotonic() - self._started_at
