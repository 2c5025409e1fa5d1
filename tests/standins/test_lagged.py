"""Tests of values with delayed changes."""

from typing import Any

import pytest

from lacewingspar_standins.lagged import Lagged


@pytest.mark.parametrize(
    ("seconds", "expected"), [(0, "a"), (1.9, "a"), (2, "b"), (2.5, "c")]
)
def test_change_becomes_visible_after_the_lag(
    clock: Any, seconds: float, expected: str
) -> None:
    lagged = Lagged("a", 2.0, clock)
    lagged.set("b")
    clock.return_value += 0.5
    lagged.set("c")
    clock.return_value += seconds - 0.5
    assert lagged.get() == expected
