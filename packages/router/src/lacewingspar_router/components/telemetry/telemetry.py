"""The telemetry component."""

from contextlib import AbstractContextManager

from lacewingspar_router.components.telemetry.metrics import Metrics
from lacewingspar_router.components.telemetry.spans import SpanSource


class RouterTelemetry:
    """Counters, gauges and spans of this router.

    Args:
        spans: Source of the spans.
    """

    def __init__(self, spans: SpanSource) -> None:
        self._metrics = Metrics()
        self._spans = spans

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter of the metrics page."""
        self._metrics.count(name, amount, labels)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge of the metrics page."""
        self._metrics.gauge(name, value, labels)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram of the metrics page."""
        self._metrics.observe(name, value, labels)

    def span(
        self,
        name: str,
        *,
        trace_parent: str | None = None,
        **attributes: str,
    ) -> AbstractContextManager[str]:
        """Record a span around a block."""
        return self._spans.span(name, trace_parent, attributes)

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the body of the metrics page."""
        return self._metrics.render()
