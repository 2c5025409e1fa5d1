"""Reservations of upstreams for suspects."""

import itertools

import pytest

from lacewingspar_core import suspects
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.messages import SuspectRun
from lacewingspar_core.suspects import SuspectTable

LIVES = [RouterLife("r1", 1), RouterLife("r2", 1)]
DELAY_LIMIT_SECONDS = suspects.SETTLE_SECONDS / 2
RUN = SuspectRun("u", "x")


@pytest.mark.parametrize(
    ("other", "conflicts"),
    [
        (SuspectRun("u", "y"), True),
        (SuspectRun("v", "x"), True),
        (SuspectRun("v", "y"), False),
    ],
)
def test_conflicting_runs(other: SuspectRun, conflicts: bool) -> None:
    """Guards against two suspects on one upstream, and one on two."""
    table = SuspectTable("s", LIVES[0])
    assert table.reserve(RUN, 0.0)
    assert table.reserve(other, 0.0) is not conflicts
    table.release(RUN)
    assert table.reserve(other, 0.0) is conflicts


def test_reservations_of_a_silent_router_expire() -> None:
    """Guards against an upstream that stays closed to suspects for ever."""
    first, second = (SuspectTable("s", life) for life in LIVES)
    second.reserve(RUN, 0.0)
    message = second.publish()
    first.merge(LIVES[1], message, 0.0)
    assert first.busy_upstreams(2.9) == {"u"}
    assert first.is_running("x", 2.9)
    assert first.busy_upstreams(suspects.EXPIRY_SECONDS) == frozenset()
    second.release(RUN)
    first.merge(LIVES[1], second.publish(), 1.0)
    first.merge(LIVES[1], message, 1.0)
    assert first.busy_upstreams(1.0) == frozenset()


GRID = [step * DELAY_LIMIT_SECONDS / 4 for step in range(17)]


@pytest.mark.parametrize("first_router", [0, 1])
@pytest.mark.parametrize("delay", [0.0, DELAY_LIMIT_SECONDS])
def test_two_routers_never_send_conflicting_runs(
    first_router: int, delay: float
) -> None:
    """Guards against a gap between reserving and sending.

    The second router reserves at each time of a grid. Messages that arrive at
    the time of a decision may arrive before or after it.
    """
    for second_at, is_late in itertools.product(GRID, [False, True]):
        tables = [SuspectTable("s", life) for life in LIVES]
        starts = {first_router: 0.0, 1 - first_router: second_at}
        events: list[tuple[float, int, str, int]] = []
        for router, start in starts.items():
            events.append((start, 1, "reserve", router))
            events.append((start + suspects.SETTLE_SECONDS, 1, "send", router))
        sent = []
        messages = {}
        while events:
            events.sort()
            at, _, kind, router = events.pop(0)
            if kind == "reserve":
                if tables[router].reserve(RUN, at):
                    messages[router] = tables[router].publish()
                    arrival = (at + delay, 2 * is_late, "arrive", 1 - router)
                    events.append(arrival)
                else:
                    events.remove(
                        (at + suspects.SETTLE_SECONDS, 1, "send", router)
                    )
            elif kind == "arrive":
                sender = 1 - router
                tables[router].merge(LIVES[sender], messages[sender], at)
            elif not tables[router].must_yield(RUN, at):
                sent.append(router)
        assert len(sent) == 1 or (is_late and delay == DELAY_LIMIT_SECONDS)
