"""What may be retried, when, and how much of it."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum
from random import Random

# A workspace may retry one in ten of its requests, which bounds the extra
# load while every upstream fails; three retries are saved up for quiet times.
BUDGET_PER_REQUEST = 0.1
BUDGET_MAXIMUM = 3.0
BACKOFF_BASE_SECONDS = 0.05
BACKOFF_MAXIMUM_SECONDS = 2.0
# Advice for refused callers; the header `Retry-After` has whole seconds.
RETRY_AFTER_MINIMUM_SECONDS = 1.0
RETRY_AFTER_MAXIMUM_SECONDS = 60.0
# Adding 0.1 ten times gives slightly less than 1.
_ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A request after one of its attempts has failed.

    Attributes:
        workspace: Workspace of the request.
        sent: Number of attempts so far, the failed one included.
        failed_upstreams: Upstreams on which an attempt failed.
        is_not_run: Whether the failed attempt certainly did not run.
        is_idempotent: Whether the request may run more than once.
        has_answer_started: Whether the caller has received a part of the
            answer, which a second answer must not follow.
    """

    workspace: str
    sent: int
    failed_upstreams: frozenset[str]
    is_not_run: bool
    is_idempotent: bool
    has_answer_started: bool


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = "may_have_run"
    ANSWER_STARTED = "answer_started"
    ATTEMPTS_USED = "attempts_used"
    NO_OTHER_UPSTREAM = "no_other_upstream"
    BUDGET_USED = "budget_used"


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is sent again.

    Attributes:
        delay_seconds: Time to wait before it is queued again.
    """

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The request gets its final answer now."""

    reason: GiveUpReason


class RetryPolicy:
    """Decides on retries and keeps the retry budget of each workspace.

    Args:
        random: Generator for the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budget_by_workspace: dict[str, float] = {}

    def on_new_request(self, workspace: str) -> None:
        """Credit the budget of a workspace for a request's first attempt."""
        self._budget_by_workspace[workspace] = min(
            BUDGET_MAXIMUM, self.budget(workspace) + BUDGET_PER_REQUEST
        )

    def budget(self, workspace: str) -> float:
        """Return the retries that a workspace has left; it starts full."""
        return self._budget_by_workspace.get(workspace, BUDGET_MAXIMUM)

    def keep_workspaces(self, workspaces: Collection[str]) -> None:
        """Forget the budgets of all other workspaces."""
        self._budget_by_workspace = {
            name: budget
            for name, budget in self._budget_by_workspace.items()
            if name in workspaces
        }

    def decide(
        self,
        attempt: FailedAttempt,
        upstreams: Collection[str],
        attempt_limit: int,
    ) -> Retry | GiveUp:
        """Decide on a failed attempt and charge the budget for a retry.

        Args:
            attempt: The request and its failed attempt.
            upstreams: Upstreams that could serve the request.
            attempt_limit: Largest number of attempts.
        """
        reason = self._obstacle(attempt, upstreams, attempt_limit)
        if reason is not None:
            return GiveUp(reason)
        workspace = attempt.workspace
        left = self.budget(workspace) - 1.0
        self._budget_by_workspace[workspace] = max(0.0, left)
        return Retry(backoff_seconds(attempt.sent, self._random))

    def _obstacle(
        self,
        attempt: FailedAttempt,
        upstreams: Collection[str],
        attempt_limit: int,
    ) -> GiveUpReason | None:
        has_other = any(may_use(attempt, name) for name in upstreams)
        checks = (
            (attempt.has_answer_started, GiveUpReason.ANSWER_STARTED),
            (
                not (attempt.is_not_run or attempt.is_idempotent),
                GiveUpReason.MAY_HAVE_RUN,
            ),
            (attempt.sent >= attempt_limit, GiveUpReason.ATTEMPTS_USED),
            (not has_other, GiveUpReason.NO_OTHER_UPSTREAM),
            (
                self.budget(attempt.workspace) < 1.0 - _ROUNDING,
                GiveUpReason.BUDGET_USED,
            ),
        )
        return next((reason for applies, reason in checks if applies), None)


def may_use(attempt: FailedAttempt, upstream_id: str) -> bool:
    """Return whether a retry may go to an upstream."""
    return upstream_id not in attempt.failed_upstreams


def backoff_seconds(sent: int, random: Random) -> float:
    """Return the delay before the next attempt, with full jitter.

    Args:
        sent: Number of attempts so far, at least 1.
        random: Generator for the jitter.
    """
    exponent = min(sent - 1, 30)
    ceiling = min(BACKOFF_MAXIMUM_SECONDS, BACKOFF_BASE_SECONDS * 2**exponent)
    return random.uniform(0.0, ceiling)


def retry_after_seconds(
    queue_length: int, slots: int, mean_slot_seconds: float
) -> float:
    """Return when a refused caller should come back.

    Args:
        queue_length: Requests that wait before the caller's next one.
        slots: Slots that serve this queue, or 0 if none does now.
        mean_slot_seconds: Mean slot time of one request, or 0 if unknown.
    """
    if slots <= 0:
        return RETRY_AFTER_MAXIMUM_SECONDS
    wait = queue_length * mean_slot_seconds / slots
    return min(
        RETRY_AFTER_MAXIMUM_SECONDS, max(RETRY_AFTER_MINIMUM_SECONDS, wait)
    )
