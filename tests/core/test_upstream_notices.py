"""Notices of upstreams: which states follow, by incarnation and time."""

import pytest

from lacewingspar_core import upstream_notices
from lacewingspar_core.upstream_notices import (
    PROBE_SECONDS,
    UNLISTED_MEMORY_SECONDS,
    Leaving,
    RetryAfter,
    UpstreamNotice,
    UpstreamNotices,
)

WAIT = RetryAfter(2.0)
LEAVING = Leaving()


@pytest.mark.parametrize(
    ("notices", "expected_news", "withheld_at"),
    [
        # Each notice: time, incarnation, notice. Then the times at which the
        # upstream gets no request, of 1, 3 and 9 seconds.
        ([(0, 1, WAIT)], [True], {1}),
        ([(0, 1, WAIT), (0.5, 1, WAIT)], [True, False], {1}),
        ([(0, 1, RetryAfter(5.0)), (1, 1, WAIT)], [True, False], {1, 3}),
        ([(0, 1, RetryAfter(0.5)), (1, 1, WAIT)], [True, True], {1}),
        ([(0, 1, LEAVING)], [True], {1, 3, 9}),
        ([(0, 1, LEAVING), (0, 1, WAIT)], [True, False], {1, 3, 9}),
        ([(0, 1, WAIT), (0, 1, LEAVING)], [True, True], {1, 3, 9}),
        ([(0, 2, WAIT), (0, 1, LEAVING)], [True, False], {1}),
        ([(0, 1, LEAVING), (0, 2, WAIT)], [True, True], {1}),
    ],
)
def test_notices_withhold_requests(
    notices: list[tuple[float, int, UpstreamNotice]],
    expected_news: list[bool],
    withheld_at: set[int],
) -> None:
    """Guards against waits that end early and notices of an old process."""
    known = UpstreamNotices()
    news = [
        known.record("u", born_ms, notice, now)
        for now, born_ms, notice in notices
    ]
    assert news == expected_news
    times = {time for time in (1, 3, 9) if known.withheld(time) == {"u"}}
    assert times == withheld_at


def test_one_request_probes_an_upstream_after_its_wait() -> None:
    """Guards against a flood of requests at the end of a wait."""
    known = UpstreamNotices()
    known.record("u", 1, WAIT, 0.0)
    assert not known.try_begin("u", 1, 1.9)
    assert known.try_begin("u", 2, 2.0)
    assert not known.try_begin("u", 3, 2.0)
    known.end_probe("u", 3)
    assert not known.try_begin("u", 4, 2.0)
    assert known.try_begin("u", 5, 2.0 + PROBE_SECONDS)
    known.end_probe("u", 5)
    assert all(known.try_begin("u", number, 2.6) for number in range(6, 9))


def test_slow_responses_end_the_probing_of_an_upstream() -> None:
    """Guards against one request per probe interval for as long as load lasts.

    Load: a request every 0.1 s; each response takes 0.7 s.
    """
    known = UpstreamNotices()
    known.record("u", 1, WAIT, 0.0)
    begun = [
        (step, known.try_begin("u", step, step / 10)) for step in range(20, 27)
    ]
    assert [step for step, is_sent in begun if is_sent] == [20, 25]
    known.end_probe("u", 20)
    assert known.try_begin("u", 27, 2.7)
    assert known.try_begin("u", 28, 2.7)


def test_new_incarnation_is_not_taken_for_the_old_one() -> None:
    known = UpstreamNotices()
    known.record("u", 2, LEAVING, 0.0)
    # The hint about the second incarnation came before its entry.
    known.record_incarnation("u", 1)
    assert known.is_leaving("u", 1)
    known.record_incarnation("u", 2)
    assert known.is_leaving("u", 2)
    known.record_incarnation("u", 3)
    assert not known.is_leaving("u", 3)
    assert known.try_begin("u", 1, 0.0)


def test_memory_of_notices_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_notices, "MAX_NOTICES", 2)
    known = UpstreamNotices()
    for name in ("a", "b", "c"):
        known.record(name, 1, LEAVING, 0.0)
    assert known.withheld(0.0) == {"b", "c"}
    known.forget_unlisted({"b"}, UNLISTED_MEMORY_SECONDS + 1.0)
    assert known.withheld(0.0) == {"b"}
