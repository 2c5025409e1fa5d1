"""Tests of the detection of silent upstreams."""

import pytest

from lacewingspar_router.components.forwarding.silence import (
    SilenceState,
    SilenceTracker,
)

State = SilenceState


@pytest.mark.parametrize(
    "checks",
    [
        # Each check: last progress, present time, state.
        [(0.0, 0.9, State.FLOWING), (0.8, 1.7, State.FLOWING)],
        [(0.0, 1.0, State.SEARCH_DUE), (0.0, 1.1, State.SEARCH_DUE)],
        [
            (0.0, 1.0, State.SEARCH_DUE),
            (1.05, 1.1, State.WENT_ON),
            (1.05, 1.2, State.FLOWING),
            (1.05, 2.1, State.SEARCH_DUE),
        ],
        # It went on and fell silent again between two checks.
        [
            (0.0, 1.0, State.SEARCH_DUE),
            (1.05, 2.5, State.WENT_ON),
            (1.05, 2.6, State.SEARCH_DUE),
        ],
    ],
)
def test_states_of_an_upstream(
    checks: list[tuple[float, float, SilenceState]],
) -> None:
    """Guards against a silence that is missed or has no end."""
    tracker = SilenceTracker(limit_seconds=1.0)
    for last_progress_at, now, state in checks:
        assert tracker.update(last_progress_at, now) is state
        assert tracker.check_after_seconds > 0


def test_next_search_waits_for_a_further_silence() -> None:
    """Guards against an admission request at each check."""
    tracker = SilenceTracker(limit_seconds=1.0)
    assert tracker.update(0.0, 1.0) is State.SEARCH_DUE
    tracker.postpone_search(1.2)
    states = [tracker.update(0.0, 1.2 + 0.1 * step) for step in range(10)]
    assert set(states) == {State.SILENT}
    assert tracker.update(0.0, 2.3) is State.SEARCH_DUE
    tracker.postpone_search(2.3)
    # A new silence starts a search at once.
    assert tracker.update(2.4, 2.5) is State.WENT_ON
    assert tracker.silent_seconds == pytest.approx(2.4)
    assert tracker.update(2.4, 3.4) is State.SEARCH_DUE
