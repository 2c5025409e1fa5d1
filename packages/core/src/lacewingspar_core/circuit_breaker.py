"""Circuit breaker that blocks a failing upstream."""

from dataclasses import dataclass

from lacewingspar_core.admission_events import RunOutcome

# Weight of the latest run in the moving failure rate.
FAILURE_WEIGHT = 0.2
# Failure rate above which an upstream is blocked. Healthy upstreams fail about
# 15% of repeatable requests.
FAILURE_RATE_LIMIT = 0.35
# Upper bound of the failure rate after a block; a few more failures block the
# upstream again.
FAILURE_RATE_AFTER_BLOCK = 0.2
# Blocks start short, in case of a false alarm, and double up to a maximum that
# is short compared with the seconds that a restart takes.
FIRST_BLOCK_SECONDS = 0.5
MAX_BLOCK_SECONDS = 4.0
# First block after a refusal. It is shorter than the one after a failure: most
# upstreams that refuse are full and have room when the next request ends.
FIRST_REFUSAL_BLOCK_SECONDS = 0.1
# After a block, one request probes the upstream (half-open state) and the
# others stay blocked for this long. A failing connection takes about as long.
PROBE_SECONDS = 0.5
# Exponent at which the shortest block has grown to the longest.
_MAX_CONSECUTIVE_BLOCKS = 6

_FAILURES = frozenset({RunOutcome.FAILED, RunOutcome.BROKEN})


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one upstream.

    Attributes:
        blocked_until: Time until which the upstream gets no new requests.
        consecutive_blocks: Blocks since the last success, up to a maximum.
        failure_rate: Moving average of the fraction of failed runs.
        is_probing: Whether one request probes the upstream after a block
            (half-open state).
        is_refusing: Whether the last block followed a refusal, so that the
            upstream responds and may be tried if there is no other.
    """

    blocked_until: float = 0.0
    consecutive_blocks: int = 0
    failure_rate: float = 0.0
    is_probing: bool = False
    is_refusing: bool = False

    def record(self, outcome: RunOutcome, now: float) -> bool:
        """Record the outcome of a run.

        Returns:
            Whether this outcome blocks the upstream.
        """
        if outcome is RunOutcome.COMPLETED:
            self.failure_rate *= 1 - FAILURE_WEIGHT
            self.record_response()
            return False
        if outcome not in _FAILURES:
            return False
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        if self.failure_rate <= FAILURE_RATE_LIMIT or self.is_blocked(now):
            return False
        self._block(now, FIRST_BLOCK_SECONDS)
        return True

    def record_unreachable(self, now: float) -> bool:
        """Record that no connection could be opened.

        Returns:
            Whether this starts a new block.
        """
        if self.is_blocked(now) and not (self.is_probing or self.is_refusing):
            return False
        self._block(now, FIRST_BLOCK_SECONDS)
        return True

    def record_refusal(self, now: float) -> bool:
        """Record that the upstream did not run a request.

        A refusal takes less time than a run, so without a block the upstream
        would look emptiest and get every request.

        Returns:
            Whether this starts a new block.
        """
        if self.is_blocked(now) and not self.is_probing:
            return False
        self._block(now, FIRST_REFUSAL_BLOCK_SECONDS)
        self.is_refusing = True
        return True

    def is_blocked(self, now: float) -> bool:
        """Return whether the upstream gets no new requests."""
        return now < self.blocked_until

    def record_grant(self, now: float) -> None:
        """Record that a request goes to the upstream, possibly as a probe."""
        if self.consecutive_blocks and not self.is_blocked(now):
            self.is_probing = True
            self.blocked_until = now + PROBE_SECONDS

    def record_response(self) -> None:
        """Close the breaker, since the upstream has started a response."""
        self.consecutive_blocks = 0
        self.is_probing = False
        self.blocked_until = 0.0

    def _block(self, now: float, first_block_seconds: float) -> None:
        self.is_probing = self.is_refusing = False
        seconds = first_block_seconds * 2**self.consecutive_blocks
        self.blocked_until = now + min(MAX_BLOCK_SECONDS, seconds)
        self.consecutive_blocks = min(
            _MAX_CONSECUTIVE_BLOCKS, self.consecutive_blocks + 1
        )
        self.failure_rate = min(self.failure_rate, FAILURE_RATE_AFTER_BLOCK)
