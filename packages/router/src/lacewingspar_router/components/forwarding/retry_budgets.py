"""Retry budgets of this router, one for each service."""

import structlog

from lacewingspar_core.retry_budget import RetryBudget, RetryBudgetConfig
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding.models import Call
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)


class RetryBudgets:
    """Limits the retries that this router sends to each service.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        assert app.settings.platform is not None
        settings = app.settings.platform
        self._now = app.now
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._config = RetryBudgetConfig(
            settings.retry_ratio,
            settings.retry_window_seconds,
            settings.retry_allowance,
        )
        self._budget_by_service: dict[str, RetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._budget(service).record_request(self._now())

    def allows_retry(self, service: str) -> bool:
        """Return whether a retry is allowed now, without counting it."""
        return self._budget(service).allows_retry(
            len(self._peers.alive_by_router_id), self._now()
        )

    def try_spend(self, call: Call) -> bool:
        """Count a retry of a request if the budget of its service allows it."""
        routers = len(self._peers.alive_by_router_id)
        if self._budget(call.service).try_spend(routers, self._now()):
            return True
        self._telemetry.count("retries_denied_total", service=call.service)
        _LOGGER.info(
            "retry denied: fleet-wide retry budget exhausted",
            request_id=call.metadata.request_id,
            service=call.service,
            routers=routers,
        )
        return False

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._config)
            self._budget_by_service[service] = budget
        return budget
