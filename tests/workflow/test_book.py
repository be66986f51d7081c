import msgspec
import pytest

from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.book import BookImage, WorkflowBook
from tests.workflow.factories import (
    create_book,
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_worker,
    end,
    name_task,
    start,
)

ID = "0000000000000001"
DONE, FAILED = wc.RunOutcome.DONE, wc.RunOutcome.FAILED


@pytest.fixture
def book():
    return create_book()


def submit(book, **fields):
    return book.apply(wc.SubmitWorkflow(time=1.0, spec=create_spec(**fields)))


def cancel(book, queue="q"):
    return book.apply(wc.CancelWorkflow(time=2.0, workflow=ID, queue=queue))


# Configurations.


def test_higher_version_takes_effect(book):
    changed = create_configuration(5, [create_queue("other")])
    assert book.apply(wc.ApplyConfiguration(configuration=changed)).accepted
    assert book.configuration.version == 5
    assert book.find_queue_named("q") is None


@pytest.mark.parametrize("version", [1, 4, 5])
def test_version_that_is_not_higher_changes_nothing(book, version):
    book.apply(wc.ApplyConfiguration(configuration=create_configuration(5)))
    late = create_configuration(version, [create_queue("other")])
    result = book.apply(wc.ApplyConfiguration(configuration=late))
    assert (result.accepted, result.code) == (True, "overtaken")
    assert book.configuration == create_configuration(5)


# Submission and cancelling.


def test_the_same_identity_again_is_one_workflow(book):
    assert submit(book).code == "accepted"
    start(book)
    assert submit(book).code == "known"
    assert len(book.workflows) == 1
    assert book.workflows[ID].state == "running"


def test_identity_belongs_to_one_queue():
    queues = [create_queue("q"), create_queue("other")]
    book = create_book(configuration=create_configuration(queues=queues))
    submit(book)
    assert submit(book, queue="other").code == "id-taken"
    assert cancel(book, queue="other").code == "unknown-job"


def test_cancelled_workflow_gets_no_start(book):
    submit(book)
    assert cancel(book).accepted
    assert not start(book)
    assert book.workflows[ID].state == "cancelled"
    assert not book.active


def test_cancelled_workflow_stays_active_until_its_runs_have_ended(book):
    submit(book)
    start(book)
    cancel(book)
    assert ID in book.active
    end(book, wc.RunOutcome.STOPPED)
    assert ID not in book.active
    assert book.workflows[ID].state == "cancelled"


# Runs.


def test_task_has_one_run_at_a_time(book):
    submit(book)
    assert start(book, run=1)
    assert not start(book, run=2, worker="w2")
    end(book, wc.RunOutcome.STOPPED, run=1)
    assert start(book, run=2, worker="w2")


def test_run_numbers_rise(book):
    submit(book)
    start(book, run=3)
    end(book, wc.RunOutcome.NEVER_STARTED, run=3)
    assert not start(book, run=3)
    assert start(book, run=4)


def test_done_task_gets_no_start(book):
    submit(book, steps=[create_step(2)])
    start(book)
    end(book, DONE)
    assert not start(book, run=2)
    assert book.workflows[ID].state == "running"


def test_end_of_an_earlier_run_changes_nothing(book):
    submit(book)
    start(book, run=1)
    end(book, wc.RunOutcome.LOST, run=1)
    start(book, run=2, worker="w2")
    end(book, DONE, run=1)
    assert book.workflows[ID].state == "running"
    assert list(book.runs[("w2", 1)]) == [(name_task(), 2)]


def test_step_waits_for_all_tasks_it_depends_on(book):
    submit(book, steps=[create_step(2), create_step(depends_on=(0,))])
    start(book, index=0)
    start(book, index=1)
    end(book, DONE, index=0)
    assert not start(book, step=1)
    end(book, DONE, index=1)
    assert start(book, step=1)
    end(book, DONE, step=1, time=9.0)
    workflow = book.workflows[ID]
    assert (workflow.state, workflow.finished_at) == ("completed", 9.0)


def test_only_failed_ends_count_as_attempts(book):
    submit(book)
    run = 0
    for outcome in (FAILED, wc.RunOutcome.LAPSED, FAILED, wc.RunOutcome.LOST, FAILED):
        assert book.workflows[ID].state != "failed"
        run += 1
        assert start(book, run=run)
        end(book, outcome, run=run)
    assert book.workflows[ID].state == "failed"
    assert not start(book, run=run + 1)


def test_draining_worker_gets_no_start(book):
    submit(book)
    book.apply(wc.EnrolWorker(spec=create_worker("w1", draining=True)))
    assert not start(book, worker="w1")
    assert start(book, worker="w2")


def test_late_heartbeat_does_not_end_draining(book):
    book.apply(wc.EnrolWorker(spec=create_worker("w1", draining=True)))
    book.apply(wc.EnrolWorker(spec=create_worker("w1")))
    assert book.workers["w1"].draining


def test_new_life_of_a_worker_ends_the_runs_of_the_old(book):
    submit(book)
    start(book)
    book.apply(wc.EnrolWorker(spec=create_worker("w1", born=2)))
    assert not start(book, run=2, worker="w1", born=1)
    assert start(book, run=2, worker="w1", born=2)


def test_heartbeat_of_an_old_life_is_refused(book):
    book.apply(wc.EnrolWorker(spec=create_worker("w1", born=2)))
    result = book.apply(wc.EnrolWorker(spec=create_worker("w1", born=1)))
    assert not result.accepted
    assert book.workers["w1"].born == 2


def test_removal_of_an_old_life_is_refused(book):
    book.apply(wc.EnrolWorker(spec=create_worker("w1", born=2)))
    assert not book.apply(wc.RemoveWorker(worker="w1", born=1)).accepted
    assert "w1" in book.workers


# Lasting tasks and checkpoints.


def test_lasting_task_is_started_again_however_it_ends(book):
    submit(book, steps=[create_step(lasting=True)])
    for run, outcome in enumerate([DONE, FAILED, FAILED, FAILED, FAILED], start=1):
        assert start(book, run=run)
        end(book, outcome, run=run)
    assert book.workflows[ID].state == "running"
    assert start(book, run=6)


def test_checkpoint_is_kept_for_the_next_run(book):
    submit(book, steps=[create_step(checkpoints=True)])
    start(book)
    end(book, wc.RunOutcome.STOPPED, checkpoint="c1")
    assert book.workflows[ID].find_task(name_task()).checkpoint == "c1"


# Gangs.


def start_gang(book, run, workers=("w1", "w2")):
    starts = tuple(
        wc.RunStart(name_task(index=index), run, worker, 1)
        for index, worker in enumerate(workers)
    )
    return book.apply(wc.AssignRuns(starts=starts)).detail["done"]


def test_gang_starts_whole_or_not_at_all(book):
    submit(book, steps=[create_step(2, gang=True)])
    book.apply(wc.EnrolWorker(spec=create_worker("w2", draining=True)))
    assert start_gang(book, 1) == "00"
    assert start_gang(book, 1, ("w1", "w1")) == "11"


def test_part_of_a_gang_is_not_started(book):
    submit(book, steps=[create_step(3, gang=True)])
    assert start_gang(book, 1) == "00"


def test_one_done_end_ends_the_gang_and_keeps_the_room_of_the_others(book):
    submit(book, steps=[create_step(2, gang=True)])
    start_gang(book, 1)
    end(book, DONE, index=0)
    assert book.workflows[ID].state == "completed"
    assert list(book.runs[("w2", 1)]) == [(name_task(index=1), 1)]
    end(book, DONE, index=1)
    assert not book.runs[("w2", 1)]
    assert not book.active


def test_failure_of_a_gang_counts_once_a_run(book):
    submit(book, steps=[create_step(2, gang=True)])
    for run in (1, 2):
        assert start_gang(book, run) == "11"
        end(book, FAILED, index=0, run=run)
        end(book, wc.RunOutcome.BROKEN, index=1, run=run)
        assert book.workflows[ID].state == "running"
    start_gang(book, 3)
    end(book, FAILED, index=1, run=3)
    assert book.workflows[ID].state == "failed"


def test_gang_waits_for_all_its_members_ends(book):
    submit(book, steps=[create_step(2, gang=True)])
    start_gang(book, 1)
    end(book, FAILED, index=0, run=1)
    assert start_gang(book, 2) == "00"
    end(book, wc.RunOutcome.BROKEN, index=1, run=1)
    assert start_gang(book, 2) == "11"


def test_checkpoint_of_one_member_is_that_of_all(book):
    submit(book, steps=[create_step(2, gang=True, checkpoints=True)])
    start_gang(book, 1)
    end(book, wc.RunOutcome.STOPPED, index=0, checkpoint="c7")
    end(book, wc.RunOutcome.BROKEN, index=1)
    workflow = book.workflows[ID]
    texts = {workflow.find_task(name_task(index=index)).checkpoint for index in (0, 1)}
    assert texts == {"c7"}


# Repetitions, records and snapshots.


def test_workflow_is_completed_after_its_last_repetition(book):
    submit(book, repeats=2, first_at_ms=0, interval_ms=1)
    for repetition in (0, 1):
        assert book.workflows[ID].state != "completed"
        name = name_task(repetition=repetition)
        starts = (wc.RunStart(name, 1, "w1", 1),)
        assert book.apply(wc.AssignRuns(starts=starts)).detail["done"] == "1"
        book.apply(wc.RecordEnds(ends=(wc.RunEnd(name, 1, DONE),)))
    assert book.workflows[ID].state == "completed"


def test_only_ended_workflows_are_forgotten(book):
    submit(book)
    book.apply(wc.ForgetWorkflows(workflows=(ID,)))
    assert ID in book.workflows
    cancel(book)
    book.apply(wc.ForgetWorkflows(workflows=(ID, "unknown")))
    assert ID not in book.workflows


def test_stored_form_holds_everything(book):
    submit(book, steps=[create_step(2, gang=True), create_step(depends_on=(0,))])
    start_gang(book, 1)
    end(book, DONE, index=0)
    data = msgspec.msgpack.encode(book.dump())
    again = WorkflowBook.load(msgspec.msgpack.decode(data, type=BookImage))
    assert again.dump() == book.dump()
    assert again.runs == book.runs
    assert again.active.keys() == book.active.keys()
    assert again.find_queue_named("q") == book.find_queue_named("q")
