"""Upstreams that have registered themselves, as last heard of."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

# An upstream that lapsed while its registry was away is listed again this
# soon after the registry returns, if it lives (interface of the registry).
LAPSE_GRACE_SECONDS = 2.0
# Late copies of the entries of upstreams that are gone are recognised for
# this long; they are delayed by seconds at most.
REMEMBER_GONE_SECONDS = 120.0


class UpstreamState(StrEnum):
    """State that an upstream reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """What an upstream reports about itself.

    Attributes:
        upstream_id: Identity of the upstream.
        service: Service that it belongs to.
        address: Its `host:port`.
        data_centre: Its data centre.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        born_ms: Start of its present life, in milliseconds since the epoch.
        sequence: Number of the report within this life.
        cold_seconds: How much longer it stays slow after its start.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: UpstreamState
    born_ms: int
    sequence: int
    cold_seconds: float

    @property
    def order(self) -> tuple[int, int]:
        """Return the place among all reports of this upstream."""
        return (self.born_ms, self.sequence)


class ChangeKind(StrEnum):
    """What a change of the directory means for an upstream."""

    ADDED = "added"
    RESTARTED = "restarted"
    CHANGED = "changed"
    LAPSED = "lapsed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """A change of what is known about one upstream.

    Attributes:
        kind: What has happened.
        entry: The entry after the change, or the last one known.
    """

    kind: ChangeKind
    entry: UpstreamEntry


@dataclass(slots=True)
class _Gone:
    """Last report of an upstream that is gone."""

    order: tuple[int, int]
    since: float


class UpstreamDirectory:
    """Directory of one router, built from the records of the registry.

    Records may arrive late or from an older life of an upstream; the order
    by life and sequence decides which report is the newest.
    """

    def __init__(self) -> None:
        self._entry_by_id: dict[str, UpstreamEntry] = {}
        self._lapses_at_by_id: dict[str, float] = {}
        self._gone_by_id: dict[str, _Gone] = {}

    @property
    def entry_by_id(self) -> Mapping[str, UpstreamEntry]:
        """Return all upstreams that are not gone, draining ones included."""
        return self._entry_by_id

    def usable(self, service: str) -> dict[str, UpstreamEntry]:
        """Return the upstreams of a service that take new work, by id."""
        return {
            upstream_id: entry
            for upstream_id, entry in self._entry_by_id.items()
            if entry.service == service and entry.state is UpstreamState.READY
        }

    def apply(self, entry: UpstreamEntry) -> DirectoryChange | None:
        """Take over a report.

        Returns:
            The change, or None if the report says nothing new.
        """
        upstream_id = entry.upstream_id
        gone = self._gone_by_id.get(upstream_id)
        if gone is not None and entry.order <= gone.order:
            return None
        known = self._entry_by_id.get(upstream_id)
        if known is not None and entry.order <= known.order:
            return None
        self._gone_by_id.pop(upstream_id, None)
        was_lapsed = self._lapses_at_by_id.pop(upstream_id, None) is not None
        self._entry_by_id[upstream_id] = entry
        if known is None:
            return DirectoryChange(ChangeKind.ADDED, entry)
        if entry.born_ms != known.born_ms:
            return DirectoryChange(ChangeKind.RESTARTED, entry)
        if was_lapsed or _content(entry) != _content(known):
            return DirectoryChange(ChangeKind.CHANGED, entry)
        return None

    def remove(
        self, upstream_id: str, now: float, *, may_have_lapsed: bool
    ) -> DirectoryChange | None:
        """Take over that an upstream is no longer listed.

        Args:
            upstream_id: Identity of the upstream.
            now: Time in seconds.
            may_have_lapsed: Whether the registry was disturbed, so that an
                upstream which lives may be listed again soon.
        """
        entry = self._entry_by_id.get(upstream_id)
        if entry is None:
            return None
        if may_have_lapsed and entry.state is UpstreamState.READY:
            if upstream_id in self._lapses_at_by_id:
                return None
            self._lapses_at_by_id[upstream_id] = now + LAPSE_GRACE_SECONDS
            return DirectoryChange(ChangeKind.LAPSED, entry)
        return self._drop(entry, now)

    def replace_all(
        self,
        entries: Mapping[str, UpstreamEntry],
        now: float,
        *,
        may_have_lapsed: bool,
    ) -> list[DirectoryChange]:
        """Take over a whole listing."""
        missing = self._entry_by_id.keys() - entries.keys()
        changes = [self.apply(entry) for entry in entries.values()]
        changes += [
            self.remove(upstream_id, now, may_have_lapsed=may_have_lapsed)
            for upstream_id in sorted(missing)
        ]
        return [change for change in changes if change is not None]

    def expire(self, now: float) -> list[DirectoryChange]:
        """Drop the upstreams that lapsed and were not listed again."""
        due = [
            upstream_id
            for upstream_id, at in self._lapses_at_by_id.items()
            if at <= now
        ]
        for upstream_id, gone in list(self._gone_by_id.items()):
            if now - gone.since > REMEMBER_GONE_SECONDS:
                del self._gone_by_id[upstream_id]
        return [
            self._drop(self._entry_by_id[upstream_id], now)
            for upstream_id in due
        ]

    def _drop(self, entry: UpstreamEntry, now: float) -> DirectoryChange:
        del self._entry_by_id[entry.upstream_id]
        self._lapses_at_by_id.pop(entry.upstream_id, None)
        self._gone_by_id[entry.upstream_id] = _Gone(entry.order, now)
        return DirectoryChange(ChangeKind.REMOVED, entry)


def _content(entry: UpstreamEntry) -> tuple[object, ...]:
    """Return what matters to the use of an upstream."""
    return (
        entry.service,
        entry.address,
        entry.data_centre,
        entry.slots,
        entry.state,
        entry.cold_seconds > 0,
    )
