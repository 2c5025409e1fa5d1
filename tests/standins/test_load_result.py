"""Tests of the result of a load generator run."""

import pytest
from hdrh.histogram import HdrHistogram

from lacewingspar_standins.load_result import Recorder


@pytest.mark.parametrize("seconds", [0.0, 0.001, 1.5, 1e9])
def test_histogram_keeps_extreme_values(seconds: float) -> None:
    """Guards against dropping latencies outside the histogram's range."""
    recorder = Recorder(("a",))
    recorder.by_workspace["a"].record_latency(seconds)
    latency = recorder.result(1).by_workspace["a"].latency
    expected = min(max(seconds, 1e-6), 3600)
    assert latency.seconds_by_percentile["50"] == pytest.approx(expected, 0.01)
    assert HdrHistogram.decode(latency.encoded).get_total_count() == 1


def test_repeated_request_id_is_a_problem() -> None:
    recorder = Recorder(("a",))
    for request_id in ("r1", "r2", "r1"):
        recorder.record_answered(request_id)
    assert recorder.result(1).problems == ("request id 'r1' answered twice",)
