"""Interface of the log service component."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from lacewingspar_core.messages import LogRecord
from lacewingspar_router.application import ComponentKey


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    Attributes:
        first_retained: First offset that the log service still retains.
        next_offset: Offset that the next append will get.
        retention_seconds: Time for which records are retained.
        records: Records at consecutive offsets.
    """

    first_retained: int
    next_offset: int
    retention_seconds: float
    records: tuple[LogRecord, ...]


class LogService(Protocol):
    """Client of the platform's log service."""

    async def async_append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records together and return the offset of the first.

        Raises:
            LogUnavailableError: The records were not appended.
            LogAppendUnknownError: The records may have been appended.
        """

    async def async_read(
        self, stream: str, from_offset: int, *, wait_seconds: float
    ) -> LogPage:
        """Read records, or wait for the next one if there is none.

        Raises:
            LogUnavailableError: The log service did not respond correctly.
        """


LOG_SERVICE: ComponentKey[LogService] = ComponentKey("log_service")
