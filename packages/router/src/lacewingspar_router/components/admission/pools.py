"""Pools of upstreams, and the routers that own them."""

from dataclasses import dataclass

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.ownership import (
    capable_routers,
    owners_of,
    shard_count,
    shard_of,
    weighted_shard_of,
)
from lacewingspar_core.prefix_memory import PromptPart
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING, RoutingView


@dataclass(frozen=True, slots=True)
class Pool:
    """A shard of the upstreams of one service.

    Attributes:
        service: The service.
        shard: Number of the shard.
    """

    service: str
    shard: int


def pool_members(routing: RoutingView, pool: Pool) -> dict[str, UpstreamEntry]:
    """Return the upstreams of a pool that take new work, by id."""
    usable = routing.directory.usable(pool.service)
    shards = shard_count(len(usable))
    return {
        upstream_id: entry
        for upstream_id, entry in usable.items()
        if shards == 1 or shard_of(upstream_id, shards) == pool.shard
    }


class Pools:
    """Chooses the pool of a request.

    Args:
        routing: Configuration and upstreams as this router knows them.
    """

    def __init__(self, routing: RoutingView) -> None:
        self._routing = routing
        self._weights_by_service: dict[str, list[int]] = {}
        routing.add_listener(self._weights_by_service.clear)

    def shards(self, service: str) -> int:
        """Return the number of pools of a service."""
        return len(self._weights(service))

    def pool_for(
        self, service: str, shared_parts: tuple[PromptPart, ...], number: int
    ) -> Pool:
        """Return the pool for a request.

        Requests that share parts of their prompts go to the same pool; others
        are spread by their number. Each pool gets requests in proportion to
        its upstreams.
        """
        weights = self._weights(service)
        if len(weights) == 1:
            return Pool(service, 0)
        key = shared_parts[-1].key if shared_parts else number
        return Pool(service, weighted_shard_of(str(key), weights))

    def _weights(self, service: str) -> list[int]:
        """Return the number of upstreams of each shard."""
        weights = self._weights_by_service.get(service)
        if weights is None:
            usable = self._routing.directory.usable(service)
            shards = shard_count(len(usable))
            weights = [0] * shards
            for upstream_id in usable:
                weights[shard_of(upstream_id, shards)] += 1
            self._weights_by_service[service] = weights
        return weights


class PoolOwners:
    """Chooses the owner of a pool among the routers that answer.

    Args:
        app: The application.
        pools: Pools of each service.
    """

    def __init__(self, app: Application, pools: Pools) -> None:
        self._app = app
        self._pools = pools
        self._own_id = app.life.router_id
        self._peers = app.get(PEERS)
        self._suspected_until: dict[str, float] = {}
        self._owner_by_pool: dict[Pool, str] = {}
        # Time at which the next suspicion ends and owners may change.
        self._owners_valid_until = float("inf")
        self._peers.add_listener(self._owner_by_pool.clear)
        app.get(ROUTING).add_listener(self._owner_by_pool.clear)

    def owner(self, pool: Pool) -> str:
        """Return the router to ask, which may be this one.

        A router whose time of suspicion has passed is tried by one request
        before the others follow.
        """
        chosen = self.present_owner(pool)
        if chosen in self._suspected_until:
            self.suspect(chosen, const.ASK_TIMEOUT_SECONDS)
        return chosen

    def present_owner(self, pool: Pool) -> str:
        """Return the first router for a pool that is not suspected."""
        now = self._app.now()
        if now >= self._owners_valid_until:
            self._forget_owners(now)
        owner = self._owner_by_pool.get(pool)
        if owner is None:
            owner = self._choose_owner(pool, now)
            self._owner_by_pool[pool] = owner
        return owner

    def suspect(
        self, router_id: str, seconds: float = const.SUSPECT_SECONDS
    ) -> None:
        """Ask others instead of a router for some time."""
        if router_id != self._own_id:
            now = self._app.now()
            self._suspected_until[router_id] = now + seconds
            self._forget_owners(now)

    def note_answer(self, router_id: str) -> None:
        """Take over that a router has answered."""
        if self._suspected_until.pop(router_id, None) is not None:
            self._forget_owners(self._app.now())

    def _choose_owner(self, pool: Pool, now: float) -> str:
        capacity_by_router_id = {
            router_id: record.capacity
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
            and now >= self._suspected_until.get(router_id, 0.0)
        }
        # Runs may be left in a pool that exists no longer.
        shards = max(pool.shard + 1, self._pools.shards(pool.service))
        candidates = capable_routers(capacity_by_router_id)
        owners = owners_of(pool.service, shards, candidates)
        return owners[pool.shard] if owners else self._own_id

    def _forget_owners(self, now: float) -> None:
        """Choose owners anew, as suspicions have begun or ended."""
        self._owner_by_pool.clear()
        self._owners_valid_until = min(
            (until for until in self._suspected_until.values() if until > now),
            default=float("inf"),
        )
