"""Reports of benchmarks, as a table and as JSON."""

import statistics
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec
import typer

Figures = Mapping[str, float]


class Report(msgspec.Struct, frozen=True):
    """Result of a benchmark.

    Attributes:
        name: Name of the benchmark.
        options: Options of the benchmark.
        medians: Median of each figure over the rounds.
        rounds: Figures of each round.
    """

    name: str
    options: dict[str, float]
    medians: dict[str, float]
    rounds: list[dict[str, float]]


def new_report(
    name: str, options: Figures, rounds: Sequence[Figures]
) -> Report:
    """Create a report with the median of each figure over the rounds."""
    names = list(dict.fromkeys(key for figures in rounds for key in figures))
    return Report(
        name=name,
        options=dict(options),
        medians={
            key: statistics.median(
                figures[key] for figures in rounds if key in figures
            )
            for key in names
        },
        rounds=[dict(figures) for figures in rounds],
    )


def print_report(report: Report, output: Path | None) -> None:
    """Print the figures as a table and write the report as JSON.

    Args:
        report: The report.
        output: File for the JSON, or None to print it.
    """
    typer.echo(f"{'figure':<40} {'median':>11} {'lowest':>11} {'highest':>11}")
    for name, median in report.medians.items():
        values = [figures[name] for figures in report.rounds if name in figures]
        typer.echo(
            f"{name:<40} {median:>11.3f} {min(values):>11.3f}"
            f" {max(values):>11.3f}"
        )
    data = msgspec.json.encode(report)
    if output is None:
        typer.echo(data.decode())
    else:
        output.write_bytes(data + b"\n")


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the value nearest to a percentile, without interpolation.

    Args:
        values: The values in any order; not empty.
        percent: The percentile, from 0 to 100.
    """
    ordered = sorted(values)
    rank = round(percent / 100 * (len(ordered) - 1))
    return ordered[rank]
