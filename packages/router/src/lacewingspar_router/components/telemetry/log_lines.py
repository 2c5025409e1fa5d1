"""Log lines in JSON."""

import io
import logging
import sys
from typing import Any

import structlog

from lacewingspar_router.components.telemetry.line_writer import LineWriter

_SHARED_PROCESSORS: list[structlog.typing.Processor] = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    # Local variables could hold keys of callers.
    structlog.processors.ExceptionRenderer(
        structlog.tracebacks.ExceptionDictTransformer(
            show_locals=False, max_frames=12
        )
    ),
]


def configure_log_lines(level: str, router_id: str) -> None:
    """Write log lines as JSON to standard output.

    Args:
        level: Lowest level that is written, such as `info`.
        router_id: Name of this router, part of every line.
    """

    def add_router(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["router"] = router_id
        return event

    stream = _stream(router_id)
    processors = [add_router, *_SHARED_PROCESSORS]
    renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[*processors, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=stream),
    )
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
            foreign_pre_chain=processors,
        )
    )
    # Libraries log through the standard module; only their problems matter.
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)


def _stream(router_id: str) -> Any:
    """Return where lines go instead of standard output, or None."""
    try:
        return LineWriter(sys.stdout.fileno(), router_id)
    except io.UnsupportedOperation:
        # Standard output was replaced by an object in memory.
        return None
