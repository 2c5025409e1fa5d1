"""Configuration and upstreams as this router knows them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from lacewingspar_core.directory import (
    ChangeKind,
    DirectoryChange,
    UpstreamDirectory,
    UpstreamEntry,
)
from lacewingspar_core.routing import RouteTable, RoutingConfiguration
from lacewingspar_router.application import Application
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    RoutingSource,
    TopicListing,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)

# Origin of records that this router has read itself.
ORIGIN_LOG = "log"


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration and the bytes that it was read from."""

    configuration: RoutingConfiguration
    data: bytes


class RoutingState:
    """Applies records of the shared topics, from whatever source they come.

    Args:
        app: The application.
        source: Decodes the records.
    """

    def __init__(self, app: Application, source: RoutingSource) -> None:
        self._app = app
        self._source = source
        self._telemetry = app.get(TELEMETRY)
        self._stored: StoredConfiguration | None = None
        self._table = RouteTable()
        self._directory = UpstreamDirectory()
        self._record_by_upstream: dict[str, KeyedRecord] = {}
        self._directory_offset = -1
        self._changed_offset = -1
        self._listed_offset = -1
        self._change_offset_by_upstream: dict[str, int] = {}
        self._confirmed_at = float("-inf")
        self._is_unavailable = False
        self._regained_at = float("-inf")
        self._listeners: list[Callable[[], None]] = []

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the configuration in force, or None before the first."""
        return None if self._stored is None else self._stored.configuration

    @property
    def stored_configuration(self) -> StoredConfiguration | None:
        """Return the configuration in force with its bytes."""
        return self._stored

    @property
    def configuration_version(self) -> int:
        """Return the version in force, or -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def table(self) -> RouteTable:
        """Return the index of the routes in force."""
        return self._table

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the upstreams."""
        return self._directory

    @property
    def directory_offset(self) -> int:
        """Return the offset up to which the list of upstreams is known."""
        return self._directory_offset

    @property
    def changed_offset(self) -> int:
        """Return the offset after the last record that changed the list."""
        return self._changed_offset

    @property
    def may_have_lapsed(self) -> bool:
        """Return whether the log was disturbed until a moment ago.

        Upstreams that are missing then may be listed again soon.
        """
        since = self._app.now() - self._regained_at
        return self._is_unavailable or since <= const.LAPSE_READ_SECONDS

    @property
    def directory_age_seconds(self) -> float:
        """Return the time since the list of upstreams was last confirmed."""
        return self._app.now() - self._confirmed_at

    @property
    def is_ready(self) -> bool:
        """Return whether configuration and upstreams are known."""
        return self._stored is not None and self._directory_offset >= 0

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after every change."""
        self._listeners.append(listener)

    def apply_configuration(self, data: bytes, origin: str) -> bool:
        """Take over a configuration unless a newer one is in force.

        Args:
            data: The configuration as stored.
            origin: Where it came from, for the log.

        Returns:
            Whether it is in force now.
        """
        match self._source.decode_configuration(data):
            case Failure(problem):
                _LOGGER.error(
                    "configuration cannot be read",
                    origin=origin,
                    problem=problem,
                )
                return False
            case Success(configuration):
                return self._apply(
                    StoredConfiguration(configuration, data), origin
                )
        return False

    def apply_upstream_listing(
        self,
        listing: TopicListing,
        origin: str = ORIGIN_LOG,
        *,
        may_have_lapsed: bool = False,
    ) -> None:
        """Take over the whole list of upstreams.

        Args:
            listing: The list.
            origin: Where it came from: `log`, or a router.
            may_have_lapsed: Whether that router saw the log disturbed.
        """
        entries = self._decode(listing.record_by_key.values())
        self._record_by_upstream = dict(listing.record_by_key)
        self._change_offset_by_upstream = {
            key: record.offset for key, record in listing.record_by_key.items()
        }
        self._changed_offset = max(self._changed_offset, listing.end)
        self._listed_offset = max(self._listed_offset, listing.end)
        self._note_confirmed(listing.end)
        if origin == ORIGIN_LOG:
            self._note_available()
        self._publish(
            self._directory.replace_all(
                entries,
                self._app.now(),
                may_have_lapsed=may_have_lapsed or self.may_have_lapsed,
            ),
            f"listing of {origin}",
        )

    def apply_upstream_records(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
        origin: str,
        *,
        may_have_lapsed: bool = False,
    ) -> None:
        """Take over records of the list of upstreams.

        Args:
            records: The records in order.
            next_offset: Offset up to which the list is known then.
            origin: Where they came from: `log`, or a router.
            may_have_lapsed: Whether that router saw the log disturbed.
        """
        if origin == ORIGIN_LOG:
            self._note_available()
        may_have_lapsed = may_have_lapsed or self.may_have_lapsed
        changes: list[DirectoryChange] = []
        for record in records:
            known = self._record_by_upstream.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self._record_by_upstream[record.key] = record
            change = self._apply_record(record, may_have_lapsed)
            if change is not None:
                changes.append(change)
                self._change_offset_by_upstream[record.key] = record.offset
                self._changed_offset = max(
                    self._changed_offset, record.offset + 1
                )
        self._note_confirmed(next_offset)
        self._publish(changes, origin)

    def confirm_directory(self, offset: int) -> None:
        """Take over that the list has not changed up to an offset."""
        self._note_available()
        self._note_confirmed(offset)

    def note_unavailable(self) -> None:
        """Take over that the list of upstreams could not be read."""
        self._is_unavailable = True

    def expire(self) -> None:
        """Drop upstreams that lapsed and did not come back."""
        self._publish(self._directory.expire(self._app.now()), "expiry")

    def needs_listing(self, offset: int) -> bool:
        """Return whether only a whole list tells what changed since an offset.

        A list that was read anew does not tell which upstreams have gone.
        """
        return offset < self._listed_offset

    def listed_records(self) -> list[KeyedRecord]:
        """Return the record of each upstream that is on the list."""
        return [
            item for item in self._record_by_upstream.values() if item.value
        ]

    def records_after(self, offset: int) -> list[KeyedRecord]:
        """Return the newest record of each upstream changed since an offset."""
        return [
            self._record_by_upstream[upstream_id]
            for upstream_id, changed in self._change_offset_by_upstream.items()
            if changed >= offset
        ]

    def _apply(self, stored: StoredConfiguration, origin: str) -> bool:
        version = stored.configuration.version
        if version <= self.configuration_version:
            return False
        previous = self.configuration_version
        self._stored = stored
        self._table = RouteTable.of(stored.configuration.routes)
        self._telemetry.gauge("configuration_version", version)
        _LOGGER.info(
            "configuration in force",
            version=version,
            previous_version=previous,
            routes=len(stored.configuration.routes),
            keys=len(stored.configuration.workspace_by_key),
            origin=origin,
        )
        self._notify()
        return True

    def _apply_record(
        self, record: KeyedRecord, may_have_lapsed: bool
    ) -> DirectoryChange | None:
        if not record.value:
            return self._directory.remove(
                record.key, self._app.now(), may_have_lapsed=may_have_lapsed
            )
        entry = self._decode([record]).get(record.key)
        return None if entry is None else self._directory.apply(entry)

    def _decode(
        self, records: Iterable[KeyedRecord]
    ) -> dict[str, UpstreamEntry]:
        entries: dict[str, UpstreamEntry] = {}
        for record in records:
            match self._source.decode_upstream(record.key, record.value):
                case Success(entry):
                    entries[record.key] = entry
                case Failure(problem):
                    self._telemetry.count("invalid_upstream_entries_total")
                    _LOGGER.warning(
                        "upstream entry ignored",
                        upstream=record.key,
                        offset=record.offset,
                        problem=problem,
                    )
        return entries

    def _note_available(self) -> None:
        if self._is_unavailable:
            self._is_unavailable = False
            self._regained_at = self._app.now()

    def _note_confirmed(self, next_offset: int) -> None:
        self._directory_offset = max(self._directory_offset, next_offset)
        self._confirmed_at = self._app.now()

    def _publish(self, changes: list[DirectoryChange], origin: str) -> None:
        for change in changes:
            entry = change.entry
            _LOGGER.info(
                "upstream " + _CHANGE_TEXT[change.kind],
                upstream=entry.upstream_id,
                service=entry.service,
                address=entry.address,
                data_centre=entry.data_centre,
                state=entry.state,
                born_ms=entry.born_ms,
                sequence=entry.sequence,
                directory_offset=self._directory_offset,
                origin=origin,
            )
        if changes:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


_CHANGE_TEXT = {
    ChangeKind.ADDED: "added",
    ChangeKind.RESTARTED: "restarted",
    ChangeKind.CHANGED: "changed",
    ChangeKind.LAPSED: "lapsed during a disturbance of the log service",
    ChangeKind.REMOVED: "removed",
}
