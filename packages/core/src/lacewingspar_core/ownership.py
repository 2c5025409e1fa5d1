"""Assignment of upstream shards to routers by rendezvous hashing."""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

import xxhash

# Keeps the grants of one slot owner within its share of the control-plane
# budget at the target fleet size.
UPSTREAMS_PER_SHARD = 16
# Routers with less than this fraction of the largest router's processor time
# own no shards.
MIN_OWNER_CAPACITY_FRACTION = 0.5

_HASH_VALUES = 2**64

_Option = TypeVar("_Option", int, str)


def shard_count(upstream_count: int) -> int:
    """Return the number of shards of a service in one data centre."""
    return max(1, math.ceil(upstream_count / UPSTREAMS_PER_SHARD))


def upstream_shard(upstream_id: str, shards: int) -> int:
    """Return the shard of an upstream, from 0 to `shards` - 1."""
    return max(
        range(shards),
        key=lambda shard: _hash(f"{shard}/{upstream_id}"),
    )


def shard_owner(
    service: str, shard: int, router_ids: Iterable[str]
) -> str | None:
    """Return the router that owns a shard, or None without routers."""
    return max(
        router_ids,
        key=lambda router_id: (
            _hash(f"{service}/{shard}/{router_id}"),
            router_id,
        ),
        default=None,
    )


def assign_shard_owners(
    service: str, shards: int, router_ids: Collection[str]
) -> list[str]:
    """Assign the shards of a service evenly to routers.

    The numbers of shards of two routers differ by at most one, because hashing
    alone would spread so few shards unevenly.

    Returns:
        Router id of each shard's owner, or an empty list without routers.
    """
    owners: list[str] = []
    if not router_ids:
        return owners
    unassigned = set(router_ids)
    for shard in range(shards):
        owner = shard_owner(service, shard, unassigned)
        assert owner is not None
        owners.append(owner)
        unassigned.discard(owner)
        unassigned = unassigned or set(router_ids)
    return owners


def weighted_shard(key: str, weights: Sequence[float]) -> int:
    """Return the shard of a key by weighted rendezvous hashing.

    Each shard receives keys in proportion to its weight. A change of one
    weight only moves keys to or from that shard.

    Args:
        key: Key to assign.
        weights: Weight of each shard, at least one of them above 0.
    """
    return weighted_choice(key, dict(enumerate(weights)))


def weighted_choice(
    key: str, weight_by_option: Mapping[_Option, float]
) -> _Option:
    """Return the option for a key by weighted rendezvous hashing.

    Adding or removing an option moves only the keys of that option.

    Args:
        key: Key to assign.
        weight_by_option: Weight of each option; not empty.
    """
    return max(
        weight_by_option,
        key=lambda option: _weighted_rank(
            f"{option}/{key}", weight_by_option[option]
        ),
    )


def eligible_owners(capacity_by_router_id: Mapping[str, float]) -> list[str]:
    """Return the ids of the routers that are large enough to own shards.

    An owner makes decisions for all entry VMs in addition to serving its own
    callers, so small VMs own nothing while there are larger ones.

    Args:
        capacity_by_router_id: Processor time of each router, in cores.
    """
    largest = max(capacity_by_router_id.values(), default=0.0)
    return [
        router_id
        for router_id, capacity in capacity_by_router_id.items()
        if capacity >= MIN_OWNER_CAPACITY_FRACTION * largest
    ]


def rendezvous_rank(router_id: str, key: str, router_ids: Sequence[str]) -> int:
    """Return the position of a router in the rendezvous order of a key.

    Returns:
        The number of routers if the router is not among them.
    """
    ordered = sorted(
        router_ids,
        key=lambda other: _hash(f"{key}/{other}"),
    )
    return ordered.index(router_id) if router_id in ordered else len(ordered)


@dataclass(frozen=True, slots=True)
class ServiceOwnership:
    """Slot owners of one service.

    Attributes:
        owner_by_upstream: Router id of the slot owner of each upstream, over
            all data centres.
        owners_by_data_centre: Router ids of the slot owners of the upstreams
            in each data centre.
    """

    owner_by_upstream: Mapping[str, str]
    owners_by_data_centre: Mapping[str, frozenset[str]]

    @property
    def owners(self) -> frozenset[str]:
        """Return the router ids of all slot owners of the service."""
        return frozenset(self.owner_by_upstream.values())

    def demand_receivers(
        self, service: str, data_centre: str
    ) -> frozenset[str]:
        """Return the slot owners to which ingress routers send their demand.

        These are the slot owners of the upstreams in the given data centre, or
        in one other data centre if it has none.
        """
        local = self.owners_by_data_centre.get(data_centre)
        if local:
            return local
        fallback = max(
            self.owners_by_data_centre,
            key=lambda other: _hash(f"{service}/{data_centre}/{other}"),
            default=None,
        )
        if fallback is None:
            return frozenset()
        return self.owners_by_data_centre[fallback]


def assign_owners(
    service: str,
    data_centre_by_upstream: Mapping[str, str],
    data_centre_by_router: Mapping[str, str],
) -> ServiceOwnership:
    """Assign the upstreams of a service to slot owners.

    The owner of an upstream is a router in its data centre. If no router there
    is serving, routers of other data centres take part, so that the upstream
    does not idle while all entry VMs of its data centre are down.

    Args:
        service: Name of the service.
        data_centre_by_upstream: Data centre of each upstream.
        data_centre_by_router: Data centre of each router that is serving.
    """
    upstreams_by_data_centre: dict[str, list[str]] = {}
    for upstream_id, data_centre in data_centre_by_upstream.items():
        upstreams_by_data_centre.setdefault(data_centre, []).append(upstream_id)
    routers_by_data_centre: dict[str, list[str]] = {}
    for router_id, data_centre in data_centre_by_router.items():
        routers_by_data_centre.setdefault(data_centre, []).append(router_id)
    owner_by_upstream: dict[str, str] = {}
    owners_by_data_centre: dict[str, frozenset[str]] = {}
    for data_centre, upstreams in upstreams_by_data_centre.items():
        routers = routers_by_data_centre.get(data_centre)
        owners = _assign_data_centre(
            f"{service}/{data_centre}",
            upstreams,
            routers or list(data_centre_by_router),
        )
        owner_by_upstream.update(owners)
        if owners:
            owners_by_data_centre[data_centre] = frozenset(owners.values())
    return ServiceOwnership(owner_by_upstream, owners_by_data_centre)


def _assign_data_centre(
    key: str, upstreams: Sequence[str], routers: Sequence[str]
) -> dict[str, str]:
    shards = shard_count(len(upstreams))
    owner_by_shard = {
        shard: owner
        for shard in range(shards)
        if (owner := shard_owner(key, shard, routers)) is not None
    }
    return {
        upstream_id: owner_by_shard[shard]
        for upstream_id in upstreams
        if (shard := upstream_shard(upstream_id, shards)) in owner_by_shard
    }


def _weighted_rank(text: str, weight: float) -> float:
    """Return the rank of a hash key in weighted rendezvous hashing.

    The probability of having the highest rank is proportional to the weight.
    """
    uniform = (_hash(text) + 1) / (_HASH_VALUES + 1)
    return weight / -math.log(uniform) if weight > 0 else 0.0


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
