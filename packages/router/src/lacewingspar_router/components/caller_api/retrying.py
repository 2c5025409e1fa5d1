"""Retries of failed attempts, with a budget for each workspace."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from lacewingspar_core.retry import (
    FailedAttempt,
    GiveUp,
    RetryPolicy,
    retry_after_seconds,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.caller_api.refusals import upstream_refusal
from lacewingspar_router.components.caller_api.requests import (
    CallerRequest,
    Repeatability,
)
from lacewingspar_router.components.upstreams.errors import (
    UpstreamError,
    UpstreamInvalidCallError,
)
from lacewingspar_router.components.upstreams.models import (
    UPSTREAMS,
    UpstreamPool,
)
from lacewingspar_router.errors import RunState

_STATES_WITH_NEW_WORK = frozenset({"unknown", "healthy"})


@dataclass(slots=True)
class Attempts:
    """Attempts made for one request.

    Attributes:
        sent: Number of attempts.
        failed_upstreams: Upstreams on which an attempt failed.
    """

    sent: int = 0
    failed_upstreams: set[str] = field(default_factory=set)


class Retries:
    """Decides whether to retry a request and waits before the retry.

    Args:
        application: The application that holds the other components.
    """

    def __init__(self, application: Application) -> None:
        self._now = application.now
        self._upstreams = application.get(UPSTREAMS)
        self._policy = RetryPolicy(application.random)

    def begin(self, request: CallerRequest) -> Attempts:
        """Credit the workspace's retry budget and return an empty record."""
        self._policy.credit_new_request(request.workspace.name)
        return Attempts()

    def retain_workspaces(self, names: Collection[str]) -> None:
        """Remove the retry budgets of all other workspaces."""
        self._policy.retain_workspaces(names)

    async def async_wait(
        self, request: CallerRequest, attempts: Attempts, error: UpstreamError
    ) -> None:
        """Wait until a failed request may be retried.

        Raises:
            RequestRefusedError: The request is not retried.
        """
        decision = self._policy.decide(
            _failed_attempt(request, attempts, error),
            _upstreams_with_model(request),
            request.document.limits.attempts,
        )
        if (
            isinstance(decision, GiveUp)
            # Refuse at once if the retry would miss the deadline.
            or self._now() + decision.delay_seconds >= request.deadline_at
        ):
            raise upstream_refusal(
                error, self._retry_after_seconds(request)
            ) from error
        await asyncio.sleep(decision.delay_seconds)

    def _retry_after_seconds(self, request: CallerRequest) -> float:
        """Return the Retry-After value of a refusal.

        Only the owners know the length of the queue, so the value depends only
        on whether an upstream accepts new requests.
        """
        usable = available_upstreams(request, self._upstreams)
        return retry_after_seconds(0, len(usable), 0.0)


def available_upstreams(
    request: CallerRequest, pool: UpstreamPool
) -> frozenset[str]:
    """Return the upstreams that have the model and accept new requests."""
    service = request.document.service
    statuses = pool.status_by_upstream
    return frozenset(
        name
        for name in _upstreams_with_model(request)
        if (status := statuses.get((service, name)))
        and status.state in _STATES_WITH_NEW_WORK
    )


def _upstreams_with_model(request: CallerRequest) -> frozenset[str]:
    """Return the upstreams that have the model of a request."""
    return frozenset(
        upstream.id
        for upstream in request.document.upstreams
        if not request.model or request.model in upstream.models
    )


def _failed_attempt(
    request: CallerRequest, attempts: Attempts, error: UpstreamError
) -> FailedAttempt:
    repeatability = request.repeatability
    is_retried_if_not_run = (
        repeatability is not Repeatability.NEVER
        # The call is not valid HTTP/1.1 for any upstream.
        and not isinstance(error, UpstreamInvalidCallError)
    )
    return FailedAttempt(
        workspace=request.workspace.name,
        sent=attempts.sent,
        failed_upstreams=frozenset(attempts.failed_upstreams),
        is_not_run=is_retried_if_not_run and error.run is RunState.NOT_RUN,
        is_idempotent=(
            is_retried_if_not_run and repeatability is Repeatability.IDEMPOTENT
        ),
        has_response_started=False,
    )
