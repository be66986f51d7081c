"""Groups of starts that take effect all together or not at all."""

from collections.abc import Mapping

from bluebellyoke.workflow.commands import RunStart, TaskName
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["find_start_group", "is_complete", "is_gang"]


def is_gang(workflows: Mapping[str, Workflow], task: TaskName) -> bool:
    """Return whether a task belongs to a gang of a known workflow."""
    workflow = workflows.get(task.workflow)
    return (
        workflow is not None
        and task.step < len(workflow.spec.steps)
        and workflow.spec.steps[task.step].gang
    )


def find_start_group(
    workflows: Mapping[str, Workflow], starts: tuple[RunStart, ...], position: int
) -> tuple[RunStart, ...]:
    """Return the starts of one gang, or a single start, from a position on."""
    first = starts[position]
    if not is_gang(workflows, first.task):
        return (first,)
    step = (first.task.workflow, first.task.repetition, first.task.step)
    end = position
    while end < len(starts):
        task = starts[end].task
        if (task.workflow, task.repetition, task.step) != step:
            break
        end += 1
    return starts[position:end]


def is_complete(workflows: Mapping[str, Workflow], group: tuple[RunStart, ...]) -> bool:
    """Return whether a group is a single start or a run of a whole gang."""
    first = group[0]
    if not is_gang(workflows, first.task):
        return True
    step = workflows[first.task.workflow].spec.steps[first.task.step]
    runs = {start.run for start in group}
    return len(group) == step.count and len(runs) == 1
