"""Tests of the line fit of the capacity benchmark."""

import pytest

from lacewingspar_standins.bench.capacity_fit import (
    Point,
    fit_lines,
    median_figures,
)


@pytest.mark.parametrize(
    ("values", "base", "slope", "error"),
    [((1, 3, 5), 1, 2, 0), ((4, 4, 4), 4, 0, 0), ((0, 3, 0), 1, 0, 2 / 3)],
)
def test_line_through_points(
    values: tuple[float, ...], base: float, slope: float, error: float
) -> None:
    """Guards against extrapolating beyond the measured points."""
    points = [Point(size, {"f": value}) for size, value in enumerate(values)]
    line = fit_lines(points)["f"]
    assert (line.base, line.slope) == pytest.approx((base, slope))
    assert line.largest_error == pytest.approx(error)
    assert line.at(10) == pytest.approx(base + 10 * slope)


def test_median_of_each_figure() -> None:
    """Guards against one disturbed run that changes the reported figure."""
    runs = [{"f": 1.0, "g": 9.0}, {"f": 50.0, "g": 1.0}, {"f": 2.0, "g": 2.0}]
    assert median_figures(runs) == {"f": 2.0, "g": 2.0}
