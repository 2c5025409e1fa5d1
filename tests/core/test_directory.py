"""Directory of upstreams: order of reports, expiry and late copies."""

from dataclasses import replace

import pytest

from lacewingspar_core.directory import (
    EXPIRY_GRACE_SECONDS,
    ChangeKind,
    DirectoryChange,
    UpstreamDirectory,
    UpstreamEntry,
    UpstreamState,
)

ENTRY = UpstreamEntry(
    upstream_id="u1",
    service="s",
    address="10.0.0.1:80",
    data_centre="dc",
    slots=4,
    state=UpstreamState.READY,
    born_ms=1000,
    sequence=5,
    warm_up_seconds=0.0,
)
DRAINING = replace(ENTRY, state=UpstreamState.DRAINING, sequence=6)


def kind_of(change: DirectoryChange | None) -> ChangeKind | None:
    return None if change is None else change.kind


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        (ENTRY, None),
        (replace(ENTRY, sequence=4), None),
        (replace(ENTRY, sequence=6), None),
        (DRAINING, ChangeKind.CHANGED),
        (replace(ENTRY, sequence=6, slots=2), ChangeKind.CHANGED),
        (replace(ENTRY, born_ms=999, sequence=9), None),
        (replace(ENTRY, born_ms=1001, sequence=0), ChangeKind.RESTARTED),
    ],
)
def test_only_newer_reports_are_applied(
    entry: UpstreamEntry, expected: ChangeKind | None
) -> None:
    """Guards against late reports that restore a draining upstream."""
    directory = UpstreamDirectory()
    assert kind_of(directory.apply(ENTRY)) is ChangeKind.ADDED
    assert kind_of(directory.apply(entry)) is expected


def test_draining_upstream_gets_no_work_and_stays_removed() -> None:
    directory = UpstreamDirectory()
    directory.apply(DRAINING)
    assert directory.ready_upstreams("s") == {}
    assert directory.entry_by_id == {"u1": DRAINING}
    directory.remove("u1", 10.0, grace_seconds=0.0)
    assert directory.apply(replace(ENTRY, sequence=5)) is None
    assert directory.entry_by_id == {}


def test_expired_upstream_is_kept_during_the_grace_period() -> None:
    """Guards against an empty pool after an outage of the registry."""
    directory = UpstreamDirectory()
    directory.apply(ENTRY)
    change = directory.remove("u1", 10.0, grace_seconds=EXPIRY_GRACE_SECONDS)
    assert kind_of(change) is ChangeKind.EXPIRED
    assert set(directory.ready_upstreams("s")) == {"u1"}
    assert directory.expire(10.0 + EXPIRY_GRACE_SECONDS / 2) == []
    (removed,) = directory.expire(10.0 + EXPIRY_GRACE_SECONDS)
    assert removed.kind is ChangeKind.REMOVED
    assert directory.ready_upstreams("s") == {}


def test_expired_upstream_that_reports_again_is_kept() -> None:
    directory = UpstreamDirectory()
    directory.apply(ENTRY)
    directory.remove("u1", 10.0, grace_seconds=EXPIRY_GRACE_SECONDS)
    directory.apply(replace(ENTRY, sequence=7))
    assert directory.expire(20.0) == []
    assert set(directory.ready_upstreams("s")) == {"u1"}


@pytest.mark.parametrize(
    ("is_expiring", "sequences", "kinds"),
    [
        (False, [5, 6, 7], [None, None, None]),
        (True, [4, 5], [None, ChangeKind.RELISTED]),
        (
            True,
            [5, 5, 6, 7],
            [ChangeKind.RELISTED, None, ChangeKind.CHANGED, None],
        ),
        (True, [6, 7], [ChangeKind.CHANGED, None]),
    ],
)
def test_expired_report_that_is_listed_again_is_a_change(
    is_expiring: bool, sequences: list[int], kinds: list[ChangeKind | None]
) -> None:
    """Guards against other routers that still drop the upstream (case 9).

    One that has dropped it already accepts the next report only.
    """
    directory = UpstreamDirectory()
    directory.apply(ENTRY)
    if is_expiring:
        directory.remove("u1", 10.0, grace_seconds=EXPIRY_GRACE_SECONDS)
    changes = [
        directory.apply(replace(ENTRY, sequence=number)) for number in sequences
    ]
    assert [kind_of(change) for change in changes] == kinds
    assert directory.expire(20.0) == []


def test_draining_upstream_is_removed_at_once() -> None:
    """Guards against new work for an upstream that has shut down."""
    directory = UpstreamDirectory()
    directory.apply(DRAINING)
    change = directory.remove("u1", 10.0, grace_seconds=EXPIRY_GRACE_SECONDS)
    assert kind_of(change) is ChangeKind.REMOVED


def test_listing_removes_missing_upstreams() -> None:
    directory = UpstreamDirectory()
    directory.apply(ENTRY)
    other = replace(ENTRY, upstream_id="u2")
    changes = directory.apply_listing({"u2": other}, 1.0, grace_seconds=0.0)
    assert [(item.kind, item.entry.upstream_id) for item in changes] == [
        (ChangeKind.ADDED, "u2"),
        (ChangeKind.REMOVED, "u1"),
    ]


@pytest.mark.parametrize(
    ("leaving_born_ms", "entry", "is_ready"),
    [
        (1000, replace(ENTRY, sequence=6), False),
        (1000, replace(ENTRY, born_ms=1001, sequence=0), True),
        (999, ENTRY, True),
        (1001, ENTRY, False),
        (1001, replace(ENTRY, born_ms=1001, sequence=0), False),
        (1001, replace(ENTRY, born_ms=1002, sequence=0), True),
    ],
)
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_announced_shutdown_holds_for_its_incarnation_only(
    leaving_born_ms: int,
    entry: UpstreamEntry,
    is_ready: bool,
    is_listed_first: bool,
) -> None:
    """Guards against "ready" reports after an upstream said that it leaves."""
    directory = UpstreamDirectory()
    if is_listed_first:
        directory.apply(ENTRY)
    directory.mark_leaving("u1", leaving_born_ms, 10.0)
    directory.apply(entry)
    assert ("u1" in directory.ready_upstreams("s")) is is_ready
    assert directory.mark_leaving("u1", leaving_born_ms, 11.0) is None


def test_report_of_an_announced_shutdown_is_a_change_once() -> None:
    """Guards against changes that only the routers with the notice know."""
    directory = UpstreamDirectory()
    directory.apply(ENTRY)
    assert directory.mark_leaving("u1", ENTRY.born_ms, 10.0) is not None
    reports = [
        replace(ENTRY, sequence=6),
        replace(DRAINING, sequence=7),
        replace(DRAINING, sequence=8),
    ]
    kinds = [kind_of(directory.apply(report)) for report in reports]
    assert kinds == [None, ChangeKind.CHANGED, None]
    assert directory.ready_upstreams("s") == {}
