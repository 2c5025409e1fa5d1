"""Selection of the pool of a request and of the router that owns it."""

from dataclasses import dataclass

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.ownership import (
    assign_shard_owners,
    eligible_owners,
    shard_count,
    upstream_shard,
    weighted_shard,
)
from lacewingspar_core.prefix_cache import PromptPart
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING, RoutingView


@dataclass(frozen=True, slots=True)
class Pool:
    """A shard of the upstreams of one service.

    Attributes:
        service: Name of the service.
        shard: Number of the shard, from 0.
    """

    service: str
    shard: int


def pool_members(routing: RoutingView, pool: Pool) -> dict[str, UpstreamEntry]:
    """Return the upstreams of a pool that accept requests, by ID."""
    usable = routing.directory.ready_upstreams(pool.service)
    shards = shard_count(len(usable))
    return {
        upstream_id: entry
        for upstream_id, entry in usable.items()
        if shards == 1 or upstream_shard(upstream_id, shards) == pool.shard
    }


class PoolSelector:
    """Selects the pool for a request.

    Args:
        routing: Configuration and upstreams known to this router.
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

        Requests with the same shared prompt parts go to the same pool; other
        requests are distributed by number. Each pool gets requests in
        proportion to its number of upstreams.
        """
        weights = self._weights(service)
        if len(weights) == 1:
            return Pool(service, 0)
        key = shared_parts[-1].key if shared_parts else number
        return Pool(service, weighted_shard(str(key), weights))

    def _weights(self, service: str) -> list[int]:
        """Return the number of upstreams of each shard."""
        weights = self._weights_by_service.get(service)
        if weights is None:
            usable = self._routing.directory.ready_upstreams(service)
            shards = shard_count(len(usable))
            weights = [0] * shards
            for upstream_id in usable:
                weights[upstream_shard(upstream_id, shards)] += 1
            self._weights_by_service[service] = weights
        return weights


class OwnerSelector:
    """Selects the owner of a pool from the responsive routers.

    Args:
        app: The application.
        pool_selector: Gives the number of pools of each service.
    """

    def __init__(self, app: Application, pool_selector: PoolSelector) -> None:
        self._app = app
        self._pool_selector = pool_selector
        self._own_id = app.instance.router_id
        self._peers = app.get(PEERS)
        self._unresponsive_until: dict[str, float] = {}
        self._owner_by_pool: dict[Pool, str] = {}
        # Time at which the next unresponsive router may be tried again, which
        # can change owners.
        self._owners_valid_until = float("inf")
        self._peers.add_listener(self._owner_by_pool.clear)
        app.get(ROUTING).add_listener(self._owner_by_pool.clear)

    def owner_to_ask(self, pool: Pool) -> str:
        """Return the ID of the router to ask, which may be this one.

        When the retry time of an unresponsive router has passed, the first
        request is sent to it; the others use the next router until it
        responds.
        """
        chosen = self.current_owner(pool)
        if chosen in self._unresponsive_until:
            self.mark_unresponsive(chosen, const.OWNER_RESPONSE_TIMEOUT_SECONDS)
        return chosen

    def current_owner(self, pool: Pool) -> str:
        """Return the owner of a pool, leaving out unresponsive routers."""
        now = self._app.now()
        if now >= self._owners_valid_until:
            self._clear_owners(now)
        owner = self._owner_by_pool.get(pool)
        if owner is None:
            owner = self._choose_owner(pool, now)
            self._owner_by_pool[pool] = owner
        return owner

    def mark_unresponsive(
        self,
        router_id: str,
        seconds: float = const.UNRESPONSIVE_OWNER_RETRY_SECONDS,
    ) -> None:
        """Leave a router out of the selection for some time."""
        if router_id != self._own_id:
            now = self._app.now()
            self._unresponsive_until[router_id] = now + seconds
            self._clear_owners(now)

    def mark_responsive(self, router_id: str) -> None:
        """Record that a router responded."""
        if self._unresponsive_until.pop(router_id, None) is not None:
            self._clear_owners(self._app.now())

    def _choose_owner(self, pool: Pool, now: float) -> str:
        capacity_by_router_id = {
            router_id: record.capacity
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
            and now >= self._unresponsive_until.get(router_id, 0.0)
        }
        # Runs may remain in a pool whose shard no longer exists.
        shards = max(pool.shard + 1, self._pool_selector.shards(pool.service))
        candidates = eligible_owners(capacity_by_router_id)
        owners = assign_shard_owners(pool.service, shards, candidates)
        return owners[pool.shard] if owners else self._own_id

    def _clear_owners(self, now: float) -> None:
        """Discard the cached owners and set the time of their next change."""
        self._owner_by_pool.clear()
        self._owners_valid_until = min(
            (
                until
                for until in self._unresponsive_until.values()
                if until > now
            ),
            default=float("inf"),
        )
