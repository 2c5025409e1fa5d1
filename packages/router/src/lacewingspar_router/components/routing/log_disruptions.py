"""For how long upstreams may be listed again after the log was disrupted."""

from collections.abc import Callable

from lacewingspar_core.directory import EXPIRY_GRACE_SECONDS
from lacewingspar_router.components.routing import const


class LogDisruptions:
    """Outages and restorations of the upstream topic, seen by this router.

    Args:
        now: Returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._is_unavailable = False
        self._recovered_at = float("-inf")
        self._restored_at = float("-inf")

    @property
    def expiry_grace_seconds(self) -> float:
        """Return how long missing upstreams may still register again.

        While the log service is unavailable, upstreams cannot renew their
        entries. An upstream whose entry is removed during an outage, or within
        `EXPIRY_READ_SECONDS` after it, may register again until
        `EXPIRY_GRACE_SECONDS` after the outage. Returns 0 for removals that are
        final. After the log was restored to an older state, which lost entries,
        the grace period lasts for its whole length.
        """
        if self._is_unavailable:
            return EXPIRY_GRACE_SECONDS
        now = self._now()
        since_restored = now - self._restored_at
        if since_restored < EXPIRY_GRACE_SECONDS:
            return EXPIRY_GRACE_SECONDS - since_restored
        since_recovered = now - self._recovered_at
        if since_recovered > const.EXPIRY_READ_SECONDS:
            return 0.0
        return EXPIRY_GRACE_SECONDS - since_recovered

    def record_unavailable(self) -> None:
        """Record that the topic could not be read."""
        self._is_unavailable = True

    def record_available(self) -> None:
        """Record that the topic was read."""
        if self._is_unavailable:
            self._is_unavailable = False
            self._recovered_at = self._now()

    def record_restored(self, grace_seconds: float) -> None:
        """Record that the topic was restored.

        Args:
            grace_seconds: Rest of the grace period.
        """
        self._restored_at = self._now() - (EXPIRY_GRACE_SECONDS - grace_seconds)
