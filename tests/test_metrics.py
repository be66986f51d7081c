"""Metrics of values that are no ordinary durations."""

import math

import pytest

from bluebellyoke.metrics import Metrics


# Guards against the end of the leader for a job that an earlier build accepted, whose
# expected run time is infinite.
@pytest.mark.parametrize("seconds", [math.inf, -math.inf, math.nan, 1e308, -1.0])
def test_duration_of_any_size_is_recorded(seconds):
    metrics = Metrics()
    metrics.record_run_time_error(seconds)
    assert "run_time_error_seconds" in metrics.render()
