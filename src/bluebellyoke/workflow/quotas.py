"""Limits that the quota of a workspace sets to the steps of its workflows."""

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import is_within_quota
from bluebellyoke.workflow.specs import StepSpec, WorkflowSpec, WorkspaceSpec

__all__ = ["compute_start_need", "describe_excess", "fits_alone", "has_quota_for"]


def compute_start_need(step: StepSpec, count: int = 1) -> Resources:
    """Return what a start takes up: a whole gang, or some other tasks."""
    if step.backfill:
        return Resources()
    return step.need * (step.count if step.gang else count)


def has_quota_for(
    workspace: WorkspaceSpec, used: Resources, step: StepSpec, count: int = 1
) -> bool:
    """Return whether a gang, or some other tasks, fit into what a quota leaves."""
    if step.backfill:
        return True
    return is_within_quota(
        used, workspace.quota, step.need, step.count if step.gang else count
    )


def fits_alone(workspace: WorkspaceSpec, step: StepSpec) -> bool:
    """Return whether a gang, or one other task, fits into an unused quota."""
    return has_quota_for(workspace, Resources(), step)


def describe_excess(workspace: WorkspaceSpec, spec: WorkflowSpec) -> str:
    """Return why a workflow can never run within a quota, or an empty text."""
    for number, step in enumerate(spec.steps):
        if not fits_alone(workspace, step):
            what = f"the gang of step {number}" if step.gang else f"step {number}"
            need, quota = compute_start_need(step), workspace.quota
            return (
                f"{what} needs {_format(need)} at once, more than the quota of "
                f"workspace {workspace.name!r}: {_format(quota)}"
            )
    return ""


def _format(amount: Resources) -> str:
    return (
        f"{amount.cpu_millis} mCPU, {amount.memory_mb} MiB, "
        f"{amount.accelerators} accelerators"
    )
