"""Tests of the demand table of a slot owner."""

import random

import pytest

from lacewingspar_core.demand import DemandKey, DemandTable
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import Demand, DemandEntry

INGRESS_ROUTERS = [RouterInstance(name, 1) for name in "abc"]
KEYS = [DemandKey(workspace, model) for workspace in "vw" for model in "mn"]


class ReferenceTable:
    """Reference implementation that recomputes the totals on every read."""

    def __init__(self) -> None:
        self.waiting: dict[tuple[DemandKey, RouterInstance], int] = {}
        self.offered: dict[tuple[DemandKey, RouterInstance], int] = {}

    def unoffered(self, key: DemandKey) -> int:
        return sum(
            max(0, count - self.offered.get(pair, 0))
            for pair, count in self.waiting.items()
            if pair[0] == key
        )


@pytest.mark.parametrize("seed", range(20))
def test_running_totals_equal_recounted_totals(seed: int) -> None:
    """Requests must not be counted twice or omitted from the totals."""
    generator = random.Random(seed)
    table, reference = DemandTable(), ReferenceTable()
    for sequence in range(300):
        key, ingress_router = (
            generator.choice(KEYS),
            generator.choice(INGRESS_ROUTERS),
        )
        pair = (key, ingress_router)
        is_known = reference.waiting.get(pair, 0) or reference.offered.get(
            pair, 0
        )
        match generator.choice(["update", "offer", "end", "taken", "gone"]):
            case "update":
                _update(table, reference, generator, ingress_router, sequence)
            case "offer":
                table.record_offer(key, ingress_router)
                if is_known:
                    reference.offered[pair] = reference.offered.get(pair, 0) + 1
            case "end":
                accepted = generator.random() < 0.7
                table.record_offer_end(key, ingress_router, accepted=accepted)
                waiting = reference.waiting.get(pair, 0)
                reference.waiting[pair] = max(0, waiting - 1) * accepted
                reference.offered[pair] = max(
                    0, reference.offered.get(pair, 0) - 1
                )
            case "taken":
                table.record_remote_offer(key, ingress_router)
                reference.waiting[pair] = max(
                    0, reference.waiting.get(pair, 0) - 1
                )
            case "gone" if generator.random() < 0.2:
                table.remove_ingress_router(ingress_router)
                for other in KEYS:
                    reference.waiting.pop((other, ingress_router), None)
                    reference.offered.pop((other, ingress_router), None)
        unoffered = {key: reference.unoffered(key) for key in KEYS}
        assert set(table.unoffered_keys()) == {
            k for k, n in unoffered.items() if n
        }
        for workspace, count in table.waiting_by_workspace().items():
            assert count == sum(
                n for k, n in unoffered.items() if k.workspace == workspace
            )


def _update(
    table: DemandTable,
    reference: ReferenceTable,
    generator: random.Random,
    ingress_router: RouterInstance,
    sequence: int,
) -> None:
    is_full = generator.random() < 0.5
    waiting_by_key = {
        key: generator.randrange(3)
        for key in generator.sample(KEYS, generator.randrange(4))
    }
    entries = tuple(
        DemandEntry(key.workspace, key.model, waiting, 0.0, 1.0)
        for key, waiting in waiting_by_key.items()
    )
    table.update(ingress_router, Demand("s", sequence, is_full, entries), 0.0)
    for key in KEYS:
        if key in waiting_by_key or is_full:
            reference.waiting[(key, ingress_router)] = waiting_by_key.get(
                key, 0
            )
