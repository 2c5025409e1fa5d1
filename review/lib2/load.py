"""Ordinary callers on kept channels, and the platform's memory limit."""

import asyncio
import contextlib
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import rig

MEBIBYTE = 1024 * 1024


@dataclass
class Outcome:
    """What a caller saw of one request.

    Attributes:
        attempt: Id of the request.
        is_kept: Whether the channel had carried a request before.
        received: Bytes of the answer that arrived.
        status: Status of a complete answer, or 0.
        error: Why the answer is not complete, or "".
    """

    attempt: str
    is_kept: bool
    received: int = 0
    status: int = 0
    error: str = ""


class Callers:
    """Callers of one router, which keep their channels open."""

    def __init__(
        self, address: str, record: rig.Record, local_host: str = "127.0.0.2"
    ) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._local_host = local_host
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.outcomes: list[Outcome] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, attempt: str, data: bytes, limit_s: float) -> None:
        """Send a request in the background."""
        task = asyncio.create_task(self._async_send(attempt, data, limit_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def async_play(
        self,
        per_s: float,
        seconds: float,
        make: Callable[[int], tuple[str, bytes]],
        limit_s: float,
    ) -> None:
        """Send requests at an even rate."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(round(per_s * seconds)):
            due_at = started_at + number / per_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            attempt, data = make(number)
            self.send(attempt, data, limit_s)

    async def async_finish(self) -> None:
        """Wait for all answers."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def statuses(self) -> dict[str, int]:
        """Return how often each status or error was seen."""
        return dict(
            Counter(str(item.status or item.error) for item in self.outcomes)
        )

    async def _async_send(
        self, attempt: str, data: bytes, limit_s: float
    ) -> None:
        is_kept = bool(self._idle)
        outcome = Outcome(attempt, is_kept)
        self.outcomes.append(outcome)
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                if self._idle:
                    reader, writer = self._idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(
                        self._host,
                        self._port,
                        local_addr=(self._local_host, 0),
                    )
                self._record(f"caller sends {attempt} kept={is_kept}")
                writer.write(data)
                first = await reader.readexactly(1)
                outcome.received = 1
                message = await _async_rest(first, reader, outcome)
                outcome.status = message.status
                if message.headers.get("connection", "").lower() != "close":
                    self._idle.append((reader, writer))
                    writer = None
        except asyncio.IncompleteReadError:
            outcome.error = "closed"
        except ConnectionResetError:
            outcome.error = "reset"
        except ConnectionRefusedError:
            outcome.error = "refused"
        except (OSError, ValueError) as error:
            outcome.error = type(error).__name__
        finally:
            self._record(
                f"caller got {attempt} {outcome.status or outcome.error}"
                f" after {outcome.received} bytes or more"
            )
            if writer is not None:
                writer.close()


async def _async_rest(
    first: bytes, reader: asyncio.StreamReader, outcome: Outcome
) -> rig.Message:
    head = first + await reader.readuntil(b"\r\n\r\n")
    outcome.received = len(head)
    message = rig.parse_head(head)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await rig.async_read_chunks(reader)
    else:
        size = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(size)
    outcome.received += len(message.body)
    return message


class MemoryLimit:
    """Kills a process that exceeds `memoryMb`, as the platform does."""

    def __init__(self, router: rig.Router, record: rig.Record) -> None:
        self._router = router
        self._record = record
        self.peak_mib = 0.0
        self.was_killed = False

    async def async_watch(self) -> None:
        """Watch until cancelled or the process was killed."""
        loop = asyncio.get_running_loop()
        noted_at = loop.time()
        while self._router.is_running:
            memory = self._router.memory_mib()
            self.peak_mib = max(self.peak_mib, memory)
            if loop.time() >= noted_at:
                noted_at += 0.5
                self._record(f"{self._router.name} holds {memory:.1f} MiB")
            if memory > self._router.memory_mb:
                self._record.say(
                    f"{self._router.name} holds {memory:.1f} MiB, more than "
                    f"its {self._router.memory_mb}: the platform kills it"
                )
                self.was_killed = True
                self._router.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def watching(limits: list[MemoryLimit]):  # type: ignore[no-untyped-def]
    """Watch the memory of some processes."""
    tasks = [asyncio.create_task(item.async_watch()) for item in limits]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def lost_on_kept_channels(callers: Callers, sound_runs: set[str]) -> list[str]:
    """Return requests of kept channels that rule LOST counts.

    They were passed on to a sound runner, and their channel ended without a
    byte of an answer.
    """
    return [
        item.attempt
        for item in callers.outcomes
        if item.is_kept
        and item.error in ("closed", "reset")
        and not item.received
        and item.attempt in sound_runs
    ]
