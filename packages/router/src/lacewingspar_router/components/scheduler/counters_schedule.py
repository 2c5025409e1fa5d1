"""Schedule of the counter messages of an owner."""

from dataclasses import dataclass
from typing import Self

from lacewingspar_router.components.scheduler import const


@dataclass(frozen=True, slots=True)
class CountersSchedule:
    """Times of the next counter messages of one service.

    Attributes:
        next_at: Time of the next message with changed counters, in seconds.
        next_full_at: Time of the next message with all counters, in seconds.
    """

    next_at: float
    next_full_at: float = 0.0

    @classmethod
    def after(
        cls,
        now: float,
        previous: Self | None,
        *,
        sent_bytes: int,
        services: int,
        is_full: bool,
    ) -> Self:
        """Return the schedule after a publication.

        The interval grows with the bytes sent, so that the counters of all
        services together stay within COUNTERS_BYTES_PER_SECOND.

        Args:
            now: Time in seconds.
            previous: Schedule before the publication, if any.
            sent_bytes: Bytes sent to all owners.
            services: Number of services that share the budget.
            is_full: Whether all counters were sent.
        """
        budget = const.COUNTERS_BYTES_PER_SECOND / max(1, services)
        interval = max(const.COUNTERS_INTERVAL_SECONDS, sent_bytes / budget)
        next_full_at = previous.next_full_at if previous else 0.0
        if is_full:
            next_full_at = now + max(
                const.FULL_COUNTERS_INTERVAL_SECONDS, 4 * interval
            )
        return cls(now + interval, next_full_at)
