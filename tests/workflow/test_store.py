import msgspec
import pytest

from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.store import WorkflowStore
from tests.workflow.factories import (
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_store,
    create_worker,
    end,
    name_task,
    start,
)

ID = "0000000000000001"
Q = create_queue("q").address
DONE, FAILED = workflow_commands.RunOutcome.DONE, workflow_commands.RunOutcome.FAILED


@pytest.fixture
def store():
    return create_store()


def submit(store, **fields):
    return store.apply(
        workflow_commands.SubmitWorkflow(time=1.0, spec=create_spec(**fields))
    )


def cancel(store, queue="q"):
    return store.apply(
        workflow_commands.CancelWorkflow(time=2.0, workflow=ID, queue=queue)
    )


# Configurations.


def test_higher_version_takes_effect(store):
    changed = create_configuration(5, [create_queue("other")])
    assert store.apply(
        workflow_commands.ApplyConfiguration(configuration=changed)
    ).accepted
    assert store.configuration.version == 5
    assert store.find_queue(Q) is None


@pytest.mark.parametrize("version", [1, 4, 5])
def test_version_that_is_not_higher_is_ignored(store, version):
    store.apply(
        workflow_commands.ApplyConfiguration(configuration=create_configuration(5))
    )
    late = create_configuration(version, [create_queue("other")])
    result = store.apply(workflow_commands.ApplyConfiguration(configuration=late))
    assert (result.accepted, result.code) == (True, "overtaken")
    assert store.configuration == create_configuration(5)


# Submission and cancelling.


def test_repeated_submission_is_one_workflow(store):
    assert submit(store).code == "accepted"
    start(store)
    assert submit(store).code == "known"
    assert len(store.workflows) == 1
    assert store.workflows[ID].state == "running"


def test_workflow_id_belongs_to_one_queue():
    queues = [create_queue("q"), create_queue("other")]
    store = create_store(configuration=create_configuration(queues=queues))
    submit(store)
    assert submit(store, queue="other").code == "id-taken"
    assert cancel(store, queue="other").code == "unknown-job"


def test_cancelled_workflow_gets_no_start(store):
    submit(store)
    assert cancel(store).accepted
    assert not start(store)
    assert store.workflows[ID].state == "cancelled"
    assert not store.active


def test_cancelled_workflow_stays_active_until_its_runs_have_ended(store):
    submit(store)
    start(store)
    cancel(store)
    assert ID in store.active
    end(store, workflow_commands.RunOutcome.STOPPED)
    assert ID not in store.active
    assert store.workflows[ID].state == "cancelled"


# Runs.


def test_task_has_one_run_at_a_time(store):
    submit(store)
    assert start(store, run=1)
    assert not start(store, run=2, worker="w2")
    end(store, workflow_commands.RunOutcome.STOPPED, run=1)
    assert start(store, run=2, worker="w2")


def test_run_numbers_increase(store):
    submit(store)
    start(store, run=3)
    end(store, workflow_commands.RunOutcome.NEVER_STARTED, run=3)
    assert not start(store, run=3)
    assert start(store, run=4)


def test_done_task_is_not_started_again(store):
    submit(store, steps=[create_step(2)])
    start(store)
    end(store, DONE)
    assert not start(store, run=2)
    assert store.workflows[ID].state == "running"


def test_end_of_an_earlier_run_is_ignored(store):
    submit(store)
    start(store, run=1)
    end(store, workflow_commands.RunOutcome.LOST, run=1)
    start(store, run=2, worker="w2")
    end(store, DONE, run=1)
    assert store.workflows[ID].state == "running"
    assert list(store.runs[("w2", 1)]) == [(name_task(), 2)]


def test_step_waits_for_all_tasks_it_depends_on(store):
    submit(store, steps=[create_step(2), create_step(depends_on=(0,))])
    start(store, index=0)
    start(store, index=1)
    end(store, DONE, index=0)
    assert not start(store, step=1)
    end(store, DONE, index=1)
    assert start(store, step=1)
    end(store, DONE, step=1, time=9.0)
    workflow = store.workflows[ID]
    assert (workflow.state, workflow.finished_at) == ("completed", 9.0)


def test_only_failed_ends_count_as_attempts(store):
    submit(store)
    run = 0
    for outcome in (
        FAILED,
        workflow_commands.RunOutcome.LEASE_EXPIRED,
        FAILED,
        workflow_commands.RunOutcome.LOST,
        FAILED,
    ):
        assert store.workflows[ID].state != "failed"
        run += 1
        assert start(store, run=run)
        end(store, outcome, run=run)
    assert store.workflows[ID].state == "failed"
    assert not start(store, run=run + 1)


def test_draining_worker_gets_no_start(store):
    submit(store)
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1", draining=True)))
    assert not start(store, worker="w1")
    assert start(store, worker="w2")


def test_delayed_heartbeat_does_not_end_draining(store):
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1", draining=True)))
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1")))
    assert store.workers["w1"].draining


def test_new_incarnation_ends_the_runs_that_the_old_one_had(store):
    submit(store)
    start(store)
    item = workflow_commands.RunStart(name_task(), 1, "w1", 1)
    store.apply(workflow_commands.ConfirmRuns(starts=(item,)))
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1", incarnation=2)))
    assert not start(store, run=2, worker="w1", incarnation=1)
    assert start(store, run=2, worker="w1", incarnation=2)


# Guards against a second run beside the first: the start may have reached the new
# incarnation, which has the same name.
def test_new_incarnation_keeps_the_runs_that_the_old_one_may_not_have_had(store):
    submit(store)
    start(store)
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1", incarnation=2)))
    assert not start(store, run=2, worker="w2")
    assert store.runs[("w1", 2)] == {(name_task(), 1): None}
    end(store, workflow_commands.RunOutcome.NEVER_STARTED)
    assert start(store, run=2, worker="w2")


def test_heartbeat_of_an_old_incarnation_is_rejected(store):
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1", incarnation=2)))
    result = store.apply(
        workflow_commands.EnrolWorker(spec=create_worker("w1", incarnation=1))
    )
    assert not result.accepted
    assert store.workers["w1"].incarnation == 2


def test_removal_of_an_old_incarnation_is_rejected(store):
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w1", incarnation=2)))
    assert not store.apply(
        workflow_commands.RemoveWorker(worker="w1", incarnation=1)
    ).accepted
    assert "w1" in store.workers


# Long-running tasks and checkpoints.


def test_long_running_task_is_restarted_after_any_end(store):
    submit(store, steps=[create_step(long_running=True)])
    for run, outcome in enumerate([DONE, FAILED, FAILED, FAILED, FAILED], start=1):
        assert start(store, run=run)
        end(store, outcome, run=run)
    assert store.workflows[ID].state == "running"
    assert start(store, run=6)


def test_checkpoint_is_kept_for_the_next_run(store):
    submit(store, steps=[create_step(checkpoints=True)])
    start(store)
    end(store, workflow_commands.RunOutcome.STOPPED, checkpoint="c1")
    assert store.workflows[ID].find_task(name_task()).checkpoint == "c1"


# Gangs.


def start_gang(store, run, workers=("w1", "w2")):
    starts = tuple(
        workflow_commands.RunStart(name_task(index=index), run, worker, 1)
        for index, worker in enumerate(workers)
    )
    return store.apply(workflow_commands.AssignRuns(starts=starts)).detail["done"]


def test_gang_starts_as_a_whole_or_not_at_all(store):
    submit(store, steps=[create_step(2, gang=True)])
    store.apply(workflow_commands.EnrolWorker(spec=create_worker("w2", draining=True)))
    assert start_gang(store, 1) == "00"
    assert start_gang(store, 1, ("w1", "w1")) == "11"


def test_part_of_a_gang_is_not_started(store):
    submit(store, steps=[create_step(3, gang=True)])
    assert start_gang(store, 1) == "00"


def test_done_task_completes_the_gang_but_other_runs_keep_resources(store):
    submit(store, steps=[create_step(2, gang=True)])
    start_gang(store, 1)
    end(store, DONE, index=0)
    assert store.workflows[ID].state == "completed"
    assert list(store.runs[("w2", 1)]) == [(name_task(index=1), 1)]
    end(store, DONE, index=1)
    assert not store.runs[("w2", 1)]
    assert not store.active


def test_failure_of_a_gang_counts_once_per_run(store):
    submit(store, steps=[create_step(2, gang=True)])
    for run in (1, 2):
        assert start_gang(store, run) == "11"
        end(store, FAILED, index=0, run=run)
        end(store, workflow_commands.RunOutcome.GANG_BROKEN, index=1, run=run)
        assert store.workflows[ID].state == "running"
    start_gang(store, 3)
    end(store, FAILED, index=1, run=3)
    assert store.workflows[ID].state == "failed"


def test_gang_restarts_after_all_its_runs_have_ended(store):
    submit(store, steps=[create_step(2, gang=True)])
    start_gang(store, 1)
    end(store, FAILED, index=0, run=1)
    assert start_gang(store, 2) == "00"
    end(store, workflow_commands.RunOutcome.GANG_BROKEN, index=1, run=1)
    assert start_gang(store, 2) == "11"


def test_tasks_of_a_gang_share_a_checkpoint(store):
    submit(store, steps=[create_step(2, gang=True, checkpoints=True)])
    start_gang(store, 1)
    end(store, workflow_commands.RunOutcome.STOPPED, index=0, checkpoint="c7")
    end(store, workflow_commands.RunOutcome.GANG_BROKEN, index=1)
    workflow = store.workflows[ID]
    texts = {workflow.find_task(name_task(index=index)).checkpoint for index in (0, 1)}
    assert texts == {"c7"}


# Repetitions, records and snapshots.


def test_workflow_is_completed_after_its_last_repetition(store):
    submit(store, repeats=2, first_at_ms=0, interval_ms=1)
    for repetition in (0, 1):
        assert store.workflows[ID].state != "completed"
        name = name_task(repetition=repetition)
        starts = (workflow_commands.RunStart(name, 1, "w1", 1),)
        assert (
            store.apply(workflow_commands.AssignRuns(starts=starts)).detail["done"]
            == "1"
        )
        store.apply(
            workflow_commands.RecordEnds(
                ends=(workflow_commands.RunEnd(name, 1, DONE),)
            )
        )
    assert store.workflows[ID].state == "completed"


def test_only_finished_workflows_are_dropped(store):
    submit(store)
    store.apply(workflow_commands.ForgetWorkflows(workflows=(ID,)))
    assert ID in store.workflows
    cancel(store)
    store.apply(workflow_commands.ForgetWorkflows(workflows=(ID, "unknown")))
    assert ID not in store.workflows


def test_snapshot_restores_the_whole_store(store):
    submit(store, steps=[create_step(2, gang=True), create_step(depends_on=(0,))])
    start_gang(store, 1)
    end(store, DONE, index=0)
    data = msgspec.msgpack.encode(store.dump())
    restored = WorkflowStore.load(msgspec.msgpack.decode(data, type=WorkflowSnapshot))
    assert restored.dump() == store.dump()
    assert restored.runs == store.runs
    assert restored.active.keys() == store.active.keys()
    assert restored.find_queue(Q) == store.find_queue(Q)


# Guards against a start over a worker's capacity: a command of an earlier leader with
# an older report was applied behind a newer one.
def test_older_report_of_a_worker_is_not_applied():
    store = create_store(workers=0)
    for sequence, cpu in ((6, 1000), (5, 4000)):
        spec = create_worker("w1", cpu=cpu, sequence=sequence)
        result = store.apply(workflow_commands.EnrolWorker(spec=spec))
        assert result.accepted
    assert store.workers["w1"].capacity.cpu_millis == 1000
    restarted = create_worker("w1", incarnation=2, cpu=4000, sequence=1)
    store.apply(workflow_commands.EnrolWorker(spec=restarted))
    assert store.workers["w1"].capacity.cpu_millis == 4000


def restore(store):
    """Return the store of a snapshot that was written and read."""
    data = msgspec.msgpack.encode(store.dump())
    return WorkflowStore.load(msgspec.msgpack.decode(data, type=WorkflowSnapshot))


# Guards against starts without a ticket after the removal of a queue and a restart.
def test_removed_queue_is_known_as_long_as_it_has_work(store):
    queue = store.find_queue(Q)
    submit(store)
    other = create_queue("other")
    for version in (5, 6):
        changed = create_configuration(version, [other])
        command = workflow_commands.ApplyConfiguration(configuration=changed)
        store.apply(command)
        store = restore(store)
        assert store.find_queue(Q) is None
        assert store.find_last_queue(Q) == queue
    cancel(store)
    changed = create_configuration(7, [other])
    store.apply(workflow_commands.ApplyConfiguration(configuration=changed))
    assert store.find_last_queue(Q) is None


def test_queue_that_returns_has_its_new_definition(store):
    submit(store)
    for version, queue in ((5, create_queue("other")), (6, create_queue(priority=7))):
        changed = create_configuration(version, [queue])
        store.apply(workflow_commands.ApplyConfiguration(configuration=changed))
    assert store.find_last_queue(Q).priority == 7
    assert restore(store).dump().removed_queues == []
