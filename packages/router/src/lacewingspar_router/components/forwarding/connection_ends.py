"""Records how the connections of callers end."""

import structlog

from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding.models import WIRE_FORMAT
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.connection_end import (
    ConnectionEnded,
    EndLog,
    EndReason,
    ResponseState,
)
from lacewingspar_router.http1.messages import HttpRequest

_LOGGER = structlog.get_logger(__name__)


class ConnectionEndRecorder(EndLog):
    """Counts and logs the ends of connections.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._telemetry = app.get(TELEMETRY)
        self._wire_format = app.get(WIRE_FORMAT)

    def record_end(self, ended: ConnectionEnded) -> None:
        """Count an end and the requests that were unanswered then."""
        super().record_end(ended)
        unanswered = ended.unanswered
        self._telemetry.count("connections_ended_total", reason=ended.reason)
        count_by_state = {
            "refused": ended.refused if unanswered.not_begun else 0,
            "not_begun": max(unanswered.not_begun - ended.refused, 0),
            "in_flight": int(unanswered.response is not ResponseState.NONE),
        }
        for state, count in count_by_state.items():
            if count:
                self._telemetry.count(
                    "unanswered_requests_total",
                    count,
                    reason=ended.reason,
                    state=state,
                )

    def record_crossing(self, request: HttpRequest, reason: EndReason) -> None:
        """Count and log a request that arrived after the end."""
        self._telemetry.count("crossed_requests_total", reason=reason)
        _LOGGER.info(
            "request crossed the end of its connection",
            request_id=self._wire_format.parse_identity(request).request_id,
            reason=reason,
        )
