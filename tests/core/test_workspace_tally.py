"""Tests of the totals by workspace."""

from lacewingspar_core.workspace_tally import (
    MAX_REPORTED_WORKSPACES,
    WorkspaceTally,
)


def test_largest_totals_are_returned_and_all_are_reset() -> None:
    tally = WorkspaceTally()
    for number in range(MAX_REPORTED_WORKSPACES + 2):
        tally.add(f"w{number}", number + 1)
    assert tally.total == 15
    assert tally.pop_largest() == {"w4": 5, "w3": 4, "w2": 3}
    assert tally.total == 0
    assert tally.pop_largest() == {}
