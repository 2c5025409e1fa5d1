"""Tests of the rules of the claim stream."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core import claims
from lacewingspar_core.errors import RecordGapError
from lacewingspar_core.identity import RouterInstance

LIVES = [RouterInstance("a", 1), RouterInstance("b", 1)]
WINDOW_MS = 1000


def claim(key: bytes = b"k", instance: int = 0) -> claims.Claim:
    return claims.Claim(key, b"digest", LIVES[instance], 1)


def outcome(offset: int, body: bytes | None = b"ok") -> claims.Outcome:
    return claims.Outcome(offset, 200, "text/plain", body)


def state_after(*records: tuple[int, Any]) -> claims.ClaimState:
    state = claims.ClaimState(WINDOW_MS)
    for offset, (time_ms, record) in enumerate(records):
        claims.apply_claim_record(state, offset, time_ms, record)
    return state


@pytest.mark.parametrize(
    ("before", "time_ms", "has_won"),
    [
        ([], 0, True),
        ([(0, claim())], 0, False),
        ([(0, claim(b"other"))], 0, True),
        ([(0, claim())], WINDOW_MS - 1, False),
        ([(0, claim())], WINDOW_MS, True),
        ([(0, claim()), (0, claims.Release(0))], 0, True),
        ([(0, claim()), (0, claims.Release(1))], 0, False),
        ([(0, claim()), (0, outcome(0))], 0, False),
        ([(0, claim()), (0, outcome(0)), (0, claims.Release(0))], 0, False),
        ([(0, claim()), (0, claim()), (0, claims.Release(0))], 0, False),
        (
            [
                (0, claim()),
                (0, claim()),
                (0, claims.Release(0)),
                (0, claims.Release(1)),
            ],
            0,
            True,
        ),
        ([(0, claim()), (900, claim())], WINDOW_MS, False),
        ([(0, claim()), (WINDOW_MS, None)], 500, True),
        ([(WINDOW_MS, None), (0, claim())], WINDOW_MS + 500, False),
    ],
)
def test_claim_wins(
    before: list[tuple[int, Any]], time_ms: int, has_won: bool
) -> None:
    """Guards against two winners and against a key that is never released."""
    state = state_after(*before, (time_ms, claim(instance=1)))
    entry = state.entry_by_offset(len(before))
    assert entry is not None
    assert entry.has_won is has_won


def test_known_record_is_ignored_and_gap_is_rejected() -> None:
    state = state_after((0, claim()))
    assert len(claims.apply_claim_record(state, 0, 0, claims.Release(0))) == 1
    with pytest.raises(RecordGapError):
        claims.apply_claim_record(state, 2, 0, None)
    state.skip_to(2)
    assert (
        claims.apply_claim_record(
            state, 2, 0, claims.Release(0)
        ).entry_by_offset(0)
        is None
    )


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, True),
        ({"now": 109.99}, True),
        ({"now": 110.0}, False),
        ({"offset": 1}, False),
        ({"offset": 2}, False),
        ({"instance": LIVES[1]}, False),
        ({"key_time_ms": -WINDOW_MS + 1}, True),
        ({"key_time_ms": -WINDOW_MS}, False),
    ],
)
def test_may_send(change: dict[str, Any], expected: bool) -> None:
    """Guards against sending with a lost, late, foreign or expired claim."""
    state = state_after((0, claim()), (0, claim(instance=0)))
    values = {
        "instance": LIVES[0],
        "offset": 0,
        "appended_at": 100.0,
        "key_time_ms": None,
        "now": 101.0,
        **change,
    }
    now = values.pop("now")
    assert claims.may_send(state, claims.OwnClaim(**values), now) is expected


def test_first_outcome_is_kept() -> None:
    state = state_after((0, claim()), (0, outcome(0)), (0, outcome(0, b"no")))
    entry = state.entry_by_key(b"k")
    assert entry is not None
    assert entry.outcome == outcome(0)


def test_body_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against outcome bodies that fill the router's memory."""
    monkeypatch.setattr(claims, "MAX_TOTAL_OUTCOME_BODY_BYTES", 10)
    state = claims.ClaimState(WINDOW_MS)
    for number in range(4):
        key = bytes([number])
        claims.apply_claim_record(state, 2 * number, 0, claim(key))
        body = b"x" * (9000 if number == 3 else 4)
        claims.apply_claim_record(
            state, 2 * number + 1, 0, outcome(2 * number, body)
        )
    kept = []
    for number in range(4):
        entry = state.entry_by_key(bytes([number]))
        assert entry is not None
        assert entry.outcome is not None
        kept.append(entry.outcome.body is not None)
    assert kept == [False, True, True, False]
    assert state.body_bytes == 8


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017F22E279B0),
        ("017F22E279B07CC398C4DC0C0C07398F", 0x017F22E279B0),
        ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", None),
        ("order 17", None),
    ],
)
def test_key_time(key: str, expected: int | None) -> None:
    assert claims.key_time_ms(key) == expected


def test_claim_keys_are_scoped_to_workspaces() -> None:
    keys = {claims.claim_key("s", "w", "k"), claims.claim_key("s", "v", "k")}
    assert len(keys) == 2
    assert {len(key) for key in keys} == {16}


@pytest.mark.parametrize("record", [claim(), claims.Release(3), outcome(3)])
def test_record_encoding_round_trip(record: Any) -> None:
    assert claims.decode_record(claims.encode_record(record)) == record
    assert claims.decode_record(claims.encode_record(record)[:-1]) is None


RECORDS = (
    st.builds(claim, st.sampled_from([b"k", b"l"]), st.integers(0, 1))
    | st.builds(claims.Release, st.integers(0, 20))
    | st.builds(outcome, st.integers(0, 20))
    | st.none()
)


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(st.tuples(st.integers(0, 700), RECORDS), max_size=20),
    st.integers(0, 20),
)
def test_late_reader_agrees_on_claims_after_its_window(
    steps: list[tuple[int, Any]], start: int
) -> None:
    """Guards against a result that depends on expired records."""
    time_ms = 0
    full, late = claims.ClaimState(WINDOW_MS), claims.ClaimState(WINDOW_MS)
    late.skip_to(start)
    started_ms: int | None = None
    for offset, (pause_ms, record) in enumerate(steps):
        time_ms += pause_ms
        if offset == start:
            started_ms = time_ms
        claims.apply_claim_record(full, offset, time_ms, record)
        claims.apply_claim_record(late, offset, time_ms, record)
        if started_ms is None or time_ms < started_ms + WINDOW_MS:
            continue
        assert full.entry_by_offset(offset) == late.entry_by_offset(offset)


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 700), RECORDS), max_size=20))
def test_state_is_bounded_by_the_window(steps: list[tuple[int, Any]]) -> None:
    """Guards against memory that grows with the log."""
    state = claims.ClaimState(WINDOW_MS)
    time_ms = 0
    times = []
    for offset, (pause_ms, record) in enumerate(steps):
        time_ms += pause_ms
        claims.apply_claim_record(state, offset, time_ms, record)
        times.append(time_ms)
        recent = [t for t in times if t > time_ms - WINDOW_MS]
        assert len(state) <= len(recent)
