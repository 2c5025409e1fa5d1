"""State built from the shared topics: configuration and upstreams."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from lacewingspar_core.confirmed_state import StatePosition
from lacewingspar_core.directory import (
    EXPIRY_GRACE_SECONDS,
    ChangeKind,
    DirectoryChange,
    UpstreamDirectory,
    UpstreamEntry,
    is_same_listing,
)
from lacewingspar_core.log_positions import (
    era_of,
    is_outdated_listing,
    is_outdated_record,
)
from lacewingspar_core.routing import RouteTable, RoutingConfiguration
from lacewingspar_router.application import Application
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.evacuation import EvacuationState
from lacewingspar_router.components.routing.log_disruptions import (
    LogDisruptions,
)
from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    RoutingSource,
    TopicListing,
)
from lacewingspar_router.components.routing.upstream_decoder import (
    UpstreamDecoder,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)

# Origin of records that this router read from the log.
ORIGIN_LOG = "log"


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Configuration and its encoded form."""

    configuration: RoutingConfiguration
    data: bytes


class RoutingState:
    """Applies the records of the shared topics.

    Records come from the log or from other routers.

    Attributes:
        evacuation: The evacuated data centres.

    Args:
        app: The application.
        source: Decoders of the records.
    """

    def __init__(self, app: Application, source: RoutingSource) -> None:
        self._app = app
        self._source = source
        self._telemetry = app.get(TELEMETRY)
        self._stored: StoredConfiguration | None = None
        self._table = RouteTable()
        self._directory = UpstreamDirectory()
        self._record_by_upstream: dict[str, KeyedRecord] = {}
        # What the log says, whatever the directory makes of it.
        self._listed_entry_by_id: dict[str, UpstreamEntry] = {}
        self._directory_offset = -1
        self._changed_offset = -1
        self._listing_offset = -1
        self._change_offset_by_upstream: dict[str, int] = {}
        self._confirmed_at = float("-inf")
        self._disruptions = LogDisruptions(app.now)
        self._on_restored: Callable[[], None] = lambda: None
        self.evacuation = EvacuationState(
            app,
            source.decode_evacuation,
            self._directory,
            self._notify_listeners,
        )
        self._listeners: list[Callable[[], None]] = []
        self._listener_guard = LoopGuard(app, "listener to routing")
        # One record that cannot be applied leaves the others.
        self._record_guard = LoopGuard(app, "upstream record")
        self._decoder = UpstreamDecoder(
            source.decode_upstream, self._telemetry, self._record_guard
        )

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the active configuration, or None before the first."""
        return None if self._stored is None else self._stored.configuration

    @property
    def stored_configuration(self) -> StoredConfiguration | None:
        """Return the active configuration with its encoded form."""
        return self._stored

    @property
    def configuration_version(self) -> int:
        """Return the active version, or -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def table(self) -> RouteTable:
        """Return the route table of the active configuration."""
        return self._table

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the directory of upstreams."""
        return self._directory

    @property
    def directory_offset(self) -> int:
        """Return the offset up to which upstream records were applied."""
        return self._directory_offset

    @property
    def era(self) -> int:
        """Return the era of the upstream list, or -1 without a list."""
        return era_of(self._directory_offset)

    @property
    def position(self) -> StatePosition:
        """Return how much of the shared state this router has."""
        return StatePosition(
            self.configuration_version,
            self._directory_offset,
            self.evacuation.current.offset,
        )

    @property
    def changed_offset(self) -> int:
        """Return the offset after the last record that changed an upstream."""
        return self._changed_offset

    @property
    def expiry_grace_seconds(self) -> float:
        """Return how long missing upstreams may still register again."""
        return self._disruptions.expiry_grace_seconds

    @property
    def directory_age_seconds(self) -> float:
        """Return the time since the directory was last known to be current."""
        return self._app.now() - self._confirmed_at

    @property
    def is_ready(self) -> bool:
        """Return whether the shared state is known."""
        return self.position.is_complete

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after every change."""
        self._listeners.append(listener)

    def set_restored_listener(self, listener: Callable[[], None]) -> None:
        """Set a function that is called after the log was restored."""
        self._on_restored = listener

    def apply_configuration(self, data: bytes, origin: str) -> bool:
        """Activate a configuration if it is newer than the active one.

        Args:
            data: The encoded configuration.
            origin: Source of the configuration, for log lines.

        Returns:
            Whether the configuration was activated.
        """
        match self._source.decode_configuration(data):
            case Failure(problem):
                _LOGGER.error(
                    "invalid configuration ignored",
                    origin=origin,
                    problem=problem,
                )
                return False
            case Success(configuration):
                return self._activate(
                    StoredConfiguration(configuration, data), origin
                )
        return False

    def apply_upstream_listing(
        self,
        listing: TopicListing,
        origin: str = ORIGIN_LOG,
        expiry_grace_seconds: float | None = None,
    ) -> None:
        """Replace the directory by a full listing of the upstreams.

        Args:
            listing: Newest record of each upstream.
            origin: Source of the listing: `log`, or a router.
            expiry_grace_seconds: The same property of the router that has read
                the records, or None if this router has read them.
        """
        if is_outdated_listing(listing.end_offset, self._directory_offset):
            self._log_outdated(listing.end_offset, origin)
            return
        self._check_restored(listing.end_offset, origin, expiry_grace_seconds)
        entries = self._decoder.entries(listing.record_by_key.values())
        self._record_by_upstream = dict(listing.record_by_key)
        self._listed_entry_by_id = entries
        self._change_offset_by_upstream = {
            key: record.offset for key, record in listing.record_by_key.items()
        }
        self._changed_offset = max(self._changed_offset, listing.end_offset)
        self._listing_offset = max(self._listing_offset, listing.end_offset)
        self._mark_confirmed(listing.end_offset)
        if origin == ORIGIN_LOG:
            self._disruptions.record_available()
        self._publish_changes(
            self._directory.apply_listing(
                entries,
                self._app.now(),
                grace_seconds=self._grace_seconds(expiry_grace_seconds),
            ),
            f"listing of {origin}",
        )

    def apply_upstream_records(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
        origin: str,
        expiry_grace_seconds: float | None = None,
    ) -> None:
        """Apply upstream records to the directory.

        Args:
            records: Records in order of their offsets.
            next_offset: Offset up to which the records are complete.
            origin: Source of the records: `log`, or a router.
            expiry_grace_seconds: The same property of the router that has read
                the records, or None if this router has read them.
        """
        if era_of(next_offset) < self.era:
            self._log_outdated(next_offset, origin)
            return
        if origin == ORIGIN_LOG:
            self._disruptions.record_available()
        grace_seconds = self._grace_seconds(expiry_grace_seconds)
        changes: list[DirectoryChange] = []
        is_listing_changed = False
        for record in records:
            known = self._record_by_upstream.get(record.key)
            newest = -1 if known is None else known.offset
            if is_outdated_record(record.offset, newest, self._listing_offset):
                continue
            self._record_by_upstream[record.key] = record
            change = None
            is_news = False
            with self._record_guard:
                entry = self._decode(record)
                is_news = self._update_listed(record, entry)
                change = self._apply_record(record, entry, grace_seconds)
            if change is not None:
                changes.append(change)
            if change is not None or is_news:
                is_listing_changed = True
                self._change_offset_by_upstream[record.key] = record.offset
                self._changed_offset = max(
                    self._changed_offset, record.offset + 1
                )
        self._mark_confirmed(next_offset)
        self._log_changes(changes, origin)
        if is_listing_changed:
            self._notify_listeners()

    def mark_leaving(self, upstream_id: str, born_ms: int, origin: str) -> bool:
        """Record that an upstream announced its shutdown.

        Args:
            upstream_id: The upstream.
            born_ms: Start time of the incarnation.
            origin: Source of the notice: `response`, or a router.

        Returns:
            Whether the upstream was in use until now.
        """
        change = self._directory.mark_leaving(
            upstream_id, born_ms, self._app.now()
        )
        if change is None:
            return False
        self._publish_changes([change], origin)
        return True

    def confirm_directory(self, offset: int) -> None:
        """Record that no upstream has changed up to an offset."""
        self._disruptions.record_available()
        self._mark_confirmed(offset)

    def mark_unavailable(self) -> None:
        """Record that the upstream topic could not be read."""
        self._disruptions.record_unavailable()

    def expire(self) -> None:
        """Remove what was kept and has not been written again."""
        self.evacuation.expire()
        self._publish_changes(self._directory.expire(self._app.now()), "expiry")

    def needs_listing(self, offset: int) -> bool:
        """Return whether changes since an offset require a full listing.

        Removals before the last listing are not recorded: a listing only
        contains the upstreams that remain.
        """
        return offset < self._listing_offset

    def listed_records(self) -> list[KeyedRecord]:
        """Return the newest record of each registered upstream."""
        return [
            item for item in self._record_by_upstream.values() if item.value
        ]

    def records_since(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records of upstreams changed since an offset."""
        return [
            self._record_by_upstream[upstream_id]
            for upstream_id, changed in self._change_offset_by_upstream.items()
            if changed >= offset
        ]

    def _activate(self, stored: StoredConfiguration, origin: str) -> bool:
        version = stored.configuration.version
        if version <= self.configuration_version:
            return False
        previous = self.configuration_version
        self._stored = stored
        self._table = RouteTable.of(stored.configuration.routes)
        self._telemetry.gauge("configuration_version", version)
        _LOGGER.info(
            "configuration activated",
            version=version,
            previous_version=previous,
            routes=len(stored.configuration.routes),
            keys=len(stored.configuration.workspace_by_key),
            origin=origin,
        )
        self._notify_listeners()
        return True

    def _grace_seconds(self, reported: float | None) -> float:
        """Return the grace period of the router that read the log.

        A router that cannot read the log relies on the one that can: its own
        outage says nothing about the entries that the other one has read.
        """
        return self.expiry_grace_seconds if reported is None else reported

    def _decode(self, record: KeyedRecord) -> UpstreamEntry | None:
        """Return the entry of a record, or None if it has none."""
        if not record.value:
            return None
        return self._decoder.entries([record]).get(record.key)

    def _update_listed(
        self, record: KeyedRecord, entry: UpstreamEntry | None
    ) -> bool:
        """Update what the log says; return whether other routers need to know.

        A record that changes nothing here may be news to a router that knows an
        older state of the log only, such as one that has started since the log
        was restored.
        """
        listed = self._listed_entry_by_id
        if record.value and entry is None:
            return False
        is_news = not is_same_listing(listed.get(record.key), entry)
        if entry is None:
            listed.pop(record.key, None)
        else:
            listed[record.key] = entry
        return is_news

    def _apply_record(
        self,
        record: KeyedRecord,
        entry: UpstreamEntry | None,
        grace_seconds: float,
    ) -> DirectoryChange | None:
        if not record.value:
            return self._directory.remove(
                record.key, self._app.now(), grace_seconds=grace_seconds
            )
        return None if entry is None else self._directory.apply(entry)

    def _log_outdated(self, position: int, origin: str) -> None:
        """Log that records are ignored: they arrived late."""
        _LOGGER.info(
            "outdated upstream records ignored",
            directory_offset=self._directory_offset,
            offset=position,
            origin=origin,
        )

    def _check_restored(
        self, position: int, origin: str, grace_seconds: float | None
    ) -> None:
        """Start the grace period if a listing is the first one of its era."""
        previous = self.era
        if previous < 0 or era_of(position) == previous:
            return
        left = EXPIRY_GRACE_SECONDS if grace_seconds is None else grace_seconds
        self._disruptions.record_restored(left)
        self._directory_offset = position
        self._telemetry.count(const.METRIC_RESTORED_LOGS)
        _LOGGER.warning(
            "upstreams of a restored log listed",
            era=self.era,
            previous_era=previous,
            origin=origin,
            grace_seconds=left,
        )
        self._on_restored()

    def _mark_confirmed(self, next_offset: int) -> None:
        self._directory_offset = max(self._directory_offset, next_offset)
        self._confirmed_at = self._app.now()

    def _publish_changes(
        self, changes: list[DirectoryChange], origin: str
    ) -> None:
        self._log_changes(changes, origin)
        if changes:
            self._notify_listeners()

    def _log_changes(self, changes: list[DirectoryChange], origin: str) -> None:
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

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            with self._listener_guard:
                listener()


_CHANGE_TEXT = {
    ChangeKind.ADDED: "added",
    ChangeKind.RESTARTED: "restarted",
    ChangeKind.CHANGED: "changed",
    ChangeKind.RELISTED: "listed again",
    ChangeKind.EXPIRED: "expired during an outage of the log service",
    ChangeKind.REMOVED: "removed",
}
