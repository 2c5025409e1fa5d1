"""Whether an upstream deserves new work, judged by how its runs ended."""

from dataclasses import dataclass

from lacewingspar_core.admission_events import RunOutcome

# Weight of the latest run in the share of runs that failed.
FAILURE_WEIGHT = 0.2
# Upstreams fail some 15% of repeatable requests by themselves; one that fails
# this share of all its runs is at fault.
FAILED_SHARE_LIMIT = 0.35
# Share with which an upstream comes back, so that few failures block it again.
SHARE_AFTER_BLOCK = 0.2
# The first block costs little if it was a false alarm; the longest one is
# short against the seconds that a restart takes.
FIRST_BLOCK_SECONDS = 0.5
LONGEST_BLOCK_SECONDS = 4.0
# After a block one request tries the upstream; the others wait this long for
# what comes of it. A connection that fails takes about as long.
TRIAL_SECONDS = 0.5
_MOST_STRIKES = 3

_FAILURES = frozenset({RunOutcome.FAILED, RunOutcome.BROKEN})


@dataclass(slots=True)
class UpstreamTrust:
    """Record of the runs of one upstream.

    Attributes:
        blocked_until: Time until which the upstream gets no new work.
        strikes: Blocks since the last success.
        failed_share: Moving share of failed runs.
        is_on_trial: Whether one request tries the upstream after a block.
    """

    blocked_until: float = 0.0
    strikes: int = 0
    failed_share: float = 0.0
    is_on_trial: bool = False

    def note(self, outcome: RunOutcome, now: float) -> bool:
        """Take over how a run ended.

        Returns:
            Whether the upstream is blocked from now on.
        """
        if outcome is RunOutcome.COMPLETED:
            self.failed_share *= 1 - FAILURE_WEIGHT
            self.note_answer()
            return False
        if outcome not in _FAILURES:
            return False
        self.failed_share += FAILURE_WEIGHT * (1 - self.failed_share)
        if self.failed_share <= FAILED_SHARE_LIMIT or self.is_blocked(now):
            return False
        self._block(now)
        return True

    def note_unreachable(self, now: float) -> bool:
        """Take over that no connection could be opened.

        Returns:
            Whether the upstream is blocked from now on.
        """
        if self.is_blocked(now) and not self.is_on_trial:
            return False
        self._block(now)
        return True

    def is_blocked(self, now: float) -> bool:
        """Return whether the upstream gets no new work."""
        return now < self.blocked_until

    def note_grant(self, now: float) -> None:
        """Take over that a request goes to the upstream."""
        if self.strikes and not self.is_blocked(now):
            self.is_on_trial = True
            self.blocked_until = now + TRIAL_SECONDS

    def note_answer(self) -> None:
        """Take over that the upstream has begun an answer."""
        self.strikes = 0
        self.is_on_trial = False
        self.blocked_until = 0.0

    def _block(self, now: float) -> None:
        self.is_on_trial = False
        seconds = FIRST_BLOCK_SECONDS * 2**self.strikes
        self.blocked_until = now + min(LONGEST_BLOCK_SECONDS, seconds)
        self.strikes = min(_MOST_STRIKES, self.strikes + 1)
        self.failed_share = min(self.failed_share, SHARE_AFTER_BLOCK)
