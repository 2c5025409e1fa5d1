"""Retry policy: retryable failures, retry budgets and backoff."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum
from random import Random

# A workspace may retry one in ten of its requests, which bounds the extra load
# while every upstream fails. It accumulates at most three retries, so that it
# can also retry when it sends few requests.
RETRY_BUDGET_PER_REQUEST = 0.1
MAX_RETRY_BUDGET = 3.0
BACKOFF_BASE_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
# Bounds of the `Retry-After` header, which holds whole seconds.
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0
# Adding 0.1 ten times gives slightly less than 1 in floating point.
_ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """State of a request after a failed attempt.

    Attributes:
        workspace: Workspace of the request.
        sent: Number of attempts so far, including the failed one.
        failed_upstreams: Ids of the upstreams at which an attempt failed.
        is_not_run: Whether the upstream certainly did not run the request.
        is_idempotent: Whether the request may safely run more than once.
        has_response_started: Whether the caller has received part of the
            response, so that no other response may follow.
    """

    workspace: str
    sent: int
    failed_upstreams: frozenset[str]
    is_not_run: bool
    is_idempotent: bool
    has_response_started: bool


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = "may_have_run"
    RESPONSE_STARTED = "answer_started"
    ATTEMPTS_USED = "attempts_used"
    NO_OTHER_UPSTREAM = "no_other_upstream"
    BUDGET_USED = "budget_used"


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to send the request again.

    Attributes:
        delay_seconds: Backoff before the request is queued again.
    """

    delay_seconds: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision not to retry the request."""

    reason: GiveUpReason


class RetryPolicy:
    """Decides on retries and tracks the retry budget of each workspace.

    Args:
        random: Generator for the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budget_by_workspace: dict[str, float] = {}

    def credit_new_request(self, workspace: str) -> None:
        """Add to the budget of a workspace for a new request."""
        self._budget_by_workspace[workspace] = min(
            MAX_RETRY_BUDGET, self.budget(workspace) + RETRY_BUDGET_PER_REQUEST
        )

    def budget(self, workspace: str) -> float:
        """Return the remaining retries of a workspace.

        A new workspace starts with the maximum.
        """
        return self._budget_by_workspace.get(workspace, MAX_RETRY_BUDGET)

    def retain_workspaces(self, workspaces: Collection[str]) -> None:
        """Remove the budgets of all workspaces that are not listed."""
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
        """Decide whether to retry and charge the budget for a retry.

        Args:
            attempt: State of the request after the failed attempt.
            upstreams: Ids of the upstreams that can serve the request.
            attempt_limit: Maximum number of attempts.
        """
        reason = self._give_up_reason(attempt, upstreams, attempt_limit)
        if reason is not None:
            return GiveUp(reason)
        workspace = attempt.workspace
        remaining = self.budget(workspace) - 1.0
        self._budget_by_workspace[workspace] = max(0.0, remaining)
        return Retry(backoff_seconds(attempt.sent, self._random))

    def _give_up_reason(
        self,
        attempt: FailedAttempt,
        upstreams: Collection[str],
        attempt_limit: int,
    ) -> GiveUpReason | None:
        has_other = any(may_use(attempt, name) for name in upstreams)
        checks = (
            (attempt.has_response_started, GiveUpReason.RESPONSE_STARTED),
            (
                not (attempt.is_not_run or attempt.is_idempotent),
                GiveUpReason.MAY_HAVE_RUN,
            ),
            (attempt.sent >= attempt_limit, GiveUpReason.ATTEMPTS_USED),
            (not has_other, GiveUpReason.NO_OTHER_UPSTREAM),
            (
                self.budget(attempt.workspace) < 1.0 - _ROUNDING_TOLERANCE,
                GiveUpReason.BUDGET_USED,
            ),
        )
        return next((reason for applies, reason in checks if applies), None)


def may_use(attempt: FailedAttempt, upstream_id: str) -> bool:
    """Return whether no attempt of the request failed at an upstream."""
    return upstream_id not in attempt.failed_upstreams


def backoff_seconds(sent: int, random: Random) -> float:
    """Return the exponential backoff with full jitter, in seconds.

    Args:
        sent: Number of attempts so far, at least 1.
        random: Generator for the jitter.
    """
    exponent = min(sent - 1, 30)
    ceiling = min(MAX_BACKOFF_SECONDS, BACKOFF_BASE_SECONDS * 2**exponent)
    return random.uniform(0.0, ceiling)


def retry_after_seconds(
    queue_length: int, slots: int, mean_slot_seconds: float
) -> float:
    """Return the Retry-After value for a refused caller, in seconds.

    Args:
        queue_length: Requests ahead of the caller's next one.
        slots: Slots that serve the queue, or 0 if there are none now.
        mean_slot_seconds: Mean slot time of a request, or 0 if unknown.
    """
    if slots <= 0:
        return MAX_RETRY_AFTER_SECONDS
    wait = queue_length * mean_slot_seconds / slots
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
