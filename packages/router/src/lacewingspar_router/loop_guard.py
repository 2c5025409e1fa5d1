"""Guard that keeps a loop going after an exception in one of its steps."""

from types import TracebackType

import structlog

from lacewingspar_router.application import Application
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)

# Shortest interval between two log lines of one guard. A step may fail for each
# message of a busy router.
LOG_INTERVAL_SECONDS = 1.0


class LoopGuard:
    """Context that logs and counts an exception instead of raising it.

    Cancellation is raised.

    Attributes:
        has_failed: Whether the last step raised an exception.

    Args:
        app: The application.
        source: Name of the loop, for the log line and the counter.
    """

    def __init__(self, app: Application, source: str) -> None:
        self.has_failed = False
        self._now = app.now
        self._telemetry = app.get(TELEMETRY)
        self._source = source
        self._logged_at = float("-inf")
        self._errors = 0

    def __enter__(self) -> None:
        """Begin a step."""
        self.has_failed = False

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """End a step; return whether it raised an exception."""
        if not isinstance(error, Exception):
            return False
        self.has_failed = True
        self._errors += 1
        self._telemetry.count("loop_errors_total", source=self._source)
        now = self._now()
        if now >= self._logged_at + LOG_INTERVAL_SECONDS:
            self._logged_at = now
            _LOGGER.error(
                "error in a loop",
                source=self._source,
                errors=self._errors,
                exc_info=error,
            )
        return True
