"""Placement of tasks apart from those that they are known to interfere with."""

import logging
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.costs import COST_STEP, PlacementCost
from bluebellyoke.dispatch.pacing import BackfillPacer
from bluebellyoke.dispatch.pair_table import PairTable
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunStart
from bluebellyoke.workflow.specs import QueueAddress, StepSpec

__all__ = ["InterferenceCost"]

logger = logging.getLogger("bluebellyoke.dispatch")


@dataclass(frozen=True, slots=True)
class ImageCost:
    """Cost of an image on one worker.

    Attributes:
        other: Image there that contributes most to the cost.
    """

    total: float
    worker: TrackedWorker
    other: str


class InterferenceCost(PlacementCost):
    """Cost of the time that a task and its neighbours lose by running side by side.

    Args:
        context: Shared state of the dispatcher.
        table: Known slowdowns by pair of images.
        pacer: Tells where backfill runs are slowed down.
    """

    def __init__(
        self, context: DispatchContext, table: PairTable, pacer: BackfillPacer
    ) -> None:
        self._context = context
        self._table = table
        self._pacer = pacer
        self._round_at = 0.0
        self._images: dict[str, frozenset[str]] = {}
        self._costs: dict[str, dict[str, ImageCost]] = {}

    def classify(self, step: StepSpec, queue: QueueAddress) -> Hashable | None:
        """Return what the cost of a step depends on, or None if it has none."""
        if not step.backfill and step.image not in self._table.partners:
            return None
        return step.backfill, step.image

    def estimate(
        self, step: StepSpec, queue: QueueAddress, worker: TrackedWorker
    ) -> float:
        """Return the additional run time of a task and of its neighbours."""
        cost = self._pacer.estimate_pressure(worker) if step.backfill else 0.0
        if step.image in self._table.partners:
            found = self._find_costs(step.image).get(worker.spec.id)
            if found is not None:
                cost += found.total
        return cost

    def _find_costs(self, image: str) -> dict[str, ImageCost]:
        """Return the costs of an image, by ID of the workers where it has any.

        The runs of the workers do not change during a round, which has one time.
        """
        if self._round_at != self._context.now:
            self._begin_round()
        costs = self._costs.get(image)
        if costs is None:
            costs = self._costs[image] = {}
            partners = self._table.partners[image]
            for name, images in self._images.items():
                shares = [(partners[x], x) for x in partners if x in images]
                if shares:
                    total = sum(share for share, _ in shares)
                    worker = self._context.workers[name]
                    costs[name] = ImageCost(total, worker, max(shares)[1])
        return costs

    def _begin_round(self) -> None:
        """Look up the images on all workers and drop the costs of an earlier round."""
        self._round_at = self._context.now
        self._costs.clear()
        find_step = self._context.find_step
        self._images = {
            name: frozenset([find_step(key).image for key in worker.runs])
            for name, worker in self._context.workers.items()
        }

    def record_starts(self, starts: Sequence[RunStart]) -> None:
        """Log and count the starts that avoid a worker because of an interference."""
        if self._round_at == self._context.now:
            for start in starts:
                self._record_start(start)
        # The workers get new runs now, and another round may begin at the same time.
        self._round_at = 0.0

    def _record_start(self, start: RunStart) -> None:
        task = start.task
        step = self._context.find_step((task, start.run))
        costs = self._costs.get(step.image)
        worker = self._context.workers.get(start.worker)
        if not costs or worker is None:
            return
        avoided = [
            cost
            for cost in costs.values()
            if cost.worker.spec.pool == worker.spec.pool
            and step.allocation.fits_in(cost.worker.free)
        ]
        if not avoided:
            return
        worst = max(avoided, key=lambda cost: cost.total)
        chosen = costs.get(start.worker)
        if worst.total - (chosen.total if chosen is not None else 0.0) < COST_STEP:
            return
        self._context.metrics.record_task_kept_apart()
        slowdowns = (
            self._table.estimate_slowdown(step.image, worst.other),
            self._table.estimate_slowdown(worst.other, step.image),
        )
        logger.info(
            "dispatch: kept a task apart",
            extra={
                "job": task.workflow,
                "task": [task.repetition, task.step, task.index],
                "run": start.run,
                "worker": start.worker,
                "image": step.image,
                "other": worst.other,
                "avoided": worst.worker.spec.id,
                "factor": round(1 + max(slowdowns), 2),
            },
        )
