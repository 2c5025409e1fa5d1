"""Simulation of a pool of engines and its callers.

An engine prefills prompts sequentially in order of arrival at a fixed rate and
caches the shared parts that fit into its KV cache. A request leaves its engine
a fixed time after its prefill.
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
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.pool_admission import PoolAdmission
from lacewingspar_core.prefix_cache import PrefixCache, PromptPart
from lacewingspar_core.routing import EngineProfile, UpstreamService

INGRESS_ROUTER = RouterInstance("router", 1)
PROFILE = EngineProfile(
    slots=64,
    memory_tokens=500_000,
    token_bytes=0,
    link_bytes_per_second=0.0,
)
SERVICE = UpstreamService("models", PROFILE)
PREFILL_TOKENS_PER_SECOND = 80_000.0
DECODE_SECONDS = 0.8
LATENCY_TARGET_SECONDS = 0.4
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
        warm_up_seconds=0.0,
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
        "key": AdmissionKey(INGRESS_ROUTER, number),
        "workspace": workspace,
        "data_centre": "dc",
        "shared_parts": shared,
        "own_tokens": tokens,
        "output_tokens": 0,
        "priority": 1,
        "arrived_at": now,
        "latency_target_at": now + LATENCY_TARGET_SECONDS,
        "deadline_at": now + DEADLINE_SECONDS,
    }
    return Admission(**values | changes)


@dataclass(slots=True)
class Engine:
    """A simulated engine."""

    free_at: float = 0.0
    prefix_cache: PrefixCache = field(
        default_factory=lambda: PrefixCache(PROFILE.memory_tokens)
    )
    shared_tokens_prefilled: int = 0

    def read(self, request: Admission, now: float) -> float:
        """Prefill a prompt and return when the prefill ends."""
        cached = self.prefix_cache.cached_tokens(request.shared_parts)
        shared = request.prompt_tokens - request.own_tokens
        self.shared_tokens_prefilled += shared - cached
        self.prefix_cache.record_use(request.shared_parts, request.own_tokens)
        tokens = request.prompt_tokens - cached
        begin = max(now, self.free_at)
        self.free_at = begin + tokens / PREFILL_TOKENS_PER_SECOND
        return self.free_at


@dataclass(slots=True)
class WorkspaceResult:
    """Results of the requests of one workspace."""

    sent: int = 0
    on_time: int = 0
    late: int = 0
    declined: int = 0
    declined_retries: int = 0
    max_decline_seconds: float = 0.0


@dataclass(slots=True)
class Arrival:
    """A request of the simulated load."""

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
    """Yield Poisson arrivals whose prompts begin with a random shared part."""
    now = start
    while True:
        now += generator.expovariate(rate)
        if now >= start + seconds:
            return
        part = PromptPart(generator.randrange(shared_keys), 5000)
        yield Arrival(now, workspace, (part,), tokens)


class Simulation:
    """Runs a load against the admission control of a pool.

    Args:
        engines: Number of engines.
        callers_retry: Whether declined callers retry once, after Retry-After.
    """

    def __init__(self, engines: int, *, callers_retry: bool = False) -> None:
        self._callers_retry = callers_retry
        self.pool = PoolAdmission("models/0")
        self.engine_by_id = {f"e{n}": Engine() for n in range(engines)}
        self.pool.set_upstreams(
            {name: entry(name) for name in self.engine_by_id},
            SERVICE,
            PREFILL_TOKENS_PER_SECOND,
            0.0,
        )
        self.served_by_workspace: dict[str, WorkspaceResult] = {}
        self._admission_by_key: dict[AdmissionKey, Admission] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._sequence = itertools.count()
        self._served_keys: set[AdmissionKey] = set()
        self._retried: set[int] = set()

    def run(self, load: list[Arrival]) -> dict[str, WorkspaceResult]:
        """Run a load to its end and return the results by workspace."""
        for number, arrival in enumerate(sorted(load, key=lambda r: r.at)):
            self._push(arrival.at, "ask", (number, arrival))
        last = max(arrival.at for arrival in load) + DEADLINE_SECONDS
        for step in range(int(last * 10)):
            self._push(step / 10, "tick", None)
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            self._handle(kind, value, now)
        return self.served_by_workspace

    def served_fraction(self, is_counted: Callable[[Admission], bool]) -> float:
        """Return the fraction of counted requests served, on time or late."""
        counted = [
            request
            for request in self._admission_by_key.values()
            if is_counted(request)
        ]
        served = [
            request for request in counted if request.key in self._served_keys
        ]
        return len(served) / len(counted)

    def _push(self, at: float, kind: str, value: Any) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), kind, value))

    def _handle(self, kind: str, value: Any, now: float) -> None:
        match kind:
            case "ask":
                number, arrival = value
                request = admission(
                    number,
                    now,
                    arrival.workspace,
                    arrival.shared,
                    arrival.tokens,
                )
                request = replace(request, identity=number + 1)
                self._admission_by_key[request.key] = request
                self._served(request).sent += 1
                self._apply(self.pool.submit(request, now), now)
            case "retry":
                self._retried.add(value.identity)
                self._admission_by_key[value.key] = value
                self._apply(self.pool.submit(value, now), now)
            case "first_chunk":
                request = self._admission_by_key[value]
                served = self._served(request)
                self._served_keys.add(value)
                is_retry = request.identity in self._retried
                if now <= request.latency_target_at and not is_retry:
                    served.on_time += 1
                else:
                    served.late += 1
                self._push(now + DECODE_SECONDS, "end", value)
                self._apply(self.pool.record_first_chunk(value, now), now)
            case "end":
                outcome = RunOutcome.COMPLETED
                self._apply(self.pool.end(value, outcome, now), now)
            case "tick":
                self._apply(self.pool.tick(now), now)

    def _apply(self, decisions: list[AdmissionDecision], now: float) -> None:
        for decision in decisions:
            request = self._admission_by_key[decision.key]
            match decision:
                case Granted(key, upstream_id, _):
                    engine = self.engine_by_id[upstream_id]
                    self._push(engine.read(request, now), "first_chunk", key)
                case Declined():
                    served = self._served(request)
                    if request.identity in self._retried:
                        served.declined_retries += 1
                    elif self._callers_retry:
                        self._schedule_retry(request, decision, now)
                    served.declined += 1
                    served.max_decline_seconds = max(
                        served.max_decline_seconds, now - request.arrived_at
                    )

    def _schedule_retry(
        self, request: Admission, declined: Declined, now: float
    ) -> None:
        """Schedule a caller's retry after the returned Retry-After."""
        at = now + declined.retry_after_seconds
        number = request.key.number + 1_000_000
        retry = replace(
            request,
            key=AdmissionKey(INGRESS_ROUTER, number),
            arrived_at=at,
            latency_target_at=at + LATENCY_TARGET_SECONDS,
        )
        self._push(at, "retry", retry)

    def _served(self, request: Admission) -> WorkspaceResult:
        return self.served_by_workspace.setdefault(
            request.workspace, WorkspaceResult()
        )
