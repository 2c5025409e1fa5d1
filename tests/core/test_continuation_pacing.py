"""Tests of asking again for declined streams, and of what it costs a pool."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from tests.core.engine_model import (
    INGRESS_ROUTER,
    PREFILL_TOKENS_PER_SECOND,
    SERVICE,
    Arrival,
    Simulation,
    admission,
    entry,
    poisson,
)

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionDecision,
    AdmissionKey,
    Declined,
)
from lacewingspar_core.continuation_pacing import (
    FLEET_ASKS_PER_SECOND,
    MAX_ASKS,
    MAX_WAIT_SECONDS,
    WAIT_SECONDS,
    ContinuationPacer,
)
from lacewingspar_core.prefix_cache import PromptPart

ROUTERS = 8
BREAK_AT = 3.0
LOAD_SECONDS = 8.0
FIRST_CONTINUATION = 5_000_000

# Returns the seconds after which a router asks again, or None.
Policy = Callable[[int, int, float, float], float | None]


def never(
    router: int, asked: int, time_left: float, now: float
) -> float | None:
    del router, asked, time_left, now
    return None


def at_fixed_intervals(
    router: int, asked: int, time_left: float, now: float
) -> float | None:
    """Ask every 0.2 s for 1.5 s, without any limit."""
    del router, now
    return 0.2 if asked < 7 and time_left > 0.2 else None


def paced() -> Policy:
    pacers = [ContinuationPacer() for _ in range(ROUTERS)]
    return lambda router, asked, time_left, now: pacers[router].try_schedule(
        asked, time_left, ROUTERS, now
    )


@dataclass(slots=True)
class Streams:
    """What became of the streams.

    Attributes:
        asked_again: Times at which routers asked again.
        asked_by_number: Number of times by stream.
    """

    asked_again: list[float] = field(default_factory=list)
    asked_by_number: dict[int, int] = field(default_factory=dict)

    def max_in_a_second(self) -> int:
        times = sorted(self.asked_again)
        first = most = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


class BreakSimulation(Simulation):
    """A load during which an engine breaks off many streams at once."""

    def __init__(self, engines: int, policy: Policy) -> None:
        super().__init__(engines)
        self.streams = Streams()
        self._policy = policy

    def break_off(self, streams: int, generator: random.Random) -> None:
        """Let the first engine break off streams and leave."""
        self._push(BREAK_AT, "leave", None)
        for number in range(FIRST_CONTINUATION, FIRST_CONTINUATION + streams):
            part = PromptPart(generator.randrange(40), 5000)
            seconds = generator.uniform(1.0, 6.0)
            request = admission(
                number, BREAK_AT, f"w{number % 6}", (part,), identity=number
            )
            request = replace(request, deadline_at=BREAK_AT + seconds)
            self._push(BREAK_AT, "continue", request)

    def come_back(self, at: float) -> None:
        self._push(at, "return", None)

    def _set_engines(self, names: list[str], now: float) -> None:
        entries = {name: entry(name) for name in names}
        decisions = self.pool.set_upstreams(
            entries, SERVICE, PREFILL_TOKENS_PER_SECOND, now
        )
        self._apply(decisions, now)

    def _handle(self, kind: str, value: Any, now: float) -> None:
        match kind:
            case "leave":
                self._set_engines(list(self.engine_by_id)[1:], now)
            case "return":
                self._set_engines(list(self.engine_by_id), now)
            case "continue":
                self._submit(value, now)
            case "again":
                self.streams.asked_again.append(now)
                self._submit(value, now)
            case _:
                super()._handle(kind, value, now)

    def _submit(self, request: Admission, now: float) -> None:
        number = request.identity
        asked = self.streams.asked_by_number.get(number, -1) + 1
        self.streams.asked_by_number[number] = asked
        # Each time that a router asks has its own key.
        key = AdmissionKey(INGRESS_ROUTER, number + asked * 1_000_000)
        request = replace(
            request,
            key=key,
            arrived_at=now,
            latency_target_at=now + 0.4,
        )
        self._admission_by_key[key] = request
        self._apply(self.pool.submit(request, now), now)

    def _apply(self, decisions: list[AdmissionDecision], now: float) -> None:
        super()._apply(decisions, now)
        for decision in decisions:
            request = self._admission_by_key[decision.key]
            if (
                isinstance(decision, Declined)
                and request.identity >= FIRST_CONTINUATION
            ):
                self._ask_again(request, now)

    def _ask_again(self, request: Admission, now: float) -> None:
        asked = self.streams.asked_by_number[request.identity]
        time_left = request.deadline_at - 0.1 - now
        wait = self._policy(request.identity % ROUTERS, asked, time_left, now)
        if wait is not None:
            self._push(now + wait, "again", request)

    def resumed_streams(self) -> int:
        return sum(
            key.number >= FIRST_CONTINUATION for key in self._served_keys
        )

    def first_requests_served(self) -> int:
        return len(self._served_keys) - self.resumed_streams()


def simulate(
    policy: Policy,
    streams: int,
    engines: int,
    rate: float,
    seed: int,
    back_after: float | None = None,
) -> BreakSimulation:
    generator = random.Random(seed)
    simulation = BreakSimulation(engines, policy)
    load: list[Arrival] = []
    for workspace in range(6):
        load += poisson(
            generator, rate / 6, LOAD_SECONDS, f"w{workspace}", 40, 2000
        )
    simulation.break_off(streams, generator)
    if back_after is not None:
        simulation.come_back(BREAK_AT + back_after)
    simulation.run(load)
    return simulation


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("streams", "engines", "rate", "back_after"),
    [
        # The engines that are left are busy with first requests.
        (600, 4, 90.0, None),
        (2000, 4, 90.0, None),
        # No engine is left for 0.8 s.
        (600, 1, 10.0, 0.8),
        (2000, 1, 10.0, 0.8),
    ],
)
def test_many_declined_streams_do_not_load_the_pool(
    streams: int,
    engines: int,
    rate: float,
    back_after: float | None,
    seed: int,
) -> None:
    """Guards against a pool that is asked again by all streams at once."""
    without, fixed, limited = (
        simulate(policy, streams, engines, rate, seed, back_after)
        for policy in (never, at_fixed_intervals, paced())
    )
    most = FLEET_ASKS_PER_SECOND + 2 * ROUTERS
    assert limited.streams.max_in_a_second() <= most
    assert fixed.streams.max_in_a_second() > 2 * most
    assert limited.resumed_streams() > without.resumed_streams()
    # No more first requests are lost than streams go on.
    resumed = limited.resumed_streams() - without.resumed_streams()
    lost = without.first_requests_served() - limited.first_requests_served()
    assert lost <= resumed


def test_stream_is_asked_for_a_limited_number_of_times() -> None:
    pacer = ContinuationPacer()
    now = 0.0
    for asked in range(MAX_ASKS):
        assert pacer.try_schedule(asked, 9.0, 1, now) == WAIT_SECONDS
        now += WAIT_SECONDS
    assert pacer.try_schedule(MAX_ASKS, 9.0, 1, now) is None


@pytest.mark.parametrize("routers", [0, 1, 10])
def test_streams_that_would_wait_long_are_given_up(routers: int) -> None:
    """Guards against callers that wait for a turn that never comes."""
    pacer = ContinuationPacer()
    waits = [pacer.try_schedule(0, 9.0, routers, 5.0) for _ in range(1000)]
    given = [wait for wait in waits if wait is not None]
    assert given == sorted(given)
    assert max(given) <= MAX_WAIT_SECONDS
    interval = max(1, routers) / FLEET_ASKS_PER_SECOND
    assert len(given) == pytest.approx(
        (MAX_WAIT_SECONDS - WAIT_SECONDS) / interval, abs=1.5
    )
    # The queue drains with time.
    assert pacer.try_schedule(0, 9.0, routers, 15.0) == WAIT_SECONDS


def test_stream_that_would_miss_its_deadline_takes_no_turn() -> None:
    pacer = ContinuationPacer()
    for _ in range(1000):
        assert pacer.try_schedule(0, WAIT_SECONDS / 2, 10, 5.0) is None
    assert pacer.try_schedule(0, 9.0, 10, 5.0) == WAIT_SECONDS
