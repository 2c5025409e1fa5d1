"""Quarantine of requests that crash upstreams."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core.messages import (
    CrashRecord,
    Quarantine,
    decode_message,
    encode_message,
)
from lacewingspar_core.quarantine import (
    MAXIMUM_CRASHES,
    MAXIMUM_SUSPECTS,
    MERGE_AGE_LIMIT_SECONDS,
    QUARANTINE_SECONDS,
    RETENTION_SECONDS,
    QuarantineState,
    fingerprint,
)


def _state(
    *crashes: str, cleared_after: int = -1, name: str = "x"
) -> QuarantineState:
    """Return a state after crashes at 0 s, 1 s and so on."""
    state = QuarantineState("s")
    for number, suspects in enumerate(crashes):
        state.on_crash(f"u{number}", 0, suspects, float(number))
        if number == cleared_after:
            state.on_success(name, float(number))
    return state


def test_fingerprint_separates_its_parts() -> None:
    """Guards against different requests with one fingerprint."""
    parts = [("s", "/a", b"b"), ("s", "/ab", b""), ("s/", "a", b"b")]
    assert len({fingerprint(*part) for part in parts}) == 3


@pytest.mark.parametrize(
    ("crashes", "refused"),
    [
        (["x"], ""),
        (["x", "x"], "x"),
        (["xab", "xcd"], "x"),
        (["xa", "xa"], ""),
        (["xa", "xa", "xa"], "ax"),
        (["xa", "bc", "xd"], "x"),
        (["xa", "xa", "xb"], "x"),
    ],
)
def test_crashes_that_lead_to_quarantine(
    crashes: list[str], refused: str
) -> None:
    """Guards against lost upstreams and against refusing bystanders."""
    state = _state(*crashes)
    assert [n for n in "abcdx" if state.is_refused(n, 2.0)] == list(refused)


@pytest.mark.parametrize(
    ("crashes", "cleared_after", "x_alone", "x_refused", "a_refused"),
    [
        (["xa"], 0, False, False, False),
        (["xa", "xb"], 0, True, False, False),
        (["xa", "xa"], 1, False, False, True),
        (["x", "x"], 0, True, True, False),
    ],
)
def test_completed_run_clears_shared_crashes_only(
    crashes: list[str],
    cleared_after: int,
    x_alone: bool,
    x_refused: bool,
    a_refused: bool,
) -> None:
    """Guards against quarantine of a frequent request that works."""
    state = _state(*crashes, cleared_after=cleared_after)
    assert state.must_run_alone("x", 2.0) is x_alone
    assert state.is_refused("x", 2.0) is x_refused
    assert state.is_refused("a", 2.0) is a_refused


def test_quarantine_ends_and_records_expire() -> None:
    """Guards against state that stays for ever."""
    state = _state("x", "x")
    assert state.is_refused("x", 0.9 + QUARANTINE_SECONDS)
    assert not state.is_refused("x", 1.0 + QUARANTINE_SECONDS)
    assert not state.must_run_alone("x", 1.0 + QUARANTINE_SECONDS)
    message = state.publish(1.0 + RETENTION_SECONDS, full=True)
    assert message == Quarantine("s", ())
    expiring = CrashRecord("u", 0, MERGE_AGE_LIMIT_SECONDS, ("x",), ())
    state.merge(Quarantine("s", (expiring,)), 1.0 + RETENTION_SECONDS)
    assert not state.must_run_alone("x", 1.0 + RETENTION_SECONDS)


def test_crashes_seen_by_two_routers_count_once() -> None:
    """Guards against a quarantine from one crash with two observers."""
    states = [QuarantineState("s"), QuarantineState("s")]
    epoch = states[0].epoch("u")
    for state, suspects in zip(states, ("x", "a"), strict=True):
        state.on_crash("u", epoch, suspects, 0.0)
    _exchange(states, 0.1)
    assert states[0].publish(0.1, full=True) == states[1].publish(
        0.1, full=True
    )
    states[0].on_crash("u", states[0].epoch("u"), "xa", 1.0)
    assert not states[0].is_refused("x", 1.0)
    assert states[0].must_run_alone("x", 1.0)


def _exchange(states: list[QuarantineState], now: float) -> None:
    for sender in states:
        message = sender.publish(now)
        for receiver in states:
            if message is not None and receiver is not sender:
                received = decode_message(encode_message(message))
                assert isinstance(received, Quarantine)
                receiver.merge(received, now)


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(0, 2),
            st.frozensets(st.sampled_from("abc")),
        ),
        min_size=30,
        max_size=30,
    )
)
def test_one_request_costs_at_most_three_upstreams(
    attempts: list[tuple[int, int, frozenset[str]]],
) -> None:
    """Guards against a caller that goes from router to router.

    Each attempt names a router, an upstream and the requests that run next to
    the crashing one, whether or not they are suspects themselves.
    """
    states = [QuarantineState("s") for _ in range(4)]
    lost = 0
    for now, (router, upstream, others) in enumerate(attempts):
        state = states[router]
        if state.is_refused("x", now):
            continue
        epoch = state.epoch(f"u{upstream}")
        state.on_crash(f"u{upstream}", epoch, {"x"}, now)
        for number, name in enumerate(sorted(others)):
            states[number].on_crash(f"u{upstream}", epoch, {name}, now)
        _exchange(states, now)
        lost += 1
    assert lost <= 3


RECORDS = st.builds(
    CrashRecord,
    st.sampled_from(["u", "v"]),
    st.integers(0, 2),
    st.floats(0.0, MERGE_AGE_LIMIT_SECONDS + 10.0),
    st.lists(st.sampled_from("abcd"), max_size=4).map(tuple),
    st.just(()),
).flatmap(
    lambda record: st.lists(
        st.sampled_from(record.suspects or ("a",)),
        max_size=2 if record.suspects else 0,
    ).map(
        lambda cleared: CrashRecord(
            record.upstream_id,
            record.epoch,
            record.age_seconds,
            record.suspects,
            tuple(cleared),
        )
    )
)


@settings(derandomize=True)
@given(st.lists(RECORDS, max_size=8), st.data())
def test_order_and_repetition_of_messages_do_not_matter(
    records: list[CrashRecord], data: st.DataObject
) -> None:
    """Guards against routers that disagree after the same messages."""
    repeated = records + data.draw(st.permutations(records))
    first, second = QuarantineState("s"), QuarantineState("s")
    for record in records:
        first.merge(Quarantine("s", (record,)), 5000.0)
    for record in data.draw(st.permutations(repeated)):
        second.merge(Quarantine("s", (record,)), 5000.0)
    assert first.publish(5000.0, full=True) == second.publish(5000.0, full=True)
    for name in "abcd":
        assert first.refused_until(name, 5000.0) == second.refused_until(
            name, 5000.0
        )
    assert [first.epoch(n) for n in "uv"] == [second.epoch(n) for n in "uv"]


def test_memory_is_bounded() -> None:
    """Guards against growth when many upstreams fail under load."""
    state = QuarantineState("s")
    for number in range(MAXIMUM_CRASHES + 10):
        suspects = {f"{number}-{n}" for n in range(MAXIMUM_SUSPECTS + 10)}
        state.on_crash(f"u{number}", 0, suspects, float(number) / 10)
    message = state.publish(20.0, full=True)
    assert message is not None
    assert len(message.crashes) == MAXIMUM_CRASHES
    assert {len(crash.suspects) for crash in message.crashes} == {
        MAXIMUM_SUSPECTS
    }
    assert not state.must_run_alone("0-0", 20.0)
