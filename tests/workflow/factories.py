"""Factories of specifications and stores for tests of workflows."""

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import (
    NO_ADDRESS,
    AdvisorSpec,
    Configuration,
    PoolSpec,
    QueueSpec,
    StepSpec,
    WorkerSpec,
    WorkflowSpec,
)
from bluebellyoke.workflow.store import WorkflowStore

ADVISOR = AdvisorSpec(decision_ms=10.0, per_worker_ms=1.0, validity_ms=1500.0)


def create_queue(name="q", **fields):
    base = {
        "host": "h.example",
        "prefix": f"/{name}/",
        "pool": "p",
        "timeout_ms": 3000,
        "attempts": 3,
    }
    return QueueSpec(name=name, **{**base, **fields})


def create_configuration(version=1, queues=None, **fields):
    return Configuration(
        version=version,
        queues=tuple(queues or (create_queue(),)),
        pools=(PoolSpec(name="p"),),
        document=b"document %d" % version,
        **fields,
    )


def create_step(count=1, cpu=1000, memory=100, accelerators=0, **fields):
    need = Resources(cpu, memory, accelerators)
    return StepSpec(count=count, need=need, **fields)


def create_spec(workflow_id="0000000000000001", steps=None, queue="q", **fields):
    """Return a specification for the queue that `create_queue` gives that name."""
    address = create_queue(queue).address if queue else NO_ADDRESS
    return WorkflowSpec(
        id=workflow_id,
        queue=queue,
        payload="payload",
        steps=tuple(steps or (create_step(),)),
        **{"address": address, **fields},
    )


def create_worker(worker_id="w1", incarnation=1, cpu=4000, **fields):
    base = {
        "pool": "p",
        "address": f"10.0.0.{len(worker_id)}:{80 + sum(worker_id.encode())}",
        "data_centre": "d",
        "capacity": Resources(cpu, 4000, 0),
    }
    return WorkerSpec(id=worker_id, incarnation=incarnation, **{**base, **fields})


def create_store(workers=2, configuration=None):
    store = WorkflowStore()
    configuration = configuration or create_configuration()
    store.apply(workflow_commands.ApplyConfiguration(configuration=configuration))
    for number in range(workers):
        store.apply(workflow_commands.EnrolWorker(spec=create_worker(f"w{number + 1}")))
    return store


def name_task(step=0, index=0, workflow="0000000000000001", repetition=0):
    return workflow_commands.TaskName(workflow, repetition, step, index)


def start(store, *, step=0, index=0, run=1, worker="w1", incarnation=1):
    """Assign one run and return whether the store accepted it."""
    item = workflow_commands.RunStart(name_task(step, index), run, worker, incarnation)
    result = store.apply(workflow_commands.AssignRuns(starts=(item,)))
    return result.detail["done"] == "1"


def end(store, outcome, *, step=0, index=0, run=1, checkpoint="", time=1.0):
    """Record the end of one run."""
    item = workflow_commands.RunEnd(name_task(step, index), run, outcome, checkpoint)
    store.apply(workflow_commands.RecordEnds(time=time, ends=(item,)))
