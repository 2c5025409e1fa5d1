"""Decodes records of the upstream list one by one."""

from collections.abc import Callable, Iterable

import structlog
from returns.result import Failure, Result, Success

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_router.components.routing.models import KeyedRecord
from lacewingspar_router.components.telemetry.models import Telemetry
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)


class UpstreamDecoder:
    """Decodes records; one that cannot be decoded leaves the others.

    Args:
        decode: Decodes the entry of an upstream id, or returns the error.
        telemetry: Counts the invalid entries.
        guard: Guards the decoding of each record.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], Result[UpstreamEntry, str]],
        telemetry: Telemetry,
        guard: LoopGuard,
    ) -> None:
        self._decode = decode
        self._telemetry = telemetry
        self._guard = guard

    def entries(
        self, records: Iterable[KeyedRecord]
    ) -> dict[str, UpstreamEntry]:
        """Return the entries of the records that can be decoded, by id."""
        entry_by_id: dict[str, UpstreamEntry] = {}
        for record in records:
            with self._guard:
                match self._decode(record.key, record.value):
                    case Success(entry):
                        entry_by_id[record.key] = entry
                    case Failure(problem):
                        self._telemetry.count("invalid_upstream_entries_total")
                        _LOGGER.warning(
                            "invalid upstream entry ignored",
                            upstream=record.key,
                            offset=record.offset,
                            problem=problem,
                        )
        return entry_by_id
