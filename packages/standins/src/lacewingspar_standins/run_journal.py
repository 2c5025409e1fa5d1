"""Journal that preserves the runs of an upstream stand-in across restarts."""

from pathlib import Path

import msgspec


class RecordedRun(msgspec.Struct, frozen=True):
    """A run of a call.

    Attributes:
        digest: SHA-256 hash of the body, or "".
        key: Idempotency key, or None.
        request_id: Id of the request, or None.
    """

    digest: str = ""
    key: str | None = None
    request_id: str | None = None


class RunJournal:
    """Records each run in a file before it begins.

    Without the file, a killed stand-in would lose its counts, and a second run
    of the same call elsewhere would go undetected.

    Args:
        path: File, created if missing; None disables the journal.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path

    def read(self) -> list[RecordedRun]:
        """Return the recorded runs, including those of earlier processes."""
        if self._path is None or not self._path.exists():
            return []
        decoder = msgspec.json.Decoder(RecordedRun)
        return decoder.decode_lines(self._path.read_bytes())

    def append(self, run: RecordedRun) -> None:
        """Record a run."""
        if self._path is None:
            return
        with self._path.open("ab", buffering=0) as file:
            file.write(msgspec.json.encode(run) + b"\n")
