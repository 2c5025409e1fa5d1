"""Division of the upstreams of a service into pools."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.ownership import (
    UPSTREAMS_PER_SHARD,
    shard_count,
    upstream_shard,
    weighted_shard,
)

# Name of the data centre of a pool that spans all data centres.
ALL_DATA_CENTRES = ""


@dataclass(frozen=True, slots=True)
class Pool:
    """A shard of the upstreams of one service.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the upstreams, or `ALL_DATA_CENTRES`.
        shard: Number of the shard, from 0.
    """

    service: str
    data_centre: str
    shard: int

    @property
    def name(self) -> str:
        """Return the name of the pool, which seeds hashes."""
        return f"{self.service}/{self.data_centre}/{self.shard}"


class PoolLayout:
    """The pools of one service.

    A service with few upstreams has one pool, in which each request can use
    any of them. Larger services have pools in each data centre, so that
    requests and their control messages stay near the caller.

    Attributes:
        upstream_count_by_data_centre: Number of upstreams by data centre; the
            only key is `ALL_DATA_CENTRES` if there is one pool.

    Args:
        service: Name of the service.
        entry_by_id: Upstreams of the service that accept requests.
    """

    def __init__(
        self, service: str, entry_by_id: Mapping[str, UpstreamEntry]
    ) -> None:
        self._service = service
        is_divided = len(entry_by_id) > UPSTREAMS_PER_SHARD
        data_centre_by_id = {
            upstream_id: entry.data_centre if is_divided else ALL_DATA_CENTRES
            for upstream_id, entry in entry_by_id.items()
        }
        self.upstream_count_by_data_centre: Mapping[str, int] = dict(
            sorted(Counter(data_centre_by_id.values()).items())
        ) or {ALL_DATA_CENTRES: 0}
        self._shard_sizes_by_data_centre = {
            data_centre: [0] * self.shard_count(data_centre)
            for data_centre in self.upstream_count_by_data_centre
        }
        for upstream_id, data_centre in data_centre_by_id.items():
            sizes = self._shard_sizes_by_data_centre[data_centre]
            sizes[upstream_shard(upstream_id, len(sizes))] += 1

    def shard_count(self, data_centre: str) -> int:
        """Return the number of pools in a data centre."""
        return shard_count(
            self.upstream_count_by_data_centre.get(data_centre, 0)
        )

    def pool_for(self, data_centre: str, key: str) -> Pool:
        """Return the pool of a data centre for a request.

        Each pool gets requests in proportion to its number of upstreams.

        Args:
            data_centre: One of the keys of `upstream_count_by_data_centre`.
            key: Requests with the same key go to the same pool.
        """
        sizes = self._shard_sizes_by_data_centre[data_centre]
        shard = 0 if len(sizes) == 1 else weighted_shard(key, sizes)
        return Pool(self._service, data_centre, shard)


def pool_members(
    pool: Pool, entry_by_id: Mapping[str, UpstreamEntry]
) -> dict[str, UpstreamEntry]:
    """Return the upstreams of a pool by id.

    The result does not depend on whether this router would divide the service,
    because the router that asks may know other upstreams.

    Args:
        pool: The pool.
        entry_by_id: Upstreams of the service that accept requests.
    """
    if pool.data_centre == ALL_DATA_CENTRES:
        return dict(entry_by_id)
    local = {
        upstream_id: entry
        for upstream_id, entry in entry_by_id.items()
        if entry.data_centre == pool.data_centre
    }
    shards = shard_count(len(local))
    return {
        upstream_id: entry
        for upstream_id, entry in local.items()
        if shards == 1 or upstream_shard(upstream_id, shards) == pool.shard
    }
