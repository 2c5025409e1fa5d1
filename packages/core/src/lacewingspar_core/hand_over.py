"""Hand-over of requests from an overloaded entry VM to its neighbours.

The platform's load balancer may send all connections of a large workspace to
one entry VM or a few, whose CPUs then limit the workspace while other VMs idle.
Relaying the bytes of a request and its response takes a fraction of the CPU
time of forwarding the request to an upstream.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_core.ownership import eligible_owners

# Event loop delay above which the share grows. It is well below the delay at
# which requests are refused, so none is refused while neighbours have room.
HIGH_DELAY_SECONDS = 0.02
# Event loop delay below which the share falls.
LOW_DELAY_SECONDS = 0.01
# Change of the share per sample, with about ten samples per second. It grows
# from none to all in half a second and falls back in ten.
SHARE_INCREASE = 0.2
SHARE_DECREASE = 0.01
# A router that hands over at least this share accepts no requests from others.
# It is more than one increase: a single late sample, for example when upstreams
# crash, occurs at all routers at once.
BUSY_SHARE = 0.3
# A neighbour that failed or refused a request is excluded for this long.
EXCLUSION_SECONDS = 1.0


class HandOverController:
    """Decides which new requests are handed over.

    Attributes:
        share: Share of the new requests that is handed over, from 0 to 1.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._credit = 0.0

    def record_loop_delay(self, seconds: float) -> None:
        """Adapt the share to the measured delay of the event loop.

        Args:
            seconds: Delay of a timer, measured about ten times a second.
        """
        if seconds > HIGH_DELAY_SECONDS:
            self.share = min(1.0, round(self.share + SHARE_INCREASE, 2))
        elif seconds < LOW_DELAY_SECONDS:
            self.share = max(0.0, round(self.share - SHARE_DECREASE, 2))

    @property
    def is_busy(self) -> bool:
        """Return whether this router is too busy to accept hand-overs."""
        return self.share >= BUSY_SHARE

    def should_hand_over_next(self) -> bool:
        """Return whether to hand over the next request, and count it."""
        self._credit += self.share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A router that requests may be handed over to.

    Attributes:
        instance: The router and its start.
    """

    instance: RouterInstance

    @property
    def router_id(self) -> str:
        """Return the ID of the router."""
        return self.instance.router_id


def eligible_neighbours(
    own_id: str, data_centre: str, records: Mapping[str, MemberRecord]
) -> list[Neighbour]:
    """Return the routers of a data centre that may accept hand-overs.

    Routers that may own pools decide for the whole fleet, so they are returned
    only if there are no others.

    Args:
        own_id: ID of the router that hands over.
        data_centre: Data centre of this router.
        records: Live routers by ID.
    """
    owners = set(
        eligible_owners(
            {router_id: item.capacity for router_id, item in records.items()}
        )
    )
    candidates = [
        (router_id, record)
        for router_id, record in sorted(records.items())
        if router_id != own_id
        and record.data_centre == data_centre
        and record.state is RouterState.SERVING
        and record.caller_address
    ]
    others = [item for item in candidates if item[0] not in owners]
    return [Neighbour(record.life) for _, record in others or candidates]


class NeighbourLoads:
    """Tracks in-flight hand-overs and excluded neighbours.

    Args:
        max_in_flight: Maximum number of in-flight hand-overs to all neighbours.
    """

    def __init__(self, max_in_flight: float = math.inf) -> None:
        self._max_in_flight = max_in_flight
        self._in_flight_by_id: Counter[str] = Counter()
        self._excluded_until_by_id: dict[str, float] = {}

    def choose(
        self, neighbours: Iterable[Neighbour], now: float
    ) -> Neighbour | None:
        """Return the least loaded neighbour, or None if there is none."""
        if self.in_flight >= self._max_in_flight:
            return None
        return min(
            (
                item
                for item in neighbours
                if now >= self._excluded_until_by_id.get(item.router_id, 0.0)
            ),
            key=lambda item: self._in_flight_by_id[item.router_id],
            default=None,
        )

    def begin(self, router_id: str) -> None:
        """Count a hand-over to a neighbour."""
        self._in_flight_by_id[router_id] += 1

    def end(self, router_id: str) -> None:
        """Remove a hand-over that has ended."""
        self._in_flight_by_id[router_id] -= 1
        if not self._in_flight_by_id[router_id]:
            del self._in_flight_by_id[router_id]

    def exclude(self, router_id: str, now: float) -> None:
        """Exclude a neighbour from the choice for a while."""
        self._excluded_until_by_id[router_id] = now + EXCLUSION_SECONDS

    @property
    def in_flight(self) -> int:
        """Return the number of in-flight hand-overs to all neighbours."""
        return self._in_flight_by_id.total()
