"""Tests of what backfill tasks take up: memory and accelerators, no processor time.

The simulated workers refuse no start; `check_start` fails if one is overcommitted.
"""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.planning_round import WaitReason
from tests.dispatch.crashing import CrashSimulation
from tests.workflow.factories import create_spec, create_step, create_worker

#: Processor time and memory of a simulated worker.
FULL_CPU = 3000
FULL_MB = 4000

#: Memory of a task of which three fit on a worker.
LARGE_MB = 1300


def create_simulation(workers=1, task_s=1e9):
    """Return a cell that has had a leader for a while."""
    simulation = CrashSimulation(workers=workers, task_s=task_s)
    simulation.run(2)
    return simulation


@pytest.fixture
def simulation():
    return create_simulation()


def submit(simulation, number, *steps):
    simulation.submit(create_spec(f"{number:016x}", steps))
    simulation.run(0.3)


def count_runs(simulation):
    """Return the number of runs on each worker, the largest first."""
    counts = [len(worker.runs) for worker in simulation.workers.values()]
    return sorted(counts, reverse=True)


def get_wait_reason(simulation, number):
    reasons = simulation.dispatcher.wait_reasons
    return reasons.get((f"{number:016x}", 0, 0))


# Guards against LIMIT of review/3: the memory of backfill tasks was counted nowhere, so
# that all tasks of a burst went to one worker while the others were empty.
def test_burst_of_backfill_tasks_is_spread_by_memory():
    simulation = create_simulation(workers=8)
    for number in range(1, 5):
        submit(simulation, number, create_step(2, memory=LARGE_MB, backfill=True))
    assert count_runs(simulation) == [3, 3, 2, 0, 0, 0, 0, 0]


# Guards against the same for other tasks, which got the memory of backfill tasks.
def test_other_tasks_get_no_memory_of_backfill_tasks(simulation):
    submit(simulation, 1, create_step(3, memory=LARGE_MB, backfill=True))
    submit(simulation, 2, create_step(1, memory=LARGE_MB))
    assert count_runs(simulation) == [3]
    assert get_wait_reason(simulation, 2) is WaitReason.NO_ROOM
    submit(simulation, 3, create_step(1, memory=FULL_MB - 3 * LARGE_MB))
    assert count_runs(simulation) == [4]


# Guards against backfill tasks that wait for processor time, of which they use what is
# left.
def test_backfill_tasks_start_beside_tasks_that_take_all_processor_time(simulation):
    submit(simulation, 1, create_step(1, cpu=FULL_CPU))
    submit(simulation, 2, create_step(2, cpu=FULL_CPU, backfill=True))
    assert count_runs(simulation) == [3]
    simulation.cancel(f"{1:016x}")
    simulation.run(1.0)
    submit(simulation, 3, create_step(1, cpu=FULL_CPU))
    assert count_runs(simulation) == [3]


# Guards against accelerators that two tasks use at once.
def test_backfill_tasks_take_up_accelerators():
    simulation = create_simulation()
    capacity = Resources(FULL_CPU, FULL_MB, 1)
    simulation.announce("w1", sequence=9, capacity=capacity)
    simulation.run(0.3)
    submit(simulation, 1, create_step(2, accelerators=1, backfill=True))
    assert count_runs(simulation) == [1]


# Guards against a gang whose members exceed the memory of a worker together.
@pytest.mark.parametrize(("workers", "expected"), [(1, [0]), (2, [3, 1])])
def test_gang_of_backfill_tasks_needs_memory_for_all(workers, expected):
    simulation = create_simulation(workers)
    step = create_step(4, memory=LARGE_MB, backfill=True, gang=True)
    submit(simulation, 1, step)
    assert count_runs(simulation) == expected


# Guards against a backfill step that is tried in vain in each round, or that holds up
# others, since no worker has so much memory.
def test_backfill_task_larger_than_any_worker_waits_alone(simulation):
    submit(simulation, 1, create_step(1, memory=FULL_MB + 1, backfill=True))
    submit(simulation, 2, create_step(1, memory=FULL_MB))
    assert count_runs(simulation) == [1]
    assert get_wait_reason(simulation, 1) is WaitReason.NO_ROOM


# Guards against a new leader that takes the memory of running backfill tasks for free.
def test_next_leader_counts_the_memory_of_running_backfill_tasks(simulation):
    submit(simulation, 1, create_step(3, memory=LARGE_MB, backfill=True))
    simulation.change_leader_and_restore()
    simulation.run(2)
    submit(simulation, 2, create_step(1, memory=LARGE_MB))
    submit(simulation, 3, create_step(1, memory=LARGE_MB, backfill=True))
    assert count_runs(simulation) == [3]


# Guards against a start that was planned before the memory of its worker shrank.
def test_backfill_task_is_not_sent_to_a_worker_whose_memory_has_shrunk(simulation):
    simulation.submit(
        create_spec(f"{1:016x}", [create_step(3, memory=LARGE_MB, backfill=True)])
    )
    shrunk = Resources(FULL_CPU, 2 * LARGE_MB, 0)
    old = simulation.workers["w1"].spec
    spec = create_worker("w1", incarnation=old.incarnation, sequence=9, capacity=shrunk)
    simulation.workers["w1"].spec = spec
    simulation.dispatcher.register_worker(spec, simulation.now, lambda result: None)
    simulation.run(0.5)
    assert count_runs(simulation) == [2]
