"""Tests of what may keep waiting tasks from idle room, and until when."""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch import workers as tracked_workers
from bluebellyoke.dispatch.planner import REFUSED_PAUSE_S
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.test_planner import NOW, Cell, fail_run, list_jobs
from tests.dispatch.test_quotas import QuotaCell
from tests.workflow.factories import ADVISOR, create_queue, create_step

FAILED = workflow_commands.RunOutcome.FAILED
SILENCE_S = 2.5


@pytest.fixture
def worker():
    """A worker that accepts tasks."""
    return Cell(workers=1).workers["w1"]


def accepts_tasks(worker, now):
    worker.last_response_at = now
    return worker.can_accept_tasks(now, SILENCE_S)


def quarantine(worker, now):
    for number in range(tracked_workers.QUARANTINE_FAILED_WORKFLOWS):
        worker.record_outcome(f"job {number}", FAILED, now)
    assert worker.quarantines


# Guards against a worker that gets no task any more once it has been quarantined, since
# a task on it runs until its workflow is cancelled.
def test_quarantined_worker_with_a_lasting_run_is_tried_again(worker):
    worker.add_run("service", Resources(100), RunPhase.STARTED, NOW - 60)
    quarantine(worker, NOW)
    assert not accepts_tasks(worker, NOW + 0.5)
    assert accepts_tasks(worker, NOW + 1.5)


def test_quarantined_worker_gets_no_task_beside_a_young_run(worker):
    quarantine(worker, NOW)
    worker.add_run("probe", Resources(100), RunPhase.STARTED, NOW + 1.5)
    assert not accepts_tasks(worker, NOW + 2.0)
    worker.drop_run("probe")
    assert accepts_tasks(worker, NOW + 2.0)


# Guards against a worker that gets no task any more since its only run hangs by itself.
def test_stalled_worker_is_tried_again(worker):
    worker.add_run("hung", Resources(100), RunPhase.STARTED, NOW)
    run = worker.runs["hung"]
    for second in range(6):
        run.record_progress(10 * second, NOW + second)
    worker.update_stall({"hung"}, NOW + 20)
    assert worker.is_stalled
    assert not accepts_tasks(worker, NOW + 20)
    worker.update_stall({"hung"}, NOW + 200)
    assert accepts_tasks(worker, NOW + 200)


def test_stalled_worker_is_tried_with_few_tasks(worker):
    worker.add_run("hung", Resources(100), RunPhase.STARTED, NOW)
    run = worker.runs["hung"]
    for second in range(6):
        run.record_progress(10 * second, NOW + second)
    worker.update_stall({"hung"}, NOW + 200)
    worker.add_run("trial", Resources(100), RunPhase.STARTED, NOW + 200)
    assert not accepts_tasks(worker, NOW + 201)


def start_service(cell, *, count, cpu, **fields):
    """Start tasks that run until their workflow is cancelled."""
    steps = [create_step(count, cpu=cpu, long_running=True, max_per_worker=1)]
    service = cell.submit(steps, **fields)
    assert list_jobs(cell.plan_and_start()) == [service] * count


# Guards against idle room that longer tasks never get: a gang that fits on idle workers
# only reserved workers on which long-running tasks run.
def test_gang_that_long_running_tasks_keep_out_reserves_no_workers():
    cell = Cell(workers=3)
    start_service(cell, count=3, cpu=2000)
    cell.submit([create_step(3, cpu=3000, gang=True)])
    job = cell.submit([create_step(3, cpu=1000, estimate_ms=5000)])
    assert list_jobs(cell.plan_and_start()) == [job] * 3


def test_gang_that_fits_beside_long_running_tasks_reserves_workers():
    cell = Cell(workers=3)
    start_service(cell, count=3, cpu=1000)
    cell.submit([create_step(1, cpu=2000, estimate_ms=5000)])
    cell.plan_and_start()
    cell.submit([create_step(3, cpu=3000, gang=True)])
    cell.submit([create_step(3, cpu=1000, estimate_ms=5000)])
    assert cell.plan_and_start() == ()


# Guards against quota that nobody uses: it was kept for a gang that fits into it only
# without the long-running tasks of the workspace.
def test_no_quota_is_kept_for_a_gang_that_long_running_tasks_keep_out():
    cell = QuotaCell({"a": 6000})
    start_service(cell, count=3, cpu=1300, workspace="a")
    cell.submit([create_step(3, cpu=1000, gang=True)], workspace="a")
    job = cell.submit([create_step(2, estimate_ms=5000)], workspace="a")
    assert list_jobs(cell.plan_and_start()) == [job] * 2


@pytest.fixture
def advised_cell():
    """A cell with a queue whose advisor does not answer."""
    queues = [create_queue(), create_queue("a", advisor=ADVISOR, priority=0)]
    return Cell(queues=queues)


def expire_advice(cell, job):
    advice = cell.advice.get_step_advice((job, 0, 0))
    advice.evaluated = {worker.spec.key for worker in cell.workers.values()}
    advice.tickets = dict.fromkeys(advice.evaluated, ("t", 0.0))


def plan_for(cell, seconds):
    """Plan ten times a second until something can start; return when, and the jobs."""
    for tenth in range(10 * seconds):
        now = NOW + tenth / 10
        for worker in cell.workers.values():
            worker.last_response_at = now
        planned = cell.plan(now)
        if planned:
            return now - NOW, [item.start.task.workflow for item in planned]
    return seconds, []


# Guards against room that no step may use while the advisor of another one is down.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_room_is_kept_for_missing_tickets_for_a_while_only(advised_cell, gang):
    first = advised_cell.submit([create_step(3, cpu=4000, gang=gang)], queue="a")
    second = advised_cell.submit([create_step(3, cpu=4000)])
    expire_advice(advised_cell, first)
    waited_s, jobs = plan_for(advised_cell, 60)
    assert jobs == [second] * 3
    assert 1.0 < waited_s < 5.0


# Guards against a step that waits for ever once a reply of the advisor has allowed none
# of its workers, as nothing asks again.
def test_step_without_any_allowed_worker_asks_again(advised_cell):
    job = advised_cell.submit([create_step(1)], queue="a")
    advice = advised_cell.advice.get_step_advice((job, 0, 0))
    advice.evaluated = {worker.spec.key for worker in advised_cell.workers.values()}
    advice.asked_at = NOW
    advised_cell.advice.tick(NOW)
    advised_cell.plan(NOW)
    assert not advice.pending
    for second in range(30):
        for worker in advised_cell.workers.values():
            worker.last_response_at = NOW + second
        advised_cell.advice.tick(NOW + second)
        advised_cell.plan(NOW + second)
    assert advice.pending == {x.spec.key for x in advised_cell.workers.values()}


# Guards against a step that is planned on the same worker again and again, although
# only this worker refuses it as malformed.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_refused_task_runs_on_another_worker(gang):
    cell = Cell()
    job = cell.submit([create_step(1, gang=gang)])
    (first,) = cell.plan_and_start()
    never_started = workflow_commands.RunOutcome.NEVER_STARTED
    end = workflow_commands.RunEnd(first.task, first.run, never_started)
    cell.store.apply(workflow_commands.RecordEnds(ends=(end,)))
    cell.workers[first.worker].drop_run((first.task, first.run))
    cell.planner.pause((job, 0, 0), NOW)
    assert cell.plan(NOW + 0.1) == []
    (second,) = cell.plan(NOW + REFUSED_PAUSE_S)
    assert second.start.worker != first.worker


# Guards against a large task that waits for ever for the quota of its workspace, as
# smaller tasks behind it take what each ended run gives back.
@pytest.mark.parametrize("large", [True, False])
def test_large_task_gets_its_quota_in_the_end(large):
    cell = QuotaCell({"a": 6000})
    cell.submit([create_step(6)], workspace="a")
    cell.plan_and_start()
    job = cell.submit([create_step(1, cpu=3000 if large else 1000)], workspace="a")
    cell.submit([create_step(100)], workspace="a")
    for second in range(60):
        for worker in cell.workers.values():
            worker.last_response_at = NOW + second
        cell.end_runs(1)
        started = list_jobs(cell.plan_and_start(NOW + second))
        if job in started:
            break
    assert job in started
    assert second <= 20 if large else second == 0


# Guards against a failed task that waits on for the worker to avoid, or for tickets of
# the others that nobody asks for.
def test_failed_task_asks_for_the_tickets_of_other_workers(advised_cell):
    job = advised_cell.submit([create_step(1)], queue="a")
    expire_advice(advised_cell, job)
    advice = advised_cell.advice.get_step_advice((job, 0, 0))
    advice.tickets[("w1", 1)] = ("t", NOW + 10.0)
    (first,) = advised_cell.plan_and_start()
    assert first.worker == "w1"
    fail_run(advised_cell, first)
    assert advised_cell.plan() == []
    assert advice.pending >= {("w2", 1), ("w3", 1)}
    advice.tickets[("w3", 1)] = ("t", NOW + 10.0)
    assert [x.start.worker for x in advised_cell.plan()] == ["w3"]


# Guards against a gang that waits for ever, as short tasks use the workers that it has
# reserved, one after the other.
def test_gang_starts_in_a_stream_of_short_tasks():
    cell = Cell(workers=1, cpu=2000)
    cell.submit([create_step(2, estimate_ms=600.0)])
    running = list(cell.plan_and_start())
    gang = cell.submit([create_step(2, gang=True)])
    for tenth in range(600):
        now = NOW + tenth / 10
        cell.workers["w1"].last_response_at = now
        cell.submit([create_step(1, estimate_ms=600.0)])
        if tenth % 3 == 0:
            start = running.pop(0)
            done = workflow_commands.RunOutcome.DONE
            end = workflow_commands.RunEnd(start.task, start.run, done)
            cell.store.apply(workflow_commands.RecordEnds(time=now, ends=(end,)))
            cell.workers["w1"].drop_run((start.task, start.run))
        started = cell.plan_and_start(now)
        if gang in list_jobs(started):
            return
        running += started
    raise AssertionError("the gang did not start in 60 s")
