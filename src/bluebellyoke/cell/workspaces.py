"""Workspaces: declared share, quota and what their tasks take now.

Rules:
    * What a workspace takes is the sum of the needs of its placed tasks.
    * A workspace never takes more than its quota.
"""

from dataclasses import dataclass

from bluebellyoke.cell.commands import WorkspaceSpec
from bluebellyoke.cell.resources import Resources

__all__ = ["Workspace"]


@dataclass(slots=True, eq=False)
class Workspace:
    """One workspace and its running totals."""

    spec: WorkspaceSpec
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    unfinished_jobs: int = 0

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

    def allows(self, need: Resources) -> bool:
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
