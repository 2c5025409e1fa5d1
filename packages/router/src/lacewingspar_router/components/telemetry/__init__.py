"""Log lines, metrics and spans of this router."""

from lacewingspar_router.application import Application
from lacewingspar_router.components.telemetry.log_lines import (
    configure_log_lines,
)
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.telemetry.spans import (
    SpanSource,
    UnrecordedSpans,
)
from lacewingspar_router.components.telemetry.telemetry import RouterTelemetry
from lacewingspar_router.settings import Settings


async def async_setup(application: Application) -> None:
    """Set up log lines, metrics and spans."""
    settings = application.settings
    configure_log_lines(settings.log_level, settings.router_id)
    spans = _span_source(settings)
    application.register(TELEMETRY, RouterTelemetry(spans))
    application.on_unload("telemetry", spans.async_close)


def _span_source(settings: Settings) -> SpanSource:
    """Return the span source that the settings select."""
    if settings.trace_file is None and settings.trace_url is None:
        return UnrecordedSpans()
    # Imported only when needed, to save the memory of the OpenTelemetry SDK.
    from lacewingspar_router.components.telemetry.recorded_spans import (
        recorded_spans,
    )

    return recorded_spans(settings)
