"""Keeps requests from upstreams that leave or asked this router to wait."""

import structlog

from lacewingspar_core.directory import UpstreamState
from lacewingspar_core.pool_admission import (
    MIN_RETRY_AFTER_SECONDS,
    REASON_NO_UPSTREAM,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.models import (
    Grant,
    RequestRequirements,
)
from lacewingspar_router.components.routing.models import (
    ROUTING,
    UPSTREAM_AVAILABILITY,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError

_LOGGER = structlog.get_logger(__name__)


class SendCheck:
    """Checks grants at the moment of sending.

    A grant may be older than a notice of its upstream, or its owner may not
    know of the notice.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._routing = app.get(ROUTING)
        self._availability = app.get(UPSTREAM_AVAILABILITY)
        self._telemetry = app.get(TELEMETRY)

    def excluded(self) -> frozenset[str]:
        """Return the upstreams that a request must not be granted now."""
        return self._availability.withheld()

    def try_begin(
        self, grant: Grant, requirements: RequestRequirements
    ) -> bool:
        """Return whether a granted request may be sent."""
        entry = self._routing.directory.entry_by_id.get(grant.upstream_id)
        is_draining = (
            entry is not None and entry.state is UpstreamState.DRAINING
        )
        if not is_draining and self._availability.try_begin(
            grant.upstream_id, grant.number
        ):
            return True
        self._telemetry.count(
            "requests_kept_back_total", service=requirements.service
        )
        _LOGGER.info(
            "grant given back: the upstream wants no requests",
            request_id=requirements.request_id,
            upstream=grant.upstream_id,
            owner=grant.owner,
            is_draining=is_draining,
        )
        return False

    def record_response(self, grant: Grant) -> None:
        """Record that the upstream of a grant responded."""
        self._availability.end_probe(grant.upstream_id, grant.number)

    def refusal(self, requirements: RequestRequirements) -> RequestRefusedError:
        """Return the refusal of a request that found no upstream."""
        return RequestRefusedError(
            503,
            REASON_NO_UPSTREAM,
            f"the upstreams of {requirements.service} want no requests",
            retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
        )
