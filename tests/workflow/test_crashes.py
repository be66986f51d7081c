"""Tests of the crashes that a task may be blamed for."""

import pytest

from bluebellyoke.workflow.commands import CrashedRun, TaskName
from bluebellyoke.workflow.crashes import (
    CRASH_MEMORY_S,
    MAX_CRASHES,
    CrashHistory,
)

DEADLY, YOUNG, OLD = (TaskName(f"{number:016x}", 0, 0, 0) for number in range(3))


@pytest.fixture
def history():
    return CrashHistory()


def crash(history, number, *runs, time=0.0):
    """Record a crash of the worker with a number; return the tasks to give up.

    Args:
        runs: Task, number of its run and whether it was young.
    """
    crashed = [CrashedRun(task, run, 100, is_young) for task, run, is_young in runs]
    return [item.task for item in history.record((f"w{number}", 1), crashed, time)]


def is_suspect(history, task):
    return history.find_suspect(task) is not None


def test_first_crash_gives_nothing_up(history):
    assert crash(history, 1, (DEADLY, 1, True), (OLD, 1, False)) == []
    assert is_suspect(history, DEADLY)
    assert not is_suspect(history, OLD)


def test_second_crash_alone_is_the_proof(history):
    crash(history, 1, (DEADLY, 1, True), (YOUNG, 1, True))
    assert crash(history, 2, (DEADLY, 2, True), (OLD, 1, False)) == [DEADLY]


def test_second_crash_beside_another_young_run_proves_nothing(history):
    crash(history, 1, (DEADLY, 1, True))
    assert crash(history, 2, (DEADLY, 2, True), (YOUNG, 1, True)) == []


# Guards against the loss of jobs that only shared a worker: they are cleared of the
# crashes whose cause is known.
def test_cause_clears_the_tasks_that_shared_its_crashes(history):
    crash(history, 1, (DEADLY, 1, True), (YOUNG, 1, True), (OLD, 1, False))
    crash(history, 2, (DEADLY, 2, True), (OLD, 2, False))
    assert not is_suspect(history, YOUNG)
    assert not is_suspect(history, OLD)


def test_task_that_shared_two_crashes_is_a_suspect_once_the_young_ones_are_cleared(
    history,
):
    crash(history, 1, (YOUNG, 1, True), (OLD, 1, False))
    crash(history, 2, (DEADLY, 1, True), (OLD, 2, False))
    assert not is_suspect(history, OLD)
    history.clear(YOUNG)
    assert not is_suspect(history, OLD)
    history.clear(DEADLY)
    assert is_suspect(history, OLD)


# Guards against a gang that is given up for one run that crashed several workers.
def test_crashes_under_one_run_count_once(history):
    crash(history, 1, (DEADLY, 1, True))
    assert crash(history, 2, (DEADLY, 1, True)) == []
    assert crash(history, 3, (DEADLY, 2, True)) == [DEADLY]


MEMBERS = [TaskName(f"{50:016x}", 0, 0, index) for index in range(6)]


@pytest.fixture
def gang_history():
    return CrashHistory(is_gang=lambda task: task.workflow == MEMBERS[0].workflow)


# Guards against a gang that is given up for crashes under different tasks of it.
def test_crashes_under_different_tasks_of_a_gang_prove_nothing(gang_history):
    for number, member in enumerate(MEMBERS):
        assert crash(gang_history, number, (member, number + 1, True)) == []
        assert all(is_suspect(gang_history, task) for task in MEMBERS)
    assert crash(gang_history, 9, (MEMBERS[3], 9, True)) == [MEMBERS[3]]


# Guards against two tasks of a gang on one worker that excuse each other for ever.
def test_tasks_of_a_gang_on_one_worker_are_one_possible_cause(gang_history):
    pair = [(task, 1, True) for task in MEMBERS[:2]]
    assert crash(gang_history, 1, *pair, (OLD, 1, False)) == []
    pair = [(task, 2, True) for task in MEMBERS[1:3]]
    assert crash(gang_history, 2, *pair, (OLD, 2, False)) == [MEMBERS[1]]


# Guards against evidence that vanishes as another task of the gang ends as failed.
def test_end_of_a_task_clears_itself_and_a_done_gang_all(gang_history):
    crash(gang_history, 1, (MEMBERS[1], 1, True))
    gang_history.clear(MEMBERS[0])
    assert is_suspect(gang_history, MEMBERS[0])
    gang_history.clear_gang(MEMBERS[0])
    assert not is_suspect(gang_history, MEMBERS[1])


# Guards against a gang that is given up for its first task by the snapshot of an older
# build, which kept the crashes of all its tasks there.
def test_crashes_of_a_gang_in_an_old_snapshot_count_for_no_task(gang_history):
    crash(gang_history, 1, (MEMBERS[0], 1, True))
    crash(gang_history, 2, (DEADLY, 1, True))
    for item in gang_history.dump():
        for shared in item.crashes:
            shared.names_task = False
    restored = CrashHistory(gang_history.dump(), is_gang=gang_history._is_gang)
    assert is_suspect(restored, MEMBERS[0])
    assert crash(restored, 3, (MEMBERS[0], 2, True)) == []
    assert crash(restored, 4, (MEMBERS[0], 3, True)) == [MEMBERS[0]]
    assert crash(restored, 5, (DEADLY, 2, True)) == [DEADLY]


def test_task_is_given_up_without_proof_before_the_budget_is_used(history):
    given_up = []
    for number in range(1, MAX_CRASHES + 1):
        other = TaskName(f"{number + 100:016x}", 0, 0, 0)
        assert given_up == []
        given_up = crash(history, number, (DEADLY, number, True), (other, 1, True))
    assert given_up == [DEADLY]


# Guards against the loss of long jobs in a storm of crashes that others cause.
def test_explained_crashes_of_old_runs_do_not_count(history):
    for number in range(1, 2 * MAX_CRASHES, 2):
        deadly = TaskName(f"{number + 100:016x}", 0, 0, 0)
        for step in range(2):
            runs = (deadly, step + 1, True), (OLD, number + step, False)
            assert OLD not in crash(history, number + step, *runs)
    assert not is_suspect(history, OLD)


# Guards against a service that is given up for crashes that lie months apart.
def test_old_crashes_are_forgotten(history):
    for number in range(2 * MAX_CRASHES):
        time = number * (CRASH_MEMORY_S + 1)
        assert crash(history, number, (OLD, number, False), time=time) == []


def test_state_survives_a_snapshot(history):
    crash(history, 1, (DEADLY, 1, True), (YOUNG, 1, True))
    restored = CrashHistory(history.dump())
    assert crash(restored, 2, (DEADLY, 2, True)) == [DEADLY]


def test_ended_workflows_are_forgotten(history):
    crash(history, 1, (DEADLY, 1, True))
    history.forget_workflow(DEADLY.workflow)
    assert not history.has_workflow(DEADLY.workflow)
    assert history.dump() == []
