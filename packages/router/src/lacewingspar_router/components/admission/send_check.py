"""Keeps requests from upstreams that must not get them any more."""

import structlog

from lacewingspar_core.directory import UpstreamState
from lacewingspar_core.pool_admission import (
    MIN_RETRY_AFTER_SECONDS,
    REASON_NO_UPSTREAM,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.cold_upstreams import (
    ColdUpstreamLimits,
)
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

    A grant may be older than a notice or an entry of its upstream, or its
    owner may not know of it.

    Args:
        app: The application.
        cold_limits: Limits on the requests to cold upstreams.
    """

    def __init__(
        self, app: Application, cold_limits: ColdUpstreamLimits
    ) -> None:
        self._app = app
        self._routing = app.get(ROUTING)
        self._availability = app.get(UPSTREAM_AVAILABILITY)
        self._telemetry = app.get(TELEMETRY)
        self._cold_limits = cold_limits

    def excluded(self) -> frozenset[str]:
        """Return the upstreams that a request must not be granted now."""
        return self._availability.withheld()

    def may_send(self, grant: Grant) -> bool:
        """Return whether a granted request may be sent now."""
        entry = self._routing.directory.entry_by_id.get(grant.upstream_id)
        if entry is not None and (
            entry.state is UpstreamState.DRAINING
            or entry.service != grant.service
            or self._routing.directory.is_evacuated(entry)
        ):
            return False
        if not self._cold_limits.try_send(grant):
            return False
        return self._availability.try_begin(grant.upstream_id, grant.number)

    def excluded_after(self, grant: Grant) -> frozenset[str]:
        """Return the upstreams that a request whose grant was kept back avoids.

        An owner that does not know of an evacuation yet would grant the other
        upstreams of the data centre next.
        """
        directory = self._routing.directory
        evacuated = directory.evacuated_upstreams(grant.service)
        return evacuated | {grant.upstream_id}

    def record_kept_back(
        self, grant: Grant, requirements: RequestRequirements
    ) -> None:
        """Log and count a grant that is given back."""
        self._telemetry.count(
            "requests_kept_back_total", service=requirements.service
        )
        _LOGGER.info(
            "grant given back: the upstream takes no such requests",
            request_id=requirements.request_id,
            service=requirements.service,
            upstream=grant.upstream_id,
            owner=grant.owner,
        )

    def record_response(self, grant: Grant) -> None:
        """Record that the upstream of a grant responded."""
        self._availability.end_probe(grant.upstream_id, grant.number)

    def check_availability(self, service: str) -> None:
        """Check that some upstream of a service accepts requests.

        Raises:
            RequestRefusedError: All of them asked this router to wait.
        """
        if self._availability.seconds_until_return(service) is not None:
            self._telemetry.count("requests_kept_back_total", service=service)
            raise self.refusal(service)

    def refusal(self, service: str) -> RequestRefusedError:
        """Return the refusal of a request whose upstreams want no requests.

        Callers return after the first upstream does, spread over some time.
        """
        seconds = self._availability.seconds_until_return(service) or 0.0
        spread = self._app.random.uniform(1.0, const.RETURN_SPREAD_FACTOR)
        return RequestRefusedError(
            503,
            REASON_NO_UPSTREAM,
            f"the upstreams of {service} want no requests now",
            retry_after_seconds=(seconds + MIN_RETRY_AFTER_SECONDS) * spread,
        )
