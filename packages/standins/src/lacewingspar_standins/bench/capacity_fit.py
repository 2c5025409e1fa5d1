"""Least-squares fits of measured figures."""

import statistics
from collections.abc import Mapping, Sequence

import msgspec


class Point(msgspec.Struct, frozen=True):
    """Figures at one size.

    Attributes:
        size: Value of the varied factor, such as the number of routers.
        figures: Measured figures by name with unit.
    """

    size: int
    figures: dict[str, float]


class Line(msgspec.Struct, frozen=True):
    """A straight line through the points of one figure.

    Attributes:
        base: Value at size 0.
        slope: Increase per unit of size.
        largest_error: Largest distance of a point from the line, as a
            fraction of the largest value.
    """

    base: float
    slope: float
    largest_error: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def median_figures(runs: Sequence[Mapping[str, float]]) -> dict[str, float]:
    """Return the median of each figure over repeated runs."""
    return {
        name: statistics.median(run[name] for run in runs) for name in runs[0]
    }


def fit_lines(points: Sequence[Point]) -> dict[str, Line]:
    """Return the least-squares line of each figure."""
    sizes = [float(point.size) for point in points]
    return {
        name: _fit(sizes, [point.figures[name] for point in points])
        for name in points[0].figures
    }


def _fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    slope, base = statistics.linear_regression(sizes, values)
    largest = max(abs(value) for value in values) or 1.0
    error = max(
        abs(base + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    )
    return Line(base, slope, error / largest)
