"""Tests of the memory of a workflow store with ten times the jobs of a busy day."""

import gc
import tracemalloc

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec
from tests.workflow.factories import create_store

#: Ten times the jobs of a busy day on the deployments that users have described.
JOBS = 15_000

#: Jobs that are measured; the memory is extrapolated, since it is proportional to them.
SAMPLE = 3_000

#: Mean number of tasks of a job on these deployments.
TASKS = 4

#: Half of the memory of an instance on the smallest machine of these deployments.
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
    workflow_id = f"{number:016x}"
    store.apply(
        workflow_commands.SubmitWorkflow(
            time=float(number), spec=create_workflow(number)
        )
    )
    names = [
        workflow_commands.TaskName(workflow_id, 0, 0, index) for index in range(TASKS)
    ]
    starts = tuple(workflow_commands.RunStart(name, 1, "w1", 1) for name in names)
    store.apply(workflow_commands.AssignRuns(starts=starts))
    ends = tuple(
        workflow_commands.RunEnd(name, 1, workflow_commands.RunOutcome.DONE)
        for name in names
    )
    store.apply(workflow_commands.RecordEnds(time=float(number), ends=ends))


def measure(fill):
    """Return a filled store and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    try:
        store = create_store(1)
        fill(store)
        gc.collect()
        return store, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def test_records_of_ten_busy_days_stay_within_the_limit():
    def fill(store):
        for number in range(SAMPLE):
            run_workflow(store, number)

    store, used_bytes = measure(fill)
    assert len(store.workflows) == SAMPLE
    assert not store.active
    assert not store.open_tasks
    assert used_bytes * JOBS / SAMPLE < LIMIT_BYTES
    store.apply(workflow_commands.ForgetWorkflows(workflows=tuple(store.workflows)))
    assert not store.workflows


def test_waiting_jobs_of_ten_busy_days_stay_within_the_limit():
    def fill(store):
        for number in range(SAMPLE):
            command = workflow_commands.SubmitWorkflow(
                time=1.0, spec=create_workflow(number)
            )
            store.apply(command)

    store, used_bytes = measure(fill)
    assert len(store.active) == SAMPLE
    assert used_bytes * JOBS / SAMPLE < LIMIT_BYTES
