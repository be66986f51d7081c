"""Additional costs by which the planner prefers some workers to others.

A cost orders the workers that a task fits on. It never keeps a task from starting.
"""

import abc
from collections.abc import Sequence

from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunStart
from bluebellyoke.workflow.specs import StepSpec

__all__ = ["PlacementCost", "sum_costs"]

#: Smallest difference of costs that orders two workers, as a share of a run time.
#: Estimates differ by less than this from one report to the next.
COST_STEP = 0.05


class PlacementCost(abc.ABC):
    """Estimates what it costs to run a task on one worker rather than on another."""

    @abc.abstractmethod
    def estimate(self, step: StepSpec, queue: str, worker: TrackedWorker) -> float:
        """Return the additional cost of one task on a worker.

        Args:
            step: Step of the task.
            queue: Name of the step's queue, or an empty text if it has been removed.
            worker: Worker that the task fits on.

        Returns:
            Cost in units of the expected run time; 0 is neutral, more is worse.
        """

    def is_neutral(self, step: StepSpec) -> bool:
        """Return whether no worker has a cost for a step, which saves the estimates."""
        return False

    def record_starts(self, starts: Sequence[RunStart]) -> None:  # noqa: B027
        """Take note of the starts of a round, before the workers get their runs."""


def sum_costs(
    costs: Sequence[PlacementCost], step: StepSpec, queue: str, worker: TrackedWorker
) -> float:
    """Return the sum of all costs, rounded so that noise does not order workers."""
    total = 0.0
    for cost in costs:
        total += cost.estimate(step, queue, worker)
    return round(total / COST_STEP) * COST_STEP if total else 0.0
