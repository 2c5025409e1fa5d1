"""Health of upstreams as seen from their answers."""

from dataclasses import dataclass
from enum import StrEnum

from lacewingspar_router.components.upstreams.const import (
    FAILING_SECONDS,
    FAILURES_UNTIL_FAILING,
)


class HealthState(StrEnum):
    """State of an upstream."""

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    FAILING = "failing"


@dataclass(slots=True)
class AnswerHealth:
    """Health of one upstream.

    Attributes:
        state: Current state.
        failures: Consecutive failures.
        failing_since: Time of the last failure in seconds.
    """

    state: HealthState = HealthState.UNKNOWN
    failures: int = 0
    failing_since: float = 0.0

    def note_success(self) -> None:
        """Note a complete answer."""
        self.state = HealthState.HEALTHY
        self.failures = 0

    def note_failure(self, now: float) -> None:
        """Note a failed call.

        Args:
            now: Time in seconds.
        """
        self.failures += 1
        self.failing_since = now
        if self.failures >= FAILURES_UNTIL_FAILING:
            self.state = HealthState.FAILING

    def note_time(self, now: float) -> None:
        """Let a failing upstream get work again after a while."""
        is_over = now - self.failing_since >= FAILING_SECONDS
        if self.state is HealthState.FAILING and is_over:
            self.state = HealthState.UNKNOWN
            # One more failure is enough to mark it as failing again.
            self.failures = FAILURES_UNTIL_FAILING - 1
