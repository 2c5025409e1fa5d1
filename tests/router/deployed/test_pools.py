"""Choice of the router that owns a pool."""

from collections.abc import Callable
from typing import Any
from unittest import mock

from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import MemberRecord, RouterState
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.pools import (
    Pool,
    PoolOwners,
    Pools,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing.models import ROUTING

POOLS = [Pool("models", shard) for shard in range(3)]


class Bed:
    """Owners as one router sees them, on a clock of the test.

    Args:
        capacities: Capacity of each router.
    """

    def __init__(self, capacities: dict[str, float]) -> None:
        self.now = 0.0
        self.listeners: list[Callable[[], None]] = []
        self.alive = {
            name: MemberRecord(
                RouterLife(name, 1),
                "dc",
                "tcp://192.0.2.1:1",
                RouterState.SERVING,
                1,
                0,
                capacity,
            )
            for name, capacity in capacities.items()
        }
        peers = mock.Mock(alive_by_router_id=self.alive)
        peers.add_listener = self.listeners.append
        routing = mock.Mock()
        routing.directory.usable = lambda _: {f"u{n}": None for n in range(40)}
        parts: dict[Any, Any] = {PEERS: peers, ROUTING: routing}
        app = mock.Mock(get=parts.__getitem__)
        app.now = lambda: self.now
        app.life.router_id = "r0"
        self.owners = PoolOwners(app, Pools(routing))

    def lose(self, router_id: str) -> None:
        del self.alive[router_id]
        for listener in self.listeners:
            listener()

    @property
    def present(self) -> list[str]:
        return [self.owners.present_owner(pool) for pool in POOLS]


def test_large_routers_own_the_pools() -> None:
    bed = Bed({"r0": 0.5, "r1": 0.5, "r2": 2.0, "r3": 2.0, "r4": 1.5})
    assert sorted(bed.present) == ["r2", "r3", "r4"]


def test_small_routers_take_over_from_the_last_large_one() -> None:
    bed = Bed({"r0": 0.5, "r1": 0.5, "r2": 2.0})
    assert set(bed.present) == {"r2"}
    bed.lose("r2")
    assert set(bed.present) == {"r0", "r1"}


def test_silent_owner_is_passed_over_until_it_is_tried_again() -> None:
    """Guards against owners that are remembered for too long."""
    bed = Bed({f"r{number}": 1.0 for number in range(5)})
    first = bed.present[0]
    bed.owners.suspect(first)
    assert bed.present[0] != first
    bed.now = const.SUSPECT_SECONDS
    assert bed.owners.owner(POOLS[0]) == first
    # One request tries it; the others wait for its answer.
    assert bed.owners.owner(POOLS[0]) != first
    bed.owners.note_answer(first)
    assert bed.owners.owner(POOLS[0]) == first
