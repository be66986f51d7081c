"""Runs of removed workers in the replicated state, until they are settled."""

import msgspec
import pytest

from bluebellyoke.cell.commands import decode_commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.crashes import MAX_CRASHES
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.specs import WorkspaceSpec
from bluebellyoke.workflow.store import WorkflowStore
from tests.workflow.factories import (
    create_configuration,
    create_spec,
    create_step,
    create_store,
    create_worker,
    end,
    name_task,
    start,
)

WORKFLOW = "0000000000000001"
NOW = 1000.0
KEY = (name_task(), 1)

Evidence = workflow_commands.CrashEvidence
RunOutcome = workflow_commands.RunOutcome


@pytest.fixture
def store():
    """A store with two workers, of which one has the first run of a task."""
    store = create_store(workers=2)
    submit(store)
    assert start(store)
    return store


@pytest.fixture(params=[False, True], ids=["log", "snapshot"])
def reload(request):
    """Return a function that passes a store on, or reads it from a snapshot."""

    def read(store):
        if not request.param:
            return store
        data = msgspec.msgpack.encode(store.dump())
        return WorkflowStore.load(msgspec.msgpack.decode(data, type=WorkflowSnapshot))

    return read


def submit(store, workflow=WORKFLOW, **fields):
    steps = [create_step(1, **fields.pop("step", {}))]
    spec = create_spec(workflow, steps, **fields)
    command = workflow_commands.SubmitWorkflow(time=NOW, spec=spec)
    return store.apply(command)


def remove(store, *, incarnation=1, evidence=Evidence.NEXT_INCARNATION, runs=(KEY,)):
    """Remove the worker, whose runs are unsettled and were young."""
    items = tuple(workflow_commands.CrashedRun(*key, 10, True) for key in runs)
    is_proved = evidence is Evidence.NEXT_INCARNATION
    return store.apply(
        workflow_commands.RemoveWorker(
            time=NOW,
            worker="w1",
            incarnation=incarnation,
            evidence=evidence,
            crashed_runs=items if is_proved else (),
            lost_runs=() if is_proved else items,
            unsettled_runs=tuple(runs),
        )
    )


def enrol(store, incarnation, worker="w1"):
    spec = create_worker(worker, incarnation=incarnation)
    return store.apply(workflow_commands.EnrolWorker(time=NOW, spec=spec))


def confirm(store, incarnation, run=1):
    item = workflow_commands.RunStart(name_task(), run, "w1", incarnation)
    store.apply(workflow_commands.ConfirmRuns(time=NOW, starts=(item,)))


def count_crashes(store):
    crashes = store.crashes.find(name_task())
    return len(crashes.runs) if crashes is not None else 0


# Guards against a second run beside the first while the worker is away.
def test_unsettled_run_of_a_removed_worker_keeps_its_place(store, reload):
    remove(store)
    store = reload(store)
    assert store.list_unsettled_runs() == {("w1", 1): [KEY]}
    assert not start(store, run=2, worker="w2")
    end(store, RunOutcome.LOST)
    assert store.list_unsettled_runs() == {}
    assert start(store, run=2, worker="w2")


# Guards against a run that no worker answers for, after one or two returns.
@pytest.mark.parametrize("incarnations", [(2,), (2, 3), (5,)])
def test_unsettled_run_moves_to_the_next_incarnation(store, reload, incarnations):
    remove(store)
    for incarnation in incarnations:
        enrol(store, incarnation)
        store = reload(store)
    assert store.runs[("w1", incarnations[-1])] == {KEY: None}
    assert not start(store, run=2, worker="w2")
    end(store, RunOutcome.DONE)
    assert store.workflows[WORKFLOW].outcome == "completed"


# Guards against a run that is lost with an incarnation that never had it: the
# confirmation was one of the incarnation before.
def test_confirmation_is_one_of_an_incarnation(store, reload):
    remove(store)
    enrol(store, 2)
    confirm(store, 1)
    assert not store.run_states.is_confirmed(KEY)
    confirm(store, 2)
    store = reload(store)
    assert store.run_states.is_confirmed(KEY)
    enrol(store, 3)
    assert start(store, run=2, worker="w2")
    assert not store.run_states.is_confirmed((name_task(), 2))


# Guards against a run that counts as confirmed by a command of an earlier run.
def test_confirmation_of_an_earlier_run_changes_nothing(store):
    end(store, RunOutcome.NEVER_STARTED)
    assert start(store, run=2)
    confirm(store, 1, run=1)
    assert not store.run_states.is_confirmed((name_task(), 2))


# Guards against runs that a worker gets back although they have ended meanwhile.
def test_settled_run_does_not_move(store, reload):
    remove(store)
    end(store, RunOutcome.LOST)
    store = reload(store)
    enrol(store, 2)
    assert not store.runs[("w1", 2)]
    assert start(store, run=2, worker="w1", incarnation=2)


# Guards against a removal that keeps a run which has ended before it was committed.
def test_removal_keeps_no_run_that_has_ended(store):
    end(store, RunOutcome.DONE)
    remove(store)
    assert store.list_unsettled_runs() == {}
    assert count_crashes(store) == 0


# Guards against a job that waits for ever, or a record without an end, if the job was
# cancelled while its run was unsettled.
@pytest.mark.parametrize("outcome", [RunOutcome.LOST, RunOutcome.STOPPED])
def test_cancelled_job_has_its_run_until_it_is_settled(store, reload, outcome):
    remove(store)
    store.apply(
        workflow_commands.CancelWorkflow(time=NOW, workflow=WORKFLOW, queue="q")
    )
    store = reload(store)
    store.apply(workflow_commands.ForgetWorkflows(time=NOW, workflows=(WORKFLOW,)))
    assert WORKFLOW in store.active
    enrol(store, 2)
    end(store, outcome)
    assert not store.active
    store.apply(workflow_commands.ForgetWorkflows(time=NOW, workflows=(WORKFLOW,)))
    assert not store.workflows


# Guards against more than a quota while a run is unsettled, and after it has moved.
def test_unsettled_run_counts_for_its_quota(reload):
    quota = WorkspaceSpec(name="a", quota=Resources(1000, 0, 0))
    store = create_store(configuration=create_configuration(workspaces=(quota,)))
    submit(store, workspace="a")
    submit(store, "0000000000000002", workspace="a")
    assert start(store)
    second = workflow_commands.RunStart(
        name_task(workflow="0000000000000002"), 1, "w2", 1
    )
    command = workflow_commands.AssignRuns(starts=(second,))
    remove(store)
    store = reload(store)
    assert store.usage.get_used("a").cpu_millis == 1000
    assert store.apply(command).detail["done"] == "0"
    enrol(store, 2)
    assert store.usage.get_used("a").cpu_millis == 1000
    assert store.apply(command).detail["done"] == "0"
    end(store, RunOutcome.NEVER_STARTED)
    assert store.usage.get_used("a").cpu_millis == 0
    assert store.apply(command).detail["done"] == "1"


# Guards against a crash that counts before it is known whether the run was in it, one
# that counts twice, and one that never counts.
@pytest.mark.parametrize("evidence", [Evidence.NEXT_INCARNATION, Evidence.REFUSALS])
def test_crash_counts_once_the_next_incarnation_lacks_the_run(store, reload, evidence):
    remove(store, evidence=evidence)
    assert count_crashes(store) == 0
    enrol(store, 2)
    store = reload(store)
    assert count_crashes(store) == 0
    end(store, RunOutcome.NEVER_STARTED)
    assert count_crashes(store) == 1
    end(store, RunOutcome.NEVER_STARTED)
    assert count_crashes(store) == 1


# Guards against blame of a run that lives on in the next incarnation, however it ends.
@pytest.mark.parametrize(
    "outcome",
    [RunOutcome.FAILED, RunOutcome.STOPPED, RunOutcome.LEASE_EXPIRED],
)
def test_run_that_outlives_the_worker_was_in_no_crash(store, reload, outcome):
    remove(store)
    enrol(store, 2)
    confirm(store, 2)
    store = reload(store)
    end(store, outcome)
    assert count_crashes(store) == 0
    assert store.crashes.find_suspect(name_task()) is None


# Guards against a task that crashes worker after worker, each of which is back before
# the start counts as begun.
def test_deadly_task_is_given_up_by_settled_crashes(store, reload):
    for run in range(1, MAX_CRASHES + 1):
        remove(store, incarnation=run, runs=((name_task(), run),))
        enrol(store, run + 1)
        end(store, RunOutcome.NEVER_STARTED, run=run)
        store = reload(store)
        if store.workflows[WORKFLOW].outcome:
            break
        assert start(store, run=run + 1, incarnation=run + 1)
    assert store.workflows[WORKFLOW].outcome == "failed"
    assert run == 2


# Guards against replicas that cannot read, or read differently, what an earlier build
# has written: all its removals ended all runs.
def test_removal_of_an_earlier_build_ends_all_runs(store):
    record = ["RemoveWorker", NOW, "w1", 1, [], "next-incarnation", []]
    (command,) = decode_commands(msgspec.msgpack.encode([record]))
    assert command.unsettled_runs == ()
    assert store.apply(command).accepted
    assert store.list_unsettled_runs() == {}
    assert start(store, run=2, worker="w2")


# Guards against a replica that cannot start on a snapshot of an earlier build, in which
# runs have no confirmation and crashes are settled.
def test_snapshot_of_an_earlier_build_is_loaded(store):
    end(store, RunOutcome.NEVER_STARTED)
    start(store, run=2)
    crashed = workflow_commands.CrashedRun(name_task(), 2, 10, True)
    store.apply(
        workflow_commands.RemoveWorker(
            time=NOW, worker="w1", incarnation=1, crashed_runs=(crashed,)
        )
    )
    start(store, run=3, worker="w2")
    snapshot = msgspec.msgpack.decode(msgspec.msgpack.encode(store.dump()))
    del snapshot[7]
    workflows, crashes = snapshot[2], snapshot[3]
    ((task,),) = [tasks for item in workflows[0][4].values() for ((tasks, *_),) in item]
    del task[7:]
    for entry in crashes:
        for crash in entry[1]:
            del crash[10:]
    loaded = WorkflowStore.load(
        msgspec.msgpack.decode(msgspec.msgpack.encode(snapshot), type=WorkflowSnapshot)
    )
    assert loaded.list_unsettled_runs() == {}
    assert not loaded.run_states.is_confirmed((name_task(), 3))
    assert count_crashes(loaded) == count_crashes(store) == 1
    enrol(loaded, 2, worker="w2")
    assert loaded.runs[("w2", 2)] == {(name_task(), 3): None}


# Guards against a crash that counts nowhere: the worker came back twice, and not again.
def test_run_that_is_lost_after_two_returns_was_in_a_crash(store):
    remove(store, incarnation=1)
    enrol(store, 2)
    remove(store, incarnation=2)
    end(store, RunOutcome.LOST)
    assert count_crashes(store) == 1


# Guards against a suspect for a crash that its run has outlived.
def test_run_that_is_lost_with_the_next_incarnation_was_not_in_the_former_crash(store):
    remove(store, incarnation=1)
    enrol(store, 2)
    confirm(store, 2)
    remove(store, incarnation=2, runs=())
    crashes = store.crashes.find(name_task())
    assert crashes is None or crashes.find(("w1", 1)) is None


# Guards against a crash that does not count since it is proved after its run was lost.
def test_crash_that_is_proved_after_the_run_was_settled_counts(store):
    remove(store, evidence=Evidence.NONE)
    end(store, RunOutcome.LOST)
    enrol(store, 2)
    assert count_crashes(store) == 1


# Guards against a crash that its own proof takes out of the count.
def test_proof_does_not_withdraw_a_settled_crash(store):
    remove(store, evidence=Evidence.REFUSALS)
    end(store, RunOutcome.LOST)
    assert count_crashes(store) == 1
    enrol(store, 2)
    assert count_crashes(store) == 1
