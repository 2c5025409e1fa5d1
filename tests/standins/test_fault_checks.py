"""Tests of the checks of the benchmark `faults`."""

from collections import Counter
from typing import Any, cast

import pytest

from lacewingspar_standins.bench.deployment import SHAPES_BY_NAME
from lacewingspar_standins.bench.fault_actions import GracefulShutdown
from lacewingspar_standins.bench.fault_checks import (
    UpstreamRuns,
    aborted_by_shutdowns,
    differing_versions,
    repeated_runs,
    responses_without_run,
    wrong_not_run,
)
from lacewingspar_standins.bench.fault_edits import VersionMonitor
from lacewingspar_standins.bench.fault_plan import (
    FaultKind,
    Targets,
    draw_rounds,
)
from lacewingspar_standins.load_result import BrokenConnection, LoadResult


def test_breaches_are_found() -> None:
    """Guards against checks that never report a breach."""
    runs = UpstreamRuns(
        by_key=Counter({"ws/twice": 2, "ws/once": 1}),
        by_request_id=Counter(ran=1),
    )
    load = LoadResult(0.0, {}, (), ("ran", "idle"), ("once", "never"), {}, 0.0)
    assert repeated_runs(runs) == ["ws/twice ran 2 times"]
    assert wrong_not_run([load], runs) == ["request ran ran 1 times"]
    assert responses_without_run([load], runs) == [
        "never was answered and never ran"
    ]
    versions: Any = {"a": {"chat": 3}, "b": {"chat": 2}, "c": None}
    assert len(differing_versions(versions, 3)) == 2
    assert len(differing_versions(versions, 4)) == 3


@pytest.mark.parametrize(
    ("address", "at_seconds", "is_aborted"),
    [("r", 9.0, False), ("r", 11.0, True), ("s", 11.0, False)],
)
def test_request_without_response_at_a_shutdown(
    address: str, at_seconds: float, is_aborted: bool
) -> None:
    """Guards against overlooking requests aborted by a graceful shutdown."""
    broken = BrokenConnection(at_seconds, address, "no_answer", "m")
    load = LoadResult(0.0, {}, (), (), (), {}, 0.0, (broken,))
    shutdowns = [GracefulShutdown("r", 10.0, 12.0)]
    assert bool(aborted_by_shutdowns([load], shutdowns)) is is_aborted


def test_reverted_version_is_a_breach() -> None:
    """Guards against overlooking a version that reverts across a restart."""
    watch = VersionMonitor()
    for instance, version in ((1, 5), (1, 4), (2, 4), (2, 5)):
        watch.record_versions("r", cast(Any, instance), {"chat": version})
    assert [text.rsplit(", ", 1)[1] for text in watch.reverted] == [
        "without restart",
        "after restart",
    ]


def test_rounds_depend_on_the_seed_only() -> None:
    targets = Targets({"r1": "dc-1", "r2": "dc-2"}, {"u1": "dc-1"})
    shape = SHAPES_BY_NAME["b"]
    rounds = draw_rounds(1, 200, shape, targets)
    assert rounds == draw_rounds(1, 200, shape, targets)
    assert rounds != draw_rounds(2, 200, shape, targets)
    assert {f.kind for faults in rounds for f in faults} == set(FaultKind)
    for first, *others in rounds:
        assert all(first.kind is not other.kind for other in others)
