"""HTTP endpoints for readiness checks and metrics."""

from lacewingspar_router.application import Application, LifeCycle
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.http1.exchange import ServerExchange


class MonitoringHandler:
    """Serves `/readyz` for the load balancer and `/metrics` for monitoring.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._routing = app.get(ROUTING)
        self._telemetry = app.get(TELEMETRY)

    async def async_handle(self, exchange: ServerExchange) -> None:
        """Handle one request."""
        match exchange.request.path:
            case "/readyz":
                exchange.send_response(
                    200 if self._is_ready() else 503, [], b""
                )
            case "/metrics":
                content_type, body = self._telemetry.render()
                headers = [(b"content-type", content_type.encode())]
                exchange.send_response(200, headers, body)
            case _:
                exchange.send_response(404, [], b"")

    def _is_ready(self) -> bool:
        return (
            self._app.life_cycle is LifeCycle.SERVING and self._routing.is_ready
        )
