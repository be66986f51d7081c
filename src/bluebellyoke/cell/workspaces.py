"""Workspaces: declared share, quota and current resource usage.

Rules:
    * The ratio of used to declared memory is averaged over the jobs of a workspace
      and raises the need of its later jobs.
    * The usage of a workspace is the sum of the needs of its placed tasks.
    * A placement never makes the usage of a workspace exceed its quota.
"""

from dataclasses import dataclass

from bluebellyoke.cell.commands import WorkspaceSpec
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import is_within_quota

__all__ = ["Workspace"]

#: Weight of the newest sample in the moving average of the memory ratio, and the
#: maximum of a sample.
MEMORY_RATIO_EWMA_WEIGHT = 0.1
MAX_MEMORY_RATIO = 10.0

#: Ratio of adjusted to declared memory up to which the declared need is kept.
ADJUSTMENT_THRESHOLD = 1.1


@dataclass(slots=True, eq=False)
class Workspace:
    """A workspace and the totals of its placed tasks.

    Attributes:
        cpu_millis: CPU time of the placed tasks, in thousandths of a core.
        memory_mb: Memory of the placed tasks, in MiB.
        accelerators: Accelerators of the placed tasks.
        unfinished_jobs: Number of unfinished jobs.
        memory_ratio: Moving average of used over declared memory, at least 1.
    """

    spec: WorkspaceSpec
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    unfinished_jobs: int = 0
    memory_ratio: float = 1.0

    @property
    def used(self) -> Resources:
        """Resources that the placed tasks occupy."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)

    def allocate(self, need: Resources) -> None:
        """Add the resources of a placed task."""
        self.cpu_millis += need.cpu_millis
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators

    def release(self, need: Resources) -> None:
        """Subtract the resources of a task that is no longer placed."""
        self.cpu_millis -= need.cpu_millis
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def update_memory_ratio(self, declared_mb: int, used_mb: int) -> None:
        """Update the memory ratio by the peak memory of a task."""
        if declared_mb <= 0 or used_mb <= 0:
            return
        ratio = min(max(used_mb / declared_mb, 1.0), MAX_MEMORY_RATIO)
        self.memory_ratio += MEMORY_RATIO_EWMA_WEIGHT * (ratio - self.memory_ratio)

    def adjust_need(self, need: Resources, largest_mb: int) -> Resources:
        """Return a declared need adjusted by the memory ratio.

        The adjusted memory does not exceed `largest_mb`, the memory of the largest
        worker.
        """
        adjusted_mb = min(int(need.memory_mb * self.memory_ratio), largest_mb)
        if adjusted_mb <= need.memory_mb * ADJUSTMENT_THRESHOLD:
            return need
        return Resources(need.cpu_millis, adjusted_mb, need.accelerators)

    def has_quota_for(self, need: Resources) -> bool:
        """Return whether the remaining quota covers `need`."""
        return is_within_quota(self.used, self.spec.quota, need)
