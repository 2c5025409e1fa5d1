"""Model of the readers of the upstream list: two routers and one store.

The store may be rolled back to any earlier state at any step, which begins an
era. Both routers list and read it, and exchange notices, requests and replies
as the routing component does, with the rules of
`lacewingspar_core.log_positions`. A response or message may arrive at any later
time or never. Grace periods are not modelled, as the model has no clock: what
is missing from a listing is removed at once.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

from lacewingspar_core.log_positions import (
    ResponseUse,
    era_of,
    is_outdated_listing,
    is_outdated_record,
    log_position,
    offset_of,
    response_use,
)

# Versions of an upstream's entry start at 1; this one stands for no entry.
REMOVED = 0


@dataclass(frozen=True)
class Sizes:
    """Bounds of the model.

    Attributes:
        upstreams: Number of upstreams.
        appends: Largest number of records written.
        rollbacks: Largest number of rollbacks.
        readers: Number of routers that read the store; the second router is a
            follower if it does not.
    """

    upstreams: int = 1
    appends: int = 2
    rollbacks: int = 1
    readers: int = 1


SIZES_BY_NAME = {
    "reader and follower": Sizes(),
    "two readers": Sizes(appends=1, readers=2),
    "two rollbacks": Sizes(appends=1, rollbacks=2),
    "removals": Sizes(rollbacks=0, readers=2),
    "two upstreams": Sizes(upstreams=2),
}


@dataclass(frozen=True)
class Rules:
    """Rules of the routers; seeded mistakes replace them.

    Attributes:
        use: Returns the use of a response to a read.
        is_outdated_listing: Whether to ignore a listing.
        is_outdated_record: Whether to ignore a record.
        position: Returns the position of an era and an offset.
        applies_older_eras: Whether records of an older era are applied.
        ignores_changes: Whether a notice is taken for a confirmation without
            regard to what has changed.
        always_sends_records: Whether replies never contain a listing.
    """

    use: Callable[[int, int], ResponseUse] = response_use
    is_outdated_listing: Callable[[int, int], bool] = is_outdated_listing
    is_outdated_record: Callable[[int, int, int], bool] = is_outdated_record
    position: Callable[[int, int], int] = log_position
    applies_older_eras: bool = False
    ignores_changes: bool = False
    always_sends_records: bool = False


class Record(NamedTuple):
    """Record of an upstream, at the position where it was stored."""

    upstream: int
    version: int
    position: int


class Listing(NamedTuple):
    """Newest record of each upstream that is listed."""

    records: tuple[Record, ...]
    end: int


class Read(NamedTuple):
    """Response to a read; `records` is None if the store lacks the offset."""

    start: int
    era: int
    records: tuple[Record, ...] | None


class Notice(NamedTuple):
    """What its sender has: all records, and the last change."""

    known: int
    changed: int


class Request(NamedTuple):
    """Requests what has changed after a position."""

    known: int


class Reply(NamedTuple):
    """Records that were requested, or a listing."""

    known: int
    records: tuple[Record, ...]
    is_listing: bool


Message = Notice | Request | Reply


class Router(NamedTuple):
    """State of one router.

    Attributes:
        next_read: Position of its next read, or -1 if it lists next.
        known: Position up to which it knows all changes.
        changed: Position after the last change.
        listed: End of the last listing.
        records: Newest known record of each upstream.
        changes: Positions of the last change of each upstream.
        response: Response of the store that has not arrived.
        message: Message of the other router that has not arrived.
    """

    next_read: int = -1
    known: int = -1
    changed: int = -1
    listed: int = -1
    records: tuple[Record, ...] = ()
    changes: tuple[tuple[int, int], ...] = ()
    response: Listing | Read | None = None
    message: Message | None = None

    def version_of(self, upstream: int) -> int:
        """Return the version that is used of an upstream."""
        return _version_of(self.records, upstream)


class State(NamedTuple):
    """State of the model.

    Attributes:
        logs: Upstream and version of each record, by era; the last one grows.
        appends: Number of records written.
        routers: The routers.
    """

    logs: tuple[tuple[tuple[int, int], ...], ...] = ((),)
    appends: int = 0
    routers: tuple[Router, Router] = (Router(), Router())


class DirectoryModel:
    """Transitions and invariants of the model."""

    def __init__(self, sizes: Sizes, rules: Rules | None = None) -> None:
        self.sizes = sizes
        self.rules = rules or Rules()

    def protocol(self) -> Protocol:
        """Return the model in the format of the model checker."""
        return Protocol(
            name="upstream list",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=lambda state: [
                (label, self._ordered(after))
                for label, after in self._steps(state)
            ],
            invariants={"routers know what they state": self._is_true},
        )

    def _is_true(self, state: dict[str, Any]) -> bool:
        """Check that each router has the entries at its position."""
        for router in state["routers"]:
            if router.known < 0:
                continue
            era, offset = era_of(router.known), offset_of(router.known)
            if era >= len(state["logs"]):
                return False
            log = state["logs"][era][:offset]
            for upstream in range(self.sizes.upstreams):
                versions = [item[1] for item in log if item[0] == upstream]
                stored = versions[-1] if versions else REMOVED
                if router.version_of(upstream) != stored:
                    return False
        return True

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield from self._store_steps(state)
        for number in (0, 1):
            if number < self.sizes.readers:
                yield from self._read_steps(state, number)
            yield from self._message_steps(state, number)

    def _ordered(self, state: State) -> State:
        """Return a state with its routers in order if they are alike."""
        first, second = state.routers
        if self.sizes.readers == 1 or hash(first) <= hash(second):
            return state
        return state._replace(routers=(second, first))

    def _store_steps(self, state: State) -> Iterator[tuple[str, State]]:
        *past, log = state.logs
        if state.appends < self.sizes.appends:
            for upstream in range(self.sizes.upstreams):
                renewed = _newest(log).get(upstream, REMOVED)
                for version in {state.appends + 1, renewed, REMOVED}:
                    longer = (*log, (upstream, version))
                    yield (
                        f"append {upstream}: {version}",
                        state._replace(
                            logs=(*past, longer), appends=state.appends + 1
                        ),
                    )
        if len(past) < self.sizes.rollbacks:
            for length in range(len(log) + 1):
                yield (
                    f"roll back to {length}",
                    state._replace(logs=(*state.logs, log[:length])),
                )

    def _read_steps(
        self, state: State, number: int
    ) -> Iterator[tuple[str, State]]:
        router = state.routers[number]
        # A response that has not arrived until the next read is lost.
        response = self._respond(state, router)
        yield (
            f"router {number} reads",
            _with_router(state, number, router._replace(response=response)),
        )
        if router.response is None:
            return
        waiting = router._replace(response=None)
        match router.response:
            case Listing():
                after = self._after_listing(waiting, router.response)
                after = after._replace(next_read=router.response.end)
            case Read():
                after = self._after_read(waiting, router.response)
        yield (
            f"router {number} gets a response",
            _with_router(state, number, after),
        )

    def _respond(self, state: State, router: Router) -> Listing | Read:
        """Return the response of the store to the next call of a router."""
        era, log = len(state.logs) - 1, state.logs[-1]
        records = tuple(
            Record(upstream, version, self.rules.position(era, offset))
            for offset, (upstream, version) in enumerate(log)
        )
        if router.next_read < 0:
            newest = {record.upstream: record for record in records}
            listed = tuple(item for item in newest.values() if item.version)
            return Listing(listed, self.rules.position(era, len(log)))
        start = max(router.next_read, router.known)
        offset = offset_of(start)
        is_there = offset <= len(log)
        return Read(start, era, records[offset:] if is_there else None)

    def _after_listing(self, router: Router, listing: Listing) -> Router:
        if self.rules.is_outdated_listing(listing.end, router.known):
            return router
        return router._replace(
            known=max(router.known, listing.end),
            changed=max(router.changed, listing.end),
            listed=max(router.listed, listing.end),
            records=tuple(sorted(listing.records)),
            changes=tuple(
                sorted(
                    (item.upstream, item.position) for item in listing.records
                )
            ),
        )

    def _after_read(self, router: Router, read: Read) -> Router:
        match self.rules.use(read.start, read.era):
            case ResponseUse.LIST_AGAIN:
                return router._replace(next_read=-1)
            case ResponseUse.DROP:
                return router
        if read.records is None:
            return router._replace(next_read=-1)
        end = read.start + len(read.records)
        after = self._after_records(router, read.records, end)
        return after._replace(next_read=end)

    def _after_records(
        self, router: Router, records: tuple[Record, ...], end: int
    ) -> Router:
        """Return a router after records of the store or the other router."""
        is_older = era_of(end) < era_of(router.known)
        if is_older and not self.rules.applies_older_eras:
            return router
        newest = {item.upstream: item for item in router.records}
        changes, changed = dict(router.changes), router.changed
        for record in records:
            known = newest.get(record.upstream)
            position = -1 if known is None else known.position
            if self.rules.is_outdated_record(
                record.position, position, router.listed
            ):
                continue
            newest[record.upstream] = record
            if record.version != (REMOVED if known is None else known.version):
                changes[record.upstream] = record.position
                changed = max(changed, record.position + 1)
        return router._replace(
            known=max(router.known, end),
            changed=changed,
            records=tuple(sorted(newest.values())),
            changes=tuple(sorted(changes.items())),
        )

    def _message_steps(
        self, state: State, number: int
    ) -> Iterator[tuple[str, State]]:
        router, other = state.routers[number], state.routers[1 - number]
        if other.known >= 0:
            # A message that has not arrived until the next one is lost.
            notice = Notice(other.known, other.changed)
            yield (
                f"notice to router {number}",
                _with_router(state, number, router._replace(message=notice)),
            )
        if router.message is None:
            return
        waiting = router._replace(message=None)
        after, response = self._after_message(waiting, router.message)
        delivered = _with_router(state, number, after)
        if response is not None:
            delivered = _with_router(
                delivered, 1 - number, other._replace(message=response)
            )
        yield f"message to router {number} arrives", delivered

    def _after_message(
        self, router: Router, message: Message
    ) -> tuple[Router, Message | None]:
        match message:
            case Notice(known, changed):
                if changed > router.known and not self.rules.ignores_changes:
                    return router, Request(router.known)
                return router._replace(known=max(router.known, known)), None
            case Request(known):
                return router, self._reply(router, known)
            case Reply(known, records, is_listing):
                if known <= router.known:
                    return router, None
                if is_listing:
                    listing = Listing(records, known)
                    return self._after_listing(router, listing), None
                return self._after_records(router, records, known), None

    def _reply(self, router: Router, known: int) -> Reply | None:
        is_listing = known < router.listed
        if is_listing and not self.rules.always_sends_records:
            listed = tuple(item for item in router.records if item.version)
            return Reply(router.known, listed, is_listing=True)
        changes = dict(router.changes)
        records = tuple(
            item
            for item in router.records
            if changes.get(item.upstream, -1) >= known
        )
        return (
            Reply(router.known, records, is_listing=False) if records else None
        )


def _with_router(state: State, number: int, router: Router) -> State:
    first, second = state.routers
    routers = (router, second) if number == 0 else (first, router)
    return state._replace(routers=routers)


def _newest(log: tuple[tuple[int, int], ...]) -> dict[int, int]:
    return dict(log)


def _version_of(records: tuple[Record, ...], upstream: int) -> int:
    for record in records:
        if record.upstream == upstream:
            return record.version
    return REMOVED
