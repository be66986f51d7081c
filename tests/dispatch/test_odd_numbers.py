"""Calculations with numbers of any size that jobs, reports and settings may hold."""

import math

from hypothesis import given
from hypothesis import strategies as st

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.expected_end import ExpectedEndCost
from bluebellyoke.dispatch.objectives import describe_job
from bluebellyoke.dispatch.pair_table import PairTable
from bluebellyoke.dispatch.run_times import RunTimes
from bluebellyoke.dispatch.tracked_run import RunPhase, TrackedRun
from bluebellyoke.dispatch.worker_speeds import WorkerSpeeds
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.bounds import MAX_DURATION_MS
from tests.workflow.factories import (
    create_queue,
    create_spec,
    create_step,
    create_worker,
    name_task,
)

SIZES = [0.0, 5e-324, 1e-322, 1e-300, 1e-9, 1e-3, 1.0, 1e6, float(MAX_DURATION_MS)]

#: Estimates that are accepted; those that are too short for the clocks become 0.
estimates = st.sampled_from(SIZES) | st.floats(0, MAX_DURATION_MS)

#: Durations that the leader measures, which a clock that stands still may make 0.
durations = st.sampled_from([0.0, 5e-324, 1e-9, 1e6]) | st.floats(0, 1e9)


@given(st.lists(st.tuples(estimates, durations), max_size=30), estimates)
def test_expected_run_times_are_finite_and_above_zero(runs, estimate_ms):
    run_times = RunTimes()
    for number, (estimate, duration_s) in enumerate(runs):
        step = create_step(estimate_ms=estimate, image="i")
        run_times.record("q", step, duration_s, float(number))
    step = create_step(estimate_ms=estimate_ms, image="i")
    predicted = run_times.predict("q", step)
    if predicted is not None:
        assert 0 < predicted.seconds < math.inf
        assert 0 < predicted.spread < math.inf


@given(
    st.lists(estimates, min_size=1, max_size=4),
    st.floats() | st.sampled_from(SIZES),
    st.floats() | st.sampled_from(SIZES),
)
def test_objectives_are_finite(estimates_ms, target_ms, slack_factor):
    queue = create_queue(target_ms=target_ms, slack_factor=slack_factor)
    steps = [
        create_step(estimate_ms=x, depends_on=(number - 1,) if number else ())
        for number, x in enumerate(estimates_ms)
    ]
    shape = describe_job(create_spec(steps=steps), queue)
    if shape is not None:
        assert 0 <= shape.useful_s < math.inf
        assert 0 <= shape.work < math.inf
    cost = ExpectedEndCost(
        WorkerSpeeds(RunTimes(), lambda key: None, Metrics()),
        RunTimes(),
        lambda address: queue,
    )
    assert math.isfinite(cost._compute_sensitivity(steps[0], queue.address))


@given(st.lists(st.tuples(st.integers(0, 100), durations), max_size=20))
def test_progress_of_a_run_has_an_end(reports):
    run = TrackedRun(Resources(1), RunPhase.STARTED, 0.0)
    now = 0.0
    for percent, elapsed_s in reports:
        now += elapsed_s
        run.record_progress(percent, now)
        run.is_stalled(now)
        assert not math.isnan(run.expected_end_at)


@given(
    st.lists(
        st.tuples(st.integers(0, 100), st.integers(-(2**53), 2**53), durations),
        max_size=12,
    ),
    estimates,
)
def test_speed_of_a_worker_is_finite_and_above_zero(reports, estimate_ms):
    step = create_step(estimate_ms=estimate_ms, checkpoints=True)
    speeds = WorkerSpeeds(RunTimes(), lambda key: ("q", step, True), Metrics())
    worker = TrackedWorker(create_worker(), 0.0)
    now = 1.0
    for number, (percent, clock_ms, elapsed_s) in enumerate(reports):
        key = (name_task(index=number % 2), 1)
        worker.add_run(key, step.need, RunPhase.STARTED, now)
        run = worker.runs[key]
        run.sent_at = run.sent_at or now
        now += elapsed_s
        worker.record_clock(clock_ms, now, now)
        run.record_progress(percent, now)
        speeds.record_progress(worker, key, run, 0, now)
        if number % 3 == 2:
            speeds.record_end(worker, key, run, workflow_commands.RunOutcome.DONE, now)
            worker.drop_run(key)
    assert 0 < speeds.get_factor(worker) < math.inf
    assert 0 < speeds.get_slowdown(worker) < math.inf


levels = st.floats(-50, 50)


@given(st.lists(st.tuples(levels, st.floats(0, 1), durations), max_size=20))
def test_slowdowns_of_pairs_are_finite(observations):
    table = PairTable(Metrics())
    now = 0.0
    for level, exposure, elapsed_s in observations:
        now += elapsed_s
        table.add_evidence("i", {"j": exposure}, level, 0.1, ("w", 1), now)
    for pair in table._pairs.values():
        assert 0 < pair.factor < math.inf
