"""Rate limits for upstreams that have started recently and are still cold.

A cold upstream crashes if it receives far more requests per second than it can
handle. The bound applies to the sum over all routers, which cannot agree on
each request, so pool owners pace their grants and ingress routers their sends.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lacewingspar_core.admission_messages import UpstreamsCold
from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.routing import UpstreamService

# Owners of equal rank that may grant the same upstream at once: while routers
# disagree about the owner of a pool, and on both sides of a partition.
CONCURRENT_OWNERS = 2
# Share of the permitted rate for the owner of a pool, for the router that is
# asked if the owner does not respond, and for the others, which are asked if
# that one does not respond either. Together they have the whole rate, as under
# load several may be asked within one second.
OWNER_SHARE_BY_RANK = (1 / CONCURRENT_OWNERS, 1 / 3, 1 / 6)
LAST_OWNER_RANK = len(OWNER_SHARE_BY_RANK) - 1
# Grants of a second may be sent within this much less time, since each takes
# up to this long to reach its ingress router and a connection.
GRANT_DELAY_SECONDS = 0.1
# Grants that an owner may give at once. Owners look at their queues at least
# ten times a second; with a burst of one, a rate above five per second would
# lose every second opportunity.
OWNER_BURST = 2
# Requests per second of a cold upstream below which an owner grants no bursts.
MIN_RATE_FOR_BURST = 4.0
# Requests that an ingress router may send at once: a burst of the owner and one
# request that was delayed.
SEND_BURST = 3
# Lower bound of an owner's rate as a fraction of its share of the upstream's
# rate, if the allowance is too small for several owners.
MIN_OWNER_RATE_FRACTION = 0.25
# Age up to which a permission to send remains valid. An older one has left the
# window in which it was counted.
SEND_PERMIT_SECONDS = GRANT_DELAY_SECONDS
# The list of upstreams may be out of date by this time, according to its
# interface. A router that has just started may therefore have missed a restart.
LIST_LAG_SECONDS = 2.0
# Time for which routers that were seen count as part of the fleet. It covers a
# partition; routers that have left for good stop counting afterwards.
FLEET_MEMORY_SECONDS = 120.0
# Time after its start in which a router gets to know the others. Heartbeats are
# sent once a second, and pass on full tables of a fleet after two to three.
JOIN_SECONDS = 5.0
# Tolerance for the rounding of times, in seconds.
_ROUNDING_SECONDS = 1e-9


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit on the requests that one router lets through to a cold upstream.

    Attributes:
        start_seconds: Time for which an upstream is cold after its start.
        requests_per_second: Sustained rate of one owner.
        burst: Requests that an owner may grant at once.
    """

    start_seconds: float
    requests_per_second: float
    burst: int

    @property
    def for_sending(self) -> "ColdLimit":
        """Return the limit of an ingress router on its own sends."""
        return replace(self, burst=SEND_BURST)

    def scaled(self, fleet_share: float) -> "ColdLimit":
        """Return the limit of an owner that sees a part of the fleet.

        Owners that see less than half of it may be more than two, so their
        rates add up to at most those of two owners.
        """
        share = CONCURRENT_OWNERS * fleet_share
        if share >= 1.0:
            return self
        return replace(
            self, requests_per_second=self.requests_per_second * share, burst=1
        )


def cold_limit(
    service: UpstreamService,
    rate_factor: float | None,
    allowance: float | None,
    owner_rank: int = 0,
) -> ColdLimit | None:
    """Return the limit for the cold upstreams of a service, if there is one.

    The permitted rate of an upstream is `rate_factor` times its configured rate
    plus `allowance`. Within any second, an owner grants requests that stay
    below its share of it even if the grants of the longest delay are sent
    together with those of the shortest.

    Args:
        service: The service.
        rate_factor: Factor of the permitted rate, or None for no limit.
        allowance: Requests per second in addition, or None for no limit.
        owner_rank: Number of routers that should own the pool before this one,
            up to `LAST_OWNER_RANK`.
    """
    rate = service.cold_requests_per_second
    if rate_factor is None or allowance is None:
        return None
    if rate <= 0 or service.cold_start_seconds <= 0:
        return None
    is_last = owner_rank >= LAST_OWNER_RANK
    burst = 1 if is_last or rate < MIN_RATE_FOR_BURST else OWNER_BURST
    share = OWNER_SHARE_BY_RANK[owner_rank]
    per_owner = (rate_factor * rate + allowance) * share
    safe_rate = (per_owner - burst) / (1 + GRANT_DELAY_SECONDS)
    return ColdLimit(
        start_seconds=service.cold_start_seconds,
        requests_per_second=max(
            MIN_OWNER_RATE_FRACTION * share * rate,
            min(rate - burst + 1, safe_rate),
        ),
        burst=burst,
    )


@dataclass(slots=True)
class ColdPace:
    """Spaces the requests to one upstream evenly (a token bucket).

    Requests are recorded while the upstream is warm as well, so that no burst
    follows when it becomes cold.
    """

    # Time at which the bucket is full again.
    _full_at: float = 0.0

    def wait_seconds(self, limit: ColdLimit, now: float) -> float:
        """Return the time until another request is permitted."""
        tolerance = (limit.burst - 1) / limit.requests_per_second
        wait = self._full_at - tolerance - now
        return wait if wait > _ROUNDING_SECONDS else 0.0

    def record(self, limit: ColdLimit, now: float) -> None:
        """Record a request, whether or not the limit applied to it."""
        interval = 1 / limit.requests_per_second
        full_at = max(now, self._full_at) + interval
        self._full_at = min(full_at, now + limit.burst * interval)


@dataclass(slots=True)
class ColdState:
    """What one router knows about the temperature of an upstream.

    Attributes:
        cold_until: Time until which the upstream is cold.
        lost_at: Time at which it crashed or could not be reached, or None if
            it has responded since. It may restart without an entry.
    """

    cold_until: float = 0.0
    lost_at: float | None = None
    _order: tuple[int, int] | None = None

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold, or may be."""
        return self.lost_at is not None or now < self.cold_until

    def observe(self, entry: UpstreamEntry, now: float) -> None:
        """Apply an entry of the upstream, which may be known already.

        The cold period starts when the entry is received, as the time at which
        it was written is not known.
        """
        if entry.order == self._order:
            return
        self._order = entry.order
        if entry.warm_up_seconds > 0:
            self._extend(now + entry.warm_up_seconds)

    def suspect(self, seconds: float, now: float) -> None:
        """Record that the upstream may be cold for some time."""
        self._extend(now + seconds)

    def record_lost(self, now: float) -> None:
        """Record that the upstream crashed or could not be reached."""
        self.lost_at = now

    def record_response(
        self, limit: ColdLimit, begun_at: float, now: float
    ) -> None:
        """Record a response to a request that was granted at `begun_at`.

        Requests that were granted before the loss prove nothing.
        """
        if self.lost_at is not None and begun_at > self.lost_at:
            self.lost_at = None
            self._extend(now + limit.start_seconds)

    def _extend(self, cold_until: float) -> None:
        self.cold_until = max(self.cold_until, cold_until)


class ColdUpstreams:
    """Cold upstreams as known to one router."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, ColdState] = {}
        self._first_seen_at: float | None = None
        # Lost upstreams that the other routers know of.
        self._told_lost: set[str] = set()

    def pop_news(self, now: float) -> UpstreamsCold | None:
        """Return what other routers should be told since the last call."""
        lost = {
            upstream_id
            for upstream_id, state in self._state_by_id.items()
            if state.lost_at is not None
        }
        cold_ms_by_id = {
            upstream_id: round(
                1000 * max(0.0, self._state_by_id[upstream_id].cold_until - now)
            )
            for upstream_id in self._told_lost - lost
            if upstream_id in self._state_by_id
        }
        newly_lost = tuple(sorted(lost - self._told_lost))
        self._told_lost = lost
        if not newly_lost and not cold_ms_by_id:
            return None
        return UpstreamsCold(newly_lost, cold_ms_by_id)

    def apply_news(self, news: UpstreamsCold, now: float) -> None:
        """Apply what another router has found out about listed upstreams."""
        for upstream_id in news.lost:
            state = self._state_by_id.get(upstream_id)
            if state is not None and state.lost_at is None:
                state.record_lost(now)
                self._told_lost.add(upstream_id)
        for upstream_id, cold_ms in news.cold_ms_by_id.items():
            state = self._state_by_id.get(upstream_id)
            if state is not None:
                state.lost_at = None
                state.suspect(cold_ms / 1000, now)
                self._told_lost.discard(upstream_id)

    def state(self, upstream_id: str) -> ColdState:
        """Return the state of an upstream, which is kept up to date."""
        return self._state_by_id.setdefault(upstream_id, ColdState())

    def observe(
        self, entry_by_id: Mapping[str, UpstreamEntry], now: float
    ) -> None:
        """Apply all known entries; call it at least ten times a second.

        Upstreams in the first listing of a router count as cold for as long as
        a later entry may be under way.
        """
        if not entry_by_id and self._first_seen_at is None:
            return
        is_first = self._first_seen_at is None
        if self._first_seen_at is None:
            self._first_seen_at = now
        for upstream_id, entry in entry_by_id.items():
            state = self.state(upstream_id)
            if is_first:
                state.suspect(LIST_LAG_SECONDS, now)
            state.observe(entry, now)
        for upstream_id in self._state_by_id.keys() - entry_by_id.keys():
            del self._state_by_id[upstream_id]


@dataclass(slots=True)
class FleetView:
    """Share of the fleet that one router sees."""

    _counts: deque[tuple[float, int]] = field(default_factory=deque)
    _expected: int = 0
    _joined_at: float | None = None

    def expect(self, routers: int, now: float) -> None:
        """Record how many routers may be running, used while joining only.

        A router that has just started may see only itself, as may the other
        ones of a data centre that has come back.
        """
        if self._joined_at is None:
            self._joined_at = now + JOIN_SECONDS
        self._expected = max(self._expected, routers)

    def record(self, routers: int, now: float) -> None:
        """Record the number of routers that are alive, including this one."""
        since = now
        while self._counts and self._counts[-1][1] < routers:
            since, _ = self._counts.pop()
        if not self._counts or self._counts[-1][1] > routers:
            self._counts.append((since, routers))

    def share(self, now: float) -> float:
        """Return the share of the routers seen recently that are alive.

        Each count is valid until the next lower one was recorded.
        """
        while (
            len(self._counts) > 1
            and self._counts[1][0] < now - FLEET_MEMORY_SECONDS
        ):
            self._counts.popleft()
        if not self._counts:
            return 1.0
        fleet = max(1, self._counts[0][1])
        if self._joined_at is not None and now < self._joined_at:
            fleet = max(fleet, self._expected)
        return self._counts[-1][1] / fleet
