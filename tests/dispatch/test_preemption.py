"""Tests of stops of tasks that save their progress, for short jobs."""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch import preemption
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import WorkspaceSpec
from tests.dispatch.load import LoadSimulation
from tests.workflow.factories import create_spec, create_step

#: The tasks below leave no room for a short task on any of the 8 workers, and run for
#: longer than a short job can wait.
FILLING_TASKS = 72
FILLING_MS = 12_000.0


@pytest.fixture
def simulation():
    return LoadSimulation(workers=8, seed=4)


def fill(simulation, queue="batch", *, estimate_ms=FILLING_MS, **fields):
    """Let a job take up all workers; return its ID."""
    fields.setdefault("checkpoints", True)
    step = create_step(FILLING_TASKS, 3500, estimate_ms=estimate_ms, **fields)
    job = simulation.add_job(queue, simulation.now, steps=[step])
    simulation.run(1.0)
    assert count_runs(simulation) == FILLING_TASKS
    return job


def submit_short(simulation, workspace=""):
    """Let a short job be accepted whatever the load, and return its ID."""
    spec = create_spec(
        f"{len(simulation.store.workflows):016x}",
        [create_step(3, 5000, estimate_ms=640.0)],
        queue="short",
        workspace=workspace,
    )
    command = workflow_commands.SubmitWorkflow(spec=spec, time=simulation.now)
    simulation.store.apply(command)
    return spec.id


def count_runs(simulation):
    return sum(len(worker.runs) for worker in simulation.workers.values())


def count_stops(simulation):
    return sum(simulation.stops.values())


# Guards against short jobs that wait for tasks of ten times their run time.
def test_short_job_gets_room_from_tasks_that_save_progress(simulation):
    batch = fill(simulation)
    steps = [create_step(3, 5000, estimate_ms=640.0)]
    short = simulation.add_job("short", simulation.now, steps=steps)
    simulation.run(2.5)
    workflow = simulation.store.workflows[short]
    assert workflow.outcome == "completed"
    # Its objective is 1.21 s; a stop takes 0.4 s here and its run up to 0.8 s.
    assert simulation.find_latency(simulation.jobs[short]) < 3 * 1.21
    stopped = simulation.store.workflows[batch]
    assert 1 <= count_stops(simulation) <= 6
    simulation.run_until_idle()
    assert stopped.outcome == "completed"


# Guards against stops that count as failures or lose the progress.
def test_stopped_task_resumes_from_its_checkpoint(simulation):
    batch = fill(simulation)
    submit_short(simulation)
    simulation.run(2.5)
    tasks = simulation.store.workflows[batch].repetitions[0].steps[0].tasks
    stopped = [task for task in tasks if task.checkpoint]
    assert len(stopped) == count_stops(simulation) > 0
    assert all(task.failures == 0 for task in tasks)
    simulation.run_until_idle()
    assert simulation.lost_work == 0
    assert simulation.store.workflows[batch].outcome == "completed"


# Guards against a task that is stopped each time that it has resumed.
def test_no_task_is_stopped_twice(simulation):
    fill(simulation)
    for _ in range(8):
        submit_short(simulation)
        simulation.run(1.0)
    assert count_stops(simulation) > 0
    assert max(simulation.stops.values()) == 1


# Guards against the same under a new leader, which has not seen the first stop.
def test_no_task_is_stopped_twice_after_a_change_of_leader(simulation):
    fill(simulation)
    submit_short(simulation)
    simulation.run(2.0)
    simulation.change_leader()
    simulation.run(2.5)
    for _ in range(4):
        submit_short(simulation)
        simulation.run(1.0)
    assert max(simulation.stops.values()) == 1


# Guards against stops of tasks that cannot resume, that belong together, that never
# end, or that have the same priority.
@pytest.mark.parametrize(
    ("queue", "fields"),
    [
        ("batch", {"checkpoints": False}),
        ("batch", {"gang": True}),
        ("batch", {"long_running": True}),
        ("batch", {"speculative": True}),
        ("short", {}),
    ],
)
def test_some_tasks_are_never_stopped(simulation, queue, fields):
    fill(simulation, queue, **fields)
    submit_short(simulation)
    simulation.run(2.0)
    assert count_stops(simulation) == 0


# Guards against stops for room that comes free by itself before a stop is done.
def test_tasks_that_end_soon_are_not_stopped(simulation):
    fill(simulation, estimate_ms=1300.0)
    submit_short(simulation)
    simulation.run(2.0)
    assert count_stops(simulation) == 0


# Guards against stops while there is room elsewhere.
def test_nothing_is_stopped_while_there_is_room(simulation):
    step = create_step(40, 3500, estimate_ms=FILLING_MS, checkpoints=True)
    simulation.add_job("batch", simulation.now, steps=[step])
    simulation.run(1.0)
    submit_short(simulation)
    simulation.run(2.0)
    assert count_stops(simulation) == 0


# Guards against stops for a workspace that may not use the room.
@pytest.mark.parametrize(("cpu", "may_stop"), [(4000, False), (60_000, True)])
def test_nothing_is_stopped_for_a_workspace_without_quota(simulation, cpu, may_stop):
    fill(simulation)
    quota = Resources(cpu, 0, 0)
    simulation.configure(
        (WorkspaceSpec(name="a", credentials=("a",), share=9.0, quota=quota),)
    )
    submit_short(simulation, workspace="a")
    simulation.run(2.0)
    assert (count_stops(simulation) > 0) is may_stop


# Guards against the loss of more work than the bounds on the rate allow.
def test_rate_of_stops_is_bounded(simulation, monkeypatch):
    monkeypatch.setattr(preemption, "MAX_STOPS_PER_S", 2)
    monkeypatch.setattr(preemption, "MAX_STOPPING_FRACTION", 1.0)
    fill(simulation)
    began_at = simulation.now
    for _ in range(5):
        submit_short(simulation)
    simulation.run(3.0)
    assert 0 < count_stops(simulation) <= 2 * (simulation.now - began_at)


# Guards against stops whose effect nobody can see.
def test_stops_are_counted(simulation):
    fill(simulation)
    submit_short(simulation)
    simulation.run(2.0)
    text = simulation.calls.metrics.render()
    count = count_stops(simulation)
    assert f'bluebellyoke_preemptions_total{{outcome="stopped"}} {count}' in text
    assert "bluebellyoke_preempted_core_millis_total" in text


# Load: tasks of the bid house's batches on 44 workers with 1.25 times the usual load,
# and 1.6 times the short jobs on top for 4 s. Guards against stops that cost batches
# more than short jobs gain: no more than 1 in 20 of either is late.
def test_stops_under_load_make_nobody_late():
    simulation = LoadSimulation(seed=3)
    simulation.add_usual_traffic(14, factor=1.25)
    simulation.add_traffic("short", 4, start_s=6, factor=1.6)
    simulation.run(14)
    simulation.run_until_idle()
    for queue in ("batch", "short"):
        jobs = simulation.list_jobs(queue)
        assert simulation.compute_mean_value(jobs) >= 0.95, simulation.describe()
