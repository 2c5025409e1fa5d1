"""Tests trace contexts, spans and metrics."""

import json
from pathlib import Path

import pytest
from tests.router.conftest import settings

from lacewingspar_router.application import Application
from lacewingspar_router.components import telemetry
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.components.telemetry.trace_context import (
    parse_trace_parent,
)
from lacewingspar_router.errors import ComponentSetupError

TRACE, SPAN = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"


@pytest.mark.parametrize(
    ("value", "is_valid"),
    [
        (f"00-{TRACE}-{SPAN}-01", True),
        (f"01-{TRACE}-{SPAN}-00-later", True),
        (f"00-{TRACE}-{SPAN}-01-later", False),
        (f"ff-{TRACE}-{SPAN}-01", False),
        (f"00-{'0' * 32}-{SPAN}-01", False),
        (f"00-{TRACE}-{'0' * 16}-01", False),
        (f"00-{TRACE.upper()}-{SPAN}-01", False),
        (f"00-{TRACE}-{SPAN}-01\n", False),
        ("", False),
    ],
)
def test_only_valid_trace_contexts_are_accepted(
    value: str, is_valid: bool
) -> None:
    """Guards against invalid values that are passed on to other hops."""
    assert (parse_trace_parent(value) is not None) is is_valid


async def test_spans_reach_the_file_with_their_parents(tmp_path: Path) -> None:
    """Guards against spans that are lost when the process ends."""
    file = tmp_path / "spans.jsonl"
    application = Application(settings(trace_file=str(file)))
    await telemetry.async_setup(application)
    component = application.get(TELEMETRY)
    caller = f"00-{TRACE}-{SPAN}-01"
    with component.span("caller", trace_parent=caller) as outer:
        assert outer != caller
        with component.span("queue", trace_parent=outer, service="swap"):
            pass
    await application.async_stop()
    queue, first = [json.loads(t) for t in file.read_text().splitlines()]
    assert {queue["trace_id"], first["trace_id"]} == {TRACE}
    assert queue["parent_id"] == first["span_id"]
    assert first["parent_id"] == SPAN
    assert queue["attributes"] == {"service": "swap"}


async def test_unwritable_trace_file_stops_the_start(tmp_path: Path) -> None:
    application = Application(settings(trace_file=str(tmp_path)))
    with pytest.raises(ComponentSetupError, match="trace_file"):
        await telemetry.async_setup(application)


async def test_trace_context_is_propagated_without_an_exporter() -> None:
    application = Application(settings())
    await telemetry.async_setup(application)
    component = application.get(TELEMETRY)
    caller = f"00-{TRACE}-{SPAN}-01"
    with component.span("caller", trace_parent=caller) as value:
        assert value == caller
    with component.span("caller", trace_parent="bad") as value:
        assert parse_trace_parent(value) is not None


async def test_metrics_page_shows_counts_and_gauges() -> None:
    application = Application(settings())
    await telemetry.async_setup(application)
    component = application.get(TELEMETRY)
    component.count("a_total", service="s", code="x")
    component.count("a_total", 2, code="x", service="s")
    component.gauge("g", 1.5)
    content_type, body = component.render()
    assert content_type.startswith("text/plain")
    assert b'lacewingspar_a_total{code="x",service="s"} 3' in body
    assert b"lacewingspar_g 1.5" in body
