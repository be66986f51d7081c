"""Tests of what may keep a suspect, and others because of it, from being started."""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.dispatch.step_tickets import TICKET_WAIT_S
from bluebellyoke.dispatch.suspects import MAX_SUSPECTS_PER_ROUND, RENEWED_SUSPECTS
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.test_planner import NOW, Cell, list_jobs
from tests.dispatch.test_quotas import QuotaCell
from tests.workflow.factories import (
    ADVISOR,
    create_queue,
    create_step,
    create_worker,
)

QUEUES = [create_queue(), create_queue("other", pool="p2")]

MAX_ROUNDS = 100


@pytest.fixture
def cell():
    return Cell(workers=2, queues=QUEUES)


def blame(cell, *jobs):
    """Make all tasks of the first step of some jobs suspects, as after a crash."""
    runs = [
        workflow_commands.CrashedRun(
            workflow_commands.TaskName(job, 0, 0, index), 1, 10, True
        )
        for job in jobs
        for index in range(cell.store.workflows[job].spec.steps[0].count)
    ]
    cell.store.crashes.record(("gone", 1), runs, NOW)


def hold(cell, name, *, cpu, steps=None):
    """Let an old run of a job take up a part of a worker."""
    job = cell.submit(steps or [create_step(1, cpu=cpu)])
    task = workflow_commands.TaskName(job, 0, 0, 0)
    start = workflow_commands.RunStart(task, 1, name, 1)
    cell.store.apply(workflow_commands.AssignRuns(starts=(start,)))
    worker = cell.workers[name]
    worker.add_run((task, 1), Resources(cpu, 100), RunPhase.STARTED, NOW - 60)
    return job


def count_rounds_until_start(cell, job):
    for number in range(1, MAX_ROUNDS + 1):
        if job in list_jobs(cell.plan_and_start()):
            return number
    raise AssertionError(f"{job} did not start in {MAX_ROUNDS} rounds")


# Guards against suspects of a pool that wait while those of another pool use up the
# share of theirs.
def test_suspects_of_a_full_pool_hold_up_no_others(cell):
    cell.add_worker(create_worker("x1", pool="p2"))
    probation = workflow_commands.TaskName("running", 0, 0, 0)
    cell.workers["w1"].add_run(
        (probation, 2), Resources(100), RunPhase.STARTED, NOW, probation_s=30.0
    )
    first = cell.submit([create_step(1)])
    second = cell.submit([create_step(1)], queue="other")
    blame(cell, first, second)
    assert list_jobs(cell.plan_and_start()) == [second]
    assert cell.planner.wait_reasons == {(first, 0, 0): WaitReason.SUSPECT}


# Guards against suspects that never start, because as many as a round looks at are
# before them and can never start.
@pytest.mark.parametrize("count", [1, 5 * MAX_SUSPECTS_PER_ROUND])
def test_each_suspect_is_looked_at_within_some_rounds(cell, count):
    stuck = cell.submit([create_step(count, required_label="none")])
    last = cell.submit([create_step(1)])
    blame(cell, stuck, last)
    assert count_rounds_until_start(cell, last) <= 12


# Guards against a suspect that never gets advice after a change of leader, because
# eight before it that can never start are the only ones that may ask for it.
def test_suspect_behind_others_that_wait_asks_the_advisor():
    cell = Cell(queues=[create_queue(advisor=ADVISOR)])
    stuck = cell.submit([create_step(RENEWED_SUSPECTS, required_label="none")])
    last = cell.submit([create_step(1)])
    blame(cell, stuck, last)
    assert cell.plan() == []
    assert cell.advice.get_step_advice((last, 0, 0)).is_evaluating


# Guards against a worker that no other task gets, since it is set apart for a suspect
# whose room long-running tasks hold, which never end.
def test_worker_of_long_running_tasks_is_not_set_apart():
    cell = Cell(workers=1)
    hold(cell, "w1", cpu=2500, steps=[create_step(1, cpu=2500, long_running=True)])
    suspect = cell.submit([create_step(1, cpu=2000)])
    other = cell.submit([create_step(1, cpu=1000)])
    blame(cell, suspect)
    assert list_jobs(cell.plan_and_start()) == [other]


def test_worker_of_other_tasks_is_set_apart():
    cell = Cell(workers=1)
    hold(cell, "w1", cpu=2500)
    suspect = cell.submit([create_step(1, cpu=2000)])
    cell.submit([create_step(1, cpu=1000)])
    blame(cell, suspect)
    assert cell.plan_and_start() == ()


# Guards against a suspect whose wait no log line and no report explains: the round had
# not looked at it, or its step is paused after a worker has refused it.
def test_each_waiting_suspect_has_a_reason(cell):
    stuck = [
        cell.submit([create_step(1, required_label="none")])
        for _ in range(2 * MAX_SUSPECTS_PER_ROUND)
    ]
    blame(cell, *stuck)
    cell.plan()
    assert cell.planner.wait_reasons.keys() == {(job, 0, 0) for job in stuck}


def test_paused_suspect_has_a_reason(cell):
    job = cell.submit([create_step(1)])
    blame(cell, job)
    cell.planner.pause((job, 0, 0), NOW)
    assert cell.plan() == []
    assert cell.planner.wait_reasons == {(job, 0, 0): WaitReason.REFUSED}


# Guards against a gang of suspects that waits for ever, as smaller tasks take the room
# that each ended run gives back.
def test_gang_of_suspects_reserves_workers():
    cell = Cell(workers=2)
    hold(cell, "w1", cpu=3000)
    gang = cell.submit([create_step(2, cpu=3000, gang=True)])
    cell.submit([create_step(1, estimate_ms=5000)])
    blame(cell, gang)
    assert cell.plan_and_start() == ()


@pytest.fixture
def emptied_cell():
    """A cell whose worker was set apart for a suspect and has just become empty.

    The ticket of the suspect has expired, and another task waits.
    """
    cell = Cell(workers=1, queues=[create_queue(), create_queue("a", advisor=ADVISOR)])
    holder = hold(cell, "w1", cpu=4000)
    cell.suspect = cell.submit([create_step(1, cpu=4000)], queue="a")
    cell.other = cell.submit([create_step(1)])
    give_ticket(cell, until=0.0)
    blame(cell, cell.suspect)
    assert cell.plan_and_start() == ()
    task = workflow_commands.TaskName(holder, 0, 0, 0)
    done = workflow_commands.RunEnd(task, 1, workflow_commands.RunOutcome.DONE)
    cell.store.apply(workflow_commands.RecordEnds(time=NOW, ends=(done,)))
    cell.workers["w1"].drop_run((task, 1))
    return cell


def give_ticket(cell, until):
    advice = cell.advice.get_step_advice((cell.suspect, 0, 0))
    advice.evaluated = {("w1", 1)}
    advice.tickets = {("w1", 1): ("t", until)}


# Guards against a suspect that waits for ever in a busy pool: its ticket had expired
# when its worker was empty at last, and other tasks took the worker meanwhile.
def test_empty_worker_is_kept_while_the_ticket_of_its_suspect_is_renewed(emptied_cell):
    assert emptied_cell.plan_and_start() == ()
    give_ticket(emptied_cell, until=NOW + 1.0)
    assert list_jobs(emptied_cell.plan_and_start()) == [emptied_cell.suspect]


# Guards against a worker that is kept without an end while the advisor is down.
def test_empty_worker_is_kept_for_a_while_only(emptied_cell):
    planned = []
    for tenth in range(round(10 * TICKET_WAIT_S) + 2):
        now = NOW + tenth / 10
        emptied_cell.workers["w1"].last_response_at = now
        planned.append(emptied_cell.plan(now))
    assert planned[:-2] == [[]] * (len(planned) - 2)
    assert [x.start.task.workflow for x in planned[-1]] == [emptied_cell.other]


# Guards against a gang of suspects that waits for ever for the quota of its workspace,
# as smaller tasks take what each ended run gives back.
def test_quota_is_kept_for_a_gang_of_suspects():
    cell = QuotaCell({"a": 4000})
    cell.submit([create_step(4)], workspace="a")
    cell.plan_and_start()
    gang = cell.submit([create_step(3, gang=True)], workspace="a")
    cell.submit([create_step(9)], workspace="a")
    blame(cell, gang)
    for _ in range(2):
        cell.end_runs(1)
        assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons[(gang, 0, 0)] is WaitReason.QUOTA
    cell.end_runs(1)
    assert [x.start.task.workflow for x in cell.plan(NOW + 1)] == [gang] * 3


# Guards against a gang larger than the share of its pool that may be used for suspects,
# which waits for ever while smaller suspects behind it are started.
def test_large_gang_of_suspects_starts_once_no_other_suspect_runs():
    cell = Cell(workers=4)
    probation = workflow_commands.TaskName("running", 0, 0, 0)
    cell.workers["w1"].add_run(
        (probation, 2), Resources(100), RunPhase.STARTED, NOW, probation_s=1.0
    )
    gang = cell.submit([create_step(3, cpu=4000, gang=True)])
    small = cell.submit([create_step(1)])
    blame(cell, gang, small)
    assert cell.plan_and_start() == ()
    assert set(cell.planner.wait_reasons.values()) == {WaitReason.SUSPECT}
    cell.workers["w1"].clear_suspects({(probation, 2)}, NOW + 1.0)
    started = [x.start.task.workflow for x in cell.plan(NOW + 1.0)]
    assert started[:3] == [gang] * 3
