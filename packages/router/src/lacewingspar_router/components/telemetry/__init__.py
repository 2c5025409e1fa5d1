"""Log lines, metrics and spans of this router."""

from lacewingspar_router.application import Application
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.telemetry.telemetry import RouterTelemetry


async def async_setup(application: Application) -> None:
    """Set up log lines, metrics and spans."""
    application.register(TELEMETRY, RouterTelemetry())
