"""Log lines in JSON."""

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

    def drop_early(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        # A line that will be dropped is not rendered.
        if stream is not None and not stream.takes_lines(
            is_about_request="request_id" in event
        ):
            stream.dropped += 1
            raise structlog.DropEvent
        return event

    processors = [add_router, *_SHARED_PROCESSORS]
    renderer = structlog.processors.JSONRenderer(serializer=_encode)
    structlog.configure(
        processors=[drop_early, *processors, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(
            file=cast(TextIO | None, stream)
        ),
    )
    handler = logging.StreamHandler(cast(TextIO | None, stream) or sys.stdout)
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


def _encode(event: object, **_options: object) -> str:
    """Return a line; values that JSON does not have are written as text."""
    return msgspec.json.encode(event, enc_hook=str).decode()


def _stream(router_id: str) -> LineWriter | None:
    """Return where lines go instead of standard output, or None."""
    try:
        return LineWriter(sys.stdout.fileno(), router_id)
    except io.UnsupportedOperation:
        # Standard output was replaced by an object in memory.
        return None
