"""Tests of the run times that are learned by queue and image."""

import math
import random

import pytest

from bluebellyoke.dispatch.run_times import MAX_GROUPS, RunTimes
from tests.workflow.factories import create_step

NOW = 100.0


@pytest.fixture
def run_times():
    return RunTimes()


def record_runs(run_times, count, *, mean_s=1.0, bias=1.0, error=0.0, seed=1, **fields):
    """Record runs that vary by 50%; their estimates are off by a factor and an error.

    Returns:
        Time after the last run.
    """
    generator = random.Random(seed)
    for number in range(count):
        estimate_s = mean_s * bias * generator.uniform(1 - error, 1 + error)
        step = create_step(1, estimate_ms=estimate_s * 1000, **fields)
        duration_s = mean_s * generator.uniform(0.5, 1.5)
        run_times.record("q", step, duration_s, NOW + number * 0.02)
    return NOW + count * 0.02


def predict(run_times, estimate_s, queue="q", **fields):
    step = create_step(1, estimate_ms=estimate_s * 1000, **fields)
    return run_times.predict(queue, step)


def test_declared_estimate_is_the_prior(run_times):
    predicted = predict(run_times, 2.0)
    assert predicted.seconds == pytest.approx(2.0)
    assert predicted.runs == 0


def test_nothing_is_predicted_without_an_estimate_or_a_run(run_times):
    assert predict(run_times, 0.0) is None
    run_times.record("q", create_step(1), 2.0, NOW)
    assert predict(run_times, 0.0).seconds == pytest.approx(2.0)


# Guards against estimates of a whole queue that are wrong by the same factor.
def test_wrong_estimates_of_a_queue_are_corrected(run_times):
    record_runs(run_times, 100, bias=3.0)
    assert predict(run_times, 3.0).seconds == pytest.approx(1.0, rel=0.2)
    assert predict(run_times, 3.0, queue="other").seconds == pytest.approx(3.0)


# Guards against a run time that follows estimates which tell nothing.
def test_noisy_estimates_weigh_less(run_times):
    record_runs(run_times, 300, error=0.9)
    assert predict(run_times, 0.2).seconds > 0.6
    assert predict(run_times, 1.9).seconds < 1.5


def test_estimates_that_tell_the_run_time_are_followed(run_times):
    for number in range(200):
        estimate_s = 0.5 * 2 ** (number % 5)
        step = create_step(1, estimate_ms=estimate_s * 1000)
        run_times.record("q", step, estimate_s, NOW)
    assert predict(run_times, 0.5).seconds == pytest.approx(0.5, rel=0.1)
    assert predict(run_times, 8.0).seconds == pytest.approx(8.0, rel=0.1)


# Guards against a mean that the few tasks of seven times the usual length shift.
def test_long_tail_does_not_shift_the_run_time(run_times):
    generator = random.Random(1)
    step = create_step(1, estimate_ms=1000)
    for _ in range(300):
        work_s = generator.uniform(0.5, 1.5)
        if generator.random() < 0.03:
            work_s *= 7
        run_times.record("q", step, work_s, NOW)
    assert predict(run_times, 1.0).seconds == pytest.approx(0.95, abs=0.12)


def test_images_of_a_queue_are_told_apart(run_times):
    record_runs(run_times, 50, mean_s=1.0, image="a")
    record_runs(run_times, 50, mean_s=4.0, bias=0.25, image="b")
    assert predict(run_times, 1.0, image="a").seconds == pytest.approx(1.0, rel=0.25)
    assert predict(run_times, 1.0, image="b").seconds == pytest.approx(4.0, rel=0.25)


def test_recent_runs_replace_old_ones(run_times):
    now = record_runs(run_times, 200)
    step = create_step(1, estimate_ms=1000)
    for number in range(300):
        run_times.record("q", step, 2.0, now + number)
    assert predict(run_times, 1.0).seconds == pytest.approx(2.0, rel=0.1)


# Guards against a table that grows with the number of images that callers invent.
def test_table_is_bounded(run_times):
    for number in range(2 * MAX_GROUPS):
        step = create_step(1, estimate_ms=1000, image=f"image-{number}")
        run_times.record("q", step, 1.0, NOW)
    assert len(run_times._groups) <= MAX_GROUPS


def test_spread_tells_how_much_runs_vary(run_times):
    record_runs(run_times, 300)
    deviations = [math.log(0.5 + (x + 0.5) / 100) for x in range(100)]
    mean = sum(deviations) / 100
    expected = math.sqrt(sum((x - mean) ** 2 for x in deviations) / 100)
    assert predict(run_times, 1.0).spread == pytest.approx(expected, rel=0.3)
