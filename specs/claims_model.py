"""Model of at-most-once claims: two routers, one key, one claim stream.

The routers append, read back and send as the claims component does, and decide
by the rules of `lacewingspar_core.claims`. An append takes effect at any later
time or never, even if its router crashes, and its reply is always lost: routers
recognise their records by reading the stream. A frozen router is one that takes
no step while the clock advances. A crashed router restarts as a new instance
and reads again from the first retained record.

Three simplifications keep the model small and only add behaviour. A router may
claim a key whatever it has read, and may send after reading any part of the log
that contains its claim. A release takes effect at any time once its claim can
no longer be sent, even if the claim's router never requested it. The check of
the time limit and the sending are a single step, so the model excludes a router
that freezes between them.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import pairwise
from typing import Any, NamedTuple

from minicheck import Protocol

from lacewingspar_core.claims import (
    CLAIM_SEND_TIMEOUT_SECONDS,
    Claim,
    ClaimState,
    Outcome,
    OwnClaim,
    Release,
    apply_claim_record,
    is_key_expired,
    may_send,
)
from lacewingspar_core.identity import RouterInstance

KEY = b"k"

# Records are tuples, which hash much faster than the record classes: `("claim",
# router, incarnation, sequence)`, `("release", claim offset)` or `("outcome",
# claim offset)`.
Record = tuple[Any, ...]
Log = tuple[tuple[int, Record], ...]


@dataclass(frozen=True)
class Sizes:
    """Bounds of the model; times are in ticks."""

    window: int = 2
    retention: int = 2
    last_time: int = 3
    send_limit: int = 1
    attempts: int = 3
    crashes: int = 1
    key_has_time: bool = False
    with_releases: bool = True
    with_outcomes: bool = False

    @property
    def tick_seconds(self) -> float:
        """Return the length of a tick in seconds."""
        return CLAIM_SEND_TIMEOUT_SECONDS / self.send_limit

    @property
    def tick_ms(self) -> int:
        """Return the length of a tick in milliseconds."""
        return int(self.tick_seconds * 1000)


@dataclass(frozen=True)
class Rules:
    """Rules of the model, which a seeded mistake replaces."""

    make_state: Callable[[int], ClaimState] = ClaimState
    may_send: Callable[[ClaimState, OwnClaim, float], bool] = may_send
    retention: int | None = None
    sends_before_reading_back: bool = False
    releases_sent_claims: bool = False
    releases_open_claims: bool = False
    sends_after_giving_up: bool = False
    resumes_claims_after_crash: bool = False


class Router(NamedTuple):
    """State of one router.

    Attributes:
        incarnation: Number of its current instance.
        start: First offset that this instance has read.
        sequence: Number of its last claim.
        is_waiting: Whether it may still send the call of that claim.
        appended_at: Time before the append of that claim.
    """

    incarnation: int = 0
    start: int = 0
    sequence: int = 0
    is_waiting: bool = False
    appended_at: int = 0


class State(NamedTuple):
    """State of the model.

    Attributes:
        clock: Time in ticks.
        log: Pairs of append time and record.
        in_flight: Claims whose append has not taken effect yet.
        routers: The routers.
        sends: Pairs of time and claim, one for each run of the call.
        attempts: Number of claims made.
        crashes: Number of crashes.
    """

    clock: int
    log: Log
    in_flight: tuple[Record, ...]
    routers: tuple[Router, ...]
    sends: tuple[tuple[int, Record], ...]
    attempts: int
    crashes: int


Step = tuple[str, State]


class ClaimsModel:
    """Transitions and invariants of the model."""

    def __init__(self, sizes: Sizes, rules: Rules | None = None) -> None:
        self.sizes = sizes
        self.rules = rules or Rules()
        self._replay = lru_cache(maxsize=None)(self._replay_uncached)

    def protocol(self) -> Protocol:
        """Return the model in the format of the model checker."""
        return Protocol(
            name="claims",
            candidate=False,
            fields=State._fields,
            initial=State(0, (), (), (Router(), Router()), (), 0, 0),
            transitions=lambda state: list(self._steps(state)),
            invariants={
                "at most one run": self._runs_at_most_once,
                "a released claim has not run": _released_claims_have_not_run,
            },
        )

    def _runs_at_most_once(self, state: dict[str, Any]) -> bool:
        times = [time for time, _ in state["sends"]]
        if self.sizes.key_has_time:
            return len(times) <= 1
        # A claim can be used until the send limit has passed since its append.
        min_gap = self.sizes.window - self.sizes.send_limit
        return all(
            later - earlier > min_gap for earlier, later in pairwise(times)
        )

    def _steps(self, state: State) -> Iterator[Step]:
        if state.clock < self.sizes.last_time:
            yield "tick", self._tick(state)
        for index, claim in enumerate(state.in_flight):
            rest = state.in_flight[:index] + state.in_flight[index + 1 :]
            appended = _append(state, claim)._replace(in_flight=rest)
            yield f"{claim} takes effect", appended
        for offset, (_, record) in enumerate(state.log):
            if record[0] == "claim":
                yield from self._release_or_outcome_steps(state, offset, record)
        for index, router in enumerate(state.routers):
            yield from self._router_steps(state, index, router)

    def _tick(self, state: State) -> State:
        state = state._replace(clock=state.clock + 1)
        for index, router in enumerate(state.routers):
            if router.is_waiting and not self._is_in_time(state, router):
                given_up = router._replace(is_waiting=False)
                state = _with_router(state, index, given_up)
        return state

    def _is_in_time(self, state: State, router: Router) -> bool:
        """Return whether a won claim of the router could still be sent."""
        claims = ClaimState(self.sizes.tick_ms)
        instance = RouterInstance("", 0)
        apply_claim_record(claims, 0, 0, Claim(KEY, b"", instance, 0))
        appended_at = router.appended_at * self.sizes.tick_seconds
        own = OwnClaim(instance, 0, appended_at, None)
        now = state.clock * self.sizes.tick_seconds
        return self.rules.may_send(claims, own, now)

    def _release_or_outcome_steps(
        self, state: State, offset: int, claim: Record
    ) -> Iterator[Step]:
        records = [record for _, record in state.log]
        is_sent = any(sent == claim for _, sent in state.sends)
        is_open = _is_open(state, claim)
        release = ("release", offset)
        outcome = ("outcome", offset)
        may_release = not is_sent or self.rules.releases_sent_claims
        may_release &= not is_open or self.rules.releases_open_claims
        may_release &= self.sizes.with_releases
        if release not in records and may_release:
            yield f"{claim} is released", _append(state, release)
        if self.sizes.with_outcomes and is_sent and outcome not in records:
            yield f"{claim} gets its outcome", _append(state, outcome)

    def _router_steps(
        self, state: State, index: int, router: Router
    ) -> Iterator[Step]:
        # The routers are identical, so it is enough that one of them crashes.
        if index == 0 and state.crashes < self.sizes.crashes:
            yield from self._crash(state, index)
        if self.rules.resumes_claims_after_crash:
            yield from self._resume(state, index, router)
        if not router.is_waiting:
            if self._may_claim(state):
                yield f"{index} claims", self._claim(state, index)
            if not self.rules.sends_after_giving_up:
                return
        given_up = router._replace(is_waiting=False)
        yield f"{index} gives up", _with_router(state, index, given_up)
        claim = ("claim", index, router.incarnation, router.sequence)
        if self.rules.sends_before_reading_back:
            yield f"{index} sends unread", self._send(state, index, claim)
        for offset, (_, record) in enumerate(state.log):
            if record == claim and self._may_send(state, index, offset):
                yield f"{index} sends", self._send(state, index, claim)

    def _resume(
        self, state: State, index: int, router: Router
    ) -> Iterator[Step]:
        """Send claims of earlier instances; only for a seeded mistake."""
        for offset, (_, record) in enumerate(state.log):
            is_old = record[:2] == ("claim", index)
            is_old = is_old and record[2] < router.incarnation
            claims = self._replay(state.log, router.start)
            entry = claims.entry_by_offset(offset)
            if is_old and entry and entry.has_won and not entry.outcome:
                yield f"{index} resumes", self._send(state, index, record)

    def _replay_uncached(self, log: Log, start: int) -> ClaimState:
        claims = self.rules.make_state(self.sizes.window * self.sizes.tick_ms)
        claims.skip_to(start)
        for offset, (time, record) in enumerate(log):
            apply_claim_record(
                claims, offset, time * self.sizes.tick_ms, _decode(record)
            )
        return claims

    def _key_time(self) -> int | None:
        return 0 if self.sizes.key_has_time else None

    def _may_claim(self, state: State) -> bool:
        if state.attempts == self.sizes.attempts:
            return False
        return not is_key_expired(
            self._key_time(),
            state.clock * self.sizes.tick_ms,
            self.sizes.window * self.sizes.tick_ms,
        )

    def _claim(self, state: State, index: int) -> State:
        router = state.routers[index]
        router = router._replace(
            is_waiting=True,
            sequence=router.sequence + 1,
            appended_at=state.clock,
        )
        claim = ("claim", index, router.incarnation, router.sequence)
        # Sorted to merge equal states: the order of appends is irrelevant.
        in_flight = tuple(sorted((*state.in_flight, claim)))
        state = _with_router(state, index, router)
        return state._replace(in_flight=in_flight, attempts=state.attempts + 1)

    def _may_send(self, state: State, index: int, offset: int) -> bool:
        router = state.routers[index]
        own = OwnClaim(
            RouterInstance(str(index), router.incarnation),
            offset,
            router.appended_at * self.sizes.tick_seconds,
            self._key_time(),
        )
        now = state.clock * self.sizes.tick_seconds
        return any(
            self.rules.may_send(
                self._replay(state.log[:end], router.start), own, now
            )
            for end in range(offset + 1, len(state.log) + 1)
        )

    def _send(self, state: State, index: int, claim: Record) -> State:
        router = state.routers[index]._replace(is_waiting=False)
        state = _with_router(state, index, router)
        return state._replace(sends=(*state.sends, (state.clock, claim)))

    def _crash(self, state: State, index: int) -> Iterator[Step]:
        incarnation = state.routers[index].incarnation + 1
        retention = self.rules.retention or self.sizes.retention
        limit = state.clock - retention
        dropped = sum(time <= limit for time, _ in state.log)
        # The log service may keep records longer than the retention.
        for start in range(dropped + 1):
            router = Router(incarnation, start)
            restarted = _with_router(state, index, router)
            yield (
                f"{index} crashes and starts at {start}",
                restarted._replace(crashes=state.crashes + 1),
            )


def _is_open(state: State, claim: Record) -> bool:
    """Return whether the claim's router may still send its call."""
    _, index, incarnation, sequence = claim
    router = state.routers[index]
    return router.is_waiting and (router.incarnation, router.sequence) == (
        incarnation,
        sequence,
    )


def _released_claims_have_not_run(state: dict[str, Any]) -> bool:
    records = [record for _, record in state["log"]]
    return not any(
        claim in records and ("release", records.index(claim)) in records
        for _, claim in state["sends"]
    )


def _decode(record: Record) -> Claim | Release | Outcome:
    match record:
        case ("claim", index, incarnation, sequence):
            instance = RouterInstance(str(index), incarnation)
            return Claim(KEY, b"", instance, sequence)
        case ("release", offset):
            return Release(offset)
        case (_, offset):
            return Outcome(offset, 200, "", None)
    raise ValueError(record)


def _with_router(state: State, index: int, router: Router) -> State:
    if not router.is_waiting:
        router = router._replace(appended_at=0)
    routers = list(state.routers)
    routers[index] = router
    return state._replace(routers=tuple(routers))


def _append(state: State, record: Record) -> State:
    return state._replace(log=(*state.log, (state.clock, record)))


SIZES_BY_NAME = {
    "small": Sizes(last_time=2),
    "outcomes": Sizes(attempts=2, with_outcomes=True),
    "key with time": Sizes(
        window=3, retention=3, send_limit=2, attempts=2, key_has_time=True
    ),
    "retention": Sizes(attempts=4, with_releases=False),
}
