"""The telemetry component."""

from contextlib import AbstractContextManager, nullcontext

from lacewingspar_router.components.telemetry.metrics import Metrics
from lacewingspar_router.components.telemetry.trace_context import (
    child_context,
    parse_trace_parent,
)


class RouterTelemetry:
    """Counters, gauges and spans of this router."""

    def __init__(self) -> None:
        self._metrics = Metrics()

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter of the metrics page."""
        self._metrics.count(name, amount, labels)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge of the metrics page."""
        self._metrics.gauge(name, value, labels)

    def span(
        self,
        name: str,  # noqa: ARG002
        *,
        trace_parent: str | None = None,
        **attributes: str,  # noqa: ARG002
    ) -> AbstractContextManager[str]:
        """Record a span around a block."""
        parent = parse_trace_parent(trace_parent)
        return nullcontext(child_context(parent, sampled=False).header())

    def render(self) -> tuple[str, bytes]:
        """Return content type and body of the metrics page."""
        return self._metrics.render()
