"""Tests of state charts and their validation on loading."""

import msgspec
import pytest

from lacewingspar_core.chart import load_chart, parse_chart
from lacewingspar_core.errors import ChartError, ChartEventError

GO = {"event": "go", "from": ["a"], "to": "b"}
VALID = {
    "initial": "a",
    "final": ["b"],
    "unmatched_event": "error",
    "states": ["a", "b"],
    "transitions": [GO],
}


@pytest.mark.parametrize(
    ("field", "value", "problem"),
    [
        ("initial", "x", "unknown state 'x'"),
        ("final", ["b", "x"], "unknown state 'x'"),
        ("transitions", [GO, GO], "two transitions for 'go' in 'a'"),
        ("states", ["a", "b", "c"], "state 'c' cannot be reached"),
        ("states", ["a", "b", "b"], "listed twice"),
        ("final", [], "state 'a' reaches no final state"),
        ("final", ["a", "b"], "leaves the final state 'a'"),
        ("unmatched_event", "maybe", "unmatched_event"),
        ("surplus", 1, "surplus"),
    ],
)
def test_invalid_charts(field: str, value: object, problem: str) -> None:
    """Guards against chart errors that appear only in operation."""
    with pytest.raises(ChartError, match=problem):
        parse_chart("test", msgspec.json.encode(VALID | {field: value}))


def test_unmatched_events() -> None:
    """Guards against ignored events in charts that require an error."""
    strict = parse_chart("test", msgspec.json.encode(VALID))
    lenient = load_chart("router_life_cycle")
    assert lenient.next_state("stopped", "stop_signal") == "stopped"
    for chart, event in ((strict, "go"), (lenient, "stop_signl")):
        with pytest.raises(ChartEventError):
            chart.next_state(*chart.final, event)


@pytest.mark.parametrize(
    ("name", "events", "final"),
    [
        (
            "request",
            "claim enqueue bind answer_started answer_ended",
            "completed",
        ),
        ("request", "enqueue bind retry bind refuse", "refused"),
        ("request", "claim release_claim cancel claim_released", "refused"),
        ("request", "enqueue bind answer_started interrupted fail", "failed"),
        ("request", "claim release_claim claim enqueue refuse", "refused"),
        ("router_life_cycle", "setup_done stop_signal drained", "stopped"),
        ("router_life_cycle", "setup_done stop_signal stop_signal", "stopped"),
        ("upstream", "vm_leaving vm_live probe_succeeded", "healthy"),
        ("upstream", "load_report removed vm_live", "gone"),
    ],
)
def test_shipped_charts(name: str, events: str, final: str) -> None:
    chart = load_chart(name)
    state = chart.initial
    for event in events.split():
        state = chart.next_state(state, event)
    assert state == final
