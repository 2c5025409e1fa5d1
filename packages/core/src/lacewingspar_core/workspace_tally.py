"""Sums by workspace between two reports."""

from collections import Counter

# Workspaces that a report names; the others are in its total.
NAMED_WORKSPACES = 3


class WorkspaceTally:
    """Sums by workspace since the last report."""

    def __init__(self) -> None:
        self._sum_by_workspace: Counter[str] = Counter()

    def add(self, workspace: str, amount: int = 1) -> None:
        """Add to the sum of a workspace."""
        self._sum_by_workspace[workspace] += amount

    @property
    def total(self) -> int:
        """Return the sum over all workspaces."""
        return self._sum_by_workspace.total()

    def take_largest(self) -> dict[str, int]:
        """Return the largest sums by workspace, and begin anew."""
        largest = dict(self._sum_by_workspace.most_common(NAMED_WORKSPACES))
        self._sum_by_workspace.clear()
        return largest
