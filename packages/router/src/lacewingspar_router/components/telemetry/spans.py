"""Sources of the spans of this router."""

from contextlib import AbstractContextManager, nullcontext
from functools import lru_cache
from typing import Protocol

from lacewingspar_router.components.telemetry.trace_context import (
    new_context,
    parse_trace_parent,
)


class SpanSource(Protocol):
    """Creates spans."""

    def span(
        self, name: str, trace_parent: str | None, attributes: dict[str, str]
    ) -> AbstractContextManager[str]:
        """Return a span whose context manager yields its `traceparent`."""

    async def async_close(self) -> None:
        """Export the remaining spans and shut down."""


class UnrecordedSpans:
    """Propagates trace contexts without recording spans."""

    def span(
        self,
        name: str,  # noqa: ARG002
        trace_parent: str | None,
        attributes: dict[str, str],  # noqa: ARG002
    ) -> AbstractContextManager[str]:
        """Return the caller's context, or a new one if it is not valid."""
        # This router adds no span to the trace, so the caller's span stays the
        # parent of the spans of later hops.
        header = _checked_header(trace_parent) if trace_parent else None
        return nullcontext(header or new_context().header())

    async def async_close(self) -> None:
        """Do nothing."""


# The same header is parsed for each hop of a request.
@lru_cache(maxsize=1024)
def _checked_header(trace_parent: str) -> str | None:
    context = parse_trace_parent(trace_parent)
    return None if context is None else context.header()
