"""Tests of the placement by the expected end of tasks on workers of different speed."""

import math
import random

import pytest

from bluebellyoke.dispatch.dispatcher import Dispatcher
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.slowdowns import Slowdown
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.metrics import Metrics
from tests.dispatch.fleet import TICK_S, Fleet
from tests.workflow.factories import create_queue

SPEEDS = (0.6, 1.0, 1.6)

QUEUES = [
    create_queue("long", priority=1, slack_factor=2.2, target_ms=1000.0),
    create_queue("batch", priority=2, slack_factor=4.0, target_ms=3000.0),
    create_queue("short", priority=0, slack_factor=1.5, target_ms=250.0),
]

SHORT = create_queue("short").address

#: Load of the bid house on 176 workers: queue, jobs a second, tasks in a job,
#: thousandths of a core and run time of a task in seconds, share of gangs.
LOAD = (
    ("long", 1.8, (20, 9000, 5.0), 1.0),
    ("batch", 5.1, (25, 3500, 3.4), 0.0),
    ("short", 52.0, (3, 5000, 0.64), 0.3),
)
WAVE_PERIOD_S = 13.0
WAVE_HEIGHT = 0.55


def create_fleet(factors=SPEEDS * 8, **options):
    """Return a fleet whose workers have a known speed."""
    fleet = Fleet(factors, QUEUES, **options)
    for name, worker in fleet.workers.items():
        fleet.speeds.set_level(worker, math.log(fleet.machines[name].factor))
    return fleet


def submit_wave(fleet, wave):
    for queue, jobs_per_s, shape, gangs in LOAD:
        if (
            fleet.random.random()
            < jobs_per_s * wave * len(fleet.workers) / 176 * TICK_S
        ):
            fleet.submit(queue, *shape, gang=fleet.random.random() < gangs)


def run_wave(fleet, seconds):
    begun_at = fleet.now

    def submit():
        angle = 2 * math.pi * (fleet.now - begun_at) / WAVE_PERIOD_S
        submit_wave(fleet, 1 + WAVE_HEIGHT * math.sin(angle))

    fleet.run(seconds, submit)


def list_used_factors(fleet):
    """Return the factor of the worker of each running task."""
    return [x.factor for x in fleet.machines.values() for _ in x.runs]


def test_step_with_little_slack_uses_fast_workers():
    fleet = create_fleet()
    fleet.submit("short", 40, 5000, 0.64)
    fleet.run(TICK_S)
    assert set(list_used_factors(fleet)) == {0.6}


def test_step_with_much_slack_leaves_fast_workers_free():
    fleet = create_fleet()
    fleet.submit("batch", 25, 3500, 3.4)
    fleet.run(TICK_S)
    assert set(list_used_factors(fleet)) == {1.6}


# Guards against fast members of a gang that hold their workers until the slowest ends.
def test_gang_gets_workers_of_one_speed():
    fleet = create_fleet()
    fleet.submit("long", 20, 9000, 5.0, gang=True)
    fleet.run(TICK_S)
    assert set(list_used_factors(fleet)) == {0.6}


# Guards against idle workers of any speed while tasks wait.
@pytest.mark.parametrize("queue", ["short", "batch"])
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_all_workers_are_used_while_tasks_wait(queue, gang):
    fleet = create_fleet()
    for _ in range(24):
        fleet.submit(queue, 4, 8000, 5.0, gang=gang)
    fleet.run(TICK_S)
    assert len(list_used_factors(fleet)) == 96


# Guards against batches that are put on a worker on which they would take five times as
# long, because they prefer slow workers.
@pytest.mark.parametrize("queue", ["short", "batch"])
def test_no_step_prefers_a_worker_that_is_slowed_down(queue):
    fleet = create_fleet([1.0] * 6)
    fleet.speeds._slowdowns["w01"] = Slowdown(ratio=0.2)
    fleet.speeds.is_uneven = True
    fleet.submit(queue, 40, 4000, 3.4)
    fleet.run(TICK_S)
    assert not fleet.machines["w01"].runs
    assert len(list_used_factors(fleet)) == 40


@pytest.mark.parametrize("fields", [{"long_running": True}, {"backfill": True}])
def test_steps_without_an_end_ignore_the_speed(fields):
    fleet = create_fleet()
    fleet.submit("short", 1, 1000, 1.0, **fields)
    (workflow,) = fleet.store.workflows.values()
    assert fleet.cost.classify(workflow.spec.steps[0], SHORT) is None


# Guards against costs of an earlier round that are used although a speed has changed.
def test_changed_speed_takes_effect_in_the_next_round():
    fleet = create_fleet([1.0, 1.0, 1.6])
    fleet.submit("short", 1, 5000, 0.64, error=0.0)
    fleet.run(TICK_S)
    assert len(fleet.machines["w01"].runs) == 1
    fleet.speeds.set_level(fleet.workers["w01"], 0.6)
    fleet.submit("short", 1, 5000, 0.64, error=0.0)
    fleet.run(TICK_S)
    assert len(fleet.machines["w02"].runs) == 1
    fleet.speeds.forget_worker(fleet.workers["w01"])
    fleet.submit("short", 1, 5000, 0.64, error=0.0)
    fleet.run(TICK_S)
    assert len(fleet.machines["w01"].runs) == 2


# Guards against a change of the packing where all workers are equal.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_equal_workers_are_packed_as_without_the_cost(seed):
    fleets = [
        Fleet([1.0] * 24, QUEUES, is_uneven=is_uneven, seed=seed)
        for is_uneven in (False, True)
    ]
    placed = []
    for fleet in fleets:
        run_wave(fleet, 20)
        placed.append(
            [
                (workflow.spec.id, task.worker)
                for workflow in fleet.store.workflows.values()
                for task in workflow.get_repetition(0).steps[0].tasks
            ]
        )
    assert placed[0] == placed[1]
    step = next(iter(fleets[1].store.workflows.values())).spec.steps[0]
    assert fleets[1].cost.classify(step, SHORT) is None
    assert len(placed[0]) > 300


# Guards against noise in what is known, which would spread tasks over more workers.
def test_similar_workers_are_packed_as_equal_ones():
    generator = random.Random(1)
    fleet = Fleet([1.0] * 24, QUEUES)
    for worker in fleet.workers.values():
        fleet.speeds.set_level(worker, generator.uniform(-0.02, 0.02))
    fleet.submit("short", 24, 5000, 0.64)
    fleet.run(TICK_S)
    assert len([x for x in fleet.machines.values() if x.runs]) == 4


def test_short_jobs_meet_their_objective_under_a_wave():
    """Their objective leaves no room for a worker of factor 1.6."""
    shares = {True: [], False: []}
    for is_uneven, found in shares.items():
        for seed in (1, 2):
            fleet = Fleet(SPEEDS * 8, QUEUES, is_uneven=is_uneven, seed=seed)
            run_wave(fleet, 40)
            since = fleet.now - 25
            found.append(fleet.compute_on_time("short", since))
            if is_uneven:
                assert fleet.compute_on_time("long", since) >= 0.95
                assert fleet.compute_on_time("batch", since) >= 0.99
    assert min(shares[True]) >= 0.99
    assert max(shares[False]) < 0.99


class NoCalls:
    """Takes calls to workers and drops them."""

    term = 0
    metrics = Metrics()


def test_dispatcher_learns_only_if_the_feature_is_on():
    for is_on in (False, True):
        dispatcher = Dispatcher(
            proposals=ProposalQueue(),
            calls=NoCalls(),
            features=DispatchFeatures(uneven_workers=is_on),
        )
        assert bool(dispatcher._context.observers) is is_on
        assert bool(dispatcher._context.costs) is is_on
        assert bool(dispatcher._starter._planner._costs._costs) is is_on
