"""Log lines and metrics of requests."""

from dataclasses import dataclass

import structlog

from lacewingspar_core.attempt_rules import AttemptHistory
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding.attempt import (
    AttemptEnd,
    Relay,
)
from lacewingspar_router.components.forwarding.models import Call
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError

_LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class CallProgress:
    """What has happened to a request so far.

    Attributes:
        call: The request.
        relay: The caller's side.
        history: Its attempts.
        upstream_id: Upstream of the last attempt.
    """

    call: Call
    relay: Relay
    history: AttemptHistory
    upstream_id: str = ""


class CallRecords:
    """Writes one line for each decision on a request, and counts it.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._now = app.now
        self._routing = app.get(ROUTING)
        self._telemetry = app.get(TELEMETRY)

    def note_refusal(
        self,
        error: RequestRefusedError,
        request_id: str,
        workspace: str,
        progress: CallProgress | None,
    ) -> None:
        """Record a request that this router answers itself.

        Args:
            error: Why it was not served.
            request_id: Its identity, or "" if it could not be read.
            workspace: Workspace of the caller, or "" if it is not known.
            progress: What has happened to it, or None if it was not accepted.
        """
        configuration = self._routing.configuration
        _LOGGER.info(
            "request refused",
            request_id=request_id,
            workspace=workspace,
            status=error.status,
            code=error.code,
            run=error.run,
            retry_after_seconds=error.retry_after_seconds,
            sent=0 if progress is None else progress.history.sent,
            configuration_version=(
                None if configuration is None else configuration.version
            ),
        )
        if progress is None:
            self._telemetry.count("requests_total", outcome=error.code)

    def note_failed_attempt(
        self, progress: CallProgress, end: AttemptEnd
    ) -> None:
        """Record an attempt that gave no answer to pass on."""
        self._telemetry.count(
            "failed_attempts_total",
            service=progress.call.service,
            result=end.result,
        )
        _LOGGER.warning(
            "attempt failed",
            request_id=progress.call.fields.request_id,
            upstream=progress.upstream_id,
            result=end.result,
            reason=end.reason,
            sent=progress.history.sent,
            directory_age_ms=_ms(self._routing.directory_age_seconds),
        )

    def note_end(self, progress: CallProgress, outcome: str) -> None:
        """Record the end of a request that was accepted."""
        call = progress.call
        seconds = self._now() - call.arrived_at
        first_part_ms = None
        service = call.service
        self._telemetry.count(
            "requests_total", service=service, outcome=outcome
        )
        self._telemetry.observe("request_seconds", seconds, service=service)
        if progress.relay.first_part_at is not None:
            first = progress.relay.first_part_at - call.arrived_at
            first_part_ms = _ms(first)
            self._telemetry.observe(
                "first_part_seconds", first, service=service
            )
        _LOGGER.info(
            "request ended",
            request_id=call.fields.request_id,
            outcome=outcome,
            route=call.route.name,
            service=service,
            workspace=call.workspace,
            upstream=progress.upstream_id,
            sent=progress.history.sent,
            duration_ms=_ms(seconds),
            first_part_ms=first_part_ms,
            configuration_version=call.configuration_version,
        )


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
