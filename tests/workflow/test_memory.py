"""Memory of the book under many times the jobs of a busy day."""

import gc
import tracemalloc

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec
from tests.workflow.factories import create_store

#: Jobs of a busy day on the deployments that the users have described, times ten.
JOBS = 15_000

#: Jobs that are measured; memory grows with their number.
SAMPLE = 3_000

#: Mean width of a job there.
TASKS = 4

#: Half of the memory that an instance has on the smallest of these machines.
LIMIT_BYTES = 100 * 1024 * 1024


def create_workflow(number):
    need = Resources(1000 + number % 7, 100, 0)
    return WorkflowSpec(
        id=f"{number:016x}",
        queue="q",
        payload=f"payload {number:0100d}",
        steps=(StepSpec(count=TASKS, need=need),),
    )


def run_workflow(store, number):
    identity = f"{number:016x}"
    store.apply(wc.SubmitWorkflow(time=float(number), spec=create_workflow(number)))
    names = [wc.TaskName(identity, 0, 0, index) for index in range(TASKS)]
    starts = tuple(wc.RunStart(name, 1, "w1", 1) for name in names)
    store.apply(wc.AssignRuns(starts=starts))
    ends = tuple(wc.RunEnd(name, 1, wc.RunOutcome.DONE) for name in names)
    store.apply(wc.RecordEnds(time=float(number), ends=ends))


def measure(fill):
    """Return the bytes that a book holds after it was filled."""
    gc.collect()
    tracemalloc.start()
    try:
        store = create_store(1)
        fill(store)
        gc.collect()
        return store, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def test_records_of_ten_busy_days_fit():
    def fill(store):
        for number in range(SAMPLE):
            run_workflow(store, number)

    store, held = measure(fill)
    assert len(store.workflows) == SAMPLE
    assert not store.active
    assert not store.open_tasks
    assert held * JOBS / SAMPLE < LIMIT_BYTES
    store.apply(wc.ForgetWorkflows(workflows=tuple(store.workflows)))
    assert not store.workflows


def test_waiting_jobs_of_ten_busy_days_fit():
    def fill(store):
        for number in range(SAMPLE):
            command = wc.SubmitWorkflow(time=1.0, spec=create_workflow(number))
            store.apply(command)

    store, held = measure(fill)
    assert len(store.active) == SAMPLE
    assert held * JOBS / SAMPLE < LIMIT_BYTES
