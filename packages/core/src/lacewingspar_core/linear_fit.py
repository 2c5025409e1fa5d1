"""Linear regression with exponentially decaying weights."""

from dataclasses import dataclass

# Factor on the weights of older samples at each new one: a mean age of 50.
DEFAULT_RETENTION = 0.98


@dataclass(slots=True)
class LinearFit:
    """Least-squares fit of `y = intercept + slope * x`.

    Attributes:
        slope: Initial slope, then the fitted one.
        intercept: Initial intercept, then the fitted one.
        prior_weight: Number of samples that each point of the initial line
            counts for.
        prior_x: Value of `x` of the second point on the initial line.
    """

    slope: float
    intercept: float
    prior_weight: float = 5.0
    prior_x: float = 1.0
    _weight: float = 0.0
    _sum_x: float = 0.0
    _sum_y: float = 0.0
    _sum_xx: float = 0.0
    _sum_xy: float = 0.0

    def __post_init__(self) -> None:
        # Two points on the initial line serve as prior samples.
        for x in (0.0, self.prior_x):
            self._sum(x, self.intercept + self.slope * x, self.prior_weight)

    def add(self, x: float, y: float) -> None:
        """Add a sample and update the line."""
        for name in ("_weight", "_sum_x", "_sum_y", "_sum_xx", "_sum_xy"):
            setattr(self, name, getattr(self, name) * DEFAULT_RETENTION)
        self._sum(x, y, 1.0)
        mean_x = self._sum_x / self._weight
        mean_y = self._sum_y / self._weight
        variance = self._sum_xx / self._weight - mean_x * mean_x
        if variance <= 0:
            return
        covariance = self._sum_xy / self._weight - mean_x * mean_y
        self.slope = max(0.0, covariance / variance)
        self.intercept = max(0.0, mean_y - self.slope * mean_x)

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x

    def _sum(self, x: float, y: float, weight: float) -> None:
        self._weight += weight
        self._sum_x += weight * x
        self._sum_y += weight * y
        self._sum_xx += weight * x * x
        self._sum_xy += weight * x * y
