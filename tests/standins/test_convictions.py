"""Tests of the simulation of false convictions."""

import pytest

from lacewingspar_standins.bench import convictions


@pytest.mark.parametrize("engines", convictions.ENGINE_COUNTS)
def test_popular_request_survives_the_crashes_of_a_heavy_day(
    engines: int,
) -> None:
    """Guards against convicting a request in fleets where many engines end."""
    days = [
        convictions.run_trial(engines, 32.0, 0.3, seed) for seed in range(5)
    ]
    assert not any(day.is_convicted for day in days)
    assert sum(day.refused for day in days) < 0.02 * sum(
        day.sent for day in days
    )
