"""Selection of the pool of a request and of the router that owns it."""

from collections.abc import Collection, Mapping

from lacewingspar_core.data_centre_shares import (
    FAST_ADAPTATION,
    GRADUAL_ADAPTATION,
    DataCentreShares,
    ShareAdaptation,
)
from lacewingspar_core.messages import MemberRecord
from lacewingspar_core.ownership import assign_shard_owners, eligible_owners
from lacewingspar_core.pools import ALL_DATA_CENTRES, Pool, PoolLayout
from lacewingspar_core.prefix_cache import PromptPart
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING, RoutingView
from lacewingspar_router.settings import Settings


def share_adaptation(settings: Settings) -> ShareAdaptation:
    """Return how fast requests leave a full data centre."""
    platform = settings.platform
    is_fast = platform is not None and platform.leaves_full_data_centre_fast
    return FAST_ADAPTATION if is_fast else GRADUAL_ADAPTATION


class PoolSelector:
    """Selects the pool for a request.

    Attributes:
        shares_by_service: How requests are divided among data centres.

    Args:
        routing: Configuration and upstreams known to this router.
        data_centre: Data centre of this router.
        adaptation: How fast requests leave a full data centre.
    """

    def __init__(
        self,
        routing: RoutingView,
        data_centre: str,
        adaptation: ShareAdaptation = GRADUAL_ADAPTATION,
    ) -> None:
        self._adaptation = adaptation
        self._routing = routing
        self._data_centre = data_centre
        self._layout_by_service: dict[str, PoolLayout] = {}
        self.shares_by_service: dict[str, DataCentreShares] = {}
        routing.add_listener(self._layout_by_service.clear)

    def shards(self, pool: Pool) -> int:
        """Return the number of pools of a service in a pool's data centre."""
        return self._layout(pool.service).shard_count(pool.data_centre)

    def shares(self, service: str) -> DataCentreShares:
        """Return how requests of a service are divided among data centres."""
        shares = self.shares_by_service.get(service)
        if shares is None:
            shares = DataCentreShares(self._data_centre, self._adaptation)
            self.shares_by_service[service] = shares
        return shares

    def pool_for(
        self,
        service: str,
        shared_parts: tuple[PromptPart, ...],
        number: int,
        now: float,
        rejected: Collection[str] = (),
    ) -> Pool | None:
        """Return the pool for a request.

        Requests with the same shared prompt parts go to the same pool; other
        requests are distributed by number.

        Args:
            service: Service of the request.
            shared_parts: Parts of the prompt that other requests may share.
            number: Number of the request.
            now: Time in seconds.
            rejected: Data centres whose pools have declined the request.

        Returns:
            The pool, or None if no data centre is left.
        """
        layout = self._layout(service)
        key = str(shared_parts[-1].key if shared_parts else number)
        data_centre = self.shares(service).choose(
            key, layout.upstream_count_by_data_centre, now, rejected
        )
        return (
            None if data_centre is None else layout.pool_for(data_centre, key)
        )

    def pools_elsewhere(self, pool: Pool, key: str) -> list[Pool]:
        """Return the pools of other data centres for requests with a key."""
        layout = self._layout(pool.service)
        return [
            layout.pool_for(data_centre, key)
            for data_centre in layout.upstream_count_by_data_centre
            if data_centre not in (pool.data_centre, ALL_DATA_CENTRES)
        ]

    def _layout(self, service: str) -> PoolLayout:
        layout = self._layout_by_service.get(service)
        if layout is None:
            usable = self._routing.directory.ready_upstreams(service)
            layout = PoolLayout(service, usable)
            self._layout_by_service[service] = layout
        return layout


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

    def own_rank(self, pool: Pool, last_rank: int) -> int:
        """Return how many routers should own a pool before this one.

        Unresponsive routers count, as others may still reach them.

        Args:
            pool: The pool.
            last_rank: Rank up to which routers are counted.
        """
        serving = {
            router_id: record
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
        }
        for rank in range(last_rank):
            owner = self._best_owner(pool, serving)
            if owner == self._own_id:
                return rank
            serving.pop(owner)
        return last_rank

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
        serving = {
            router_id: record
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
            and now >= self._unresponsive_until.get(router_id, 0.0)
        }
        return self._best_owner(pool, serving)

    def _best_owner(
        self, pool: Pool, serving: Mapping[str, MemberRecord]
    ) -> str:
        """Return the owner of a pool among some routers, or this one."""
        local = {
            router_id: record
            for router_id, record in serving.items()
            if record.data_centre == pool.data_centre
        }
        candidates = eligible_owners(
            {
                router_id: record.capacity
                for router_id, record in (local or serving).items()
            }
        )
        # Runs may remain in a pool whose shard no longer exists.
        shards = max(pool.shard + 1, self._pool_selector.shards(pool))
        owners = assign_shard_owners(
            f"{pool.service}/{pool.data_centre}", shards, candidates
        )
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
