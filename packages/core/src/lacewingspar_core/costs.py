"""Mean measured request cost of each workspace."""

# Expected cost before any cost has been measured.
INITIAL_COST_SECONDS = 1.0
# Weight of a new measurement in the moving means.
COST_SMOOTHING_FACTOR = 0.1


class CostTable:
    """Exponential moving averages of the slot time of requests, in seconds."""

    def __init__(self) -> None:
        self._overall_seconds = INITIAL_COST_SECONDS
        self._mean_by_workspace: dict[str, float] = {}

    def record(self, workspace: str, used_seconds: float) -> None:
        """Update the means with the slot time of a completed request."""
        self._overall_seconds += COST_SMOOTHING_FACTOR * (
            used_seconds - self._overall_seconds
        )
        mean = self._mean_by_workspace.get(workspace, used_seconds)
        mean += COST_SMOOTHING_FACTOR * (used_seconds - mean)
        self._mean_by_workspace[workspace] = mean

    @property
    def overall_seconds(self) -> float:
        """Return the mean cost of a request over all workspaces."""
        return self._overall_seconds

    def mean_seconds(self, workspace: str) -> float:
        """Return the mean cost of a workspace's requests.

        Returns:
            The overall mean if no request of the workspace was measured.
        """
        return self._mean_by_workspace.get(workspace, self._overall_seconds)
