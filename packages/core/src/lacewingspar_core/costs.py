"""Mean measured cost of requests by workspace."""

# Expected cost before any cost has been measured.
INITIAL_COST_SECONDS = 1.0
# Weight of a new measurement in a mean.
COST_SMOOTHING = 0.1


class CostTable:
    """Exponentially weighted means of slot time, in seconds."""

    def __init__(self) -> None:
        self._overall_seconds = INITIAL_COST_SECONDS
        self._mean_by_workspace: dict[str, float] = {}

    def note(self, workspace: str, used_seconds: float) -> None:
        """Record the slot time that one request has used, in seconds."""
        self._overall_seconds += COST_SMOOTHING * (
            used_seconds - self._overall_seconds
        )
        mean = self._mean_by_workspace.get(workspace, used_seconds)
        mean += COST_SMOOTHING * (used_seconds - mean)
        self._mean_by_workspace[workspace] = mean

    @property
    def overall_seconds(self) -> float:
        """Return the mean cost over all workspaces."""
        return self._overall_seconds

    def mean_seconds(self, workspace: str) -> float:
        """Return the mean cost of a workspace, or the overall mean."""
        return self._mean_by_workspace.get(workspace, self._overall_seconds)
