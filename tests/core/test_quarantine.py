"""Tests of the quarantine of requests that crash upstreams."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core import messages, quarantine
from lacewingspar_core.messages import CrashRecord, Quarantine
from lacewingspar_core.prompt_suspects import PromptRun, prompt_of
from lacewingspar_core.quarantine import QuarantineState

LAST_EXPIRY_SECONDS = 1.0 + quarantine.RETENTION_SECONDS


def _state(*crashes: str, cleared_after: int = -1) -> QuarantineState:
    """Return a state after crashes at 0 s, 1 s and so on."""
    state = QuarantineState("s")
    for number, suspects in enumerate(crashes):
        state.record_crash(f"u{number}", 0, suspects, float(number))
        if number == cleared_after:
            state.record_success("x", float(number))
    return state


def test_fingerprint_separates_its_parts() -> None:
    """Guards against different requests with one fingerprint."""
    parts = [("s", "/a", b"b"), ("s", "/ab", b""), ("s/", "a", b"b")]
    assert len({quarantine.fingerprint(*part) for part in parts}) == 3


@pytest.mark.parametrize(
    ("crashes", "cleared_after", "refused", "must_run_alone"),
    [
        (["x"], -1, "", "x"),
        (["x", "x"], -1, "x", "x"),
        (["xab", "xcd"], -1, "x", "abcdx"),
        (["xa", "xa"], -1, "", "ax"),
        (["xa", "xa", "xa"], -1, "ax", "ax"),
        (["xa", "bc", "xd"], -1, "x", "abcdx"),
        (["xa"], 0, "", "a"),
        (["xa", "xb"], 0, "", "abx"),
        (["xa", "xa"], 1, "a", "a"),
        (["x", "x"], 0, "", "x"),
        (["x", "x", "x"], 0, "x", "x"),
        (["x", "x", "x"], 1, "", "x"),
        (["x", "x"], 1, "", ""),
    ],
)
def test_suspects(
    crashes: list[str], cleared_after: int, refused: str, must_run_alone: str
) -> None:
    """Guards against repeated crashes and against refusing innocent requests.

    A completed run of `x` clears it of the crashes before.
    """
    state = _state(*crashes, cleared_after=cleared_after)
    assert [n for n in "abcdx" if state.is_refused(n, 2.0)] == list(refused)
    assert [n for n in "abcdx" if state.must_run_alone(n, 2.0)] == list(
        must_run_alone
    )


@pytest.mark.parametrize(
    ("parts", "is_refused"),
    [
        (["shared crashing", "shared crashing", ""], False),
        (["shared crashing", "shared crashing", "crashing"], False),
        (["shared crashing", "shared other", ""], True),
        (["shared own", "shared own", ""], True),
        (["", "", ""], True),
    ],
)
def test_repeated_request_is_not_blamed_for_a_part_that_it_does_not_have(
    parts: list[str], is_refused: bool
) -> None:
    """Guards against refusing the one request that met two crashing ones.

    The requests with the part differ, so it is the only common fingerprint.
    Its own prompt has the parts `shared` and `own`.
    """
    state = QuarantineState("s")
    for number, names in enumerate(parts):
        now = 10.0 + number
        run = PromptRun(prompt_of("alpha", names.split()), now - 0.1)
        fingerprints = {"repeated"} if number < 2 else set()
        state.record_crash(
            f"u{number}", 0, {*fingerprints, f"c{number}"}, now, [run]
        )
        state.prompts.record_proof(prompt_of("alpha", ["shared"]), now + 0.5)
    until = state.refused_until("repeated", 13.0, ("shared", "own"))
    assert (until > 13.0) is is_refused


def test_quarantine_ends_and_records_expire() -> None:
    """Guards against quarantines and records that never expire."""
    state = _state("x", "x")
    assert state.is_refused("x", 600.9)
    assert not state.is_refused("x", 601.0)
    assert not state.must_run_alone("x", 601.0)
    assert state.publish(LAST_EXPIRY_SECONDS, full=True) == Quarantine("s", ())
    age = quarantine.MERGE_AGE_LIMIT_SECONDS
    expiring = CrashRecord("u", 0, age, ("x",), ())
    state.merge(Quarantine("s", (expiring,)), LAST_EXPIRY_SECONDS)
    assert state.publish(LAST_EXPIRY_SECONDS, full=True) == Quarantine("s", ())


def _exchange(states: list[QuarantineState], now: float) -> None:
    for message in [state.publish(now) for state in states]:
        for receiver in states if message else ():
            data = messages.encode_message(message)
            receiver.merge(messages.decode_message(data), now)


def test_a_crash_seen_by_two_routers_counts_once() -> None:
    """Guards against counting one crash twice if two routers observe it."""
    states = [QuarantineState("s"), QuarantineState("s")]
    for state, suspects in zip(states, "xa", strict=True):
        state.record_crash("u", 0, suspects, 0.0)
    _exchange(states, 0.1)
    first, second = (state.publish(0.1, full=True) for state in states)
    assert first == second
    states[0].record_crash("u", states[0].epoch("u"), "xa", 1.0)
    assert not states[0].is_refused("x", 1.0)


ATTEMPT = st.tuples(
    st.integers(0, 3), st.integers(0, 2), st.frozensets(st.sampled_from("abc"))
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(ATTEMPT, min_size=30, max_size=30))
def test_one_request_costs_at_most_three_upstreams(
    attempts: list[tuple[int, int, frozenset[str]]],
) -> None:
    """Guards against a caller that sends a crashing request to many routers.

    Each attempt consists of a router, an upstream, and the requests that run
    there together with the crashing one, whether or not they are suspects.
    """
    states = [QuarantineState("s") for _ in range(4)]
    crashes = 0
    for now, (router, number, others) in enumerate(attempts):
        if states[router].is_refused("x", now):
            continue
        upstream, epoch = f"u{number}", states[router].epoch(f"u{number}")
        states[router].record_crash(upstream, epoch, "x", now)
        for state, name in zip(states, sorted(others), strict=False):
            state.record_crash(upstream, epoch, name, now)
        _exchange(states, now)
        crashes += 1
    assert crashes <= 3


@st.composite
def _records(draw: st.DrawFn) -> CrashRecord:
    suspects = tuple(draw(st.sets(st.sampled_from("abcd"))))
    cleared = [name for name in suspects if draw(st.booleans())]
    upstream, epoch = draw(st.sampled_from("uv")), draw(st.integers(0, 2))
    age = draw(st.floats(0.0, quarantine.RETENTION_SECONDS))
    return CrashRecord(upstream, epoch, age, suspects, tuple(cleared))


@settings(derandomize=True)
@given(st.lists(_records(), max_size=8), st.data())
def test_order_and_repetition_of_messages_do_not_matter(
    records: list[CrashRecord], data: st.DataObject
) -> None:
    """Guards against routers that disagree after the same messages."""
    results = []
    for order in (records, data.draw(st.permutations(records * 2))):
        state = QuarantineState("s")
        for record in order:
            state.merge(Quarantine("s", (record,)), 5000.0)
        ends = [state.refused_until(name, 5000.0) for name in "abcd"]
        epochs = [state.epoch(name) for name in "uv"]
        results.append((state.publish(5000.0, full=True), ends, epochs))
    assert results[0] == results[1]


def test_memory_is_bounded() -> None:
    """Guards against memory growth when many upstreams crash under load."""
    state = QuarantineState("s")
    for number in range(quarantine.MAXIMUM_CRASHES + 10):
        suspects = {f"{number}-{n}" for n in range(300)}
        state.record_crash(f"u{number}", 0, suspects, float(number) / 10)
    message = state.publish(20.0, full=True)
    sizes = [len(crash.suspects) for crash in message.crashes]
    assert sizes == [quarantine.MAXIMUM_SUSPECTS] * quarantine.MAXIMUM_CRASHES
    assert not state.must_run_alone("0-0", 20.0)
