"""File that keeps the runs of an upstream stand-in across restarts."""

from pathlib import Path

import msgspec


class RecordedRun(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        digest: Digest of the call's body, or "".
        key: Idempotency key, or None.
        request_id: Identity of the request, or None.
    """

    digest: str = ""
    key: str | None = None
    request_id: str | None = None


class RunJournal:
    """Appends runs to a file before they begin.

    A killed stand-in would otherwise forget its runs, and a second run
    elsewhere would not be seen.

    Args:
        path: File that is created if needed; None keeps nothing.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path

    def read(self) -> list[RecordedRun]:
        """Return the runs of earlier processes."""
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
