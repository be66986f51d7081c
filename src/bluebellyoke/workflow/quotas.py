"""Limits that the quota of a workspace sets to the steps of its workflows."""

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import is_within_quota
from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec, WorkspaceSpec

__all__ = ["describe_excess", "has_quota_for"]


def has_quota_for(
    workspace: WorkspaceSpec, used: Resources, step: StepSpec, count: int = 1
) -> bool:
    """Return whether a gang, or some other tasks, fit into what a quota leaves."""
    return is_within_quota(
        used, workspace.quota, step.allocation, step.count if step.gang else count
    )


def describe_excess(workspace: WorkspaceSpec, spec: WorkflowSpec) -> str:
    """Return why a workflow can never run within a quota, or an empty text."""
    for number in range(len(spec.steps)):
        excess = _describe_step_excess(workspace, spec, number)
        if excess:
            return excess
    return ""


def _describe_step_excess(
    workspace: WorkspaceSpec, spec: WorkflowSpec, number: int
) -> str:
    """Return why a step can never run within a quota, or an empty text.

    It cannot if its gang, or one task of another step, exceeds the quota alone.
    """
    step = spec.steps[number]
    if has_quota_for(workspace, Resources(), step):
        return ""
    what = f"the gang of step {number}" if step.gang else f"a task of step {number}"
    needed = step.allocation * (step.count if step.gang else 1)
    return (
        f"{what} needs {_format(needed)} at once, more than the quota of workspace "
        f"{workspace.name!r}: {_format(workspace.quota)}"
    )


def _format(amount: Resources) -> str:
    return (
        f"{amount.cpu_millis} mCPU, {amount.memory_mb} MiB, "
        f"{amount.accelerators} accelerators"
    )
