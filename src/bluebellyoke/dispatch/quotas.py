"""What the workspaces may still start in a round of planning."""

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import count_within_quota
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.workflow.quotas import has_quota_for
from bluebellyoke.workflow.specs import WorkspaceSpec
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["RoundQuotas"]

#: Quota that limits nothing.
UNLIMITED = Resources()


class RoundQuotas:
    """Quotas and usage of the workspaces, with what the round has planned.

    A step without a workspace is not limited, nor is one whose workspace is no longer
    in the configuration. Only the workspaces of the steps that are planned are read, so
    idle ones cost nothing.

    Args:
        store: Replicated state.
    """

    def __init__(self, store: WorkflowStore) -> None:
        self._store = store
        self._used: dict[str, Resources] = {}

    @property
    def store(self) -> WorkflowStore:
        """Replicated state that the round is planned from."""
        return self._store

    def allows(self, step: WaitingStep) -> bool:
        """Return whether one task of a step may start, or all of a gang."""
        workspace = self._find_limits(step)
        if workspace is None:
            return True
        return has_quota_for(workspace, self.get_used(workspace.name), step.spec)

    def count_startable(self, step: WaitingStep) -> int:
        """Return how many of a step's waiting tasks may start."""
        count = len(step.indexes)
        workspace = self._find_limits(step)
        if workspace is None:
            return count
        used = self.get_used(workspace.name)
        return count_within_quota(used, workspace.quota, step.spec.need, count)

    def take(self, step: WaitingStep) -> None:
        """Take up the resources of one planned task."""
        workspace = self._find_limits(step)
        if workspace is not None:
            name = workspace.name
            self._used[name] = self.get_used(name) + step.spec.need

    def get_used(self, workspace: str) -> Resources:
        """Return what the runs of a workspace take up, with the planned ones."""
        used = self._used.get(workspace)
        return used if used is not None else self._store.usage.get_used(workspace)

    def _find_limits(self, step: WaitingStep) -> WorkspaceSpec | None:
        """Return the workspace whose quota limits a step, or None."""
        name = step.workflow.spec.workspace
        if not name or step.spec.backfill:
            return None
        workspace = self._store.find_workspace(name)
        if workspace is None or workspace.quota == UNLIMITED:
            return None
        return workspace
