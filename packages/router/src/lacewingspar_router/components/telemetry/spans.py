"""Spans of this router."""

from contextlib import AbstractContextManager, nullcontext
from functools import lru_cache
from typing import Protocol

from lacewingspar_router.components.telemetry.trace_context import (
    new_context,
    parse_trace_parent,
)


class SpanSource(Protocol):
    """Makes spans."""

    def span(
        self, name: str, trace_parent: str | None, attributes: dict[str, str]
    ) -> AbstractContextManager[str]:
        """Return a span whose context manager yields its `traceparent`."""

    async def async_close(self) -> None:
        """Write the spans that wait, and end."""


class UnrecordedSpans:
    """Passes trace contexts on without recording spans."""

    def span(
        self,
        name: str,  # noqa: ARG002
        trace_parent: str | None,
        attributes: dict[str, str],  # noqa: ARG002
    ) -> AbstractContextManager[str]:
        """Return the caller's context, or a new one without a caller's."""
        # No span of this router appears in the trace, so the caller's context
        # stays the parent of what follows.
        header = _checked_header(trace_parent) if trace_parent else None
        return nullcontext(header or new_context().header())

    async def async_close(self) -> None:
        """Do nothing."""


# Each request asks for its context once per hop.
@lru_cache(maxsize=1024)
def _checked_header(trace_parent: str) -> str | None:
    context = parse_trace_parent(trace_parent)
    return None if context is None else context.header()
