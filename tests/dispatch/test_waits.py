"""Reports of steps that wait long."""

import logging
import random

import pytest

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import MAX_STARTS_PER_ROUND, Planner
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.waits import WaitReporter, describe_wait
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands
from tests.dispatch.test_advice_renewal import SHORT_ADVISOR, AdvisedPool
from tests.dispatch.test_planner import NOW, Cell, fail_run, list_jobs
from tests.dispatch.test_suspects import blame
from tests.workflow.factories import ADVISOR, create_queue, create_step

STEP = ("job", 0, 1)


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def reporter(metrics, caplog):
    caplog.set_level(logging.INFO, "bluebellyoke.dispatch")
    return WaitReporter(AdviceManager(), metrics)


def check(reporter, *, until, reasons, since=0.0):
    for tenth in range(round(since * 10), round(until * 10)):
        reporter.check(reasons, tenth / 10)


def list_reports(caplog):
    return [x for x in caplog.records if x.message == "dispatch: a step waits"]


def test_long_wait_is_reported_with_its_reason(reporter, metrics, caplog):
    check(reporter, until=1.3, reasons={STEP: WaitReason.NO_TICKET})
    (report,) = list_reports(caplog)
    assert (report.job, report.step) == ("job", [0, 1])
    assert (report.reason, report.tickets, report.asking) == ("no-ticket", 0, 0)
    assert 'overdue_steps_total{outcome="no-ticket"} 1' in metrics.render()


def test_lasting_wait_is_reported_ever_less_often(reporter, caplog):
    check(reporter, until=9.0, reasons={STEP: WaitReason.NO_ROOM})
    assert [x.waited_s for x in list_reports(caplog)] == [1.0, 2.0, 4.0, 8.0]


def test_start_ends_the_wait(reporter, caplog):
    check(reporter, until=0.9, reasons={STEP: WaitReason.NO_ROOM})
    reporter.check({}, 1.0)
    check(reporter, since=1.5, until=2.4, reasons={STEP: WaitReason.NO_ROOM})
    assert list_reports(caplog) == []


# What a waiting step lacks in the planner's view.


@pytest.fixture
def pool():
    return AdvisedPool(allowed=7, advisor=SHORT_ADVISOR)


def test_step_without_advice_lacks_a_worker(pool):
    pool.submit()
    pool.run(0.01)
    assert list(pool.planner.wait_reasons.values()) == [WaitReason.NO_WORKER]


def test_step_in_a_full_pool_lacks_room(pool):
    pool.submit()
    pool.fill()
    pool.run(1.0)
    assert list(pool.planner.wait_reasons.values()) == [WaitReason.NO_ROOM]


def test_step_kept_out_by_a_gang_is_told_apart(pool):
    for worker in pool.workers.values():
        worker.add_run("other", worker.spec.capacity, RunPhase.STARTED, pool.now)
    pool.workers["w000"].drop_run("other")
    pool.submit(1, count=2, cpu=9000, gang=True)
    job = pool.submit(2, cpu=9000, estimate_ms=5000)
    pool.run(1.0)
    assert pool.planner.wait_reasons[(job, 0, 0)] is WaitReason.RESERVED


def test_step_with_expired_tickets_lacks_a_ticket(pool):
    job = pool.submit()
    pool.fill()
    pool.run(1.0)
    advice = pool.advice.get_step_advice((job, 0, 0))
    for worker_key in advice.tickets:
        advice.expire_ticket(worker_key)
    pool.empty()
    planner = Planner(pool.advice)
    assert planner.plan(pool.store, pool.workers, pool.now, pool.now) == []
    assert list(planner.wait_reasons.values()) == [WaitReason.NO_TICKET]


# Guards against steps that wait without a reason, which no log line mentions.


def test_step_behind_the_maximum_of_starts_has_a_reason():
    cell = Cell(workers=2, cpu=1_000_000)
    first = cell.submit([create_step(MAX_STARTS_PER_ROUND, cpu=0, memory=0)])
    second = cell.submit([create_step(1)])
    assert set(list_jobs(cell.plan_and_start())) == {first}
    assert cell.planner.wait_reasons == {(second, 0, 0): WaitReason.MAX_STARTS}
    assert list_jobs(cell.plan_and_start()) == [second]
    assert cell.planner.wait_reasons == {}


def test_gang_with_a_run_that_has_not_ended_has_a_reason():
    cell = Cell()
    gang = cell.submit([create_step(2, gang=True)])
    first, second = cell.plan_and_start()
    fail_run(cell, first)
    assert cell.plan_and_start() == ()
    assert cell.planner.wait_reasons == {(gang, 0, 0): WaitReason.OPEN_RUNS}
    fail_run(cell, second)
    assert list_jobs(cell.plan_and_start()) == [gang, gang]
    assert cell.planner.wait_reasons == {}


def test_each_reason_has_a_description():
    assert all(describe_wait(reason) for reason in WaitReason)


# Guards against a step that waits without a reason in any round of a busy cell.
@pytest.mark.parametrize("seed", range(20))
def test_each_step_that_gets_no_start_has_a_reason(seed):
    rng = random.Random(seed)
    queues = [create_queue(), create_queue("advised", advisor=ADVISOR)]
    cell = Cell(workers=4, queues=queues)
    for _ in range(30):
        step = create_step(
            rng.randint(1, 4),
            cpu=rng.choice([500, 1500, 4000, 9000]),
            gang=rng.random() < 0.3,
            required_label=rng.choice(["", "", "none"]),
        )
        cell.submit([step], queue=rng.choice(["q", "advised"]))
    blame(cell, *rng.sample(list(cell.store.active), 10))
    for _ in range(5):
        started = {start.task.workflow for start in cell.plan_and_start()}
        waiting = {name for name, job in cell.store.active.items() if not job.placed}
        explained = {name for name, _, _ in cell.planner.wait_reasons}
        assert waiting - started <= explained
        for worker in cell.workers.values():
            for task, run in list(worker.runs)[:1]:
                end = commands.RunEnd(task, run, commands.RunOutcome.DONE)
                cell.store.apply(commands.RecordEnds(time=NOW, ends=(end,)))
                worker.drop_run((task, run))
