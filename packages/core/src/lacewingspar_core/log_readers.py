"""Choice of the routers that read the shared log for the fleet."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import xxhash

# Routers of a data centre that pass on what the reader has read. The second one
# covers the loss of the first.
RELAYS_PER_DATA_CENTRE = 2
# Routers whose hash is cached: more than a fleet has, with the replaced ones.
_MAX_CACHED_HASHES = 4096


class ReaderRank(Enum):
    """Part of a router in reading the log.

    Attributes:
        READER: Reads the log for the fleet.
        FIRST_RELAY: Passes on to its data centre what the reader has read, and
            is the first there to read the log when the reader does not.
        SECOND_RELAY: Takes the place of the first relay.
        FOLLOWER: Reads the log only when nobody else does.
    """

    READER = "reader"
    FIRST_RELAY = "first relay"
    SECOND_RELAY = "second relay"
    FOLLOWER = "follower"


_RELAY_RANKS = (ReaderRank.FIRST_RELAY, ReaderRank.SECOND_RELAY)


@dataclass(frozen=True, slots=True)
class ReaderAssignment:
    """The reader of a fleet and the relays of its data centres.

    Routers whose views of the fleet differ may choose different readers. The
    log is then read more often, which is harmless.

    Attributes:
        reader: Id of the router that reads the log, or "" without routers.
        relays_by_data_centre: Ids of the relays in order of rank.
    """

    reader: str
    relays_by_data_centre: Mapping[str, tuple[str, ...]]

    @classmethod
    def of(
        cls, data_centre_by_router_id: Mapping[str, str]
    ) -> "ReaderAssignment":
        """Choose the reader and the relays among the routers of a fleet."""
        ordered = sorted(data_centre_by_router_id, key=_order)
        reader = ordered[0] if ordered else ""
        relays_by_data_centre: dict[str, tuple[str, ...]] = {}
        for router_id in ordered[1:]:
            data_centre = data_centre_by_router_id[router_id]
            relays = relays_by_data_centre.get(data_centre, ())
            if len(relays) < RELAYS_PER_DATA_CENTRE:
                relays_by_data_centre[data_centre] = (*relays, router_id)
        return cls(reader, relays_by_data_centre)

    def rank_of(self, router_id: str, data_centre: str) -> ReaderRank:
        """Return the rank of a router."""
        if router_id == self.reader:
            return ReaderRank.READER
        relays = self.relays_by_data_centre.get(data_centre, ())
        if router_id in relays:
            return _RELAY_RANKS[relays.index(router_id)]
        return ReaderRank.FOLLOWER

    def relays_elsewhere(self, data_centre: str) -> list[str]:
        """Return the ids of the relays of all other data centres."""
        return [
            router_id
            for other, relays in self.relays_by_data_centre.items()
            if other != data_centre
            for router_id in relays
        ]


@functools.lru_cache(_MAX_CACHED_HASHES)
def _order(router_id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"readers/{router_id}".encode()), router_id
