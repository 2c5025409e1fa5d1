"""Detection of upstreams that fall silent during a response."""

import math
from dataclasses import dataclass
from enum import Enum, auto

from lacewingspar_core.routing import Route
from lacewingspar_router.components.forwarding import const


def response_silence_limit(route: Route) -> float:
    """Return the longest usual silence before the first chunk, in seconds."""
    return max(
        const.MIN_RESPONSE_SILENCE_SECONDS,
        const.RESPONSE_SILENCE_TARGET_FACTOR * route.latency_target_seconds,
    )


def event_gap_limit(route: Route) -> float:
    """Return the longest usual gap in a stream, in seconds."""
    return max(
        const.MIN_EVENT_GAP_SECONDS,
        const.EVENT_GAP_FACTOR * route.event_gap_target_seconds,
    )


class SilenceState(Enum):
    """State of an upstream at a check.

    Attributes:
        FLOWING: It has sent something within the limit.
        SEARCH_DUE: It is silent, and a search for a replacement may start.
        SILENT: It is silent.
        WENT_ON: It has sent something after a silence.
    """

    FLOWING = auto()
    SEARCH_DUE = auto()
    SILENT = auto()
    WENT_ON = auto()


@dataclass(slots=True)
class SilenceTracker:
    """Tracks the silences of one upstream during one attempt.

    Times are in seconds on one clock.

    Attributes:
        limit_seconds: Longest usual silence.
        is_silent: Whether the upstream was silent beyond the limit at the last
            check.
        silent_seconds: Length of the present or last silence.
        check_after_seconds: Time until the next check is due.
    """

    limit_seconds: float
    is_silent: bool = False
    silent_seconds: float = 0.0
    check_after_seconds: float = 0.0
    _silent_since: float = 0.0
    _search_at: float = -math.inf

    def update(self, last_progress_at: float, now: float) -> SilenceState:
        """Check the upstream.

        Args:
            last_progress_at: Time at which it last sent a part of the response.
            now: Present time.
        """
        if self.is_silent and last_progress_at > self._silent_since:
            self.is_silent = False
            self.silent_seconds = last_progress_at - self._silent_since
            self._search_at = -math.inf
            self.check_after_seconds = const.SILENCE_CHECK_INTERVAL_SECONDS
            return SilenceState.WENT_ON
        left = last_progress_at + self.limit_seconds - now
        if left > 0:
            self.check_after_seconds = left
            return SilenceState.FLOWING
        self.is_silent = True
        self._silent_since = last_progress_at
        self.silent_seconds = now - last_progress_at
        self.check_after_seconds = const.SILENCE_CHECK_INTERVAL_SECONDS
        if now < self._search_at:
            return SilenceState.SILENT
        return SilenceState.SEARCH_DUE

    def postpone_search(self, now: float) -> None:
        """Put off the next search until the silence has lasted longer."""
        self._search_at = now + self.limit_seconds
