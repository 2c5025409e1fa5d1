"""Blocks of upstreams that fail."""

import random

import pytest

from lacewingspar_core.admission_events import RunOutcome
from lacewingspar_core.upstream_trust import (
    FIRST_BLOCK_SECONDS,
    LONGEST_BLOCK_SECONDS,
    UpstreamTrust,
)


@pytest.mark.parametrize(
    ("failed_share", "is_blocked"), [(0.05, False), (0.5, True)]
)
def test_share_of_failures_decides(
    failed_share: float, is_blocked: bool
) -> None:
    """Guards against blocks for the failures that calls have anyway."""
    generator = random.Random(3)
    trust = UpstreamTrust()
    blocks = 0
    for step in range(200):
        failed = generator.random() < failed_share
        outcome = RunOutcome.FAILED if failed else RunOutcome.COMPLETED
        blocks += trust.note(outcome, step * 10.0)
    assert (blocks > 0) is is_blocked


def test_blocks_of_an_unreachable_upstream_grow_and_end() -> None:
    trust = UpstreamTrust()
    now, lengths = 0.0, []
    for _ in range(6):
        assert trust.note_unreachable(now)
        lengths.append(trust.blocked_until - now)
        now = trust.blocked_until
        assert not trust.is_blocked(now)
    assert lengths[0] == FIRST_BLOCK_SECONDS
    assert max(lengths) == LONGEST_BLOCK_SECONDS
    trust.note(RunOutcome.COMPLETED, now)
    trust.note_unreachable(now)
    assert trust.blocked_until - now == FIRST_BLOCK_SECONDS


@pytest.mark.parametrize("outcome", [RunOutcome.NOT_RUN, RunOutcome.CANCELLED])
def test_callers_that_leave_are_no_failure(outcome: RunOutcome) -> None:
    trust = UpstreamTrust()
    assert not any(trust.note(outcome, 0.0) for _ in range(50))
