"""Rules for retrying a request after an attempt at an upstream has ended."""

from dataclasses import dataclass
from enum import StrEnum

from lacewingspar_core.admission_events import RunOutcome


class AttemptResult(StrEnum):
    """How an attempt at a request ended."""

    # A complete response with a status below 500.
    RESPONDED = "answered"
    # A complete error response of the upstream, which may have run the request.
    UPSTREAM_FAILURE = "upstream_failure"
    # No connection could be opened, so nothing was sent.
    UNREACHABLE = "unreachable"
    # The upstream closed the new connection before the request was sent.
    UNSENT = "unsent"
    # The response says that the upstream did not run the request.
    NOT_RUN = "not_run"
    # Another upstream uses the address now; the request did not run.
    WRONG_UPSTREAM = "wrong_upstream"
    # The connection broke before the response was complete.
    BROKEN = "broken"
    # The received data is not a valid response to the request.
    INVALID = "invalid"
    # The upstream announced that it wants no requests before the request was
    # sent.
    WITHHELD = "withheld"
    # The upstream was silent and another one takes over.
    TIMED_OUT = "silent"
    # The upstream that it was to replace went on, or delivered events after
    # which no other one can go on.
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class ResultRule:
    """Effects of one attempt result on the request.

    Attributes:
        outcome: Outcome that is recorded for the upstream.
        may_have_run: Whether the upstream may have run the request.
        was_sent: Whether the attempt counts towards `max_sent`.
        may_send_again: Whether another upstream may succeed.
    """

    outcome: RunOutcome
    may_have_run: bool
    was_sent: bool
    may_send_again: bool


RULE_BY_RESULT = {
    AttemptResult.RESPONDED: ResultRule(
        RunOutcome.COMPLETED, True, True, False
    ),
    AttemptResult.UPSTREAM_FAILURE: ResultRule(
        RunOutcome.FAILED, True, True, True
    ),
    AttemptResult.UNREACHABLE: ResultRule(
        RunOutcome.NOT_RUN, False, False, True
    ),
    AttemptResult.UNSENT: ResultRule(RunOutcome.NOT_RUN, False, False, True),
    AttemptResult.WITHHELD: ResultRule(
        RunOutcome.CANCELLED, False, False, True
    ),
    AttemptResult.NOT_RUN: ResultRule(RunOutcome.NOT_RUN, False, True, True),
    AttemptResult.WRONG_UPSTREAM: ResultRule(
        RunOutcome.NOT_RUN, False, True, True
    ),
    AttemptResult.BROKEN: ResultRule(RunOutcome.BROKEN, True, True, True),
    AttemptResult.INVALID: ResultRule(RunOutcome.FAILED, True, True, True),
    AttemptResult.TIMED_OUT: ResultRule(RunOutcome.FAILED, True, True, True),
    AttemptResult.WITHDRAWN: ResultRule(RunOutcome.CANCELLED, True, True, True),
}
# Attempts that end before the request is sent do not count as sent, but each
# takes time.
MAX_UNREACHABLE_ATTEMPTS = 4


@dataclass(slots=True)
class AttemptHistory:
    """Counts and results of the attempts made for one request.

    Attributes:
        may_run_again: Whether the request may safely run more than once.
        max_sent: Maximum number of times that the request may be sent.
        sent: Number of times that the request was sent.
        unreachable: Number of attempts that ended before the request was sent.
        has_run: Whether an attempt that has ended may have run the request.
        is_in_flight: Whether an attempt has not ended yet.
        tried: Ids of the upstreams that were tried.
        broken: Ids of the upstreams whose last attempt broke off. They may have
            ended no more than a connection.
        may_return: Whether these may be used again, as there is no other.
        return_to: Upstream that was left while it was silent and may be sent
            the request again, because the one that took over refused it and no
            attempt is left for a third; or "".
    """

    may_run_again: bool
    max_sent: int
    sent: int = 0
    unreachable: int = 0
    has_run: bool = False
    is_in_flight: bool = False
    tried: frozenset[str] = frozenset()
    broken: frozenset[str] = frozenset()
    may_return: bool = False
    return_to: str = ""
    _left_silent: str = ""

    def record(self, result: AttemptResult, upstream_id: str) -> None:
        """Record the result of an attempt."""
        rule = RULE_BY_RESULT[result]
        self.sent += rule.was_sent
        self.unreachable += not rule.was_sent
        self.has_run |= rule.may_have_run
        self.tried |= {upstream_id}
        self.broken -= {upstream_id}
        if result is AttemptResult.BROKEN:
            self.broken |= {upstream_id}
        left, self._left_silent, self.return_to = self._left_silent, "", ""
        if result is AttemptResult.TIMED_OUT:
            self._left_silent = upstream_id
        elif not rule.may_have_run and self.sent >= self.max_sent:
            self.return_to = left

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run the request."""
        return self.has_run or self.is_in_flight

    @property
    def excluded(self) -> frozenset[str]:
        """Return the upstreams that the next attempt must not use."""
        return self.tried - self.broken if self.may_return else self.tried

    @property
    def may_replace(self) -> bool:
        """Return whether another attempt may replace the one in flight."""
        return (
            self.may_run_again
            and self.sent + 1 < max(1, self.max_sent)
            and self.unreachable < MAX_UNREACHABLE_ATTEMPTS
        )

    def may_try_again(self, result: AttemptResult) -> bool:
        """Return whether another attempt may follow one that ended in `result`.

        The caller also checks the retry budgets and the remaining time.
        """
        return (
            RULE_BY_RESULT[result].may_send_again
            and (self.may_run_again or not self.may_have_run)
            and (self.sent < max(1, self.max_sent) or bool(self.return_to))
            and self.unreachable < MAX_UNREACHABLE_ATTEMPTS
        )
