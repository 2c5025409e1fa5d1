"""Tests of the replay of recorded traces."""

from pathlib import Path

import msgspec
import pytest

from lacewingspar_core.errors import TraceError
from lacewingspar_core.replay import (
    ReplayOutcome,
    TraceStep,
    read_trace,
    replay,
)

TRACES = Path(__file__).parents[2] / "traces"
TRACE_FILES = sorted(TRACES.glob("*.jsonl"))


@pytest.mark.parametrize("file", TRACE_FILES, ids=lambda file: file.stem)
def test_trace_has_the_recorded_outcome(file: Path) -> None:
    """Unintended changes of slot owner decisions must be detected."""
    with file.open("rb") as lines:
        header, steps = read_trace(lines)
    stated = msgspec.json.decode(
        file.with_suffix(".outcome.json").read_bytes(), type=ReplayOutcome
    )
    assert replay(header, steps) == stated


def test_traces_exist() -> None:
    """Without trace files the replay test would check nothing."""
    assert TRACE_FILES


def test_changed_action_is_a_mismatch() -> None:
    with TRACE_FILES[0].open("rb") as lines:
        header, steps = read_trace(lines)
    number, step = next(
        (number, step) for number, step in enumerate(steps) if step.actions
    )
    steps[number] = TraceStep(step.service, step.now, step.event, ())
    mismatch = replay(header, steps).mismatch
    assert mismatch is not None
    assert mismatch.step == number


@pytest.mark.parametrize("lines", [[], [b"{}"], [b"not JSON"]])
def test_invalid_trace_is_an_error(lines: list[bytes]) -> None:
    with pytest.raises(TraceError):
        read_trace(lines)
