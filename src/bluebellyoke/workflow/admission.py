"""Rules that a workflow must meet before the cell takes it over."""

from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec

__all__ = ["find_workflow_faults"]

#: Longest payload, in bytes of UTF-8.
PAYLOAD_BYTES = 4000

#: Tasks of one step, and steps of one workflow, at most.
STEP_TASKS = 20_000
WORKFLOW_STEPS = 1_000


def find_workflow_faults(spec: WorkflowSpec) -> list[str]:
    """Return what is wrong with a workflow by itself."""
    faults = []
    if len(spec.payload.encode()) > PAYLOAD_BYTES:
        faults.append(f"the payload has more than {PAYLOAD_BYTES} bytes; shorten it")
    if not 1 <= len(spec.steps) <= WORKFLOW_STEPS:
        faults.append(f"send between 1 and {WORKFLOW_STEPS} steps")
    if spec.repeats < 0 or spec.interval_ms < 0:
        faults.append("repetitions and their interval must not be negative")
    for number, step in enumerate(spec.steps):
        faults += [f"step {number}: {fault}" for fault in _find_faults(step, number)]
    return faults


def _find_faults(step: StepSpec, number: int) -> list[str]:
    faults = []
    if not 1 <= step.count <= STEP_TASKS:
        faults.append(f"ask for between 1 and {STEP_TASKS} tasks")
    need = step.need
    if min(need.cpu_millis, need.memory_mb, need.accelerators) < 0:
        faults.append("the resources must not be negative")
    if any(not 0 <= other < number for other in step.depends_on):
        faults.append("it may depend on earlier steps only")
    if step.per_worker < 0:
        faults.append("the bound for one worker must not be negative")
    return faults
