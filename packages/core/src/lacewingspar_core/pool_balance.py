"""How even the load of a pool with reported load is, and why."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import itemgetter
from typing import NamedTuple, Protocol

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.upstream_load import UpstreamLoad

_BY_SCORE = itemgetter(0)


@dataclass(frozen=True, slots=True)
class PoolBalance:
    """How even the load of a pool is, and how old its information is.

    Attributes:
        spread: Ratio of the largest to the mean load of an upstream, where the
            load is the share of its slots in use.
        max_slowdown: Largest slowdown of an upstream.
        choices: Choices of an upstream with a report since the last call.
        mean_report_age_seconds: Mean age of its report at those choices.
        last_choice: Reasons of the last of those choices, for the log.
    """

    spread: float
    max_slowdown: float
    choices: int
    mean_report_age_seconds: float
    last_choice: dict[str, str | float]


def load_spread(loads: Iterable[float]) -> float:
    """Return the ratio of the largest to the mean load, 1 without load."""
    values = list(loads)
    total = sum(values)
    return max(values) * len(values) / total if total else 1.0


class ChosenMember(Protocol):
    """An upstream of the pool."""

    entry: UpstreamEntry
    load: UpstreamLoad


class _Choice(NamedTuple):
    """A choice, with the load of the upstream at that time.

    Attributes:
        chosen: The upstream.
        scored: Score and room of each candidate.
        occupancy: Share of its slots in use.
        other_runs: Requests that others run there, estimated.
        slowdown: Duration of work relative to the usual one.
        report_age_seconds: Age of its newest report.
    """

    chosen: ChosenMember
    scored: Sequence[tuple[float, ChosenMember, bool]]
    occupancy: float
    other_runs: float
    slowdown: float
    report_age_seconds: float


class RecentChoices:
    """Choices since the last report to the operators."""

    def __init__(self) -> None:
        self._count = 0
        self._report_age_seconds = 0.0
        self._last: _Choice | None = None

    def record(
        self,
        chosen: ChosenMember,
        scored: Sequence[tuple[float, ChosenMember, bool]],
        now: float,
    ) -> None:
        """Record the choice of an upstream that has reported its load."""
        self._count += 1
        reported = chosen.load.reported
        age_seconds = reported.age(now)
        self._report_age_seconds += age_seconds
        self._last = _Choice(
            chosen,
            scored,
            chosen.load.occupancy,
            reported.other_runs,
            reported.slowdown,
            age_seconds,
        )

    def pop_balance(self, loads: Sequence[UpstreamLoad]) -> PoolBalance | None:
        """Return the balance since the last call, or None without a choice.

        Args:
            loads: Loads of all upstreams of the pool.
        """
        last = self._last
        balance = None
        if last is not None:
            balance = PoolBalance(
                load_spread(load.occupancy for load in loads),
                max((load.reported.slowdown for load in loads), default=1.0),
                self._count,
                self._report_age_seconds / self._count,
                _explanation(last),
            )
        self._count, self._report_age_seconds = 0, 0.0
        self._last = None
        return balance


def _explanation(choice: _Choice) -> dict[str, str | float]:
    """Return why an upstream was chosen, as fields of a log line."""
    chosen = choice.chosen
    others = [item for item in choice.scored if item[1] is not chosen]
    score = next(item[0] for item in choice.scored if item[1] is chosen)
    fields: dict[str, str | float] = {
        "chosen": chosen.entry.upstream_id,
        "score": round(score, 4),
        "occupancy": round(choice.occupancy, 2),
        "other_runs": round(choice.other_runs, 1),
        "slowdown": round(choice.slowdown, 2),
        "report_age_seconds": round(choice.report_age_seconds, 3),
    }
    if others:
        next_score, next_best, has_room = min(others, key=_BY_SCORE)
        fields["next_best"] = next_best.entry.upstream_id
        fields["next_score"] = round(next_score, 4)
        fields["next_has_room"] = has_room
    return fields
