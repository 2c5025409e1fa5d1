"""Benchmark `convictions`: how often crashes convict a sound request.

A share of the engines ends twice within a few seconds. They run copies of one
sound request, each alone with its upstream, which is the worst case. Nothing is
known of a run before its end.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import Annotated

import typer

from lacewingspar_core.crash_evidence import Convicted
from lacewingspar_core.prompt_suspects import prompt_of
from lacewingspar_core.quarantine import QuarantineState
from lacewingspar_router.crash_exchange import LONG_RUN_SECONDS

ENGINE_COUNTS = (12, 100, 500)
# Copies of the request a second, and the mean time of a run in seconds.
LOADS = ((0.2, 1.0), (2.0, 1.0), (32.0, 0.3), (32.0, 4.0))
# Times and shares of the crashes on the users' heaviest days.
CRASHES = ((10.5, 0.2), (13.5, 0.25))
RETURN_SECONDS = 3.0
DAY_SECONDS = 25.0
# Time from a crash until it is known and its requests are sent again.
DETECTION_SECONDS = 0.05
NAME = "popular"
PROMPT = prompt_of("alpha", ())


@dataclass(slots=True)
class Trial:
    """One day of a fleet.

    Attributes:
        refused: Requests that were refused.
        sent: Requests that were sent, with repeats.
        is_convicted: Whether one was refused as convicted.
    """

    engines: int
    run_seconds: float
    generator: random.Random
    refused: int = 0
    sent: int = 0
    is_convicted: bool = False
    state: QuarantineState = field(
        default_factory=lambda: QuarantineState("models")
    )
    _down_until: dict[int, float] = field(default_factory=dict)
    _runs: dict[int, tuple[float, int]] = field(default_factory=dict)

    def send(self, number: int, now: float) -> float | None:
        """Send a copy; return the time at which it ends, or None."""
        long_at = {
            engine
            for sent_at, engine in self._runs.values()
            if now - sent_at >= LONG_RUN_SECONDS
        }
        seconds = self.state.refusal_seconds(
            NAME,
            PROMPT,
            now,
            lambda: True,
            upstreams_elsewhere=len(long_at),
        )
        if seconds > 0:
            verdict = self.state.verdict(
                NAME, now, upstreams_elsewhere=len(long_at)
            )
            self.refused += 1
            self.is_convicted |= isinstance(verdict, Convicted)
            return None
        up = [
            engine
            for engine in range(self.engines)
            if self._down_until.get(engine, 0.0) <= now
        ]
        self.sent += 1
        self._runs[number] = (now, self.generator.choice(up))
        return now + self.run_seconds * self.generator.uniform(0.5, 1.5)

    def end(self, number: int, now: float) -> None:
        """End a run well, unless its engine has crashed."""
        if self._runs.pop(number, None) is not None:
            self.state.record_success(NAME, now)

    def crash(self, share: float, now: float) -> int:
        """End some engines; return the number of runs that they broke."""
        ended = self.generator.sample(
            range(self.engines), round(share * self.engines)
        )
        broken = 0
        for engine in ended:
            self._down_until[engine] = now + RETURN_SECONDS
            hit = {
                number: sent_at
                for number, (sent_at, used) in self._runs.items()
                if used == engine
            }
            if hit:
                self.state.record_crash(
                    f"e{engine}-{now}",
                    0,
                    (NAME,),
                    now,
                    sent_at_by_fingerprint={NAME: max(hit.values())},
                )
            for number in hit:
                del self._runs[number]
            broken += len(hit)
        return broken


def run_trial(
    engines: int, per_second: float, run_seconds: float, seed: int
) -> Trial:
    """Play one day."""
    generator = random.Random(seed)
    trial = Trial(engines, run_seconds, generator)
    numbers = itertools.count()
    events: list[tuple[float, int, str, float]] = [
        (at, next(numbers), "crash", share) for at, share in CRASHES
    ]
    now = 0.0
    while (now := now + generator.expovariate(per_second)) < DAY_SECONDS:
        events.append((now, next(numbers), "send", 0.0))
    heapq.heapify(events)
    while events:
        now, number, kind, value = heapq.heappop(events)
        match kind:
            case "crash":
                for _ in range(trial.crash(value, now)):
                    again = (now + DETECTION_SECONDS, next(numbers))
                    heapq.heappush(events, (*again, "send", 0.0))
            case "send":
                end = trial.send(number, now)
                if end is not None:
                    heapq.heappush(events, (end, number, "end", 0.0))
            case "end":
                trial.end(number, now)
    return trial


def main(
    trials: Annotated[int, typer.Option(help="Days of each fleet.")] = 300,
    seed: Annotated[int, typer.Option(help="Seed of the first day.")] = 1,
) -> None:
    """Simulate how often a sound request is convicted of others' crashes."""
    for engines, (rate, seconds) in itertools.product(ENGINE_COUNTS, LOADS):
        days = [
            run_trial(engines, rate, seconds, seed + number)
            for number in range(trials)
        ]
        convicted = sum(day.is_convicted for day in days)
        refused = sum(day.refused for day in days)
        offered = refused + sum(day.sent for day in days)
        typer.echo(
            f"{engines} engines, {rate:g} a second of {seconds:g} s: "
            f"convicted on {convicted} of {trials} days, "
            f"refused {refused} of {offered}"
        )


if __name__ == "__main__":
    typer.run(main)
