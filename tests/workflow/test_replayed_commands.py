"""Commands of the log that come twice or late, as several leaders may propose them.

A command that is applied again changes nothing, and no order of commands assigns a task
that has a run.
"""

import itertools

import msgspec
import pytest

from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.store import WorkflowStore
from tests.workflow.factories import (
    create_spec,
    create_step,
    create_store,
    create_worker,
    name_task,
)

ID = "0000000000000001"

DONE = workflow_commands.RunOutcome.DONE
LOST = workflow_commands.RunOutcome.LOST
NEVER_STARTED = workflow_commands.RunOutcome.NEVER_STARTED


def assign(run, worker, incarnation=1):
    item = workflow_commands.RunStart(name_task(), run, worker, incarnation)
    return workflow_commands.AssignRuns(starts=(item,))


def record(run, outcome):
    end = workflow_commands.RunEnd(name_task(), run, outcome)
    return workflow_commands.RecordEnds(time=3.0, ends=(end,))


def remove(worker, incarnation=1):
    crashed = workflow_commands.CrashedRun(name_task(), 1, 10, True)
    return workflow_commands.RemoveWorker(
        time=2.0, worker=worker, incarnation=incarnation, crashed_runs=(crashed,)
    )


def enrol(worker, incarnation):
    return workflow_commands.EnrolWorker(
        time=2.0, spec=create_worker(worker, incarnation=incarnation)
    )


#: A task whose worker is removed while it runs, and which is done on another one.
HISTORY = (
    workflow_commands.SubmitWorkflow(
        time=1.0, spec=create_spec(ID, steps=[create_step()])
    ),
    assign(1, "w1"),
    remove("w1"),
    enrol("w1", 2),
    assign(2, "w2"),
    record(2, DONE),
    workflow_commands.ForgetWorkflows(time=4.0, workflows=(ID,)),
)

#: Commands that another leader, or the same one, may have proposed late.
LATE_COMMANDS = (
    assign(1, "w2"),
    assign(1, "w1"),
    record(1, DONE),
    record(1, LOST),
    record(1, NEVER_STARTED),
    remove("w1"),
    enrol("w1", 1),
)


def encode(store):
    return msgspec.msgpack.encode(store.dump())


def list_placed(store):
    """Return the runs of the task that may be at work, with their workers."""
    return [(worker, run) for worker, runs in store.runs.items() for _, run in runs]


def restore(store):
    return WorkflowStore.load(
        msgspec.msgpack.decode(encode(store), type=WorkflowSnapshot)
    )


# Guards against a run that is ended or assigned again by a command that is repeated.
@pytest.mark.parametrize("is_restored", [False, True])
def test_repeated_command_changes_nothing(is_restored):
    store = create_store()
    for command in HISTORY[:-1]:
        store.apply(command)
        before = encode(store)
        if is_restored:
            store = restore(store)
        store.apply(command)
        assert encode(store) == before
    assert store.workflows[ID].find_task(name_task()).run == 2


# Guards against a second run beside one that a late command ends: only a command on the
# present run, or on the present incarnation of its worker, ends it.
@pytest.mark.parametrize("late", LATE_COMMANDS, ids=lambda x: type(x).__name__)
def test_late_command_does_not_end_the_present_run(late):
    store = create_store()
    for command in HISTORY[:5]:
        store.apply(command)
    assert list_placed(store) == [(("w2", 1), 2)]
    store.apply(late)
    assert list_placed(store) == [(("w2", 1), 2)]
    assert store.apply(assign(3, "w1", 2)).detail["done"] == "0"


# Guards against two runs at a time, whichever order the commands of two leaders have.
def test_no_order_of_commands_assigns_a_task_twice():
    for order in itertools.permutations((*HISTORY[1:6], assign(1, "w2"))):
        store = create_store()
        store.apply(HISTORY[0])
        for command in order:
            store.apply(command)
            assert len(list_placed(store)) <= 1
            assert list_placed(restore(store)) == list_placed(store)


# Guards against a run that a snapshot loses, so that its task would be started again.
def test_snapshot_keeps_the_present_run():
    store = create_store()
    for command in HISTORY[:5]:
        store.apply(command)
    restored = restore(store)
    assert list_placed(restored) == [(("w2", 1), 2)]
    assert restored.apply(assign(3, "w1", 2)).detail["done"] == "0"
