"""Tests of the planner under different loads."""

import pytest

from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.reservations import MAX_RESERVING_GANGS
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
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
    """A store with workers that accept tasks, and a planner."""

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
        self.store.apply(workflow_commands.EnrolWorker(spec=spec))
        self.workers[spec.id] = TrackedWorker(
            spec, NOW, last_response_at=NOW, has_responded=True
        )

    def submit(self, steps, queue="q", **fields):
        self.count += 1
        spec = create_spec(f"{self.count:016x}", steps, queue, **fields)
        self.store.apply(
            workflow_commands.SubmitWorkflow(time=NOW + self.count, spec=spec)
        )
        return spec.id

    def plan(self, now=NOW):
        return self.planner.plan(self.store, self.workers, now, now)

    def plan_and_start(self, now=NOW):
        planned = self.plan(now)
        starts = tuple(item.start for item in planned)
        result = self.store.apply(workflow_commands.AssignRuns(starts=starts))
        assert set(result.detail["done"]) <= {"1"}
        for start in starts:
            step = self.store.workflows[start.task.workflow].spec.steps[start.task.step]
            worker = self.workers[start.worker]
            worker.add_run((start.task, start.run), step.allocation, None, NOW)
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


def test_queue_with_lower_priority_number_is_planned_first():
    queues = [create_queue("q", priority=2), create_queue("fast", priority=0)]
    cell = Cell(workers=1, cpu=1000, queues=queues)
    cell.submit([create_step(1)])
    fast = cell.submit([create_step(1)], queue="fast")
    assert list_jobs(cell.plan_and_start()) == [fast]


def test_older_job_is_planned_first_within_a_queue():
    cell = Cell(workers=1, cpu=1000)
    first = cell.submit([create_step(1)])
    cell.submit([create_step(1)])
    assert list_jobs(cell.plan_and_start()) == [first]


def test_gang_that_does_not_fit_reserves_workers(cell):
    cell.submit([create_step(1, cpu=3000, estimate_ms=5000)])
    cell.plan_and_start()
    gang = cell.submit([create_step(3, cpu=3000, gang=True)])
    cell.submit([create_step(6, cpu=1000, estimate_ms=5000)])
    starts = cell.plan_and_start()
    assert gang not in list_jobs(starts)
    assert starts == ()


# Guards against an idle cell on which other jobs stand still: a gang that can never be
# placed kept all its workers reserved in every round.
@pytest.mark.parametrize(
    ("count", "cpu"), [(3, 5000), (4, 4000)], ids=["large-tasks", "many-tasks"]
)
def test_gang_that_can_never_fit_reserves_no_workers(cell, count, cpu):
    """Its tasks are larger than any worker, or too many for all workers together."""
    cell.submit([create_step(count, cpu=cpu, gang=True, estimate_ms=5000)])
    job = cell.submit([create_step(1, estimate_ms=5000)])
    assert list_jobs(cell.plan_and_start()) == [job]


# Guards against a gang that waits for ever: gangs that can never be placed used up the
# number of gangs that may reserve workers at the same time.
def test_gangs_that_can_never_fit_do_not_keep_another_from_reserving(cell):
    cell.submit([create_step(1, cpu=3000, estimate_ms=5000)])
    cell.plan_and_start()
    cell.add_worker(create_worker("labelled", cpu=500, labels=("a",)))
    for _ in range(MAX_RESERVING_GANGS):
        cell.submit([create_step(3, cpu=5000, gang=True, required_label="a")])
    cell.submit([create_step(3, cpu=3000, gang=True)])
    cell.submit([create_step(6, cpu=1000, estimate_ms=5000)])
    assert cell.plan_and_start() == ()


# Guards against idle workers that stay reserved although the gang cannot use them.
def test_gang_reserves_only_workers_on_which_its_tasks_fit():
    cell = Cell(workers=2)
    cell.submit([create_step(2, cpu=1000, max_per_worker=1, estimate_ms=5000)])
    cell.plan_and_start()
    cell.add_worker(create_worker("small", cpu=3500))
    cell.submit([create_step(2, cpu=4000, gang=True)])
    job = cell.submit([create_step(1, cpu=500, estimate_ms=5000)])
    assert [(x.task.workflow, x.worker) for x in cell.plan_and_start()] == [
        (job, "small")
    ]


def test_short_tasks_use_workers_reserved_by_a_gang(cell):
    cell.submit([create_step(1, cpu=3000, estimate_ms=5000)])
    cell.plan_and_start()
    cell.submit([create_step(3, cpu=3000, gang=True)])
    short = cell.submit([create_step(2, cpu=1000, estimate_ms=600)])
    assert list_jobs(cell.plan_and_start()) == [short, short]


def test_gang_starts_as_a_whole_with_one_run_number(cell):
    cell.submit([create_step(5, cpu=2000, gang=True)])
    starts = cell.plan_and_start()
    assert len(starts) == 5
    assert {start.run for start in starts} == {1}


def test_same_rack_gang_is_placed_in_one_rack():
    cell = Cell(workers=0)
    for number in range(4):
        labels = ("a", f"r-{number % 2}")
        cell.add_worker(create_worker(f"w{number}", labels=labels))
    cell.submit([create_step(6, cpu=1000, gang=True, same_rack=True)])
    workers = {start.worker for start in cell.plan_and_start()}
    assert workers in ({"w0", "w2"}, {"w1", "w3"})


def test_task_is_placed_in_the_rack_of_its_data():
    cell = Cell(workers=0)
    for number in range(3):
        cell.add_worker(create_worker(f"w{number}", labels=("a", f"r-{number}")))
    cell.submit([create_step(1, data_rack="r-2")])
    assert [start.worker for start in cell.plan_and_start()] == ["w2"]


def test_required_label_restricts_the_workers():
    cell = Cell(workers=2)
    cell.add_worker(create_worker("w9", labels=("b",)))
    cell.submit([create_step(2, required_label="b")])
    assert {start.worker for start in cell.plan_and_start()} == {"w9"}


def test_limit_per_worker_counts_runs_of_earlier_rounds(cell):
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


def test_step_waits_for_the_steps_it_depends_on(cell):
    cell.submit([create_step(1), create_step(1, depends_on=(0,))])
    assert [start.task.step for start in cell.plan_and_start()] == [0]
    assert cell.plan_and_start() == ()


@pytest.mark.parametrize(
    "change",
    [
        {"has_responded": False},
        {"last_response_at": NOW - 3.0},
        {"suspect_until": NOW + 1.0},
        {"is_leaving": True},
    ],
)
def test_unusable_worker_gets_no_task(change):
    cell = Cell(workers=1)
    for name, value in change.items():
        setattr(cell.workers["w1"], name, value)
    cell.submit([create_step(1)])
    assert cell.plan() == []


def test_repetition_starts_when_it_is_due(cell):
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
    """Store the tickets as the advisor's advice on all workers."""
    entry = cell.advice.get_step_advice((job, 0, 0))
    entry.evaluated = {worker.spec.key for worker in cell.workers.values()}
    entry.tickets = {
        cell.workers[name].spec.key: (text, now + 1.0) for name, text in tickets.items()
    }


def test_no_task_starts_before_advice_has_arrived(advised_cell):
    job = advised_cell.submit([create_step(1)])
    assert advised_cell.plan() == []
    advice = advised_cell.advice.get_step_advice((job, 0, 0))
    assert advice.pending == {w.spec.key for w in advised_cell.workers.values()}


def test_only_allowed_workers_are_used_with_their_tickets(advised_cell):
    job = advised_cell.submit([create_step(8, cpu=1000)])
    give_advice(advised_cell, job, {"w2": "t2"})
    planned = advised_cell.plan()
    assert {(item.start.worker, item.ticket) for item in planned} == {("w2", "t2")}
    assert len(planned) == 4


def test_expired_tickets_are_requested_again_before_a_start(advised_cell):
    job = advised_cell.submit([create_step(2)])
    give_advice(advised_cell, job, {"w1": "t1"})
    assert advised_cell.plan(NOW + 1.5) == []
    assert advised_cell.advice.get_step_advice((job, 0, 0)).pending == {("w1", 1)}


# Guards against SHORT on the grown sites: each step asked about all of a large pool,
# also once it was placed, until steps behind it got no advice for seconds.
def test_placed_step_asks_about_no_further_workers(advised_cell):
    job = advised_cell.submit([create_step(1)])
    give_advice(advised_cell, job, {"w1": "t1"})
    advice = advised_cell.advice.get_step_advice((job, 0, 0))
    advice.evaluated.remove(("w3", 1))
    assert len(advised_cell.plan()) == 1
    assert advice.pending == set()


def test_step_without_room_asks_about_further_workers(advised_cell):
    job = advised_cell.submit([create_step(9, cpu=1000)])
    give_advice(advised_cell, job, {"w1": "t1"})
    advice = advised_cell.advice.get_step_advice((job, 0, 0))
    advice.evaluated.remove(("w3", 1))
    assert len(advised_cell.plan()) == 4
    assert advice.pending == {("w3", 1)}


# Guards against LOST: the planner came back to the tightest worker, for which the step
# lacked a valid ticket, while others with a valid one were idle.
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
def test_workers_with_valid_tickets_are_used_first(advised_cell, gang):
    job = advised_cell.submit([create_step(2, gang=gang)])
    give_advice(advised_cell, job, {"w1": "t1", "w2": "t2", "w3": "t3"})
    advice = advised_cell.advice.get_step_advice((job, 0, 0))
    advice.expire_ticket(("w1", 1))
    assert {x.start.worker for x in advised_cell.plan()} == {"w2"}


def test_task_waits_for_the_ticket_of_a_worker_near_its_data():
    cell = Cell(workers=0, queues=[create_queue(advisor=ADVISOR)])
    for number in range(2):
        cell.add_worker(create_worker(f"w{number}", labels=("a", f"r-{number}")))
    job = cell.submit([create_step(1, data_rack="r-1")])
    give_advice(cell, job, {"w0": "t0", "w1": "t1"})
    cell.advice.get_step_advice((job, 0, 0)).expire_ticket(("w1", 1))
    assert cell.plan() == []


def test_resources_are_kept_for_a_gang_that_waits_for_tickets(advised_cell):
    gang = advised_cell.submit([create_step(3, cpu=4000, gang=True)])
    other = advised_cell.submit([create_step(3, cpu=1000)])
    everywhere = {"w1": "a", "w2": "b", "w3": "c"}
    give_advice(advised_cell, gang, everywhere, now=NOW - 5.0)
    give_advice(advised_cell, other, everywhere)
    assert advised_cell.plan() == []


# Failures.


def fail_run(cell, start, time=NOW):
    end = workflow_commands.RunEnd(
        start.task, start.run, workflow_commands.RunOutcome.FAILED
    )
    cell.store.apply(workflow_commands.RecordEnds(time=time, ends=(end,)))
    worker = cell.workers[start.worker]
    worker.drop_run((start.task, start.run))
    worker.record_outcome(
        start.task.workflow, workflow_commands.RunOutcome.FAILED, time
    )


def test_failed_task_runs_on_another_worker(cell):
    cell.submit([create_step(1)])
    (first,) = cell.plan_and_start()
    fail_run(cell, first)
    (second,) = cell.plan_and_start()
    assert second.worker != first.worker


def test_failed_task_runs_on_the_same_worker_if_there_is_no_other():
    cell = Cell(workers=1)
    cell.submit([create_step(1)])
    (first,) = cell.plan_and_start()
    fail_run(cell, first)
    assert [start.worker for start in cell.plan_and_start()] == ["w1"]


def test_gang_with_a_failed_task_runs_on_other_workers(cell):
    cell.submit([create_step(2, gang=True)])
    first, second = cell.plan_and_start()
    assert first.worker == second.worker
    fail_run(cell, first)
    end = workflow_commands.RunEnd(
        second.task, second.run, workflow_commands.RunOutcome.GANG_BROKEN
    )
    cell.store.apply(workflow_commands.RecordEnds(ends=(end,)))
    cell.workers[second.worker].drop_run((second.task, second.run))
    assert first.worker not in {start.worker for start in cell.plan_and_start()}


def test_gang_with_a_failed_task_runs_on_the_same_worker_if_there_is_no_other():
    cell = Cell(workers=1)
    cell.submit([create_step(1, gang=True)])
    (first,) = cell.plan_and_start()
    fail_run(cell, first)
    assert [start.worker for start in cell.plan_and_start()] == ["w1"]


def test_worker_that_fails_several_workflows_is_quarantined_and_retried():
    cell = Cell(workers=1)
    for _ in range(3):
        cell.submit([create_step(1)])
    for start in cell.plan_and_start():
        fail_run(cell, start)
    assert cell.plan(NOW + 0.5) == []
    cell.workers["w1"].last_response_at = NOW + 1.1
    assert len(cell.plan(NOW + 1.1)) == 3
    cell.workers["w1"].add_run(("probe", 1), create_step().need, None, NOW)
    assert cell.plan(NOW + 1.1) == []


def test_failures_of_one_workflow_quarantine_no_worker():
    cell = Cell(workers=1)
    cell.submit([create_step(3)])
    for start in cell.plan_and_start():
        fail_run(cell, start)
    assert len(cell.plan(NOW)) == 3


def test_failures_during_a_quarantine_do_not_extend_it():
    cell = Cell(workers=1)
    for _ in range(4):
        cell.submit([create_step(1)])
    for start in cell.plan_and_start():
        fail_run(cell, start)
    assert cell.workers["w1"].quarantines == 1
