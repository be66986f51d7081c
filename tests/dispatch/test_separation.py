"""Tests of the placement of tasks apart from those that they interfere with."""

import logging

import pytest

from bluebellyoke.dispatch.separation import InterferenceCost
from bluebellyoke.workflow.commands import RunOutcome
from tests.dispatch.serving import BACKFILL, SERVING, ServingSimulation
from tests.workflow.factories import create_spec, create_step

JOB = "00000000000000aa"


def create_simulation(workers=3, serving=1, **options):
    """Return a simulation whose first workers each have a serving task."""
    simulation = ServingSimulation(workers, **options)
    simulation.submit_serving(serving, max_per_worker=1)
    simulation.run(2.0)
    assert len(simulation.list_runs(SERVING)) == serving
    return simulation


def teach(simulation, victim="web", other="batch", slowdown=0.6):
    """Let the leader know of an interference."""
    table = simulation.dispatcher._parts.interference._table
    for number in range(20):
        worker = (f"x{number % 2}", 1)
        table.add_evidence(victim, {other: 1.0}, slowdown, 0.04, worker, simulation.now)
    assert table.estimate_slowdown(victim, other) > 0.5


def submit(simulation, count=1, image="batch", workflow=JOB, cpu=1000, **fields):
    step = create_step(count, cpu=cpu, image=image, **fields)
    simulation.submit(create_spec(workflow, [step]))


def list_workers(simulation, workflow):
    return [name for name, _ in simulation.list_runs(workflow)]


# Guards against interfering tasks side by side although another worker is free.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
@pytest.mark.parametrize("pair", [("web", "batch"), ("batch", "web")])
def test_interfering_tasks_are_placed_apart_where_there_is_capacity(gang, pair):
    simulation = create_simulation()
    occupied = list_workers(simulation, SERVING)
    teach(simulation, *pair)
    submit(simulation, 4, gang=gang)
    simulation.run(1.0)
    workers = list_workers(simulation, JOB)
    assert len(workers) == 4
    assert not set(occupied) & set(workers)


# Guards against a task that waits for a worker without interference.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_task_that_fits_nowhere_else_does_not_wait(gang):
    simulation = create_simulation(workers=2, serving=2)
    teach(simulation)
    submit(simulation, 4, gang=gang)
    simulation.run(1.0)
    assert len(list_workers(simulation, JOB)) == 4


# Guards against a change of placement without evidence, or without the feature.
@pytest.mark.parametrize("interference", [False, True])
@pytest.mark.parametrize("is_known", [False, True])
def test_placement_changes_only_by_what_is_known(interference, is_known):
    simulation = create_simulation(interference=interference)
    if interference and is_known:
        teach(simulation)
    submit(simulation)
    simulation.run(1.0)
    is_beside = list_workers(simulation, JOB) == list_workers(simulation, SERVING)
    assert is_beside is not (interference and is_known)


# Guards against the time of estimates for all workers where nothing is known.
def test_nothing_is_estimated_for_steps_without_a_known_pair(monkeypatch):
    estimated = []

    def estimate(self, step, queue, worker):
        estimated.append(step.image)
        return 0.0

    monkeypatch.setattr(InterferenceCost, "estimate", estimate)
    simulation = create_simulation()
    submit(simulation, image="batch")
    simulation.run(1.0)
    assert estimated == []
    teach(simulation)
    submit(simulation, image="batch", workflow="00000000000000ab")
    submit(simulation, image="other", workflow="00000000000000ac")
    simulation.run(1.0)
    assert set(estimated) == {"batch"}


# Guards against a cost of one step that is left over for the next one of a round.
def test_cost_of_a_step_does_not_count_for_the_next_one():
    simulation = create_simulation()
    teach(simulation)
    submit(simulation, cpu=100)
    submit(simulation, image="other", workflow="00000000000000ab")
    simulation.run(1.0)
    serving = list_workers(simulation, SERVING)
    assert list_workers(simulation, JOB) != serving
    assert list_workers(simulation, "00000000000000ab") == serving


# Guards against a backfill task that goes where it would be slowed down at once.
def test_backfill_task_avoids_a_worker_whose_tail_is_high():
    simulation = create_simulation(workers=2)
    simulation.serving["w1"].base_ms = simulation.serving["w2"].base_ms = 95.0
    occupied = list_workers(simulation, SERVING)
    simulation.run(2.0)
    simulation.submit_backfill()
    simulation.run(1.0)
    workers = list_workers(simulation, BACKFILL)
    assert len(workers) == 1
    assert workers != occupied


# Guards against a placement that an operator cannot explain.
def test_task_that_is_kept_apart_is_logged_and_counted(caplog):
    simulation = create_simulation()
    teach(simulation)
    with caplog.at_level(logging.INFO, "bluebellyoke.dispatch"):
        submit(simulation)
        simulation.run(1.0)
    (line,) = [x for x in caplog.records if "kept a task apart" in x.message]
    assert (line.job, line.task, line.run) == (JOB, [0, 0, 0], 1)
    assert (line.image, line.other) == ("batch", "web")
    assert [line.avoided] == list_workers(simulation, SERVING)
    assert 1.6 < line.factor < 2.0
    text = simulation.calls.metrics.render()
    assert "bluebellyoke_tasks_kept_apart_total 1" in text


# Guards against a report of a choice that was not made.
def test_task_that_cannot_be_kept_apart_is_not_reported(caplog):
    simulation = create_simulation(workers=2, serving=2)
    teach(simulation)
    with caplog.at_level(logging.INFO, "bluebellyoke.dispatch"):
        submit(simulation)
        simulation.run(1.0)
    assert list_workers(simulation, JOB)
    assert not [x for x in caplog.records if "kept a task apart" in x.message]


# Guards against parts that work alone but are not connected: from reports of workers to
# the choice of a worker.
def test_interference_is_learned_from_reports_and_avoided():
    simulation = create_simulation(workers=4, serving=3)
    for serving in simulation.serving.values():
        serving.base_ms, serving.image_effects = 40.0, {"batch": 30.0}
    for number in range(30):
        workflow = f"{number + 256:016x}"
        submit(simulation, 2, workflow=workflow, max_per_worker=1)
        simulation.run(2.5)
        for name, key in simulation.list_runs(workflow):
            simulation.workers[name].end(key, RunOutcome.DONE)
        simulation.run(1.5)
    assert "bluebellyoke_interfering_pairs 1" in simulation.calls.metrics.render()
    submit(simulation, 2)
    simulation.run(1.0)
    assert len(list_workers(simulation, JOB)) == 2
    assert not set(list_workers(simulation, JOB)) & set(
        list_workers(simulation, SERVING)
    )
