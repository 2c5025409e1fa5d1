"""Log lines and metrics of requests."""

from dataclasses import dataclass

import structlog

from lacewingspar_core.attempt_rules import AttemptHistory
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding.attempt import (
    AttemptEnd,
    CallerResponse,
)
from lacewingspar_router.components.forwarding.models import Call
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError

_LOGGER = structlog.get_logger(__name__)

# Outcome of a silence after which the request continues at another upstream.
REPLACED = "replaced"
# Reasons why no upstream replaces one that is silent or has failed, besides
# those for which a pool declines the request and the results of attempts.
REASON_ATTEMPTS = "attempts"
REASON_TIME = "time"
REASON_BUDGET = "retry_budget"
REASON_REMOVED = "upstream_removed"
REASON_UNREACHABLE = "upstream_unreachable"
REASON_NO_RESUME_POINT = "no_resume_point"
# Length to which the ids of events are cut in the log, in characters.
_MAX_LOGGED_ID_LENGTH = 64
# Outcome of a silence after which the upstream has sent more.
WENT_ON = "went_on"


@dataclass(slots=True)
class CallProgress:
    """State of a request that is being forwarded.

    Attributes:
        call: The request.
        caller_response: Response to the caller.
        history: Attempts so far.
        upstream_id: Upstream of the last attempt, or "".
        no_replacement: Why no other upstream has replaced the last one, or "".
        asked_again: Number of times that a pool was asked again for the rest of
            the stream.
    """

    call: Call
    caller_response: CallerResponse
    history: AttemptHistory
    upstream_id: str = ""
    no_replacement: str = ""
    asked_again: int = 0

    @property
    def is_attempt_in_flight(self) -> bool:
        """Return whether the last attempt has not ended yet."""
        return self.history.is_in_flight


class RequestRecorder:
    """Logs and counts refusals, failed attempts and ends of requests.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._now = app.now
        self._routing = app.get(ROUTING)
        self._telemetry = app.get(TELEMETRY)

    def record_refusal(
        self,
        error: RequestRefusedError,
        request_id: str,
        workspace: str,
        progress: CallProgress | None,
    ) -> None:
        """Record the refusal or failure of a request.

        Args:
            error: Reason of the refusal.
            request_id: Identifier of the request, or "" if unknown.
            workspace: Workspace of the caller, or "" if unknown.
            progress: State of the request, or None if it was not accepted.
        """
        configuration = self._routing.configuration
        _LOGGER.info(
            "request refused",
            request_id=request_id,
            workspace=workspace,
            status=error.status,
            code=error.code,
            reason=error.message,
            run=error.run,
            retry_after_seconds=error.retry_after_seconds,
            sent=0 if progress is None else progress.history.sent,
            configuration_version=(
                None if configuration is None else configuration.version
            ),
        )
        if progress is None:
            self._telemetry.count("requests_total", outcome=error.code)

    def record_failed_attempt(
        self, progress: CallProgress, upstream_id: str, end: AttemptEnd
    ) -> None:
        """Record an attempt that did not succeed."""
        self._telemetry.count(
            "failed_attempts_total",
            service=progress.call.service,
            result=end.result,
        )
        _LOGGER.warning(
            "attempt failed",
            request_id=progress.call.metadata.request_id,
            upstream=upstream_id,
            result=end.result,
            reason=end.reason,
            sent=progress.history.sent,
            events=progress.caller_response.events.forwarded,
            last_event_id=_logged_event_id(progress),
            directory_age_ms=_milliseconds(self._routing.directory_age_seconds),
        )

    def record_silence(
        self, progress: CallProgress, silent_seconds: float, outcome: str
    ) -> None:
        """Record what was decided about an upstream that is silent.

        Args:
            progress: State of the request.
            silent_seconds: Time since the upstream sent a part of the response.
            outcome: `REPLACED`, or the reason why no upstream replaces it.
        """
        is_replaced = outcome == REPLACED
        _LOGGER.warning(
            "upstream silent",
            **self._count_silence(progress, silent_seconds, outcome),
            decision=REPLACED if is_replaced else "no replacement",
            reason="" if is_replaced else outcome,
        )

    def record_silence_end(
        self, progress: CallProgress, silent_seconds: float
    ) -> None:
        """Record that a silent upstream has sent more of its response."""
        _LOGGER.info(
            "upstream went on",
            **self._count_silence(progress, silent_seconds, WENT_ON),
        )

    def _count_silence(
        self, progress: CallProgress, silent_seconds: float, outcome: str
    ) -> dict[str, str | int | None]:
        """Count an outcome of a silence and return the fields of its line."""
        service = progress.call.service
        self._telemetry.count(
            "silent_upstreams_total", service=service, outcome=outcome
        )
        return {
            "request_id": progress.call.metadata.request_id,
            "upstream": progress.upstream_id,
            "service": service,
            "silent_ms": _milliseconds(silent_seconds),
            "last_event_id": _logged_event_id(progress),
        }

    def record_end(self, progress: CallProgress, outcome: str) -> None:
        """Record the end of an accepted request."""
        call = progress.call
        seconds = self._now() - call.arrived_at
        first_part_ms = None
        service = call.service
        self._telemetry.count(
            "requests_total", service=service, outcome=outcome
        )
        self._telemetry.observe("request_seconds", seconds, service=service)
        if progress.caller_response.first_chunk_at is not None:
            first = progress.caller_response.first_chunk_at - call.arrived_at
            first_part_ms = _milliseconds(first)
            self._telemetry.observe(
                "first_part_seconds", first, service=service
            )
        _LOGGER.info(
            "request ended",
            request_id=call.metadata.request_id,
            outcome=outcome,
            route=call.route.name,
            service=service,
            workspace=call.workspace,
            upstream=progress.upstream_id,
            sent=progress.history.sent,
            events=progress.caller_response.events.forwarded,
            repeated_events=progress.caller_response.events.repeated,
            duration_ms=_milliseconds(seconds),
            first_part_ms=first_part_ms,
            no_replacement=progress.no_replacement,
            configuration_version=call.configuration_version,
        )


def _logged_event_id(progress: CallProgress) -> str | None:
    event_id = progress.caller_response.events.last_id
    if event_id is None:
        return None
    return event_id.decode("utf-8", "replace")[:_MAX_LOGGED_ID_LENGTH]


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
