"""Validation of workflows before they are accepted."""

from bluebellyoke.workflow.bounds import MAX_DURATION_MS
from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec

__all__ = ["validate_workflow"]

#: Maximum length of a payload, in bytes of UTF-8.
MAX_PAYLOAD_BYTES = 4000

#: Maximum number of tasks of a step, and of steps of a workflow.
MAX_STEP_TASKS = 20_000
MAX_WORKFLOW_STEPS = 1_000

#: Maximum number of repetitions of a workflow, and of tasks in all of them. They may
#: all be due at once, and the leader creates those that are due in one round.
MAX_REPETITIONS = 10_000
MAX_REPEATED_TASKS = 100_000


def validate_workflow(spec: WorkflowSpec) -> list[str]:
    """Return the errors of a workflow that are independent of the state of the cell."""
    errors = []
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        errors.append(
            f"the payload has more than {MAX_PAYLOAD_BYTES} bytes; shorten it"
        )
    if not 1 <= len(spec.steps) <= MAX_WORKFLOW_STEPS:
        errors.append(f"send between 1 and {MAX_WORKFLOW_STEPS} steps")
    if spec.repeats < 0 or spec.interval_ms < 0:
        errors.append("repetitions and their interval must not be negative")
    if spec.repeats > MAX_REPETITIONS:
        errors.append(f"ask for at most {MAX_REPETITIONS} repetitions")
    elif spec.repeats * spec.count_tasks() > MAX_REPEATED_TASKS:
        errors.append(
            f"ask for at most {MAX_REPEATED_TASKS} tasks in all repetitions together"
        )
    for number, step in enumerate(spec.steps):
        errors += [f"step {number}: {error}" for error in _validate_step(step, number)]
    return errors


def _validate_step(step: StepSpec, number: int) -> list[str]:
    errors = []
    if not 1 <= step.count <= MAX_STEP_TASKS:
        errors.append(f"ask for between 1 and {MAX_STEP_TASKS} tasks")
    need = step.need
    if min(need.cpu_millis, need.memory_mb, need.accelerators) < 0:
        errors.append("the resources must not be negative")
    if any(not 0 <= other < number for other in step.depends_on):
        errors.append("it may depend on earlier steps only")
    if not all(
        0 <= duration_ms <= MAX_DURATION_MS
        for duration_ms in (step.estimate_ms, step.tail_target_ms)
    ):
        errors.append(
            f"its estimate and its target must be from 0 to {MAX_DURATION_MS} ms"
        )
    if step.max_per_worker < 0:
        errors.append("the bound for one worker must not be negative")
    return errors
