"""What the workspaces may still start in a round of planning."""

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import count_within_quota, is_within_quota
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
        self._kept: dict[str, Resources] = {}

    @property
    def store(self) -> WorkflowStore:
        """Replicated state that the round is planned from."""
        return self._store

    def allows(self, step: WaitingStep, held: int = 0) -> bool:
        """Return whether one task of a step may start, or all of a gang.

        Args:
            held: Number of these tasks that have a place.
        """
        workspace = self._find_limits(step)
        if workspace is None:
            return True
        spec = step.spec
        count = (spec.count if spec.gang else 1) - held
        used, quota = self.get_used(workspace.name), self._find_quota(workspace, step)
        return is_within_quota(used, quota, spec.allocation, count)

    def count_startable(self, step: WaitingStep) -> int:
        """Return how many of a step's waiting tasks may start."""
        count = len(step.indexes)
        workspace = self._find_limits(step)
        if workspace is None:
            return count
        used, quota = self.get_used(workspace.name), self._find_quota(workspace, step)
        return count_within_quota(used, quota, step.spec.allocation, count)

    def keep(self, step: WaitingStep, *, is_overdue: bool = False) -> None:
        """Reserve quota for a gang that waits for it; steps behind it may not use it.

        The same holds for one task of another step that is overdue.

        Otherwise smaller tasks behind it would take up the quota that each ended run
        releases. They start nevertheless while less than half of the quota is in use,
        and short tasks may use all of it. Quota is reserved for the first step of a
        workspace only that fits beside its long-running tasks, which do not end.
        """
        workspace = self._find_limits(step)
        if workspace is None or not (step.spec.gang or is_overdue):
            return
        if workspace.name in self._kept:
            return
        lasting = self._store.usage.get_lasting(workspace.name)
        if has_quota_for(workspace, lasting, step.spec):
            count = step.spec.count if step.spec.gang else 1
            self._kept[workspace.name] = step.spec.allocation * count

    def _find_quota(self, workspace: WorkspaceSpec, step: WaitingStep) -> Resources:
        """Return the quota that a step may use."""
        kept = self._kept.get(workspace.name)
        if kept is None or step.is_short:
            return workspace.quota
        spec = step.spec
        needed = spec.allocation * (spec.count if spec.gang else 1)
        return _reduce(workspace.quota, kept, needed)

    def take(self, step: WaitingStep) -> None:
        """Take up the resources of one planned task."""
        workspace = self._find_limits(step)
        if workspace is not None:
            name = workspace.name
            self._used[name] = self.get_used(name) + step.spec.allocation

    def get_used(self, workspace: str) -> Resources:
        """Return what the runs of a workspace take up, with the planned ones."""
        used = self._used.get(workspace)
        return used if used is not None else self._store.usage.get_used(workspace)

    def _find_limits(self, step: WaitingStep) -> WorkspaceSpec | None:
        """Return the workspace whose quota limits a step, or None."""
        name = step.workflow.spec.workspace
        if not name:
            return None
        workspace = self._store.find_workspace(name)
        if workspace is None or workspace.quota == UNLIMITED:
            return None
        return workspace


def _reduce(quota: Resources, kept: Resources, needed: Resources) -> Resources:
    """Return a quota less the reserved amount, at least half of it and one more start.

    0 stays without a limit.
    """
    return Resources(
        _reduce_amount(quota.cpu_millis, kept.cpu_millis, needed.cpu_millis),
        _reduce_amount(quota.memory_mb, kept.memory_mb, needed.memory_mb),
        _reduce_amount(quota.accelerators, kept.accelerators, needed.accelerators),
    )


def _reduce_amount(bound: int, kept: int, needed: int) -> int:
    if not bound:
        return 0
    return min(max(bound - kept, (bound - 1) // 2 + needed, 1), bound)
