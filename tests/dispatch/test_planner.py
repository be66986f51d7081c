"""Patterns of load, each with what planning must make of it."""

import pytest

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as wc
from tests.workflow.factories import (
    ADVISOR,
    create_configuration,
    create_queue,
    create_spec,
    create_step,
    create_store,
    create_worker,
)

NOW = 100.0


class Cell:
    """A book with members that are ready, and a planner."""

    def __init__(self, workers=3, cpu=4000, queues=None):
        configuration = create_configuration(queues=queues)
        self.store = create_store(0, configuration)
        self.workers = {}
        self.advice = AdviceManager()
        self.planner = Planner(self.advice)
        self.count = 0
        for number in range(workers):
            self.add_worker(create_worker(f"w{number + 1}", cpu=cpu))

    def add_worker(self, spec):
        self.store.apply(wc.EnrolWorker(spec=spec))
        self.workers[spec.id] = TrackedWorker(
            spec, NOW, last_response_at=NOW, has_responded=True
        )

    def submit(self, steps, queue="q", **fields):
        self.count += 1
        spec = create_spec(f"{self.count:016x}", steps, queue, **fields)
        self.store.apply(wc.SubmitWorkflow(time=NOW + self.count, spec=spec))
        return spec.id

    def plan(self, now=NOW):
        return self.planner.plan(self.store, self.workers, now, now)

    def plan_and_start(self):
        planned = self.plan()
        starts = tuple(item.start for item in planned)
        result = self.store.apply(wc.AssignRuns(starts=starts))
        assert set(result.detail["done"]) <= {"1"}
        for start in starts:
            step = self.store.workflows[start.task.workflow].spec.steps[start.task.step]
            worker = self.workers[start.worker]
            worker.add_run((start.task, start.run), step.need, None, NOW)
        return starts


@pytest.fixture
def cell():
    return Cell()


def list_jobs(starts):
    return [start.task.workflow for start in starts]


def test_no_worker_is_overcommitted(cell):
    for _ in range(5):
        cell.submit([create_step(4, cpu=1500)])
    cell.plan_and_start()
    for worker in cell.workers.values():
        assert worker.allocated.fits_in(worker.spec.capacity)
    assert sum(len(worker.runs) for worker in cell.workers.values()) == 6


def test_queue_of_lower_priority_number_goes_first():
    queues = [create_queue("q", priority=2), create_queue("fast", priority=0)]
    cell = Cell(workers=1, cpu=1000, queues=queues)
    cell.submit([create_step(1)])
    fast = cell.submit([create_step(1)], queue="fast")
    assert list_jobs(cell.plan_and_start()) == [fast]


def test_older_job_goes_first_within_a_queue():
    cell = Cell(workers=1, cpu=1000)
    first = cell.submit([create_step(1)])
    cell.submit([create_step(1)])
    assert list_jobs(cell.plan_and_start()) == [first]


def test_gang_that_does_not_fit_starts_nothing_and_reserves(cell):
    cell.submit([create_step(1, cpu=3000, estimate_ms=5000)])
    cell.plan_and_start()
    gang = cell.submit([create_step(3, cpu=3000, gang=True)])
    cell.submit([create_step(6, cpu=1000, estimate_ms=5000)])
    starts = cell.plan_and_start()
    assert gang not in list_jobs(starts)
    assert starts == ()


def test_short_tasks_use_what_a_gang_has_reserved(cell):
    cell.submit([create_step(1, cpu=3000, estimate_ms=5000)])
    cell.plan_and_start()
    cell.submit([create_step(3, cpu=3000, gang=True)])
    short = cell.submit([create_step(2, cpu=1000, estimate_ms=600)])
    assert list_jobs(cell.plan_and_start()) == [short, short]


def test_gang_starts_whole_with_one_run_number(cell):
    cell.submit([create_step(5, cpu=2000, gang=True)])
    starts = cell.plan_and_start()
    assert len(starts) == 5
    assert {start.run for start in starts} == {1}


def test_gang_of_one_rack_stands_in_one_rack():
    cell = Cell(workers=0)
    for number in range(4):
        labels = ("a", f"r-{number % 2}")
        cell.add_worker(create_worker(f"w{number}", labels=labels))
    cell.submit([create_step(6, cpu=1000, gang=True, same_rack=True)])
    workers = {start.worker for start in cell.plan_and_start()}
    assert workers in ({"w0", "w2"}, {"w1", "w3"})


def test_task_goes_to_its_data():
    cell = Cell(workers=0)
    for number in range(3):
        cell.add_worker(create_worker(f"w{number}", labels=("a", f"r-{number}")))
    cell.submit([create_step(1, data_rack="r-2")])
    assert [start.worker for start in cell.plan_and_start()] == ["w2"]


def test_required_label_is_kept():
    cell = Cell(workers=2)
    cell.add_worker(create_worker("w9", labels=("b",)))
    cell.submit([create_step(2, required_label="b")])
    assert {start.worker for start in cell.plan_and_start()} == {"w9"}


def test_bound_for_one_worker_counts_what_runs_there(cell):
    cell.submit([create_step(7, cpu=100, max_per_worker=2)])
    starts = cell.plan_and_start()
    assert sorted(start.worker for start in starts) == [
        "w1",
        "w1",
        "w2",
        "w2",
        "w3",
        "w3",
    ]
    assert cell.plan_and_start() == ()


def test_step_waits_for_what_it_depends_on(cell):
    cell.submit([create_step(1), create_step(1, depends_on=(0,))])
    assert [start.task.step for start in cell.plan_and_start()] == [0]
    assert cell.plan_and_start() == ()


@pytest.mark.parametrize(
    "change",
    [
        {"has_responded": False},
        {"last_response_at": NOW - 3.0},
        {"suspect_until": NOW + 1.0},
        {"has_left": True},
    ],
)
def test_worker_that_is_not_sound_gets_nothing(change):
    cell = Cell(workers=1)
    for name, value in change.items():
        setattr(cell.workers["w1"], name, value)
    cell.submit([create_step(1)])
    assert cell.plan() == []


def test_repetition_starts_at_its_time(cell):
    due_ms = int(NOW * 1000) + 500
    cell.submit([create_step(1)], repeats=2, first_at_ms=due_ms, interval_ms=1000)
    assert cell.plan(NOW + 0.4) == []
    planned = cell.plan(NOW + 0.6)
    assert [item.start.task.repetition for item in planned] == [0]


# Advice.


@pytest.fixture
def advised_cell():
    return Cell(queues=[create_queue(advisor=ADVISOR)])


def give_advice(cell, job, tickets, now=NOW):
    """Let the advisor have said this of all workers."""
    entry = cell.advice.get_step_advice((job, 0, 0))
    entry.evaluated = {worker.spec.key for worker in cell.workers.values()}
    entry.tickets = {
        cell.workers[name].spec.key: (text, now + 1.0) for name, text in tickets.items()
    }


def test_nothing_starts_before_advice(advised_cell):
    job = advised_cell.submit([create_step(1)])
    assert advised_cell.plan() == []
    assert advised_cell.advice.get_step_advice((job, 0, 0)).is_requested


def test_only_allowed_workers_are_used_with_their_tickets(advised_cell):
    job = advised_cell.submit([create_step(8, cpu=1000)])
    give_advice(advised_cell, job, {"w2": "t2"})
    planned = advised_cell.plan()
    assert {(item.start.worker, item.ticket) for item in planned} == {("w2", "t2")}
    assert len(planned) == 4


def test_expired_tickets_start_nothing_and_are_asked_for_again(advised_cell):
    job = advised_cell.submit([create_step(2)])
    give_advice(advised_cell, job, {"w1": "t1"})
    assert advised_cell.plan(NOW + 1.5) == []
    assert advised_cell.advice.get_step_advice((job, 0, 0)).is_requested


def test_room_is_kept_for_a_gang_whose_tickets_are_on_their_way(advised_cell):
    gang = advised_cell.submit([create_step(3, cpu=4000, gang=True)])
    other = advised_cell.submit([create_step(3, cpu=1000)])
    everywhere = {"w1": "a", "w2": "b", "w3": "c"}
    give_advice(advised_cell, gang, everywhere, now=NOW - 5.0)
    give_advice(advised_cell, other, everywhere)
    assert advised_cell.plan() == []


# Workers that fail what they start.


def fail(cell, start, time=NOW):
    end = wc.RunEnd(start.task, start.run, wc.RunOutcome.FAILED)
    cell.store.apply(wc.RecordEnds(time=time, ends=(end,)))
    worker = cell.workers[start.worker]
    worker.drop_run((start.task, start.run))
    worker.record_outcome(start.task.workflow, wc.RunOutcome.FAILED, time)


def test_task_that_failed_goes_to_another_worker(cell):
    cell.submit([create_step(1)])
    (first,) = cell.plan_and_start()
    fail(cell, first)
    (second,) = cell.plan_and_start()
    assert second.worker != first.worker


def test_task_that_failed_goes_back_if_there_is_no_other():
    cell = Cell(workers=1)
    cell.submit([create_step(1)])
    (first,) = cell.plan_and_start()
    fail(cell, first)
    assert [start.worker for start in cell.plan_and_start()] == ["w1"]


def test_gang_whose_member_failed_goes_to_other_workers(cell):
    cell.submit([create_step(2, gang=True)])
    first, second = cell.plan_and_start()
    assert first.worker == second.worker
    fail(cell, first)
    end = wc.RunEnd(second.task, second.run, wc.RunOutcome.BROKEN)
    cell.store.apply(wc.RecordEnds(ends=(end,)))
    cell.workers[second.worker].drop_run((second.task, second.run))
    assert first.worker not in {start.worker for start in cell.plan_and_start()}


def test_gang_whose_member_failed_goes_back_if_there_is_no_other():
    cell = Cell(workers=1)
    cell.submit([create_step(1, gang=True)])
    (first,) = cell.plan_and_start()
    fail(cell, first)
    assert [start.worker for start in cell.plan_and_start()] == ["w1"]


def test_worker_that_fails_several_workflows_is_set_aside_and_tried_again():
    cell = Cell(workers=1)
    for _ in range(3):
        cell.submit([create_step(1)])
    for start in cell.plan_and_start():
        fail(cell, start)
    assert cell.plan(NOW + 0.5) == []
    cell.workers["w1"].last_response_at = NOW + 1.1
    assert len(cell.plan(NOW + 1.1)) == 3
    cell.workers["w1"].add_run(("probe", 1), create_step().need, None, NOW)
    assert cell.plan(NOW + 1.1) == []


def test_workflow_that_fails_by_its_own_fault_sets_no_worker_aside():
    cell = Cell(workers=1)
    cell.submit([create_step(3)])
    for start in cell.plan_and_start():
        fail(cell, start)
    assert len(cell.plan(NOW)) == 3


def test_runs_that_fail_while_a_worker_is_set_aside_do_not_lengthen_the_pause():
    cell = Cell(workers=1)
    for _ in range(4):
        cell.submit([create_step(1)])
    for start in cell.plan_and_start():
        fail(cell, start)
    assert cell.workers["w1"].quarantines == 1
