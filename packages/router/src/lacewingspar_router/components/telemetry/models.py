"""Interface of the telemetry component."""

from contextlib import AbstractContextManager
from typing import Protocol

from lacewingspar_router.application import ComponentKey


class Telemetry(Protocol):
    """Counters, gauges and spans of this router."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter of the metrics page."""

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge of the metrics page."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram of the metrics page."""

    def span(
        self, name: str, *, trace_parent: str | None = None, **attributes: str
    ) -> AbstractContextManager[str]:
        """Record a span around a block.

        Returns:
            A context manager that yields the span's `traceparent` value.
        """

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the body of the metrics page."""


TELEMETRY: ComponentKey[Telemetry] = ComponentKey("telemetry")
