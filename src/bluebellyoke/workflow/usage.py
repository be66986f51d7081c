"""Resources that the placed runs of each workspace take up.

A run counts from its assignment until its end is recorded, so runs that are being
stopped or whose state is unknown count too.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["WorkspaceUsage"]


@dataclass(slots=True)
class _Total:
    """Totals of the placed runs of a workspace, and of its long-running ones."""

    runs: int = 0
    used: Resources = field(default_factory=Resources)
    used_for_long: Resources = field(default_factory=Resources)


class WorkspaceUsage:
    """Placed runs by workspace; the empty name holds the runs without a workspace.

    It follows from the replicated workflows and is no part of a snapshot.
    """

    def __init__(self, workflows: Iterable[Workflow] = ()) -> None:
        self._totals: dict[str, _Total] = {}
        for workflow in workflows:
            for name, _ in workflow.iter_placed_tasks():
                self.add(workflow.spec.workspace, workflow.spec.steps[name.step])

    def add(self, workspace: str, step: StepSpec) -> None:
        """Add a run of a step."""
        total = self._totals.get(workspace)
        if total is None:
            total = self._totals[workspace] = _Total()
        total.runs += 1
        total.used = total.used + step.allocation
        if step.long_running:
            total.used_for_long = total.used_for_long + step.allocation

    def release(self, workspace: str, step: StepSpec) -> None:
        """Subtract a run of a step that takes up nothing any longer."""
        total = self._totals[workspace]
        total.runs -= 1
        if not total.runs:
            del self._totals[workspace]
            return
        total.used = total.used - step.allocation
        if step.long_running:
            total.used_for_long = total.used_for_long - step.allocation

    def get_used(self, workspace: str) -> Resources:
        """Return the resources that the runs of a workspace take up."""
        total = self._totals.get(workspace)
        return total.used if total is not None else Resources()

    def get_used_for_long(self, workspace: str) -> Resources:
        """Return what the long-running tasks of a workspace take up."""
        total = self._totals.get(workspace)
        return total.used_for_long if total is not None else Resources()

    def count_runs(self, workspace: str) -> int:
        """Return the number of placed runs of a workspace."""
        total = self._totals.get(workspace)
        return total.runs if total is not None else 0

    def iter_used(self) -> Iterator[tuple[str, Resources]]:
        """Yield each workspace that has runs, with what they take up."""
        for name, total in self._totals.items():
            yield name, total.used
