"""Sums by workspace between two reports."""

from lacewingspar_core.workspace_tally import (
    MAX_REPORTED_WORKSPACES,
    WorkspaceTally,
)


def test_report_names_the_largest_and_begins_anew() -> None:
    tally = WorkspaceTally()
    for number in range(MAX_REPORTED_WORKSPACES + 2):
        tally.add(f"w{number}", number + 1)
    assert tally.total == 15
    assert tally.take_largest() == {"w4": 5, "w3": 4, "w2": 3}
    assert tally.total == 0
    assert tally.take_largest() == {}
