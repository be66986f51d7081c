"""Additional costs by which the planner prefers some workers to others.

A cost orders the workers that a task fits on. It never keeps a task from starting.
"""

import abc
from collections.abc import Hashable, Mapping, Sequence

from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunStart
from bluebellyoke.workflow.specs import QueueAddress, StepSpec

__all__ = ["COST_STEP", "CostTables", "PlacementCost", "sum_costs"]

#: Smallest difference of costs that orders two workers, as a share of a run time.
#: Estimates differ by less than this from one report to the next.
COST_STEP = 0.05


class PlacementCost(abc.ABC):
    """Estimates what it costs to run a task on one worker rather than on another.

    Attributes:
        is_lasting: Whether equal keys of `classify` mean equal costs on each worker at
            any time, not just in one round of planning.
    """

    is_lasting: bool = False

    @abc.abstractmethod
    def estimate(
        self, step: StepSpec, queue: QueueAddress, worker: TrackedWorker
    ) -> float:
        """Return the additional cost of one task on a worker.

        Args:
            step: Step of the task.
            queue: Address of the step's queue.
            worker: Worker that the task fits on.

        Returns:
            Cost in units of the expected run time; 0 is neutral, more is worse.
        """

    def classify(self, step: StepSpec, queue: QueueAddress) -> Hashable | None:
        """Return a key that is equal for steps with equal costs, or None.

        None means that the cost of the step is 0 on all workers. The planner estimates
        the cost on a worker once per round and key, so a coarse key keeps rounds short.
        """
        return step, queue

    def record_starts(self, starts: Sequence[RunStart]) -> None:  # noqa: B027
        """Take note of the starts of a round, before the workers get their runs."""


def sum_costs(
    costs: Sequence[PlacementCost],
    step: StepSpec,
    queue: QueueAddress,
    worker: TrackedWorker,
) -> float:
    """Return the sum of all costs, rounded so that noise does not order workers."""
    total = 0.0
    for cost in costs:
        total += cost.estimate(step, queue, worker)
    return round(total / COST_STEP) * COST_STEP if total else 0.0


class CostTables:
    """Sums of costs by kind of step and worker.

    Args:
        costs: Costs that are added up.
    """

    def __init__(self, costs: Sequence[PlacementCost]) -> None:
        self._costs = costs
        self._workers: Mapping[str, TrackedWorker] = {}
        self._tables: dict[tuple[Hashable, ...], _CostTable] = {}

    def start_round(self, workers: Mapping[str, TrackedWorker]) -> None:
        """Drop the sums that may have changed or that the last round did not use.

        Args:
            workers: All workers, by ID.
        """
        if workers is not self._workers:
            self._workers = workers
            self._tables.clear()
        self._tables = {
            key: table
            for key, table in self._tables.items()
            if table.is_lasting and table.is_used
        }
        for table in self._tables.values():
            table.is_used = False

    def find(self, step: StepSpec, queue: QueueAddress) -> Mapping[str, float] | None:
        """Return the costs of a step by worker, or None if they are all 0."""
        if not self._costs:
            return None
        keys = tuple(cost.classify(step, queue) for cost in self._costs)
        if all(key is None for key in keys):
            return None
        table = self._tables.get(keys)
        if table is None:
            active = [
                cost
                for cost, key in zip(self._costs, keys, strict=True)
                if key is not None
            ]
            table = _CostTable(active, step, queue, self._workers)
            self._tables[keys] = table
        table.is_used = True
        return table


class _CostTable(dict[str, float]):
    """Costs of one kind of step by worker, worked out on first use.

    Attributes:
        is_lasting: Whether the costs hold beyond the current round.
        is_used: Whether the current round has used them.
    """

    def __init__(
        self,
        costs: Sequence[PlacementCost],
        step: StepSpec,
        queue: QueueAddress,
        workers: Mapping[str, TrackedWorker],
    ) -> None:
        super().__init__()
        self.is_lasting = all(cost.is_lasting for cost in costs)
        self.is_used = True
        self._arguments = (costs, step, queue)
        self._workers = workers

    def __missing__(self, worker: str) -> float:
        cost = sum_costs(*self._arguments, self._workers[worker])
        self[worker] = cost
        return cost
