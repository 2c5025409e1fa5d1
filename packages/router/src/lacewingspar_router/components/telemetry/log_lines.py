"""Configuration of log lines in JSON."""

import io
import logging
import sys
from typing import TextIO, cast

import msgspec
import structlog

from lacewingspar_router.components.telemetry.line_writer import LineWriter

_SHARED_PROCESSORS: list[structlog.typing.Processor] = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    # Local variables may contain API keys of callers.
    structlog.processors.ExceptionRenderer(
        structlog.tracebacks.ExceptionDictTransformer(
            show_locals=False, max_frames=12
        )
    ),
]


def configure_log_lines(level: str, router_id: str) -> None:
    """Write log lines as JSON to standard output.

    Args:
        level: Minimum level that is written, such as `info`.
        router_id: Name of this router, added to every line.
    """

    def add_router(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["router"] = router_id
        return event

    line_writer = _open_line_writer(router_id)

    def drop_over_rate(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        # Avoids rendering a line that would be dropped.
        if line_writer is not None and not line_writer.has_capacity(
            is_about_request="request_id" in event
        ):
            line_writer.dropped += 1
            raise structlog.DropEvent
        return event

    processors = [add_router, *_SHARED_PROCESSORS]
    renderer = structlog.processors.JSONRenderer(serializer=_encode)
    structlog.configure(
        processors=[drop_over_rate, *processors, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(
            file=cast(TextIO | None, line_writer)
        ),
    )
    handler = logging.StreamHandler(
        cast(TextIO | None, line_writer) or sys.stdout
    )
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
            foreign_pre_chain=processors,
        )
    )
    # Libraries log through the standard module; only their warnings and errors
    # are written.
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)


def _encode(event: object, **_options: object) -> str:
    """Encode an event; values without a JSON form are written as text."""
    return msgspec.json.encode(event, enc_hook=str).decode()


def _open_line_writer(router_id: str) -> LineWriter | None:
    """Return a writer to standard output, or None if it is no file."""
    try:
        return LineWriter(sys.stdout.fileno(), router_id)
    except io.UnsupportedOperation:
        # Standard output was replaced by an in-memory object.
        return None
