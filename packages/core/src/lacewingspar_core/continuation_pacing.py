"""Pacing of requests for the continuation of streams that a pool declined."""

# Time after which a pool is asked again. A crashed upstream is known as such
# after a fraction of it, and a blocked one is usually tried again after one or
# two.
WAIT_SECONDS = 0.3
# Number of times that a pool is asked again for one continuation. Callers abort
# streams after a gap of some seconds.
MAX_ASKS = 4
# Longest wait until a pool is asked again. Streams that would have to wait
# longer, as very many wait, are given up at once.
MAX_WAIT_SECONDS = 1.2
# Number of times a second that all routers ask the pools of one service again.
# An owner decides a few thousand requests a second.
FLEET_ASKS_PER_SECOND = 200.0


class ContinuationPacer:
    """Limits how often one router asks again for the streams of a service.

    The limit of the fleet is divided equally among the routers, without any
    coordination.
    """

    def __init__(self) -> None:
        self._busy_until = 0.0

    def try_schedule(
        self, asked: int, time_left: float, routers: int, now: float
    ) -> float | None:
        """Schedule the next time to ask for a continuation.

        Args:
            asked: Number of times that a pool was asked again for it.
            time_left: Seconds within which it has to be asked for.
            routers: Number of routers in the fleet, including this one.
            now: Time in seconds.

        Returns:
            Seconds until then, or None if the stream should be given up.
        """
        if asked >= MAX_ASKS:
            return None
        begin = max(now, self._busy_until)
        wait = begin - now + WAIT_SECONDS
        if wait > min(time_left, MAX_WAIT_SECONDS):
            return None
        self._busy_until = begin + max(1, routers) / FLEET_ASKS_PER_SECOND
        return wait
