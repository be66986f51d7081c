"""Tests of tasks that crash their workers."""

import pytest

from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.crashing import CrashSimulation
from tests.workflow.factories import create_spec, create_step

#: Crashes of workers after which a task may not be started this many times more.
MAX_CRASHES = 3
MAX_FURTHER_STARTS = 3


def number_id(number):
    return f"{number:016x}"


def is_deadly(task):
    """Return whether a task is the first one of the workflow with the ID 1."""
    return task.workflow == number_id(1) and task.index == 0


def create_cell(**options):
    """Return a cell whose workers have responded to a first poll."""
    simulation = CrashSimulation(**{"deadly": is_deadly, **options})
    simulation.run(0.1)
    return simulation


def get_states(simulation):
    return {name: item.state for name, item in simulation.store.workflows.items()}


def check_deadly_task(simulation, *names):
    """Check that the workflow 1 failed before its task took many workers down."""
    assert get_states(simulation)[number_id(1)] == "failed"
    for name in names:
        assert simulation.crashes[name] <= MAX_CRASHES
        assert simulation.starts[name] <= MAX_CRASHES


# Guards against one task that crashes worker after worker: a run that was lost with its
# worker counted nowhere, so the task was started for ever.
def test_task_that_crashes_its_workers_is_given_up():
    simulation = create_cell()
    simulation.submit(create_spec(number_id(1)))
    simulation.run(30)
    check_deadly_task(simulation, *simulation.crashes)


# Guards against the loss of a job that did nothing but share a worker with a task that
# crashes its workers.
def test_innocent_tasks_beside_a_deadly_one_are_done():
    simulation = create_cell()
    for number in range(1, 13):
        simulation.submit(create_spec(number_id(number)))
    simulation.run(30)
    states = get_states(simulation)
    assert states.pop(number_id(1)) == "failed"
    assert set(states.values()) == {"completed"}
    assert len(simulation.crashed_at) <= MAX_CRASHES


# Guards against blame of the tasks that have run beside others for long: they are lost
# with several workers before the task that crashes them is known.
def test_long_task_that_shares_crashed_workers_is_done():
    simulation = create_cell(workers=2, task_s=6.0, deadly=lambda task: task.step == 1)
    steps = [create_step(1, cpu=100), create_step(1, cpu=100, depends_on=(0,))]
    for number in range(1, 4):
        simulation.submit(create_spec(number_id(number), steps))
    simulation.run(4)
    simulation.submit(create_spec(number_id(9)))
    simulation.run(90)
    states = get_states(simulation)
    assert states.pop(number_id(9)) == "completed"
    assert set(states.values()) == {"failed"}


# Guards against a task that crashes its worker only after some seconds, beside younger
# ones that are innocent.
def test_task_that_crashes_its_workers_late_is_given_up():
    simulation = create_cell(crash_after_s=4.0)
    simulation.submit(create_spec(number_id(1)))
    numbers = iter(range(2, 10_000))

    def submit_short_one():
        if next(numbers) % 20 == 0:
            simulation.submit(create_spec(number_id(next(numbers))))

    simulation.run(60, submit_short_one)
    states = get_states(simulation)
    assert states[number_id(1)] == "failed"
    (task,) = filter(is_deadly, simulation.crashes)
    assert simulation.starts[task] - MAX_CRASHES < MAX_FURTHER_STARTS
    assert "failed" not in [states[x] for x in states if x != number_id(1)]


# Guards against a gang that takes several workers down in each of its runs.
def test_gang_that_crashes_its_workers_is_given_up():
    def is_gang_deadly(task):
        gang = [x for x in simulation.began_at if x[1][0].workflow == number_id(1)]
        return is_deadly(task) and len(gang) >= 8

    simulation = create_cell(workers=8)
    simulation.deadly = is_gang_deadly
    simulation.submit(create_spec(number_id(1), [create_step(8, cpu=2000, gang=True)]))
    for number in range(2, 10):
        simulation.submit(create_spec(number_id(number)))
    simulation.run(40)
    check_deadly_task(simulation, *filter(is_deadly, simulation.crashes))
    states = get_states(simulation)
    assert [states[number_id(x)] for x in range(2, 10)] == ["completed"] * 8


class GangCrashes:
    """Crashes of the workers of some tasks of a gang, one in each of its runs.

    Args:
        indexes: Indexes of the tasks, in the order of the runs.
    """

    def __init__(self, simulation, indexes, on_crash=lambda: None):
        self.simulation = simulation
        self.indexes = list(indexes)
        self.on_crash = on_crash
        self.seen = set()

    def __call__(self):
        members = {
            key: worker
            for worker in self.simulation.workers.values()
            for key in worker.runs
            if key[0].workflow == number_id(1)
        }
        numbers = {run for _, run in members} - self.seen
        if not self.indexes or len(members) < GANG_TASKS or not numbers:
            return
        self.seen |= numbers
        index = self.indexes.pop(0)
        (worker,) = [x for (task, _), x in members.items() if task.index == index]
        self.simulation.crash(worker.spec.id)
        self.on_crash()


GANG_TASKS = 6


def submit_gang(simulation):
    step = create_step(GANG_TASKS, cpu=2000, gang=True)
    simulation.submit(create_spec(number_id(1), [step]))


# Guards against a gang that fails although no task of it has two crashes: they were
# counted for the gang, whichever tasks they struck.
@pytest.mark.parametrize("count", [2, 3, 5])
@pytest.mark.parametrize("has_new_leaders", [False, True])
def test_gang_is_done_after_crashes_under_different_tasks(count, has_new_leaders):
    simulation = create_cell(workers=8, deadly=lambda task: False, task_s=2.0)
    submit_gang(simulation)
    change = simulation.change_leader_and_restore if has_new_leaders else lambda: None
    crashes = GangCrashes(simulation, range(count), change)
    simulation.run(count * 15 + 15, crashes)
    assert crashes.indexes == []
    assert get_states(simulation)[number_id(1)] == "completed"


# Guards against a gang without a bound on its crashes, and a reason that names a task
# which none of them struck.
@pytest.mark.parametrize("indexes", [[2, 2], [4, 1, 4], [0, 3, 5, 3]])
def test_gang_is_given_up_after_two_crashes_under_one_task(indexes):
    simulation = create_cell(workers=8, deadly=lambda task: False, task_s=2.0)
    submit_gang(simulation)
    crashes = GangCrashes(simulation, indexes)
    simulation.run(len(indexes) * 15 + 10, crashes)
    assert crashes.indexes == []
    workflow = simulation.store.workflows[number_id(1)]
    assert workflow.state == "failed"
    assert workflow.reason == f"2 workers crashed under task 0.0.{indexes[-1]}"


# Guards against a gang of which all tasks, or two in turn, take workers down for ever.
@pytest.mark.parametrize("kind", ["all", "in-turn"])
def test_gang_with_several_deadly_tasks_is_given_up(kind):
    def is_gang_deadly(task):
        if task.workflow != number_id(1):
            return False
        runs = {key[1] for x in simulation.workers.values() for key in x.runs}
        return kind == "all" or task.index == max(runs, default=0) % 2

    simulation = create_cell(workers=8)
    simulation.deadly = is_gang_deadly
    submit_gang(simulation)
    for number in range(2, 8):
        simulation.submit(create_spec(number_id(number)))
    simulation.run(60)
    check_deadly_task(simulation, *(x for x in simulation.crashes if is_deadly(x)))
    states = get_states(simulation)
    assert [states[number_id(x)] for x in range(2, 8)] == ["completed"] * 6


# Guards against crashes that are counted twice or forgotten: a new leader takes over at
# each of them, with a state read from a snapshot.
def test_crashes_are_counted_once_across_changes_of_leader():
    simulation = create_cell()
    simulation.submit(create_spec(number_id(1)))
    seen = 0

    def change_leader_after_crash():
        nonlocal seen
        if len(simulation.crashed_at) > seen:
            seen = len(simulation.crashed_at)
            simulation.change_leader_and_restore()

    simulation.run(60, change_leader_after_crash)
    check_deadly_task(simulation, *simulation.crashes)
    assert len(simulation.crashed_at) >= 2


# Guards against blame without proof: a worker whose lease expired may run behind a
# partition.
def test_expired_leases_are_no_crashes():
    simulation = create_cell(deadly=lambda task: False, task_s=60.0)
    simulation.submit(create_spec(number_id(1)))
    for _ in range(4):
        simulation.run(1)
        task = simulation.store.workflows[number_id(1)].find_task(
            workflow_commands.TaskName(number_id(1), 0, 0, 0)
        )
        simulation.has_power = False
        simulation.crash(task.worker)
        simulation.down_until[task.worker] = simulation.now + 100
        simulation.run(9)
    assert get_states(simulation)[number_id(1)] == "running"
    assert sum(simulation.starts.values()) >= 4


# Guards against a service that is given up for the crashes that others caused.
def test_long_running_task_survives_crashes_that_others_cause():
    simulation = create_cell(workers=2, task_s=1e9)
    service = create_step(4, cpu=500, long_running=True)
    simulation.submit(create_spec(number_id(100), [service]))
    for number in range(4):
        simulation.deadly = lambda task: task.workflow != number_id(100)
        simulation.run(3)
        simulation.submit(create_spec(number_id(number + 1)))
        simulation.run(12)
    states = get_states(simulation)
    assert states.pop(number_id(100)) == "running"
    assert set(states.values()) == {"failed"}
    running = [task for x in simulation.workers.values() for task, _ in x.runs]
    assert len(running) == 4


# Guards against many tasks that each crash two workers: the others have to keep most of
# the cell.
def test_many_deadly_tasks_leave_most_workers_to_the_others():
    simulation = create_cell(
        workers=24, deadly=lambda task: int(task.workflow, 16) % 5 == 0
    )
    numbers = iter(range(1, 10_000))
    down = []

    def submit():
        number = next(numbers)
        if number % 10 == 0 and number <= 1000:
            simulation.submit(create_spec(number_id(number // 10)))
        down.append(len(simulation.down_until))

    simulation.run(60, submit)
    states = get_states(simulation)
    innocent = [x for x in states if int(x, 16) % 5]
    assert {states[x] for x in innocent} == {"completed"}
    assert {states[x] for x in states if x not in innocent} == {"failed"}
    assert max(down) <= 12


# Guards against blame of a worker's tasks for crashes that none of them causes.
def test_workers_that_crash_by_themselves_fail_no_workflow():
    simulation = create_cell(deadly=lambda task: False, task_s=2.0)
    for number in range(1, 13):
        simulation.submit(create_spec(number_id(number)))
    for name in ("w1", "w2", "w3", "w1", "w2"):
        simulation.run(3.7)
        if name not in simulation.down_until:
            simulation.crash(name)
    simulation.run(30)
    assert set(get_states(simulation).values()) == {"completed"}


def blame(simulation, *numbers):
    """Make the first task of some workflows suspects, as after a crash."""
    tasks = [workflow_commands.TaskName(number_id(x), 0, 0, 0) for x in numbers]
    runs = [workflow_commands.CrashedRun(task, 1, 10, True) for task in tasks]
    simulation.store.crashes.record(("gone", 1), runs, simulation.now)


# Guards against suspects that stand still behind others that no worker can run.
def test_suspects_without_a_worker_hold_up_no_others():
    simulation = create_cell(deadly=lambda task: False)
    for number in range(1, 13):
        step = create_step(1, required_label="none" if number < 12 else "")
        simulation.submit(create_spec(number_id(number), [step]))
    blame(simulation, *range(1, 13))
    simulation.run(2)
    assert get_states(simulation)[number_id(12)] == "completed"


# Guards against a large suspect that waits for ever, as smaller tasks take all room.
def test_large_suspect_gets_a_worker_of_a_busy_pool():
    simulation = create_cell(workers=4, deadly=lambda task: False)
    numbers = iter(range(100, 10_000))

    def submit_small_ones():
        number = next(numbers)
        if number % 2:
            simulation.submit(create_spec(number_id(number)))

    simulation.run(2, submit_small_ones)
    simulation.submit(create_spec(number_id(1), [create_step(1, cpu=3000)]))
    blame(simulation, 1)
    simulation.run(4, submit_small_ones)
    assert get_states(simulation)[number_id(1)] == "completed"
