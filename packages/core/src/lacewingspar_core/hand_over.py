"""Which requests an entry VM hands over to its neighbours, and to which.

Load that this answers: the platform's balancer sends the connections of a large
workspace to one entry VM or to few, so that one processor sets the share of the
workspace while those of the other VMs idle. To pass the bytes of a request and
its answer on takes a fraction of what it takes to forward the request.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_core.ownership import capable_routers

# Delay of the event loop above which more requests are handed over. It is well
# below the delay at which requests are refused, so that none is refused while
# neighbours have room.
LATE_SECONDS = 0.02
# Delay below which fewer are handed over.
IN_TIME_SECONDS = 0.01
# Change of the part that is handed over, for each of some ten samples a second.
# All are handed over after half a second, and none after ten.
INCREASE = 0.2
DECREASE = 0.01
# A router that hands over this part of its requests takes none of others.
BUSY_SHARE = 0.1
# A neighbour that has failed or refused is left out for this long.
SKIP_SECONDS = 1.0


class HandOverShare:
    """Part of the new requests that is handed over.

    Attributes:
        share: The part, from 0 to 1.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._owed = 0.0

    def note_delay(self, seconds: float) -> None:
        """Take over how late the event loop was.

        Args:
            seconds: Delay of a timer, measured some ten times a second.
        """
        if seconds > LATE_SECONDS:
            self.share = min(1.0, round(self.share + INCREASE, 2))
        elif seconds < IN_TIME_SECONDS:
            self.share = max(0.0, round(self.share - DECREASE, 2))

    @property
    def is_busy(self) -> bool:
        """Return whether this router needs help itself."""
        return self.share >= BUSY_SHARE

    def take_next(self) -> bool:
        """Return whether the next request is to be handed over."""
        self._owed += self.share
        if self._owed < 1.0:
            return False
        self._owed -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A router that requests may be handed over to.

    Attributes:
        router_id: Its name.
        address: Its `host:port` for callers.
    """

    router_id: str
    address: str


def helpful_neighbours(
    own_id: str, data_centre: str, records: Mapping[str, MemberRecord]
) -> list[Neighbour]:
    """Return the routers of a data centre that may take requests over.

    Those that own pools decide for the whole fleet, so they help only where
    there are no others.

    Args:
        own_id: Router that hands over.
        data_centre: Its data centre.
        records: Routers that are alive, by id.
    """
    owners = set(
        capable_routers(
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
    return [
        Neighbour(router_id, record.caller_address)
        for router_id, record in others or candidates
    ]


class NeighbourLoads:
    """Requests under way at each neighbour, and neighbours that have failed.

    Args:
        most: Requests at all neighbours beyond which none is handed over.
    """

    def __init__(self, most: float = math.inf) -> None:
        self._most = most
        self._under_way_by_id: Counter[str] = Counter()
        self._skipped_until_by_id: dict[str, float] = {}

    def choose(
        self, neighbours: Iterable[Neighbour], now: float
    ) -> Neighbour | None:
        """Return the neighbour with the fewest requests, or None."""
        if self.under_way >= self._most:
            return None
        return min(
            (
                item
                for item in neighbours
                if now >= self._skipped_until_by_id.get(item.router_id, 0.0)
            ),
            key=lambda item: self._under_way_by_id[item.router_id],
            default=None,
        )

    def begin(self, router_id: str) -> None:
        """Count a request that is handed over."""
        self._under_way_by_id[router_id] += 1

    def end(self, router_id: str) -> None:
        """Take over that a request has ended."""
        self._under_way_by_id[router_id] -= 1
        if not self._under_way_by_id[router_id]:
            del self._under_way_by_id[router_id]

    def skip(self, router_id: str, now: float) -> None:
        """Leave a neighbour out for a while."""
        self._skipped_until_by_id[router_id] = now + SKIP_SECONDS

    @property
    def under_way(self) -> int:
        """Return the number of requests at all neighbours."""
        return self._under_way_by_id.total()
