"""Tests of what convicts a request of crashes, and what clears it."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core import messages
from lacewingspar_core.crash_evidence import (
    QUARANTINE_SECONDS,
    SUSPICION_SECONDS,
    Convicted,
    Suspected,
    Verdict,
)
from lacewingspar_core.prompt_quarantine import PROBE_SECONDS
from lacewingspar_core.prompt_suspects import prompt_of
from lacewingspar_core.quarantine import QuarantineState

CRASH = "crash"
SUCCESS = "success"
NO_PROMPT = prompt_of("alpha", ())
# Of the retries that reach upstreams after the third crash, as many are allowed
# beside those that were in flight.
MAX_LATE_RETRIES = 3


def after(*events: tuple[str, float, float]) -> QuarantineState:
    """Return a state after events of the request `x`.

    Args:
        *events: Kind, time at which the run was sent, and time of its end.
    """
    state = QuarantineState("s")
    for number, (kind, sent_at, ended_at) in enumerate(events):
        if kind == SUCCESS:
            state.record_success("x", ended_at)
            continue
        state.record_crash(
            f"u{number}",
            0,
            ("x",),
            ended_at,
            sent_at_by_fingerprint={"x": sent_at},
        )
    return state


@pytest.mark.parametrize(
    ("events", "verdicts"),
    [
        ([(CRASH, 0, 1)], [None]),
        ([(CRASH, 0, 1), (CRASH, 2, 3)], [Convicted(603), None]),
        ([(CRASH, 0, 1), (SUCCESS, 1, 2), (CRASH, 2, 3)], [None]),
        ([(CRASH, 0, 1), (SUCCESS, 0, 2), (CRASH, 0, 3)], [None]),
        ([(CRASH, 0, 1), (CRASH, 2, 3), (SUCCESS, 2, 4)], [None]),
        (
            [(CRASH, 0, 1), (SUCCESS, 1, 2), (CRASH, 2, 3), (CRASH, 4, 5)],
            [Suspected(7), None],
        ),
        (
            [(SUCCESS, 0, 1), (CRASH, 2, 3), (CRASH, 4, 5)],
            [Suspected(7), None],
        ),
        (
            [(SUCCESS, 0, 1), (CRASH, 2, 3), (CRASH, 4, 5), (CRASH, 5, 6)],
            [Convicted(606), Convicted(606), Convicted(606), None],
        ),
        (
            [(SUCCESS, -601, -600), (CRASH, 2, 3), (CRASH, 4, 5)],
            [Convicted(605), None],
        ),
        ([(CRASH, 0, 1), (CRASH, 0, 1.1)], [Suspected(3.1), None]),
        (
            [(CRASH, 0, 1), (CRASH, 0, 1.1), (CRASH, 4, 5)],
            [Convicted(605), Suspected(7), Suspected(7), None],
        ),
        (
            [(CRASH, 0, 1), (CRASH, 2, 3), (CRASH, 4, 5)],
            [Convicted(605), Convicted(605), Convicted(605), None],
        ),
        (
            [(CRASH, n, n + 0.5) for n in range(6)],
            [Convicted(605.5)] * 6 + [Convicted(605.5)] * 6,
        ),
    ],
)
def test_verdict(
    events: list[tuple[str, float, float]], verdicts: list[Verdict | None]
) -> None:
    """Guards against convicting a request that has run to its end.

    Nor is it convicted of crashes that happened together, or of two crashes
    after it has run to its end (review case 10). The verdicts are those for no
    other upstream at which it has long been in flight, for one, and so on.
    """
    state = after(*events)
    assert [
        state.verdict("x", 6.0, upstreams_elsewhere=number)
        for number in range(len(verdicts))
    ] == verdicts


@pytest.mark.parametrize(
    ("crashes", "cleared", "convicted", "suspected"),
    [
        (["xa", "xa", "xa"], "", "", "ax"),
        (["xa", "xa", "xa"], "a", "x", ""),
        (["xa", "xa", "xb"], "", "x", ""),
        (["xa", "xa", "xa", "xa"], "", "ax", ""),
    ],
)
def test_companion_of_a_crashing_request_is_only_suspected(
    crashes: list[str], cleared: str, convicted: str, suspected: str
) -> None:
    """Guards against convicting a popular request with one beside it.

    Three crashes can follow each other in less time than one run takes (soak,
    seed 418).
    """
    state = QuarantineState("s")
    for number, suspects in enumerate(crashes):
        state.record_crash(
            f"u{number}",
            0,
            suspects,
            number / 10,
            sent_at_by_fingerprint=dict.fromkeys(suspects, number / 10 - 0.05),
        )
    for name in cleared:
        state.record_success(name, 0.5)
    verdicts = {name: state.verdict(name, 0.5) for name in "abx"}
    assert [
        name for name in "abx" if isinstance(verdicts[name], Convicted)
    ] == list(convicted)
    assert [
        name for name in "abx" if isinstance(verdicts[name], Suspected)
    ] == list(suspected)


def exchange(states: list[QuarantineState], now: float) -> None:
    for message in [state.publish(now) for state in states]:
        for receiver in states if message else ():
            data = messages.encode_message(message)
            receiver.merge(messages.decode_message(data), now)


def test_routers_share_what_speaks_for_a_request() -> None:
    """Guards against a verdict of a router that has not run the request.

    The router at which it has run to its end learns of the crashes from others.
    """
    observer, other = QuarantineState("s"), QuarantineState("s")
    other.record_success("x", 0.0)
    for number in (1, 2):
        observer.record_crash(
            f"u{number}",
            0,
            ("x",),
            float(number),
            sent_at_by_fingerprint={"x": number - 0.5},
        )
        exchange([observer, other], float(number))
        exchange([observer, other], float(number))
    for state in (observer, other):
        assert isinstance(state.verdict("x", 2.0), Suspected)


@pytest.mark.parametrize("seed", range(5))
def test_popular_request_is_never_refused_beside_crashes(seed: int) -> None:
    """Guards against blaming a request that every engine runs all the time.

    Two routers send it 32 times a second to six engines, of which one ends each
    few seconds. Routers tell each other twice a second.
    """
    generator = random.Random(seed)
    states = [QuarantineState("s"), QuarantineState("s")]
    runs: list[tuple[float, float, int, int]] = []
    refused = 0
    for step in range(15 * 32):
        now = step / 32
        state = states[step % 2]
        seconds = state.refusal_seconds("x", NO_PROMPT, now, lambda: True)
        refused += seconds > 0
        end = now + generator.uniform(0.1, 0.6)
        runs.append((end, now, step % 2, generator.randrange(6)))
        for run in [run for run in runs if run[0] <= now]:
            runs.remove(run)
            states[run[2]].record_success("x", now)
        if step % 90 == 89:
            engine = generator.randrange(6)
            hit = [run for run in runs if run[3] == engine]
            runs = [run for run in runs if run[3] != engine]
            for number in {run[2] for run in hit}:
                last = max(run[1] for run in hit if run[2] == number)
                states[number].record_crash(
                    f"{engine}-{step}",
                    0,
                    ("x",),
                    now,
                    sent_at_by_fingerprint={"x": last},
                )
        if step % 16 == 0:
            exchange(states, now)
    assert refused == 0


def test_suspected_request_is_probed_by_one_router_at_a_time() -> None:
    """Guards against ten minutes' refusal for upstreams that end together."""
    state = after((CRASH, 0, 1), (CRASH, 0, 1))
    probe, other = (prompt_of("alpha", ()) for _ in range(2))

    def seconds(prompt=other, now=2.0, may_probe=True):
        return state.refusal_seconds("x", prompt, now, lambda: may_probe)

    assert 0 < seconds() <= SUSPICION_SECONDS
    due_at = 1.0 + SUSPICION_SECONDS
    assert seconds(now=due_at, may_probe=False) == PROBE_SECONDS
    assert seconds(probe, due_at) == 0
    assert seconds(probe, due_at + 1.0) == 0
    assert seconds(now=due_at + 1.0) == PROBE_SECONDS - 1.0
    assert seconds(now=due_at + PROBE_SECONDS) == 0
    state.record_success("x", due_at + 6.0)
    assert seconds(now=due_at + 6.0) == 0
    assert seconds(probe, now=due_at + 6.0) == 0


def test_crash_of_a_probe_convicts() -> None:
    """Guards against probes that go on crashing upstreams."""
    state = after((CRASH, 0, 1), (CRASH, 0, 1), (CRASH, 4, 5))
    seconds = state.refusal_seconds("x", NO_PROMPT, 5.0, lambda: True)
    assert seconds == QUARANTINE_SECONDS


STEP = st.tuples(
    st.lists(st.integers(0, 3), max_size=4),
    st.sampled_from(["", "x", "xa"]),
    st.sampled_from(["", "a", "ab"]),
    st.booleans(),
)


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(STEP, min_size=25, max_size=25),
    st.floats(0.3, 7.0),
    st.sets(st.integers(0, 3)),
)
def test_crashing_request_is_contained_among_other_crashes(
    steps: list[tuple[list[int], str, str, bool]],
    pause_seconds: float,
    completed_at: set[int],
) -> None:
    """Guards against excusing a request for crashes that it did not cause.

    In each step routers send the crashing request at once, perhaps beside sound
    ones, and other upstreams end under others. A run at a silent upstream is in
    flight at times. The request may have run to its end before.
    """
    states = [QuarantineState("s") for _ in range(4)]
    for router in completed_at:
        states[router].record_success("x", 99.0)
    crashes = late = 0
    for step, (routers, unrelated, beside, hangs) in enumerate(steps):
        now = 100.0 + step * pause_seconds
        senders = [
            router
            for router in routers
            if not states[router].refusal_seconds(
                "x",
                prompt_of("alpha", ()),
                now,
                lambda router=router: router == 0,
                upstreams_elsewhere=int(hangs),
            )
        ]
        if crashes >= MAX_LATE_RETRIES:
            late += len(senders)
        ended = [("x" + beside, router) for router in senders]
        if unrelated:
            ended.append((unrelated, 3))
        for number, (suspects, router) in enumerate(ended):
            states[router].record_crash(
                f"u{step}-{number}",
                0,
                suspects,
                now + 0.1,
                sent_at_by_fingerprint=dict.fromkeys(suspects, now),
            )
        crashes += len(senders)
        exchange(states, now + 0.1)
    assert late <= MAX_LATE_RETRIES
