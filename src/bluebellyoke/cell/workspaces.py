"""Workspaces: declared share, quota and what their tasks take now.

Rules:
    * What its jobs use above what they declare is learned over its jobs, and later
      jobs count with it.
    * What a workspace takes is the sum of the needs of its placed tasks.
    * A workspace never takes more than its quota.
"""

from dataclasses import dataclass

from bluebellyoke.cell.commands import WorkspaceSpec
from bluebellyoke.cell.resources import Resources

__all__ = ["Workspace"]

#: Weight of the newest job in the learned ratio, and its largest value.
RATIO_WEIGHT = 0.1
LARGEST_RATIO = 10.0

#: Ratio up to which a declared need is taken as it is.
CORRECTION_THRESHOLD = 1.1


@dataclass(slots=True, eq=False)
class Workspace:
    """One workspace and its running totals.

    Attributes:
        memory_ratio: Average of used over declared memory of its jobs, at least 1.
    """

    spec: WorkspaceSpec
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    unfinished_jobs: int = 0
    memory_ratio: float = 1.0

    @property
    def used(self) -> Resources:
        """Resources that the placed tasks take."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)

    def take(self, need: Resources) -> None:
        """Count a placed task."""
        self.cpu_millis += need.cpu_millis
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators

    def give_back(self, need: Resources) -> None:
        """Discount a task that left its worker."""
        self.cpu_millis -= need.cpu_millis
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def learn_memory(self, declared_mb: int, used_mb: int) -> None:
        """Take in the peak memory of one job's task."""
        if declared_mb <= 0 or used_mb <= 0:
            return
        ratio = min(max(used_mb / declared_mb, 1.0), LARGEST_RATIO)
        self.memory_ratio += RATIO_WEIGHT * (ratio - self.memory_ratio)

    def correct_need(self, need: Resources, largest_mb: int) -> Resources:
        """Return a declared need with the learned ratio, up to the largest worker."""
        corrected = min(int(need.memory_mb * self.memory_ratio), largest_mb)
        if corrected <= need.memory_mb * CORRECTION_THRESHOLD:
            return need
        return Resources(need.cpu_millis, corrected, need.accelerators)

    def has_quota_for(self, need: Resources) -> bool:
        """Return whether the quota leaves room for `need`."""
        quota = self.spec.quota
        return (
            (
                not quota.cpu_millis
                or self.cpu_millis + need.cpu_millis <= quota.cpu_millis
            )
            and (
                not quota.memory_mb
                or self.memory_mb + need.memory_mb <= quota.memory_mb
            )
            and (
                not quota.accelerators
                or self.accelerators + need.accelerators <= quota.accelerators
            )
        )
