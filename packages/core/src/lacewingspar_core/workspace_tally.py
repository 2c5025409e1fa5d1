"""Totals by workspace between two reports."""

from collections import Counter

# Number of workspaces that a report lists; the others count in its total only.
MAX_REPORTED_WORKSPACES = 3


class WorkspaceTally:
    """Totals by workspace since the last report."""

    def __init__(self) -> None:
        self._sum_by_workspace: Counter[str] = Counter()

    def add(self, workspace: str, amount: int = 1) -> None:
        """Add an amount to the total of a workspace."""
        self._sum_by_workspace[workspace] += amount

    @property
    def total(self) -> int:
        """Return the total over all workspaces."""
        return self._sum_by_workspace.total()

    def pop_largest(self) -> dict[str, int]:
        """Return the largest totals by workspace, and reset all totals."""
        largest = dict(
            self._sum_by_workspace.most_common(MAX_REPORTED_WORKSPACES)
        )
        self._sum_by_workspace.clear()
        return largest
