"""Demand as an owner knows it."""

import random

import pytest

from lacewingspar_core.demand import DemandKey, DemandTable
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import Demand, DemandEntry

HOLDERS = [RouterLife(name, 1) for name in "abc"]
KEYS = [DemandKey(workspace, model) for workspace in "vw" for model in "mn"]


class SlowTable:
    """The same rules with sums that are computed each time."""

    def __init__(self) -> None:
        self.waiting: dict[tuple[DemandKey, RouterLife], int] = {}
        self.offered: dict[tuple[DemandKey, RouterLife], int] = {}

    def free(self, key: DemandKey) -> int:
        return sum(
            max(0, count - self.offered.get(place, 0))
            for place, count in self.waiting.items()
            if place[0] == key
        )


@pytest.mark.parametrize("seed", range(20))
def test_kept_sums_equal_computed_sums(seed: int) -> None:
    """Guards against requests that are counted twice or forgotten."""
    draw = random.Random(seed)
    table, slow = DemandTable(), SlowTable()
    for sequence in range(300):
        key, holder = draw.choice(KEYS), draw.choice(HOLDERS)
        place = (key, holder)
        is_known = slow.waiting.get(place, 0) or slow.offered.get(place, 0)
        match draw.choice(["update", "offer", "end", "taken", "gone"]):
            case "update":
                _update(table, slow, draw, holder, sequence)
            case "offer":
                table.note_offer(key, holder)
                if is_known:
                    slow.offered[place] = slow.offered.get(place, 0) + 1
            case "end":
                accepted = draw.random() < 0.7
                table.note_offer_end(key, holder, accepted=accepted)
                waiting = slow.waiting.get(place, 0)
                slow.waiting[place] = max(0, waiting - 1) * accepted
                slow.offered[place] = max(0, slow.offered.get(place, 0) - 1)
            case "taken":
                table.note_taken(key, holder)
                slow.waiting[place] = max(0, slow.waiting.get(place, 0) - 1)
            case "gone" if draw.random() < 0.2:
                table.remove_holder(holder)
                for other in KEYS:
                    slow.waiting.pop((other, holder), None)
                    slow.offered.pop((other, holder), None)
        free = {key: slow.free(key) for key in KEYS}
        assert set(table.open_keys()) == {k for k, n in free.items() if n}
        for workspace, count in table.waiting_by_workspace().items():
            assert count == sum(
                n for k, n in free.items() if k.workspace == workspace
            )


def _update(
    table: DemandTable,
    slow: SlowTable,
    draw: random.Random,
    holder: RouterLife,
    sequence: int,
) -> None:
    is_full = draw.random() < 0.5
    waiting_by_key = {
        key: draw.randrange(3) for key in draw.sample(KEYS, draw.randrange(4))
    }
    entries = tuple(
        DemandEntry(key.workspace, key.model, waiting, 0.0, 1.0)
        for key, waiting in waiting_by_key.items()
    )
    table.update(holder, Demand("s", sequence, is_full, entries), 0.0)
    for key in KEYS:
        if key in waiting_by_key or is_full:
            slow.waiting[(key, holder)] = waiting_by_key.get(key, 0)
