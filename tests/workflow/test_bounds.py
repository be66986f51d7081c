"""Ranges of the numbers that jobs and configurations declare."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.admission import validate_workflow
from bluebellyoke.workflow.bounds import (
    MAX_DURATION_MS,
    MAX_WEIGHT,
    MIN_DURATION_MS,
    MIN_WEIGHT,
    bound_duration,
    bound_weight,
    round_duration,
)
from bluebellyoke.workflow.specs import (
    AdvisorSpec,
    QueueSpec,
    StepSpec,
    WorkspaceSpec,
)
from tests.workflow.factories import create_spec, create_step

numbers = st.floats() | st.sampled_from([5e-324, 1e-322, 1e-300, 1e300, math.inf])


@given(numbers)
def test_bounded_numbers_are_zero_or_in_their_range(number):
    duration = bound_duration(number)
    assert duration == 0 or MIN_DURATION_MS <= duration <= MAX_DURATION_MS
    weight = bound_weight(number)
    assert weight == 0 or MIN_WEIGHT <= weight <= MAX_WEIGHT
    rounded = round_duration(number)
    assert not 0 < rounded < MIN_DURATION_MS


# Guards against numbers of a configuration whose quotients and sums are infinite.
@given(numbers, numbers)
def test_declared_numbers_of_queues_are_bounded(first, second):
    queue = QueueSpec(
        name="q",
        host="h",
        prefix="/",
        pool="p",
        timeout_ms=1,
        target_ms=first,
        slack_factor=second,
        advisor=AdvisorSpec(decision_ms=first, per_worker_ms=second, validity_ms=first),
    )
    advisor = queue.advisor
    total = queue.slack_factor * MAX_DURATION_MS + queue.target_ms
    total += advisor.decision_ms + 100 * advisor.per_worker_ms + advisor.validity_ms
    assert 0 <= total < math.inf


@pytest.mark.parametrize("share", [5e-324, 1e-9])
def test_tiny_share_counts_as_none(share):
    assert WorkspaceSpec(name="w", share=share).share == 0


# Guards against a replica that ends, again after each restart, since its log or its
# snapshot holds a job with an estimate that earlier builds accepted.
@pytest.mark.parametrize("estimate_ms", [5e-324, 1e-322, 9e-4])
def test_tiny_estimate_of_an_old_log_is_unknown(estimate_ms):
    old = {"count": 1, "need": [1, 1, 0], "estimate_ms": estimate_ms}
    old["tail_target_ms"] = estimate_ms
    for codec in (msgspec.msgpack, msgspec.json):
        step = codec.decode(codec.encode(old), type=StepSpec)
        assert (step.estimate_ms, step.tail_target_ms) == (0, 0)
    step = StepSpec(count=1, need=Resources(), estimate_ms=estimate_ms)
    assert step.estimate_ms == 0


# Guards against bad input that is taken for a number that was meant.
@pytest.mark.parametrize("estimate_ms", [-1.0, -5e-324, 1.1e12, math.inf])
def test_estimate_out_of_range_is_refused(estimate_ms):
    spec = create_spec(steps=[create_step(estimate_ms=estimate_ms)])
    (error,) = validate_workflow(spec)
    assert "from 0 to" in error
