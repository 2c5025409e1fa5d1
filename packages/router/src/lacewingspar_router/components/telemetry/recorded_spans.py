"""Records spans and exports them with the OpenTelemetry SDK."""

import asyncio
import json
from collections.abc import Sequence
from contextlib import AbstractContextManager
from pathlib import Path
from types import TracebackType
from typing import IO, Any

from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_ON, ParentBased
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    StatusCode,
    TraceFlags,
    set_span_in_context,
)

from lacewingspar_router.components.telemetry.trace_context import (
    TraceContext,
    parse_trace_parent,
)
from lacewingspar_router.errors import ComponentSetupError
from lacewingspar_router.settings import Settings

SERVICE_NAME = "lacewingspar"


class JsonLinesExporter(SpanExporter):
    """Appends spans to a file as JSON lines, in the export thread of the SDK.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        try:
            self._file: IO[str] = path.open("a", encoding="utf-8")
        except OSError as error:
            raise ComponentSetupError(
                f"cannot write trace_file {path}: {error.strerror}"
            ) from error

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append spans to the file."""
        try:
            self._file.writelines(_line(span) for span in spans)
            self._file.flush()
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class RecordedSpans:
    """Records spans and exports them in the export thread of the SDK.

    Args:
        router_id: Name of this router.
        exporters: Exporters that receive every span.
    """

    def __init__(
        self, router_id: str, exporters: Sequence[SpanExporter]
    ) -> None:
        self._provider = TracerProvider(
            sampler=ParentBased(ALWAYS_ON),
            resource=Resource.create(
                {
                    "service.name": SERVICE_NAME,
                    "service.instance.id": router_id,
                }
            ),
            shutdown_on_exit=False,
        )
        for exporter in exporters:
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer(SERVICE_NAME)

    def span(
        self, name: str, trace_parent: str | None, attributes: dict[str, str]
    ) -> AbstractContextManager[str]:
        """Return a span whose context manager yields its `traceparent`."""
        return _SpanBlock(
            self._tracer.start_span(
                name,
                context=_parent(trace_parent),
                attributes=attributes,
            )
        )

    async def async_close(self) -> None:
        """Export the remaining spans and shut down."""
        await asyncio.to_thread(self._provider.shutdown)


def recorded_spans(settings: Settings) -> RecordedSpans:
    """Return a span source with the exporters that the settings select.

    Raises:
        ComponentSetupError: The trace file cannot be written.
    """
    exporters: list[SpanExporter] = []
    if settings.trace_file is not None:
        exporters.append(JsonLinesExporter(Path(settings.trace_file)))
    if settings.trace_url is not None:
        exporters.append(OTLPSpanExporter(endpoint=settings.trace_url))
    return RecordedSpans(settings.router_id, exporters)


class _SpanBlock:
    """Context manager that ends a span when its block ends."""

    def __init__(self, span: Span) -> None:
        self._span = span

    def __enter__(self) -> str:
        context = self._span.get_span_context()
        return TraceContext(
            f"{context.trace_id:032x}",
            f"{context.span_id:016x}",
            context.trace_flags.sampled,
        ).header()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if exc_type is not None:
            self._span.set_status(StatusCode.ERROR, f"{exc_type.__name__}")
        self._span.end()


def _parent(trace_parent: str | None) -> Context:
    parent = parse_trace_parent(trace_parent)
    if parent is None:
        return Context()
    context = SpanContext(
        int(parent.trace_id, 16),
        int(parent.span_id, 16),
        is_remote=True,
        trace_flags=TraceFlags(int(parent.is_sampled)),
    )
    return set_span_in_context(NonRecordingSpan(context), Context())


def _line(span: ReadableSpan) -> str:
    context = span.get_span_context()
    value: dict[str, Any] = {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "status": span.status.status_code.name,
        "attributes": dict(span.attributes or {}),
    }
    return json.dumps(value) + "\n"
