"""Tests of the quarantine of prompt parts that crash upstreams."""

import itertools
from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingspar_core import prompt_quarantine, prompt_suspects
from lacewingspar_core.prompt_quarantine import (
    PROBE_SECONDS,
    PartQuarantined,
    PartReleased,
    PromptQuarantine,
)
from lacewingspar_core.prompt_suspects import (
    CRASH_WINDOW_SECONDS,
    FIRST_REFUSAL_SECONDS,
    REFUSAL_FACTOR,
    SUSPICION_SECONDS,
    Prompt,
    PromptRun,
    prompt_of,
)

# Time between the crashes of a test, and from the sending to the crash.
CRASH_INTERVAL_SECONDS = 2.0
RUN_SECONDS = 0.1
# Of the requests with a crashing part that are sent after so many crashes, as
# many may reach upstreams.
CRASHES_UNTIL_COUNTED = 5
MAX_LATE_REQUESTS = 3


def prompt(parts: Iterable[str], workspace: str = "alpha") -> Prompt:
    return prompt_of(workspace, parts)


def record(
    state: PromptQuarantine,
    upstream_id: str,
    prompts: Iterable[Prompt],
    now: float,
    sent_at: float | None = None,
) -> None:
    sent_at = now - RUN_SECONDS if sent_at is None else sent_at
    runs = [PromptRun(item, sent_at) for item in prompts]
    state.record_crash((upstream_id, 0), runs, now)


def after_crashes(*crashes: str, proven: str = "") -> PromptQuarantine:
    """Return a state after crashes, each of some prompts of one-letter parts.

    The parts in `proven` are proven after each crash.
    """
    state = PromptQuarantine()
    for number, prompts in enumerate(crashes):
        now = number * CRASH_INTERVAL_SECONDS
        record(state, f"u{number}", map(prompt, prompts.split()), now)
        state.record_proof(prompt(proven), now + 0.5)
    return state


def is_refused(
    state: PromptQuarantine,
    parts: str,
    now: float,
    workspace: str = "alpha",
) -> bool:
    refusal = state.refusal(prompt(parts, workspace), now, lambda: False)
    return refusal is not None


@pytest.mark.parametrize(
    ("crashes", "proven", "refused", "sent"),
    [
        (["p", "p"], "", "", "p"),
        (["p", "p", "p"], "", "p", "a"),
        (["ap", "ap", "ap"], "a", "ap p bp", "a ab"),
        (["ap", "bp", "cp"], "", "p ap xp", "a b c"),
        (["ap", "ap", "ap"], "", "ap apb", "a p ab bp"),
        (["ap", "ap", "ap", "bp"], "", "ap bp p", "a ab"),
        (["ap bc", "ap bc", "ap de"], "abcde", "ap p", "bc de"),
        (["a", "a", "a"], "a", "", "a"),
        (["ap", "bq", "ap", "bq", "ap", "bq"], "ab", "ap bq", "a b"),
    ],
)
def test_parts_that_crash_upstreams_are_refused(
    crashes: list[str], proven: str, refused: str, sent: str
) -> None:
    """Guards against parts that crash on, and against refusing sound ones.

    Parts that took part in the same crashes are refused only together.
    """
    now = len(crashes) * CRASH_INTERVAL_SECONDS
    for parts in refused.split():
        assert is_refused(after_crashes(*crashes, proven=proven), parts, now)
    for parts in sent.split():
        assert not is_refused(
            after_crashes(*crashes, proven=proven), parts, now
        )


@pytest.mark.parametrize(
    ("proven_at", "run_seconds", "probe_at"),
    [
        (-5.0, 1.0, None),
        (None, 1.0, SUSPICION_SECONDS),
        (None, 0.01, 0.14 + FIRST_REFUSAL_SECONDS * REFUSAL_FACTOR**5),
    ],
    ids=["popular", "new", "one after the other"],
)
def test_crashes_at_the_same_moment_count_once(
    proven_at: float | None, run_seconds: float, probe_at: float | None
) -> None:
    """Guards against refusing a popular part after the loss of many upstreams.

    A crash counts if its request was sent after the one counted before. A part
    that no response has proven is suspected (review case 8).
    """
    state = PromptQuarantine()
    if proven_at is not None:
        state.record_proof(prompt("a"), proven_at)
    for number in range(8):
        at = 0.02 * number
        record(state, f"u{number}", [prompt("a")], at, at - run_seconds)
    refusal = state.refusal(prompt("a"), 1.0, lambda: True)
    seconds = None if refusal is None else refusal.seconds
    expected = None if probe_at is None else pytest.approx(probe_at - 1.0)
    assert seconds == expected


@pytest.mark.parametrize("batch", [3, 5, 8, 16])
@pytest.mark.parametrize("gap_seconds", [3.5, 7.0, 40.0])
def test_requests_with_a_crashing_part_that_come_at_once_are_contained(
    batch: int, gap_seconds: float
) -> None:
    """Guards against a part that crashes many upstreams at once, repeatedly.

    Requests come at four routers, no two alike (review case 8).
    """
    states = [PromptQuarantine() for _ in range(4)]
    crashes = late = 0
    for number in range(8):
        now = number * gap_seconds
        sent = []
        for request in range(batch):
            sender = request % len(states)
            item = prompt(["p"])
            refusal = states[sender].refusal(
                item, now, lambda sender=sender: sender == 0
            )
            if refusal is None:
                sent.append((sender, item))
        if crashes >= CRASHES_UNTIL_COUNTED:
            late += len(sent)
        for request, (sender, item) in enumerate(sent):
            at = now + RUN_SECONDS + request / 1000
            record(states[sender], f"u{number}-{request}", [item], at, now)
        crashes += len(sent)
        for message in [state.publish(now + 1.0) for state in states]:
            for receiver in states:
                receiver.merge(message, now + 1.0)
    assert late <= MAX_LATE_REQUESTS


@pytest.mark.parametrize(
    ("first_output_at", "sent_at", "is_suspect"),
    [
        (None, 9.9, True),
        (9.9, 9.8, True),
        (9.7, 9.6, False),
        (None, 10.01, False),
        (None, float("inf"), False),
    ],
)
def test_only_requests_without_a_begun_response_are_suspects(
    first_output_at: float | None, sent_at: float, is_suspect: bool
) -> None:
    """Guards against suspecting streams under way and requests not yet sent."""
    state = PromptQuarantine()
    run = PromptRun(prompt("a"), sent_at, first_output_at)
    state.record_crash(("u", 0), [run], 10.0)
    assert state.has_suspect(prompt("a")) is is_suspect


def test_begun_responses_release_a_part() -> None:
    """Guards against refusing a part while responses to it are under way."""
    state = after_crashes("p", "p", "p")
    now = 3 * CRASH_INTERVAL_SECONDS
    assert is_refused(state, "p", now)
    (quarantined,) = state.take_events()
    assert isinstance(quarantined, PartQuarantined)
    assert quarantined.upstream_ids == ("u0", "u1", "u2")
    state.record_begun([PromptRun(prompt("p"), now, now + 0.1)], now + 0.2)
    assert is_refused(state, "p", now + 0.2)
    state.record_begun([PromptRun(prompt("p"), now, now + 0.1)], now + 0.5)
    assert not is_refused(state, "p", now + 0.5)
    assert state.take_events() == [PartReleased("p")]


def test_part_proven_just_before_a_crash_is_no_suspect() -> None:
    state = PromptQuarantine()
    state.record_proof(prompt("a"), 9.5)
    record(state, "u", [prompt("ap")], 10.0)
    assert not state.has_suspect(prompt("a"))
    assert state.has_suspect(prompt("p"))


# Times from each crash of a probe to the next probe, in seconds.
DISTANCES = [
    FIRST_REFUSAL_SECONDS,
    FIRST_REFUSAL_SECONDS * REFUSAL_FACTOR,
    FIRST_REFUSAL_SECONDS * REFUSAL_FACTOR**2,
]


@pytest.mark.parametrize(
    ("proven_at", "distances"),
    [
        (None, DISTANCES),
        (-CRASH_WINDOW_SECONDS - 1.0, DISTANCES),
        (-CRASH_WINDOW_SECONDS, [SUSPICION_SECONDS, *DISTANCES]),
        (-2.0, [SUSPICION_SECONDS, *DISTANCES]),
    ],
)
def test_probes_come_one_at_a_time_and_with_growing_distance(
    proven_at: float | None, distances: list[float]
) -> None:
    """Guards against a wrong verdict without an end, and against many probes.

    Each probe crashes an upstream. A part that was proven before its crashes is
    probed soon, as a popular part is in flight wherever upstreams crash (review
    case 10).
    """
    state = PromptQuarantine()
    if proven_at is not None:
        state.record_proof(prompt("p"), proven_at)
    for number in range(3):
        at = number * CRASH_INTERVAL_SECONDS
        record(state, f"u{number}", [prompt("p")], at)
    now = 2 * CRASH_INTERVAL_SECONDS
    for number, distance in enumerate(distances):
        early, probe, other = (prompt("p") for _ in range(3))
        just_before = now + distance - 0.1
        assert state.refusal(early, just_before, lambda: True) is not None
        now += distance
        assert state.refusal(early, now, lambda: False) is not None
        assert state.refusal(probe, now, lambda: True) is None
        assert state.refusal(probe, now + 1.0, lambda: True) is None
        refusal = state.refusal(other, now + 1.0, lambda: True)
        assert refusal is not None
        assert refusal.seconds == pytest.approx(PROBE_SECONDS - 1.0)
        now += 1.0
        record(state, f"probe{number}", [probe], now)
    state.record_proof(prompt("p"), now + 1.0)
    assert not is_refused(state, "p", now + 1.0)


def test_routers_share_what_speaks_for_a_part() -> None:
    """Guards against a long refusal at a router that has not run the part."""
    observer, other = PromptQuarantine(), PromptQuarantine()
    observer.record_proof(prompt("p"), -2.0)
    for number in range(3):
        at = number * CRASH_INTERVAL_SECONDS
        record(observer, f"u{number}", [prompt("p")], at)
        other.merge(observer.publish(at), at)
    now = 2 * CRASH_INTERVAL_SECONDS
    refusal = other.refusal(prompt("p"), now, lambda: True)
    assert refusal is not None
    assert refusal.seconds == SUSPICION_SECONDS


def test_unfinished_probe_is_followed_by_another() -> None:
    state = after_crashes("p", "p", "p")
    due_at = 2 * CRASH_INTERVAL_SECONDS + FIRST_REFUSAL_SECONDS
    assert state.refusal(prompt("p"), due_at, lambda: True) is None
    later = due_at + PROBE_SECONDS
    assert state.refusal(prompt("p"), later, lambda: True) is None


@pytest.mark.parametrize(
    ("workspaces", "refused"),
    [("aaa", "a"), ("aab", "abc"), ("abc", "abcd")],
)
def test_only_workspaces_that_crashed_upstreams_are_refused(
    workspaces: str, refused: str
) -> None:
    """Guards against a workspace that has the parts of another one refused."""
    state = PromptQuarantine()
    for number, workspace in enumerate(workspaces):
        now = number * CRASH_INTERVAL_SECONDS
        record(state, f"u{number}", [prompt("p", workspace)], now)
    now = len(workspaces) * CRASH_INTERVAL_SECONDS
    assert [w for w in "abcd" if is_refused(state, "p", now, w)] == [
        w for w in "abcd" if w in refused or len(set(workspaces)) > 1
    ]


def test_old_crashes_are_forgotten() -> None:
    state = PromptQuarantine()
    for number in range(4):
        now = number * (prompt_suspects.CRASH_WINDOW_SECONDS + 1.0)
        record(state, f"u{number}", [prompt("p")], now)
        assert not is_refused(state, "p", now)


def test_memory_is_bounded_and_verdicts_stay() -> None:
    """Guards against requests with many parts that push out a verdict."""
    state = after_crashes("p", "p", "p")
    numbers = itertools.count()
    for crash in range(200):
        prompts = [
            prompt(f"n{next(numbers)}" for _ in range(1000)) for _ in range(3)
        ]
        record(state, f"v{crash}", prompts, 10.0 + crash)
    records = state.publish(300.0, full=True)
    assert len(records) <= prompt_quarantine.MAXIMUM_SUSPECTS
    assert "p" in {item.part for item in records}
    for number in range(100):
        record(state, f"w{number}", [prompt("p")], 300.0 + number)
    (item,) = (r for r in state.publish(400.0, full=True) if r.part == "p")
    assert len(item.crashes) <= prompt_suspects.MAXIMUM_CRASHES_PER_PART


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("crash"), st.sampled_from(["a", "p", "ap"])),
            st.tuples(st.just("proof"), st.sampled_from(["a", "p"])),
        ),
        max_size=12,
    ),
    st.randoms(),
)
@settings(max_examples=200, deadline=None)
def test_routers_agree_in_any_order_of_messages(
    events: list[tuple[str, str]], order: object
) -> None:
    """Guards against verdicts that depend on lost order or repetition."""
    routers = [PromptQuarantine() for _ in range(3)]
    for number, (kind, parts) in enumerate(events):
        router = routers[number % len(routers)]
        now = number * CRASH_INTERVAL_SECONDS
        if kind == "crash":
            record(router, f"u{number}", [prompt(parts)], now)
        else:
            router.record_proof(prompt(parts), now)
    end = len(events) * CRASH_INTERVAL_SECONDS
    # The second exchange sends proofs to routers that had not heard of them.
    for _ in range(2):
        messages = [router.publish(end, full=True) for router in routers]
        messages += [router.publish(end) for router in routers]
        for router in routers:
            shuffled = messages * 2
            order.shuffle(shuffled)  # type: ignore[attr-defined]
            for message in shuffled:
                router.merge(message, end)
    verdicts = [
        [(item.part, len(item.upstream_ids)) for item in router.quarantined()]
        for router in routers
    ]
    assert all(sorted(item) == sorted(verdicts[0]) for item in verdicts)
