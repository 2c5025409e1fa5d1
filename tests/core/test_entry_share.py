"""Fair share of a workspace whose callers all connect to one entry VM."""

import pytest
from tests.core.entry_model import DataCentre, Workspace

# The users' requirement: in any six seconds, a workspace gets at least half of
# what it requested or half of what the best served one got, whichever is less.
WINDOW_SECONDS = 6
MIN_SHARE = 0.5
START_SECONDS = 4


@pytest.mark.parametrize("spread", [2, 3, 4])
def test_callers_at_one_vm_get_as_much_as_callers_at_several(
    spread: int,
) -> None:
    """Guards against a share that is limited by the CPU of one VM."""
    one = Workspace("one", 550, ("caller",))
    hashes = tuple(f"several-{number}" for number in range(spread))
    several = Workspace("several", 550, hashes)
    centre = DataCentre(15, [one, several])
    centre.run(26)
    share = centre.min_share("one", WINDOW_SECONDS, START_SECONDS)
    assert share >= MIN_SHARE


def test_burst_at_all_vms_leaves_neighbours_for_hand_over() -> None:
    """Guards against refusals for a second after upstreams crash."""
    one = Workspace("one", 550, ("caller",))
    several = Workspace("several", 550, ("several-0", "several-1"))
    centre = DataCentre(15, [one, several])
    centre.run(16, burst_at=12)
    got = [centre.served[second]["one"] for second in range(10, 15)]
    assert min(got[2:]) >= MIN_SHARE * max(got[:2])
