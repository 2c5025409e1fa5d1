"""Model of the configuration log: two routers, one service, one stream.

The routers publish, read, forward records and write snapshots as the
configuration component does, with `lacewingspar_core.configreplica` and the
rules of `lacewingspar_core.configlog`. An append takes effect at any later time
or never, and its reply is always lost. The log service drops its oldest records
at any time. A crashed router restarts without memory.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache, lru_cache
from typing import Any, NamedTuple

from minicheck import Protocol

from lacewingspar_core.configlog import (
    ConfigRecord,
    ConfigState,
    Edit,
    EditAccepted,
    EditConflict,
    Snapshot,
    apply_record,
    decode_record,
    edit_outcome,
    encode_record,
    make_snapshot,
    state_from_snapshot,
)
from lacewingspar_core.configreplica import ConfigReplica
from lacewingspar_core.messages import LogRecord

SERVICE = "s"
EMPTY_DOCUMENT = {
    "service": SERVICE,
    "kind": "plain",
    "upstreams": [],
    "workspaces": [],
}


@dataclass(frozen=True)
class Sizes:
    """Bounds of the model."""

    edits: int = 2
    repeats: int = 1
    snapshots: int = 1
    crashes: int = 1
    with_peers: bool = True


class Reader(NamedTuple):
    """State of a configuration replica.

    Attributes:
        first: First offset of the kept records.
        records: The kept records.
        state: Snapshot of its state, or None before the start.
        first_retained: First retained offset that it knows.
    """

    first: int = 0
    records: tuple[bytes, ...] = ()
    state: bytes | None = None
    first_retained: int = 0

    @property
    def wanted(self) -> int:
        """Return the offset of the next record to receive."""
        return self.first + len(self.records)


class Router(NamedTuple):
    """State of one router.

    Attributes:
        reader: Its replica.
        pending: Edit whose outcome it waits for.
    """

    reader: Reader = Reader()
    pending: bytes | None = None


class State(NamedTuple):
    """State of the model.

    Attributes:
        log: All records ever appended.
        first: First retained offset.
        in_flight: Records whose append has not taken effect yet.
        routers: The routers.
        answers: Answers to operators, as pairs of edit and version; the version
            is 0 for a conflict.
        edits: Number of edits published.
        repeats: Number of edits published again.
        snapshots: Number of snapshots written.
        crashes: Number of crashes.
        has_reverted: Whether a replica went back to an earlier state.
    """

    log: tuple[bytes, ...] = ()
    first: int = 0
    in_flight: tuple[bytes, ...] = ()
    routers: tuple[Router, ...] = (Router(), Router())
    answers: tuple[tuple[bytes, int], ...] = ()
    edits: int = 0
    repeats: int = 0
    snapshots: int = 0
    crashes: int = 0
    has_reverted: bool = False


Step = tuple[str, State]
ApplyRule = Callable[[ConfigState, int, ConfigRecord | None], ConfigState]


@dataclass(frozen=True)
class Rules:
    """Rules of the model, which a seeded mistake replaces.

    Attributes:
        replica: Class of the replicas.
        apply: Rule that the expected state is built with.
        answers_before_reading_back: Whether an operator is told of a conflict
            before the edit has been read back.
    """

    replica: type[ConfigReplica] = ConfigReplica
    apply: ApplyRule = apply_record
    answers_before_reading_back: bool = False


class ConfigLogModel:
    """Transitions and invariants of the model."""

    def __init__(self, sizes: Sizes, rules: Rules | None = None) -> None:
        self.sizes = sizes
        self.rules = rules or Rules()
        self._add = lru_cache(maxsize=None)(self._add_uncached)
        self._expected = lru_cache(maxsize=None)(self._expected_uncached)

    def protocol(self) -> Protocol:
        """Return the model in the format of the model checker."""
        return Protocol(
            name="configuration log",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=lambda state: list(self._steps(state)),
            invariants={
                "readers agree": self._readers_agree,
                "no reader goes back": lambda state: not state["has_reverted"],
                "edits build on each other": self._edits_are_in_order,
                "answers are true": self._answers_are_correct,
            },
        )

    def _readers_agree(self, state: dict[str, Any]) -> bool:
        for router in state["routers"]:
            if router.reader.state is None:
                continue
            end = _decode_state(router.reader.state).next_offset
            if router.reader.state != self._expected(state["log"][:end])[0]:
                return False
        return True

    def _edits_are_in_order(self, state: dict[str, Any]) -> bool:
        version = 0
        edit_ids = set()
        for data, new_version in self._expected(state["log"])[1]:
            edit = _edit(data)
            if edit.base_version != version or edit.edit_id in edit_ids:
                return False
            version = new_version
            edit_ids.add(edit.edit_id)
        return True

    def _answers_are_correct(self, state: dict[str, Any]) -> bool:
        created = self._expected(state["log"])[1]
        return all(
            any(
                new_version == version
                and _edit(other).edit_id == _edit(data).edit_id
                for other, new_version in created
            )
            if version
            else all(other != data for other, _ in created)
            for data, version in state["answers"]
        )

    def _expected_uncached(
        self, log: tuple[bytes, ...]
    ) -> tuple[bytes, list[tuple[bytes, int]]]:
        """Return the state after a log, and the edits that created versions."""
        config = ConfigState()
        created = []
        for offset, data in enumerate(log):
            before = config.version_of(SERVICE)
            config = self.rules.apply(config, offset, decode_record(data))
            after = config.version_of(SERVICE)
            if after != before:
                created.append((data, after))
        return encode_record(make_snapshot(config)), created

    def _add_uncached(
        self, reader: Reader, first_retained: int, page: tuple[LogRecord, ...]
    ) -> Reader:
        replica = self.rules.replica()
        if reader.state is not None:
            replica.state = _decode_state(reader.state)
        replica.add(reader.first, _log_records(reader.first, reader.records))
        replica.add(first_retained, page)
        records = replica.records_from(-1, 0)
        config = replica.state
        return Reader(
            first=replica.next_read_offset - len(records),
            records=tuple(record.data for record in records),
            state=encode_record(make_snapshot(config)) if config else None,
            first_retained=max(first_retained, reader.first_retained),
        )

    def _steps(self, state: State) -> Iterator[Step]:
        if state.first < len(state.log):
            yield "drop oldest", state._replace(first=state.first + 1)
        for index, data in enumerate(state.in_flight):
            rest = state.in_flight[:index] + state.in_flight[index + 1 :]
            log = (*state.log, data)
            yield "append", state._replace(log=log, in_flight=rest)
        for index in range(len(state.routers)):
            yield from self._reader_steps(state, index)
            yield from self._writer_steps(state, index)

    def _reader_steps(self, state: State, index: int) -> Iterator[Step]:
        router = state.routers[index]
        start = max(router.reader.wanted, state.first)
        is_new = router.reader.state is None and state.first == 0
        for end in range(start + 1, len(state.log) + 1):
            page = _log_records(start, state.log[start:end])
            yield (
                f"{index} reads to {end}",
                self._receive(state, index, state.first, page),
            )
        if is_new:
            yield (
                f"{index} reads nothing",
                self._receive(state, index, state.first, ()),
            )
        if self.sizes.with_peers:
            # All kept records, like a message that was in flight for long.
            sender = state.routers[1 - index].reader
            page = _log_records(sender.first, sender.records)
            if page and sender.state is not None:
                yield (
                    f"{index} hears from its peer",
                    self._receive(state, index, sender.first_retained, page),
                )
        if state.crashes < self.sizes.crashes:
            crashed = _with_router(state, index, Router())
            yield (
                f"{index} crashes",
                crashed._replace(crashes=state.crashes + 1),
            )

    def _writer_steps(self, state: State, index: int) -> Iterator[Step]:
        router = state.routers[index]
        if router.reader.state is None:
            return
        config = _decode_state(router.reader.state)
        if router.pending is not None:
            yield from self._answer(state, index, config)
        elif state.edits < self.sizes.edits:
            edit = _make_edit(str(state.edits), config)
            published = _publish(state, index, edit)
            yield f"{index} edits", published._replace(edits=state.edits + 1)
        if state.repeats < self.sizes.repeats:
            # An operator publishes an edit again, for any base version.
            for number in range(state.edits):
                edit = _make_edit(str(number), config)
                again = _publish(state, index, edit)
                yield (
                    f"{index} repeats edit {number}",
                    again._replace(repeats=state.repeats + 1),
                )
        if state.snapshots < self.sizes.snapshots:
            snapshot = _append(state, router.reader.state)
            yield (
                f"{index} writes a snapshot",
                snapshot._replace(snapshots=state.snapshots + 1),
            )

    def _answer(
        self, state: State, index: int, config: ConfigState
    ) -> Iterator[Step]:
        pending = state.routers[index].pending
        assert pending is not None
        edit = _edit(pending)
        outcome = edit_outcome(config, edit.edit_id, SERVICE, edit.base_version)
        if outcome is None and self.rules.answers_before_reading_back:
            outcome = EditConflict(0, "", "")
        match outcome:
            case EditAccepted():
                # The edit may have been accepted on another base version.
                version = config.accepted_by_edit_id[edit.edit_id].version
                answer = (pending, version)
            case EditConflict():
                answer = (pending, 0)
            case None:
                return
        router = state.routers[index]._replace(pending=None)
        answers = tuple(sorted({*state.answers, answer}))
        answered = _with_router(state, index, router)
        yield f"{index} answers", answered._replace(answers=answers)

    def _receive(
        self,
        state: State,
        index: int,
        first_retained: int,
        page: tuple[LogRecord, ...],
    ) -> State:
        router = state.routers[index]
        reader = self._add(router.reader, first_retained, page)
        has_reverted = _applied(reader) < _applied(router.reader)
        state = _with_router(state, index, router._replace(reader=reader))
        return state._replace(has_reverted=state.has_reverted or has_reverted)


@cache
def _decode_state(data: bytes) -> ConfigState:
    record = decode_record(data)
    assert isinstance(record, Snapshot)
    state = state_from_snapshot(0, record.as_of + 1, record)
    assert state is not None
    return state


@cache
def _edit(data: bytes) -> Edit:
    record = decode_record(data)
    assert isinstance(record, Edit)
    return record


def _applied(reader: Reader) -> int:
    return _decode_state(reader.state).next_offset if reader.state else 0


def _log_records(
    first: int, records: tuple[bytes, ...]
) -> tuple[LogRecord, ...]:
    return tuple(
        LogRecord(offset, 0, data) for offset, data in enumerate(records, first)
    )


def _with_router(state: State, index: int, router: Router) -> State:
    routers = list(state.routers)
    routers[index] = router
    return state._replace(routers=tuple(routers))


def _append(state: State, data: bytes) -> State:
    # Sorted to merge equal states: the order of appends is irrelevant.
    in_flight = tuple(sorted((*state.in_flight, data)))
    return state._replace(in_flight=in_flight)


def _publish(state: State, index: int, edit: bytes) -> State:
    router = state.routers[index]._replace(pending=edit)
    return _append(_with_router(state, index, router), edit)


def _make_edit(edit_id: str, config: ConfigState) -> bytes:
    patch = {**EMPTY_DOCUMENT, "limits": {"attempts": int(edit_id) + 1}}
    version = config.version_of(SERVICE)
    return encode_record(Edit(edit_id, SERVICE, version, patch, ""))


SIZES_BY_NAME = {
    "edits": Sizes(snapshots=0),
    "snapshots": Sizes(repeats=0, snapshots=1),
}
