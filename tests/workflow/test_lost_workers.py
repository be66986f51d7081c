"""Tests of crashes that are proved after the lease of the worker has ended."""

import pytest

from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.crashes import MAX_CRASHES
from bluebellyoke.workflow.lost_workers import MAX_RESTART_S
from bluebellyoke.workflow.store import WorkflowStore
from tests.workflow.factories import (
    create_spec,
    create_step,
    create_store,
    create_worker,
    name_task,
    start,
)

WORKFLOW = "0000000000000001"
NOW = 1000.0

Evidence = workflow_commands.CrashEvidence


@pytest.fixture
def store():
    """Return a store with one task."""
    store = create_store(workers=0)
    spec = create_spec(steps=[create_step(1)])
    store.apply(workflow_commands.SubmitWorkflow(time=NOW, spec=spec))
    return store


def announce(store, name, incarnation, *, time=NOW, address="10.0.0.1:80"):
    spec = create_worker(name, incarnation=incarnation, address=address)
    return store.apply(workflow_commands.EnrolWorker(time=time, spec=spec))


def lose(store, name, run, *, evidence, incarnation=1, time=NOW, has_begun=True):
    """Remove a worker under a young run of the task; return the jobs given up."""
    if name not in store.workers:
        announce(store, name, incarnation, time=time, address=f"{name}:80")
    assert start(store, run=run, worker=name, incarnation=incarnation)
    item = workflow_commands.CrashedRun(name_task(), run, 10, True, has_begun)
    command = workflow_commands.RemoveWorker(
        time=time,
        worker=name,
        incarnation=incarnation,
        crashed_runs=(item,),
        evidence=evidence,
    )
    return store.apply(command).detail["failed"]


def find_state(store):
    return store.workflows[WORKFLOW].state


def is_suspect(store):
    return store.crashes.find_suspect(name_task()) is not None


# Guards against a job that is given up for a network that refuses connections.
def test_refusals_make_a_suspect_but_give_no_job_up(store):
    lose(store, "w1", 1, evidence=Evidence.REFUSALS)
    assert is_suspect(store)
    lose(store, "w2", 2, evidence=Evidence.REFUSALS)
    assert find_state(store) == "pending"


# Guards against blame for a partition.
def test_end_of_a_lease_makes_no_suspect(store):
    lose(store, "w1", 1, evidence=Evidence.NONE)
    assert not is_suspect(store)


# Guards against a task that crashes its workers without a bound, if each is back after
# its lease has ended, under the same ID or under another one at the same address.
@pytest.mark.parametrize("evidence", [Evidence.REFUSALS, Evidence.NONE])
@pytest.mark.parametrize("next_ids", [("w1", "w2"), ("w3", "w4")])
def test_next_incarnations_prove_crashes_later(store, evidence, next_ids):
    lose(store, "w1", 1, evidence=evidence)
    result = announce(store, next_ids[0], 2, time=NOW + 1, address="w1:80")
    assert result.detail["crashed"] == "w1"
    assert is_suspect(store)
    lose(store, "w2", 2, evidence=evidence, time=NOW + 2)
    assert find_state(store) == "pending"
    result = announce(store, next_ids[1], 2, time=NOW + 3, address="w2:80")
    assert result.detail["failed"] == WORKFLOW
    assert find_state(store) == "failed"


def test_proof_survives_a_snapshot(store):
    lose(store, "w1", 1, evidence=Evidence.NONE)
    store = WorkflowStore.load(store.dump())
    announce(store, "w1", 2, time=NOW + 1)
    assert is_suspect(store)


# Guards against a job that is given up for crashes of workers that its starts may never
# have reached, before the limit that keeps the starts of each task bounded.
def test_starts_that_may_not_have_begun_give_no_job_up(store):
    for run in range(1, MAX_CRASHES):
        name = f"w{run}"
        lose(store, name, run, evidence=Evidence.NEXT_INCARNATION, has_begun=False)
    assert is_suspect(store)
    assert find_state(store) == "pending"


# Guards against suspicion of a task whose worker ran on behind refused connections.
def test_worker_that_is_back_clears_its_runs(store):
    lose(store, "w1", 1, evidence=Evidence.REFUSALS)
    announce(store, "w1", 1, time=NOW + 1)
    assert not is_suspect(store)
    announce(store, "w1", 2, time=NOW + 2)
    assert not is_suspect(store)


def test_end_of_a_process_long_after_its_lease_proves_nothing(store):
    lose(store, "w1", 1, evidence=Evidence.NONE)
    announce(store, "w1", 2, time=NOW + MAX_RESTART_S + 1)
    assert not is_suspect(store)


# Guards against a late proof that gives up a job whose task has been done meanwhile.
def test_late_proof_changes_nothing_for_a_task_that_is_done(store):
    lose(store, "w1", 1, evidence=Evidence.NEXT_INCARNATION)
    lose(store, "w2", 2, evidence=Evidence.NONE)
    announce(store, "w3", 1, address="w3:80")
    start(store, run=3, worker="w3")
    done = workflow_commands.RunEnd(name_task(), 3, workflow_commands.RunOutcome.DONE)
    store.apply(workflow_commands.RecordEnds(time=NOW, ends=(done,)))
    announce(store, "w2", 2, time=NOW + 1)
    assert find_state(store) == "completed"


# Guards against a task without a bound on its starts, if no worker ever comes back.
def test_refusals_under_many_runs_give_a_job_up(store):
    for run in range(1, MAX_CRASHES + 1):
        assert find_state(store) == "pending"
        lose(store, f"w{run}", run, evidence=Evidence.REFUSALS)
    assert find_state(store) == "failed"


# Guards against a task that waits for a worker apart, as a suspect, although its worker
# is back: the planner looks at the changed workflows only.
def test_return_of_a_worker_tells_which_tasks_are_no_suspects(store):
    lose(store, "w1", 1, evidence=Evidence.REFUSALS)
    store.pop_changed()
    announce(store, "w1", 1, time=NOW + 1)
    assert store.pop_changed() == {WORKFLOW}
