"""Directory of the upstreams that register themselves."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from lacewingspar_core.upstream_notices import Leaving, UpstreamNotices

# After an outage of the registry, a live upstream whose entry expired is listed
# again within this time, as the registry's interface guarantees.
EXPIRY_GRACE_SECONDS = 2.0
# Removed upstreams are remembered for this long, to recognise late copies of
# their entries. Copies are delayed by seconds at most.
REMOVED_MEMORY_SECONDS = 120.0


class UpstreamState(StrEnum):
    """State that an upstream reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Report of an upstream about itself.

    Attributes:
        upstream_id: Id of the upstream.
        service: Service that it belongs to.
        address: Its `host:port`.
        data_centre: Its data centre.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new work.
        born_ms: Start time of this upstream instance, in milliseconds since
            the Unix epoch.
        sequence: Number of the report of this instance.
        warm_up_seconds: Remaining time for which it is slow after its start.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: UpstreamState
    born_ms: int
    sequence: int
    warm_up_seconds: float

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key that orders all reports of this upstream."""
        return (self.born_ms, self.sequence)


class ChangeKind(StrEnum):
    """Kind of a change to an upstream's directory entry."""

    ADDED = "added"
    RESTARTED = "restarted"
    CHANGED = "changed"
    RELISTED = "listed again"
    EXPIRED = "lapsed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """A change to the directory entry of one upstream.

    Attributes:
        kind: Kind of the change.
        entry: Entry after the change, or the last known entry.
    """

    kind: ChangeKind
    entry: UpstreamEntry


@dataclass(slots=True)
class _RemovedUpstream:
    """Order of the last report of a removed upstream."""

    order: tuple[int, int]
    removed_at: float


class UpstreamDirectory:
    """Directory of one router, built from the records of the registry.

    Records may arrive late or come from an earlier instance of an upstream. The
    start time and the sequence number determine which report is the newest. An
    upstream that has announced its shutdown to this router counts as draining,
    whatever the registry says of the same incarnation.

    Attributes:
        notices: What upstreams have announced to this router.
        evacuated_data_centres: Data centres whose upstreams must not receive
            new requests.
    """

    def __init__(self) -> None:
        self.notices = UpstreamNotices()
        self.evacuated_data_centres: frozenset[str] = frozenset()
        self._entry_by_id: dict[str, UpstreamEntry] = {}
        # What the registry says, without the announcements.
        self._listed_state_by_id: dict[str, UpstreamState] = {}
        self._expires_at_by_id: dict[str, float] = {}
        # Upstreams whose expired report was listed again, until the next one.
        self._relisted_ids: set[str] = set()
        self._removed_by_id: dict[str, _RemovedUpstream] = {}

    @property
    def entry_by_id(self) -> Mapping[str, UpstreamEntry]:
        """Return all upstreams except removed ones, by id."""
        return self._entry_by_id

    def ready_upstreams(self, service: str) -> dict[str, UpstreamEntry]:
        """Return the upstreams of a service that accept new work, by id.

        Upstreams in evacuated data centres are left out.
        """
        return {
            upstream_id: entry
            for upstream_id, entry in self._entry_by_id.items()
            if entry.service == service
            and entry.state is UpstreamState.READY
            and not self.is_evacuated(entry)
        }

    def is_evacuated(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream is in an evacuated data centre."""
        return entry.data_centre in self.evacuated_data_centres

    def ready_count(self, services: Collection[str]) -> int:
        """Return the number of ready upstreams, with those in evacuation.

        Args:
            services: Services whose upstreams are counted.
        """
        return sum(
            entry.service in services and entry.state is UpstreamState.READY
            for entry in self._entry_by_id.values()
        )

    def evacuated_upstreams(self, service: str) -> frozenset[str]:
        """Return the upstreams of a service in evacuated data centres."""
        return frozenset(
            upstream_id
            for upstream_id, entry in self._entry_by_id.items()
            if entry.service == service and self.is_evacuated(entry)
        )

    def apply(self, entry: UpstreamEntry) -> DirectoryChange | None:
        """Apply a report.

        Returns:
            The change, or None if the report is outdated or changes nothing
            relevant. A report that an upstream is draining is a change also if
            it has announced that, since other routers may not know. So is an
            expired report that is listed again, and the next one after it: a
            router whose grace period was over before has dropped the upstream
            and accepts newer reports only.
        """
        upstream_id = entry.upstream_id
        removed = self._removed_by_id.get(upstream_id)
        if removed is not None and entry.order <= removed.order:
            return None
        known = self._entry_by_id.get(upstream_id)
        if known is not None and entry.order <= known.order:
            is_expiring = upstream_id in self._expires_at_by_id
            if not is_expiring or entry.order < known.order:
                return None
            del self._expires_at_by_id[upstream_id]
            self._relisted_ids.add(upstream_id)
            return DirectoryChange(ChangeKind.RELISTED, known)
        self._removed_by_id.pop(upstream_id, None)
        had_expired = (
            self._expires_at_by_id.pop(upstream_id, None) is not None
            or upstream_id in self._relisted_ids
        )
        self._relisted_ids.discard(upstream_id)
        self.notices.record_incarnation(upstream_id, entry.born_ms)
        listed_state = self._listed_state_by_id.get(upstream_id)
        is_state_new = entry.state is not listed_state
        self._listed_state_by_id[upstream_id] = entry.state
        if self.notices.is_leaving(upstream_id, entry.born_ms):
            entry = replace(entry, state=UpstreamState.DRAINING)
        self._entry_by_id[upstream_id] = entry
        if known is None:
            return DirectoryChange(ChangeKind.ADDED, entry)
        if entry.born_ms != known.born_ms:
            return DirectoryChange(ChangeKind.RESTARTED, entry)
        is_change = _relevant_fields(entry) != _relevant_fields(known)
        if had_expired or is_state_new or is_change:
            return DirectoryChange(ChangeKind.CHANGED, entry)
        return None

    def mark_leaving(
        self, upstream_id: str, born_ms: int, now: float
    ) -> DirectoryChange | None:
        """Record that an incarnation of an upstream announced its shutdown.

        Args:
            upstream_id: Id of the upstream.
            born_ms: Start time of the incarnation. It may be listed later.
            now: Time in seconds.

        Returns:
            The change, or None if the upstream was not in use.
        """
        self.notices.record(upstream_id, born_ms, Leaving(), now)
        entry = self._entry_by_id.get(upstream_id)
        if entry is None or entry.state is UpstreamState.DRAINING:
            return None
        if not self.notices.is_leaving(upstream_id, entry.born_ms):
            return None
        entry = replace(entry, state=UpstreamState.DRAINING)
        self._entry_by_id[upstream_id] = entry
        return DirectoryChange(ChangeKind.CHANGED, entry)

    def remove(
        self, upstream_id: str, now: float, *, grace_seconds: float
    ) -> DirectoryChange | None:
        """Remove an upstream that is no longer listed, or let it expire later.

        Args:
            upstream_id: Id of the upstream.
            now: Time in seconds.
            grace_seconds: Time for which the upstream is kept because it may be
                listed again after a disruption of the registry, or 0.
        """
        entry = self._entry_by_id.get(upstream_id)
        if entry is None:
            return None
        if grace_seconds > 0 and entry.state is UpstreamState.READY:
            if upstream_id in self._expires_at_by_id:
                return None
            self._expires_at_by_id[upstream_id] = now + grace_seconds
            return DirectoryChange(ChangeKind.EXPIRED, entry)
        return self._drop(entry, now)

    def apply_listing(
        self,
        entries: Mapping[str, UpstreamEntry],
        now: float,
        *,
        grace_seconds: float,
    ) -> list[DirectoryChange]:
        """Apply a complete listing and return the changes."""
        missing = self._entry_by_id.keys() - entries.keys()
        changes = [self.apply(entry) for entry in entries.values()]
        changes += [
            self.remove(upstream_id, now, grace_seconds=grace_seconds)
            for upstream_id in sorted(missing)
        ]
        return [change for change in changes if change is not None]

    def expire(self, now: float) -> list[DirectoryChange]:
        """Remove the expired upstreams that were not listed again in time."""
        due = [
            upstream_id
            for upstream_id, expires_at in self._expires_at_by_id.items()
            if expires_at <= now
        ]
        for upstream_id, removed in list(self._removed_by_id.items()):
            if now - removed.removed_at > REMOVED_MEMORY_SECONDS:
                del self._removed_by_id[upstream_id]
        self.notices.forget_unlisted(self._entry_by_id, now)
        return [
            self._drop(self._entry_by_id[upstream_id], now)
            for upstream_id in due
        ]

    def _drop(self, entry: UpstreamEntry, now: float) -> DirectoryChange:
        del self._entry_by_id[entry.upstream_id]
        del self._listed_state_by_id[entry.upstream_id]
        self._expires_at_by_id.pop(entry.upstream_id, None)
        self._relisted_ids.discard(entry.upstream_id)
        self._removed_by_id[entry.upstream_id] = _RemovedUpstream(
            entry.order, now
        )
        return DirectoryChange(ChangeKind.REMOVED, entry)


def is_same_listing(
    entry: UpstreamEntry | None, other: UpstreamEntry | None
) -> bool:
    """Return whether two entries of an upstream say the same about its use.

    Args:
        entry: An entry, or None if the upstream is not listed.
        other: Another one of the same upstream.
    """
    if entry is None or other is None:
        return entry is other
    return entry.born_ms == other.born_ms and _relevant_fields(
        entry
    ) == _relevant_fields(other)


def _relevant_fields(entry: UpstreamEntry) -> tuple[object, ...]:
    """Return the fields whose change affects the use of an upstream."""
    return (
        entry.service,
        entry.address,
        entry.data_centre,
        entry.slots,
        entry.state,
        entry.warm_up_seconds > 0,
    )
