"""Tests of the comparison of workers by the run times on them."""

import math
import random

import pytest

from bluebellyoke.dispatch.speed_estimates import SpeedEstimate, update_estimates

NOISE = 0.5


def create_estimate(runs=0, mean=0.0, labels=()):
    return SpeedEstimate(1, labels, runs=runs, mean=mean)


def create_estimates(count, runs, factor=1.0, seed=1):
    """Return workers with a factor, as noise shows them."""
    generator = random.Random(seed)
    error = NOISE / math.sqrt(runs)
    return [
        create_estimate(runs, math.log(factor) + generator.gauss(0, error))
        for _ in range(count)
    ]


# Guards against a task of seven times the usual length that makes its worker slow.
def test_single_deviation_is_bounded():
    estimate = create_estimate(runs=9.0)
    estimate.record(("a", 0, 0), math.log(7), 1.0)
    assert estimate.mean == pytest.approx(0.12)


# Guards against a step with a wrong estimate of which many tasks run on one worker.
def test_further_runs_of_a_step_weigh_less():
    of_one_step, of_several = create_estimate(runs=9.0), create_estimate(runs=9.0)
    for number in range(9):
        of_one_step.record(("a", 0, 0), 0.5, 1.0)
        of_several.record((f"a{number}", 0, 0), 0.5, 1.0)
    assert of_several.mean == pytest.approx(0.25)
    assert of_one_step.mean < 0.15


# Guards against tables that grow with the number of steps.
def test_counted_steps_are_bounded():
    estimate = create_estimate()
    for number in range(100):
        estimate.record((f"a{number}", 0, 0), 0.1, 1.0)
    assert len(estimate.steps) <= 16


@pytest.mark.parametrize("count", [4, 24, 176])
@pytest.mark.parametrize("runs", [3, 10, 100])
def test_noise_of_equal_workers_changes_no_level(count, runs):
    changed = 0
    for seed in range(40):
        estimates = create_estimates(count, runs, seed=seed)
        update_estimates(estimates, NOISE)
        changed += any([item.update_level() for item in estimates])
    assert changed <= 2


def test_estimate_is_shrunk_by_the_number_of_runs():
    found = []
    for runs in (5, 20, 100):
        estimates = create_estimates(8, runs, 0.6)
        estimates += create_estimates(8, runs, 1.0, seed=2)
        estimates += create_estimates(8, runs, 1.6, seed=3)
        few = create_estimate(1.0, math.log(1.6))
        update_estimates([*estimates, few], NOISE)
        found.append(few.estimate)
        assert few.estimate < math.log(1.6) * 0.7
        assert estimates[-1].estimate > few.estimate
    assert min(found) >= 0.0


def test_single_slow_worker_is_found():
    estimates = [*create_estimates(23, 60), create_estimate(60, math.log(1.6))]
    update_estimates(estimates, NOISE)
    changed = [item.update_level() for item in estimates]
    assert changed == [False] * 23 + [True]
    assert estimates[-1].level == pytest.approx(math.log(1.6), abs=0.1)


def test_few_workers_are_not_compared():
    estimates = [create_estimate(100, 1.0), create_estimate(100, 0.0)]
    update_estimates(estimates, NOISE)
    assert [item.estimate for item in estimates] == [0.0, 0.0]
