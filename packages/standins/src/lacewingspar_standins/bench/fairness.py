"""Fairness gap and utilisation from samples of slot time."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Sample:
    """Cumulative slot time at one moment.

    Attributes:
        at_seconds: Time since the start of the measurement.
        seconds_by_workspace: Slot time by workspace, in slot-seconds.
    """

    at_seconds: float
    seconds_by_workspace: Mapping[str, float]


class FairnessFigures(msgspec.Struct, frozen=True):
    """Fairness and utilisation of one service.

    Attributes:
        largest_gap: Largest difference in weighted service between two
            backlogged workspaces since the start, in slot-seconds.
        gap_p99: 99th percentile of the gap over the samples.
        last_gap: Gap in the last sample.
        fair_share: Mean weighted service of the backlogged workspaces.
        utilisation: Fraction of the available slot time that was used.
        gap_by_second: Gap at each sample, by time.
        served_by_workspace: Service by workspace at the end.
    """

    largest_gap: float
    gap_p99: float
    last_gap: float
    fair_share: float
    utilisation: float
    gap_by_second: dict[str, float]
    served_by_workspace: dict[str, float]


def fairness(
    samples: Sequence[Sample],
    weight_by_workspace: Mapping[str, float],
    slots: int,
) -> FairnessFigures:
    """Compute the figures of a service.

    Args:
        samples: Samples in order of time; the first is the baseline.
        weight_by_workspace: Weights of the workspaces that were backlogged
            throughout.
        slots: Number of slots of the service.
    """
    first, last = samples[0], samples[-1]
    gaps: dict[str, float] = {}
    for sample in samples[1:]:
        served = [
            (sample.seconds_by_workspace.get(name, 0.0))
            - first.seconds_by_workspace.get(name, 0.0)
            for name in weight_by_workspace
        ]
        shares = [
            amount / weight
            for amount, weight in zip(
                served, weight_by_workspace.values(), strict=True
            )
        ]
        gaps[f"{sample.at_seconds:.1f}"] = max(shares) - min(shares)
    ordered = sorted(gaps.values())
    total = sum(last.seconds_by_workspace.values()) - sum(
        first.seconds_by_workspace.values()
    )
    seconds = last.at_seconds - first.at_seconds
    served_by_workspace = {
        name: amount - first.seconds_by_workspace.get(name, 0.0)
        for name, amount in sorted(last.seconds_by_workspace.items())
    }
    backlogged = [
        served_by_workspace.get(name, 0.0) / weight
        for name, weight in weight_by_workspace.items()
    ]
    return FairnessFigures(
        largest_gap=ordered[-1],
        gap_p99=ordered[int(len(ordered) * 0.99)],
        last_gap=list(gaps.values())[-1],
        fair_share=sum(backlogged) / len(backlogged),
        utilisation=total / (slots * seconds),
        gap_by_second=gaps,
        served_by_workspace=served_by_workspace,
    )
