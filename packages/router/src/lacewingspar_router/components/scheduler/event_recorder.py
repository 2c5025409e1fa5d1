"""Recording of slot owner events and decisions for replay."""

import queue
import threading
from collections.abc import Sequence
from pathlib import Path

import msgspec

from lacewingspar_core.events import OwnerAction, OwnerEvent
from lacewingspar_core.replay import TraceHeader, TraceStep

# Maximum number of steps that wait to be written. If the writer falls further
# behind, the recording ends, because a trace with gaps cannot be replayed.
_MAX_QUEUED_STEPS = 100_000


class EventRecorder:
    """Appends events and decisions to a file as JSON lines.

    A separate thread writes the file, so that a slow disk does not delay
    requests.

    Args:
        path: File to append to.
        header: Header, written as the first line.
    """

    def __init__(self, path: Path, header: TraceHeader) -> None:
        self._path = path
        self._lines: queue.Queue[bytes | None] = queue.Queue(_MAX_QUEUED_STEPS)
        self._is_open = True
        self._encoder = msgspec.json.Encoder()
        self._put(self._encoder.encode(header))
        self._thread = threading.Thread(
            target=self._write, name="event recorder", daemon=True
        )
        self._thread.start()

    def record(
        self,
        service: str,
        now: float,
        event: OwnerEvent,
        actions: Sequence[OwnerAction],
    ) -> None:
        """Record one event and the resulting actions of the slot owner."""
        step = TraceStep(service, now, event, tuple(actions))
        self._put(self._encoder.encode(step))

    async def async_close(self) -> None:
        """Write the queued lines and close the file."""
        self._is_open = False
        self._lines.put(None)
        self._thread.join()

    def _put(self, line: bytes) -> None:
        if not self._is_open:
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._is_open = False

    def _write(self) -> None:
        with self._path.open("ab") as file:
            while (line := self._lines.get()) is not None:
                file.write(line + b"\n")
