"""Assignment of upstream shards to routers by rendezvous hashing."""

import math
from collections.abc import Iterable, Sequence

import xxhash

# One owner carries at most this many upstreams of a service, which keeps its
# grants within its share of the control budget at the target size.
UPSTREAMS_PER_SHARD = 16


def shard_count(upstream_count: int) -> int:
    """Return the number of shards of a service in one data centre."""
    return max(1, math.ceil(upstream_count / UPSTREAMS_PER_SHARD))


def shard_of(upstream_id: str, shards: int) -> int:
    """Return the shard of an upstream, from 0 to `shards` - 1."""
    return max(
        range(shards),
        key=lambda shard: _hash(f"{shard}/{upstream_id}"),
    )


def owner_of(service: str, shard: int, router_ids: Iterable[str]) -> str | None:
    """Return the router that owns a shard, or None without routers."""
    return max(
        router_ids,
        key=lambda router_id: (
            _hash(f"{service}/{shard}/{router_id}"),
            router_id,
        ),
        default=None,
    )


def rank_of(router_id: str, key: str, router_ids: Sequence[str]) -> int:
    """Return the position of a router in the rendezvous order of a key."""
    ordered = sorted(
        router_ids,
        key=lambda other: _hash(f"{key}/{other}"),
    )
    return ordered.index(router_id) if router_id in ordered else len(ordered)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
