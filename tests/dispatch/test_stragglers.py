"""Tests of the moves of runs off slow, stalled and failing workers."""

import pytest

from tests.dispatch.fleet import Fleet
from tests.workflow.factories import create_queue

QUEUES = [
    create_queue("batch", slack_factor=4.0, target_ms=3000.0),
    create_queue("patient", slack_factor=20.0),
    create_queue("urgent", slack_factor=2.2, target_ms=1000.0),
]

BATCH = (12, 3500, 2.0)

LONG_S = 14.0


def create_fleet(factors=(1.0,) * 12, **options):
    fleet = Fleet(factors, QUEUES, is_moving=True, **options)
    fleet.run(15, create_load(fleet))
    return fleet


def create_load(fleet, **fields):
    def submit():
        if fleet.random.random() < len(fleet.workers) * 0.2 * 0.02:
            fleet.submit("batch", *BATCH, checkpoints=True, **fields)

    return submit


def count_moves(fleet):
    counters = fleet.metrics._counters
    return sum(x for (name, _), x in counters.items() if name == "moved_runs_total")


def submit_long(fleet, count=1, label="w01", **fields):
    """Submit a job of long tasks for one worker; return its ID."""
    options = {"error": 0.0, "checkpoints": True, "required_label": label, **fields}
    return fleet.submit("batch", count, 3500, 2.0, works=[LONG_S] * count, **options)


def list_tasks(fleet, job):
    return fleet.store.workflows[job].get_repetition(0).steps[0].tasks


def slow_down(fleet, name="w01", slowdown=8.0):
    fleet.machines[name].slowdown = slowdown


# Guards against a run that waits on a worker until that has recovered.
def test_run_is_moved_off_a_worker_that_slows_down():
    fleet = create_fleet()
    job = submit_long(fleet, label="")
    fleet.run(1)
    (task,) = list_tasks(fleet, job)
    slow = task.worker
    fleet.run(4)
    slow_down(fleet, slow)
    fleet.run(8)
    assert (task.run, task.worker != slow) == (2, True)
    fleet.run(10)
    assert fleet.jobs[job].finished_at
    assert fleet.jobs[job].finished_at - fleet.jobs[job].submitted_at < 20


# Guards against stops that cost time and gain none.
def test_long_run_on_a_sound_worker_is_left_alone():
    fleet = create_fleet()
    job = submit_long(fleet)
    fleet.run(16, create_load(fleet))
    assert count_moves(fleet) == 0
    assert fleet.jobs[job].finished_at


@pytest.mark.parametrize("speeds", [(1.0,), (0.8, 1.0, 1.25)])
def test_usual_traffic_causes_no_moves(speeds):
    fleet = create_fleet(speeds * (12 // len(speeds)))
    fleet.run(30, create_load(fleet))
    assert count_moves(fleet) == 0


def test_run_that_does_not_save_progress_is_left_alone():
    fleet = create_fleet()
    job = submit_long(fleet, label="", checkpoints=False)
    fleet.run(4)
    (task,) = list_tasks(fleet, job)
    slow_down(fleet, task.worker)
    fleet.run(8)
    assert task.run == 1


# Guards against stops for nothing: an objective with much slack is met on the worker.
@pytest.mark.parametrize(("queue", "runs"), [("patient", 1), ("urgent", 2)])
def test_run_that_meets_its_objective_is_left_alone(queue, runs):
    fleet = create_fleet()
    fields = {"error": 0.0, "works": [3.4], "checkpoints": True}
    fleet.run(10)
    job = fleet.submit(queue, 1, 3500, 3.4, **fields)
    fleet.run(1.5)
    (task,) = list_tasks(fleet, job)
    fleet.submit("batch", 4, 3500, 3.4, works=[3.4] * 4, error=0.0)
    slow_down(fleet, task.worker)
    fleet.run(5)
    assert task.run == runs


# Guards against a worker that is emptied for other tasks, which are late on it.
def test_run_is_left_alone_if_little_is_free():
    fleet = create_fleet()
    fleet.run(20)
    job = submit_long(fleet, label="")
    fleet.submit("batch", 11, 28000, 14.0, works=[20.0] * 11, error=0.0)
    fleet.run(4)
    (task,) = list_tasks(fleet, job)
    slow_down(fleet, task.worker)
    fleet.run(8)
    assert task.run == 1


# Guards against a run that is stopped while no other worker can take it.
def test_run_is_left_alone_if_there_is_no_room_elsewhere():
    fleet = create_fleet()
    job = submit_long(fleet, label="w01")
    fleet.run(4)
    slow_down(fleet)
    fleet.run(8)
    assert list_tasks(fleet, job)[0].run == 1


# Guards against a task that is stopped again and again and never ends.
def test_task_is_not_moved_twice_in_a_row():
    fleet = create_fleet()
    job = submit_long(fleet, label="")
    fleet.run(4)
    (task,) = list_tasks(fleet, job)
    slow_down(fleet, task.worker)
    fleet.run(6)
    assert task.run == 2
    fleet.mover.clear()  # As with another leader.
    fleet.run(3)
    slow_down(fleet, task.worker)
    fleet.run(6)
    assert task.run == 2


# Guards against the same where the stop did not save anything.
def test_task_without_a_checkpoint_is_not_moved_twice_in_a_row():
    fleet = create_fleet()
    fleet.checkpoint = ""
    job = submit_long(fleet, label="")
    fleet.run(4)
    (task,) = list_tasks(fleet, job)
    slow_down(fleet, task.worker)
    fleet.run(6)
    assert (task.run, task.checkpoint) == (2, "")
    fleet.run(3)
    slow_down(fleet, task.worker)
    fleet.run(6)
    assert task.run == 2


# Guards against moves that take longer than the rest of the run.
def test_run_that_is_almost_done_is_left_alone():
    fleet = create_fleet()
    job = submit_long(fleet, label="")
    fleet.run(11)
    (task,) = list_tasks(fleet, job)
    slow_down(fleet, task.worker, 2.5)
    fleet.run(4)
    assert task.run == 1


def test_run_that_ends_soon_relative_to_its_run_time_is_left_alone():
    fleet = create_fleet()
    fields = {"error": 0.0, "works": [LONG_S], "checkpoints": True, "image": "long"}
    for _ in range(20):
        fleet.submit("batch", 1, 3500, LONG_S, **fields)
    fleet.run(16)
    job = fleet.submit("batch", 1, 3500, LONG_S, **fields)
    fleet.run(4)
    (task,) = list_tasks(fleet, job)
    slow_down(fleet, task.worker, 5.0)
    fleet.run(6)
    assert task.run == 1


# Guards against stops of all runs at once when many workers slow down.
def test_rate_of_moves_is_bounded():
    fleet = create_fleet((1.0,) * 24)
    submit_long(fleet, 60, label="")
    fleet.run(4)
    used = [name for name, machine in fleet.machines.items() if machine.runs]
    for name in used:
        slow_down(fleet, name)
    before = count_moves(fleet)
    fleet.run(4)
    moved = count_moves(fleet) - before
    assert 4 <= moved <= 8 + 4 * 4


# Guards against a gang that loses a member, and so all its work.
def test_gang_is_moved_as_a_whole():
    fleet = create_fleet()
    fields = {"error": 0.0, "works": [4.0] * 6, "gang": True, "max_per_worker": 1}
    job = fleet.submit("urgent", 6, 3500, 4.0, checkpoints=True, **fields)
    fleet.run(1, create_load(fleet))
    tasks = list_tasks(fleet, job)
    slow = tasks[0].worker
    slow_down(fleet, slow)
    stopped = []
    for _ in range(40):
        fleet.run(0.2, create_load(fleet))
        stopped.append(len([x for x in fleet.stopping if x[2][0].workflow == job]))
    assert set(stopped) == {0, 6}
    assert {task.run for task in tasks} == {2}
    assert slow not in {task.worker for task in tasks}


def report_stall(fleet, name, seconds):
    """Let a worker report the same progress of its runs for some time."""
    machine, worker = fleet.machines[name], fleet.workers[name]
    machine.factor, factor = 1e9, machine.factor
    for _ in range(round(seconds / 0.5)):
        fleet.run(0.5)
        worker.update_stall(set(worker.runs), fleet.now)
    machine.factor = factor


# Guards against runs that wait for ever on a worker that stands still, and against
# moves because of a short pause.
@pytest.mark.parametrize(("seconds", "runs"), [(2.5, 1), (7.0, 2)])
def test_run_is_moved_off_a_worker_that_stands_still(seconds, runs):
    fleet = create_fleet()
    fleet.run(20)
    job = fleet.submit("batch", 1, 3500, 6.0, works=[6.0], error=0.0, checkpoints=True)
    fleet.run(3.5)
    (task,) = list_tasks(fleet, job)
    report_stall(fleet, task.worker, seconds)
    assert task.run == runs
    assert fleet.metrics._counters["moved_runs_total", "stalled"] == runs - 1
