"""What follows when one attempt at a request has ended."""

from dataclasses import dataclass
from enum import StrEnum

from lacewingspar_core.admission_events import RunOutcome


class AttemptResult(StrEnum):
    """How an attempt at a request ended."""

    # The upstream's own answer, complete.
    ANSWERED = "answered"
    # A complete failure of the upstream itself; it may have run the request.
    UPSTREAM_FAILURE = "upstream_failure"
    # No connection; nothing was sent.
    UNREACHABLE = "unreachable"
    # The upstream says that it did not run the request.
    NOT_RUN = "not_run"
    # Another upstream has the address; the request did not run.
    WRONG_UPSTREAM = "wrong_upstream"
    # The connection broke before the answer was complete.
    BROKEN = "broken"
    # What came is not a valid answer to the request.
    INVALID = "invalid"
    # Nothing came for longer than the answer may take.
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class ResultRule:
    """Consequences of one result.

    Attributes:
        outcome: How the upstream's record takes it.
        may_have_run: Whether the request may have run.
        was_sent: Whether the request counts as sent.
        may_send_again: Whether another attempt may help.
    """

    outcome: RunOutcome
    may_have_run: bool
    was_sent: bool
    may_send_again: bool


RULE_BY_RESULT = {
    AttemptResult.ANSWERED: ResultRule(RunOutcome.COMPLETED, True, True, False),
    AttemptResult.UPSTREAM_FAILURE: ResultRule(
        RunOutcome.FAILED, True, True, True
    ),
    AttemptResult.UNREACHABLE: ResultRule(
        RunOutcome.NOT_RUN, False, False, True
    ),
    AttemptResult.NOT_RUN: ResultRule(RunOutcome.NOT_RUN, False, True, True),
    AttemptResult.WRONG_UPSTREAM: ResultRule(
        RunOutcome.NOT_RUN, False, True, True
    ),
    AttemptResult.BROKEN: ResultRule(RunOutcome.BROKEN, True, True, True),
    AttemptResult.INVALID: ResultRule(RunOutcome.FAILED, True, True, True),
    AttemptResult.SILENT: ResultRule(RunOutcome.FAILED, True, True, True),
}
# Attempts that find no connection send nothing, but each takes time.
UNREACHABLE_LIMIT = 4


@dataclass(slots=True)
class AttemptHistory:
    """Attempts at one request so far.

    Attributes:
        may_run_again: Whether the request may run more than once.
        sent_limit: Largest number of upstreams that it may be sent to.
        sent: Number of upstreams that it was sent to.
        unreachable: Number of attempts without a connection.
        may_have_run: Whether any attempt may have run.
        tried: Upstreams that were tried.
    """

    may_run_again: bool
    sent_limit: int
    sent: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()

    def note(self, result: AttemptResult, upstream_id: str) -> None:
        """Take over how an attempt ended."""
        rule = RULE_BY_RESULT[result]
        self.sent += rule.was_sent
        self.unreachable += not rule.was_sent
        self.may_have_run |= rule.may_have_run
        self.tried |= {upstream_id}

    def may_try_again(self, result: AttemptResult) -> bool:
        """Return whether the request may be tried at another upstream.

        Budgets of the fleet and the time left are checked apart from this.
        """
        return (
            RULE_BY_RESULT[result].may_send_again
            and (self.may_run_again or not self.may_have_run)
            and self.sent < max(1, self.sent_limit)
            and self.unreachable < UNREACHABLE_LIMIT
        )
