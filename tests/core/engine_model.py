"""Model of a pool of engines and of its callers, in simulated time.

An engine reads prompts one after the other in order of arrival, at a fixed
rate, and keeps the shared parts that fit into its memory. A request leaves its
engine a fixed time after its prompt was read.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    AdmissionKey,
    Declined,
    Granted,
    RunOutcome,
)
from lacewingspar_core.directory import UpstreamEntry, UpstreamState
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_core.prefix_memory import PrefixCache, PromptPart
from lacewingspar_core.routing import EngineProfile, UpstreamService

HOLDER = RouterLife("router", 1)
PROFILE = EngineProfile(
    slots=64,
    memory_tokens=500_000,
    token_bytes=0,
    link_bytes_per_second=0.0,
)
SERVICE = UpstreamService("models", PROFILE)
READ_TOKENS_PER_SECOND = 80_000.0
WRITE_SECONDS = 0.8
AIM_SECONDS = 0.4
DEADLINE_SECONDS = 8.0


def entry(
    upstream_id: str, data_centre: str = "dc", slots: int = 64
) -> UpstreamEntry:
    return UpstreamEntry(
        upstream_id=upstream_id,
        service="models",
        address="10.0.0.1:80",
        data_centre=data_centre,
        slots=slots,
        state=UpstreamState.READY,
        born_ms=1,
        sequence=1,
        cold_seconds=0.0,
    )


def admission(
    number: int,
    now: float,
    workspace: str = "w",
    shared: tuple[PromptPart, ...] = (),
    tokens: int = 2000,
    **changes: Any,
) -> Admission:
    values: dict[str, Any] = {
        "key": AdmissionKey(HOLDER, number),
        "workspace": workspace,
        "data_centre": "dc",
        "shared_parts": shared,
        "own_tokens": tokens,
        "output_tokens": 0,
        "priority": 1,
        "arrived_at": now,
        "aim_at": now + AIM_SECONDS,
        "deadline_at": now + DEADLINE_SECONDS,
    }
    return Admission(**values | changes)


@dataclass(slots=True)
class Engine:
    """One engine."""

    free_at: float = 0.0
    prefix_cache: PrefixCache = field(
        default_factory=lambda: PrefixCache(PROFILE.memory_tokens)
    )
    shared_tokens_read: int = 0

    def read(self, request: Admission, now: float) -> float:
        """Return when the prompt has been read."""
        cached = self.prefix_cache.cached_tokens(request.shared_parts)
        shared = request.prompt_tokens - request.own_tokens
        self.shared_tokens_read += shared - cached
        self.prefix_cache.record_use(request.shared_parts, request.own_tokens)
        tokens = request.prompt_tokens - cached
        begin = max(now, self.free_at)
        self.free_at = begin + tokens / READ_TOKENS_PER_SECOND
        return self.free_at


@dataclass(slots=True)
class WorkspaceResult:
    """What the callers of one workspace got."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    declined: int = 0
    declined_again: int = 0
    longest_decline_seconds: float = 0.0


@dataclass(slots=True)
class Arrival:
    """A request of the load."""

    at: float
    workspace: str
    shared: tuple[PromptPart, ...]
    tokens: int


def poisson(
    generator: random.Random,
    rate: float,
    seconds: float,
    workspace: str,
    shared_keys: int,
    tokens: int,
    start: float = 0.0,
) -> Iterator[Arrival]:
    """Yield requests whose prompts begin with one of some shared parts."""
    now = start
    while True:
        now += generator.expovariate(rate)
        if now >= start + seconds:
            return
        part = PromptPart(generator.randrange(shared_keys), 5000)
        yield Arrival(now, workspace, (part,), tokens)


class Simulation:
    """Plays a load against the admission to a pool.

    Args:
        engines: Number of engines.
        callers_return: Whether a declined caller comes back once, when it was
            told to.
    """

    def __init__(self, engines: int, *, callers_return: bool = False) -> None:
        self._callers_return = callers_return
        self.pool = PoolAdmission("models/0")
        self.engine_by_id = {f"e{n}": Engine() for n in range(engines)}
        self.pool.set_upstreams(
            {name: entry(name) for name in self.engine_by_id},
            SERVICE,
            READ_TOKENS_PER_SECOND,
            0.0,
        )
        self.served_by_workspace: dict[str, WorkspaceResult] = {}
        self._admission_by_key: dict[AdmissionKey, Admission] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._order = itertools.count()
        self._served_keys: set[AdmissionKey] = set()
        self._returned: set[int] = set()

    def run(self, load: list[Arrival]) -> dict[str, WorkspaceResult]:
        """Play a load to its end."""
        for number, request in enumerate(sorted(load, key=lambda r: r.at)):
            self._push(request.at, "ask", (number, request))
        last = max(request.at for request in load) + DEADLINE_SECONDS
        for step in range(int(last * 10)):
            self._push(step / 10, "tick", None)
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            self._handle(kind, value, now)
        return self.served_by_workspace

    def share_served(self, is_counted: Callable[[Admission], bool]) -> float:
        """Return the share of some requests that were served, also late."""
        counted = [
            wish for wish in self._admission_by_key.values() if is_counted(wish)
        ]
        served = [wish for wish in counted if wish.key in self._served_keys]
        return len(served) / len(counted)

    def _push(self, at: float, kind: str, value: Any) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, value))

    def _handle(self, kind: str, value: Any, now: float) -> None:
        match kind:
            case "ask":
                number, request = value
                wish = admission(
                    number,
                    now,
                    request.workspace,
                    request.shared,
                    request.tokens,
                )
                wish = replace(wish, identity=number + 1)
                self._admission_by_key[wish.key] = wish
                self._served(wish).asked += 1
                self._apply(self.pool.ask(wish, now), now)
            case "return":
                self._returned.add(value.identity)
                self._admission_by_key[value.key] = value
                self._apply(self.pool.ask(value, now), now)
            case "first":
                wish = self._admission_by_key[value]
                served = self._served(wish)
                self._served_keys.add(value)
                is_back = wish.identity in self._returned
                if now <= wish.aim_at and not is_back:
                    served.on_time += 1
                else:
                    served.late += 1
                self._push(now + WRITE_SECONDS, "end", value)
                self._apply(self.pool.note_first_part(value, now), now)
            case "end":
                outcome = RunOutcome.COMPLETED
                self._apply(self.pool.end(value, outcome, now), now)
            case "tick":
                self._apply(self.pool.tick(now), now)

    def _apply(self, decisions: list[AdmissionDecision], now: float) -> None:
        for decision in decisions:
            wish = self._admission_by_key[decision.key]
            match decision:
                case Granted(key, upstream_id, _):
                    engine = self.engine_by_id[upstream_id]
                    self._push(engine.read(wish, now), "first", key)
                case Declined():
                    served = self._served(wish)
                    if wish.identity in self._returned:
                        served.declined_again += 1
                    elif self._callers_return:
                        self._send_back(wish, decision, now)
                    served.declined += 1
                    served.longest_decline_seconds = max(
                        served.longest_decline_seconds, now - wish.arrived_at
                    )

    def _send_back(
        self, wish: Admission, declined: Declined, now: float
    ) -> None:
        """Let a caller come back when it was told to."""
        at = now + declined.retry_after_seconds
        number = wish.key.number + 1_000_000
        back = replace(
            wish,
            key=AdmissionKey(HOLDER, number),
            arrived_at=at,
            aim_at=at + AIM_SECONDS,
        )
        self._push(at, "return", back)

    def _served(self, wish: Admission) -> WorkspaceResult:
        return self.served_by_workspace.setdefault(
            wish.workspace, WorkspaceResult()
        )
